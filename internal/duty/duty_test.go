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

const gap = 3 * time.Second

// world is candidates for the duties, a clock and what the platform saw of their calls.
type world struct {
	now   time.Duration
	table store.Table
	vms   []*vm
	calls []call
}

type call struct {
	vm    string
	fence uint64
	at    time.Duration
}

// vm is one candidate. One that is cut off does not reach the store nor hear others; one that
// is frozen does nothing.
type vm struct {
	*Holder
	w      *world
	name   string
	cut    bool
	frozen bool
}

func (v *vm) Candidate() bool { return true }

func (v *vm) HolderHeard() bool {
	for _, o := range v.w.vms {
		if o != v && !v.cut && !o.cut && !o.frozen && o.Fence() != 0 {
			return true
		}
	}
	return false
}

// reached is the store as a VM reaches it.
type reached struct {
	store.Table
	v *vm
}

func (r reached) Get(ctx context.Context, key string) (store.Record, error) {
	if r.v.cut {
		return store.Record{}, store.ErrUnavailable
	}
	return r.Table.Get(ctx, key)
}

func (r reached) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if r.v.cut {
		return 0, store.ErrUnavailable
	}
	return r.Table.Commit(ctx, txn)
}

func newWorld(n int) *world {
	w := &world{now: time.Second, table: store.NewMemory()}
	for i := range n {
		w.start(i)
	}
	return w
}

// start starts a VM's process, anew where there was one.
func (w *world) start(i int) {
	v := &vm{w: w, name: fmt.Sprintf("vm-%d", i)}
	v.Holder = New(Config{VM: v.name, Gap: gap}, reached{w.table, v}, func() time.Duration { return w.now }, uint64(w.now),
		telemetry.NewLogger(&bytes.Buffer{}, "test", v.name))
	v.SetGroup(v)
	if i < len(w.vms) {
		w.vms[i] = v
		return
	}
	w.vms = append(w.vms, v)
}

// pass lets time pass; each VM that can looks at the lease and makes a call if it may.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		for _, v := range w.vms {
			if v.frozen {
				continue
			}
			v.step(context.Background())
			if t, ok := v.Held(); ok && v.Call(t).Still() {
				w.calls = append(w.calls, call{v.name, t.Fence, w.now})
			}
		}
	}
}

// broken says how the calls break the rules of one holder, or "".
func (w *world) broken() string {
	last := make(map[string]time.Duration)
	for i, c := range w.calls {
		if i > 0 {
			before := w.calls[i-1]
			switch {
			case c.fence < before.fence:
				return fmt.Sprintf("%v after %v", c, before)
			case c.fence == before.fence && c.vm != before.vm:
				return fmt.Sprintf("%v shares the fence of %v", c, before)
			case c.vm != before.vm && last[c.vm] > 0 && c.at-last[c.vm] < gap:
				return fmt.Sprintf("%v takes turns, it acted at %s", c, last[c.vm])
			}
		}
		last[c.vm] = c.at
	}
	return ""
}

func TestOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.pass(5 * time.Second)
	is.True(len(w.calls) > 0)
	is.Equal(w.calls[0].at, time.Second) // the first holder of all waits for nobody
	first := w.calls[0].vm
	for _, c := range w.calls {
		is.Equal(c.vm, first)
	}
}

// A holder that is cut off stops by its own clock, and another one follows soon.
func TestHolderThatIsCutOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.pass(5 * time.Second)
	w.vms[0].cut = true
	w.pass(15 * time.Second)
	is.Equal(w.broken(), "")
	last := w.calls[len(w.calls)-1]
	is.True(last.vm != "vm-0" && last.at > w.now-time.Second)
	pause := time.Duration(0)
	for i := 1; i < len(w.calls); i++ {
		pause = max(pause, w.calls[i].at-w.calls[i-1].at)
	}
	is.True(pause <= leaseTTL+gap+2*time.Second)
}

// A holder that stops hands over: nobody waits for its lease to lapse.
func TestHolderThatStops(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.pass(5 * time.Second)
	is.NoErr(w.vms[0].Stop(context.Background()))
	w.vms[0].frozen = true
	stopped := w.now
	w.pass(gap + 2*contendEvery)
	is.Equal(w.broken(), "")
	last := w.calls[len(w.calls)-1]
	is.Equal(last.vm, "vm-1")
	is.True(last.at > stopped)
}

// Whatever becomes of the VMs, and of those that hold the duties first of all, holders do not
// take turns and no fence falls.
func TestHoldersInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "vms"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
			if rapid.Bool().Draw(t, "the holder") {
				for j, v := range w.vms {
					if v.Fence() != 0 {
						i = j
					}
				}
			}
			switch v := w.vms[i]; rapid.SampledFrom([]string{"cut", "freeze", "kill", "stop", "heal"}).Draw(t, "what") {
			case "cut":
				v.cut = true
			case "freeze":
				v.frozen = true
			case "kill":
				w.start(i)
			case "stop":
				if !v.frozen {
					// A store that cannot be reached is logged only.
					_ = v.Stop(context.Background())
					w.start(i)
				}
			case "heal":
				v.cut, v.frozen = false, false
			}
			w.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			if why := w.broken(); why != "" {
				t.Fatal(why)
			}
		}
	})
}
