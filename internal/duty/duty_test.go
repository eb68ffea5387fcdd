package duty

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// gap is the HandoverGap of the candidates.
const gap = 3 * time.Second

// cluster is a set of candidates for the duties with a common clock, and the calls that the
// platform has received from them.
type cluster struct {
	now   time.Duration
	table store.Table
	vms   []*vm
	calls []call
}

// call is one call that the platform has received.
type call struct {
	vm    string
	fence uint64
	at    time.Duration
}

// vm is one candidate. A partitioned VM reaches neither the store nor the other VMs. A frozen VM
// does nothing.
type vm struct {
	*Holder
	cluster     *cluster
	name        string
	partitioned bool
	frozen      bool
}

// Candidate implements Group.
func (v *vm) Candidate() bool { return true }

// OtherHolderKnown implements Group.
func (v *vm) OtherHolderKnown() bool {
	for _, o := range v.cluster.vms {
		if o != v && !v.partitioned && !o.partitioned && !o.frozen && o.Fence() != 0 {
			return true
		}
	}
	return false
}

// vmStore is the store as one VM reaches it: it is unavailable while the VM is partitioned.
type vmStore struct {
	store.Table
	v *vm
}

// Get implements store.Table. It fails while the VM is partitioned.
func (s vmStore) Get(ctx context.Context, key string) (store.Record, error) {
	if s.v.partitioned {
		return store.Record{}, store.ErrUnavailable
	}
	return s.Table.Get(ctx, key)
}

// Commit implements store.Table. It fails while the VM is partitioned.
func (s vmStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if s.v.partitioned {
		return 0, store.ErrUnavailable
	}
	return s.Table.Commit(ctx, txn)
}

// newCluster returns a cluster of n VMs.
func newCluster(n int) *cluster {
	cl := &cluster{now: time.Second, table: store.NewMemory()}
	for i := range n {
		cl.start(i)
	}
	return cl
}

// start starts the process of VM i. If it was running before, it is replaced by a new process.
func (cl *cluster) start(i int) {
	v := &vm{cluster: cl, name: fmt.Sprintf("vm-%d", i)}
	v.Holder = New(Config{VM: v.name, HandoverGap: gap}, vmStore{cl.table, v}, func() time.Duration { return cl.now }, uint64(cl.now),
		telemetry.NewLogger(&bytes.Buffer{}, "test", v.name))
	v.SetGroup(v)
	if i < len(cl.vms) {
		cl.vms[i] = v
		return
	}
	cl.vms = append(cl.vms, v)
}

// advance lets time pass. In each interval, every VM that is not frozen performs its step and
// makes a call if it may.
func (cl *cluster) advance(d time.Duration) {
	for end := cl.now + d; cl.now < end; cl.now += stepInterval {
		for _, v := range cl.vms {
			if v.frozen {
				continue
			}
			v.step(context.Background())
			if t, ok := v.Held(); ok && v.Call(t).StillHeld() {
				cl.calls = append(cl.calls, call{v.name, t.Fence, cl.now})
			}
		}
	}
}

// violation describes the first call that breaks a rule, or returns "" if there is none. The rules:
// fencing numbers never decrease, each belongs to one VM, and a VM makes no call within gap after
// its own last call if another VM has made one since.
func (cl *cluster) violation() string {
	last := make(map[string]time.Duration)
	for i, c := range cl.calls {
		if i > 0 {
			before := cl.calls[i-1]
			switch {
			case c.fence < before.fence:
				return fmt.Sprintf("call %v has a lower fencing number than the call %v before it", c, before)
			case c.fence == before.fence && c.vm != before.vm:
				return fmt.Sprintf("call %v of another VM has the same fencing number as the call %v before it", c, before)
			case c.vm != before.vm && last[c.vm] > 0 && c.at-last[c.vm] < gap:
				return fmt.Sprintf("call %v is within the gap after the VM's own last call at %s, with another VM's call between", c, last[c.vm])
			}
		}
		last[c.vm] = c.at
	}
	return ""
}

// Without faults, the first holder makes all calls.
func TestOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	cl := newCluster(3)
	cl.advance(5 * time.Second)
	is.True(len(cl.calls) > 0)
	is.Equal(cl.calls[0].at, time.Second) // the very first holder need not wait for the gap
	first := cl.calls[0].vm
	for _, c := range cl.calls {
		is.Equal(c.vm, first)
	}
}

// A partitioned holder stops by its own clock, and another VM takes over soon after.
func TestPartitionedHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	cl := newCluster(3)
	cl.advance(5 * time.Second)
	cl.vms[0].partitioned = true
	cl.advance(15 * time.Second)
	is.Equal(cl.violation(), "")
	last := cl.calls[len(cl.calls)-1]
	is.True(last.vm != "vm-0" && last.at > cl.now-time.Second)
	pause := time.Duration(0)
	for i := 1; i < len(cl.calls); i++ {
		pause = max(pause, cl.calls[i].at-cl.calls[i-1].at)
	}
	is.True(pause <= leaseTTL+gap+2*time.Second)
}

// A holder that stops releases its lease, so that its successor need not wait for it to lapse.
func TestStoppedHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	cl := newCluster(2)
	cl.advance(5 * time.Second)
	is.NoErr(cl.vms[0].Stop(context.Background()))
	cl.vms[0].frozen = true
	stopped := cl.now
	cl.advance(gap + 2*contendInterval)
	is.Equal(cl.violation(), "")
	last := cl.calls[len(cl.calls)-1]
	is.Equal(last.vm, "vm-1")
	is.True(last.at > stopped)
}

// In any sequence of faults, most of which hit the holder, fencing numbers never decrease, and a VM
// that was replaced by another holder makes no call within the gap after its own last call.
func TestSingleHolderUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.IntRange(1, 4).Draw(t, "vms"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, len(cl.vms)-1).Draw(t, "vm")
			if rapid.Bool().Draw(t, "fault hits the holder") {
				for j, v := range cl.vms {
					if v.Fence() != 0 {
						i = j
					}
				}
			}
			switch v := cl.vms[i]; rapid.SampledFrom([]string{"cut", "freeze", "kill", "stop", "heal"}).Draw(t, "fault") {
			case "cut":
				v.partitioned = true
			case "freeze":
				v.frozen = true
			case "kill":
				cl.start(i)
			case "stop":
				if !v.frozen {
					// Stop only logs that the store cannot be reached.
					_ = v.Stop(context.Background())
					cl.start(i)
				}
			case "heal":
				v.partitioned, v.frozen = false, false
			}
			cl.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * stepInterval)
			if why := cl.violation(); why != "" {
				t.Fatal(why)
			}
		}
	})
}
