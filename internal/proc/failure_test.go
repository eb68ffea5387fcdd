package proc_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
)

// An entry, the process of a VM that serves callers, is killed in the middle of a stream: the
// caller resumes at another entry from its last event id and receives each token exactly once.
func TestEntryKilledMidStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 2, PlainTargets: 1, VMs: 2})
	h.awaitServing("v1", "checked")
	r, err := openStream(h.ctx, h.VMs[0].Callers, 100, "")
	is.NoErr(err)
	is.NoErr(r.next(10))
	is.NoErr(h.VMs[0].Entry.Kill())
	for r.next(1) == nil && !r.done { // read what had been sent before
	}
	is.True(!r.done)
	again, err := openStream(h.ctx, h.VMs[1].Callers, 100, r.last)
	is.NoErr(err)
	defer again.close()
	is.NoErr(again.next(0))
	is.Equal(r.text+again.text, expectedAnswer(100))
}

// An engine is killed, or frozen, in the middle of a stream: the stream continues without a gap.
func TestEngineKilledMidStream(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(sig.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, proc.Shape{Engines: 3, PlainTargets: 1, VMs: 1})
			h.awaitServing("v1", "checked")
			r, err := openStream(h.ctx, h.VMs[0].Callers, 200, "")
			is.NoErr(err)
			defer r.close()
			is.NoErr(r.next(10))
			name, _, _ := strings.Cut(r.last, "/")
			for _, e := range h.Engines {
				if e.Name == name {
					is.NoErr(e.Process.Signal(sig))
					t.Cleanup(func() {
						if sig == syscall.SIGSTOP {
							_ = e.Process.Signal(syscall.SIGCONT)
						}
					})
				}
			}
			is.NoErr(r.next(0))
			is.Equal(r.text, expectedAnswer(200))
		})
	}
}

// The platform goes down: streams, whose calls may be repeated, still work, a call that may not be
// repeated is refused as not run, because its key cannot be claimed in the platform's store, and a
// VM that starts now gets the table from its peers. After the platform's return the refused call
// runs once.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 2, PlainTargets: 1, VMs: 2})
	h.awaitServing("v1", "checked")
	h.platformFault("down")
	is.NoErr(stream(h.ctx, h.VMs[0].Callers, 20))
	a, err := callRenew(h.ctx, h.VMs[0].Callers, "k1", "renew-1")
	is.NoErr(err)
	is.Equal(a.status, 503)
	is.Equal(a.outcome, "not_run")
	is.True(a.retry != "")
	is.Equal(h.runCount("renew-1"), 0) // the call was indeed not run

	is.NoErr(h.VMs[1].Entry.Kill())
	is.NoErr(h.VMs[1].Steward.Kill())
	h.VMs[1].Steward, err = h.Rerun("garnet-steward", h.VMs[1].Name+"-steward")
	is.NoErr(err)
	h.VMs[1].Entry, err = h.Rerun("garnet-entry", h.VMs[1].Name+"-entry")
	is.NoErr(err)
	h.await("the new VM", proc.Ready("http://"+string(h.VMs[1].EntryAdmin)+"/readyz"))
	h.await("a stream through the new VM",
		func(ctx context.Context) error { return stream(ctx, h.VMs[1].Callers, 20) })

	h.platformFault("")
	h.await("the platform's return", func(ctx context.Context) error {
		a, err := callRenew(ctx, h.VMs[1].Callers, "k1", "renew-1")
		if err != nil || a.status != 201 {
			return errors.Errorf("%+v %v", a, err)
		}
		return nil
	})
	is.Equal(h.runCount("renew-1"), 1)
}

// Many callers send calls with the same idempotency key concurrently to two entries, one of which
// is killed: the call runs at most once. Repeated later, it is answered with the stored answer if
// it ran and was recorded, and otherwise with the statement that it may have run.
func TestKeyedCallRunsOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 1, PlainTargets: 2, VMs: 2})
	h.awaitServing("v1", "checked")
	const keys = 20
	var wg sync.WaitGroup
	for k := range keys {
		for i := range 4 {
			wg.Go(func() {
				body := fmt.Sprintf("renew-%d", k)
				// The result does not matter here: the number of runs is checked below.
				_, _ = callRenew(h.ctx, h.VMs[i%2].Callers, body, body)
			})
		}
	}
	wg.Go(func() { _ = h.VMs[0].Entry.Kill() })
	wg.Wait()
	for k := range keys {
		body := fmt.Sprintf("renew-%d", k)
		a, err := callRenew(h.ctx, h.VMs[1].Callers, body, body)
		is.NoErr(err)
		n := h.runCount(body)
		is.True(n <= 1) // at most once
		switch a.status {
		case 201:
			is.Equal(n, 1)
		case 409:
			is.Equal(a.outcome, "may_have_run")
		default:
			t.Fatalf("%+v", a)
		}
	}
}

// leaseHolder returns the index of the VM that holds the lease of the service hints, whose steward
// gives orders to the engines, and the lease's fencing number, as VM i sees them.
func (h *harness) leaseHolder(i int) (int, string, error) {
	out, err := h.ctl(i, "status")
	if err != nil {
		return 0, "", errors.Errorf("%v: %s", err, out)
	}
	_, leases, _ := strings.Cut(out, "LEASE")
	for _, line := range strings.Split(leases, "\n") {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "hints" {
			for j, vm := range h.VMs {
				if vm.Name == f[1] {
					return j, f[2], nil
				}
			}
		}
	}
	return 0, "", errors.Errorf("nobody holds the lease:\n%s", out)
}

// The lease holder is frozen during the roll-out of a new model version: another VM takes over and
// finishes the roll-out, and the orders of the old holder have no effect when it resumes. This must
// hold for engines that check fencing numbers and for engines that ignore them.
func TestFrozenHolderDuringRollOut(t *testing.T) {
	for _, fencing := range []string{"checked", "ignored"} {
		t.Run(fencing, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, proc.Shape{Engines: 3, PlainTargets: 1, VMs: 3, Engine: func(_ int, s *settings.Standin) {
				s.TokenInterval = settings.Duration(5 * time.Millisecond)
				s.RoleChange = settings.Duration(300 * time.Millisecond)
				s.IgnoreFencing = fencing == "ignored"
				s.ReadTimeout = settings.Duration(time.Second)
			}})
			h.awaitServing("v1", fencing)
			var old int
			var fence string
			h.await("a holder", func(context.Context) error {
				var err error
				old, fence, err = h.leaseHolder(0)
				return err
			})
			h.apply(1, "v2", fencing)
			h.await("the first order of the roll-out", func(context.Context) error {
				for i := range h.Engines {
					if n := len(h.engineCounts(i).Orders); n > 1 {
						return nil
					}
				}
				return errors.New("no order yet")
			})
			is.NoErr(h.VMs[old].Steward.Signal(syscall.SIGSTOP))
			other := (old + 1) % len(h.VMs)
			h.await("a successor", func(context.Context) error {
				now, f, err := h.leaseHolder(other)
				if err != nil || now == old || f == fence {
					return errors.Errorf("holder %d fence %s: %v", now, f, err)
				}
				return nil
			})
			is.NoErr(h.VMs[old].Steward.Signal(syscall.SIGCONT))
			h.awaitVersion("v2")
			for i := range h.Engines {
				c := h.engineCounts(i)
				is.Equal(c.Cut, 0) // no stream was running, so none was interrupted
				versions := ""
				for _, o := range c.Orders {
					versions += o.Want.Version + " "
				}
				is.Equal(versions, "v1 v2 ") // each order took effect once, in sequence
			}
		})
	}
}

// Every entry and steward is restarted, one VM after the other, and a new model version is rolled
// out under load: no request is lost or cut, and no engine receives an order while it serves.
func TestRollingRestartAndRollOut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 3, PlainTargets: 2, VMs: 3})
	h.awaitServing("v1", "checked")
	f := h.startLoad(6, 30)
	h.apply(1, "v2", "checked")
	for i := range h.VMs {
		vm := &h.VMs[i]
		is.NoErr(vm.Steward.Terminate())
		is.NoErr(vm.Steward.Wait())
		var err error
		vm.Steward, err = h.Rerun("garnet-steward", vm.Name+"-steward")
		is.NoErr(err)
		h.await("steward", proc.Ready("http://"+string(vm.StewardAdmin)+"/readyz"))
		is.NoErr(vm.Entry.Terminate())
		is.NoErr(vm.Entry.Wait())
		vm.Entry, err = h.Rerun("garnet-entry", vm.Name+"-entry")
		is.NoErr(err)
		h.await("entry", proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz"))
	}
	h.awaitVersion("v2")
	f.finish(50)
}

// The mix of requests needs more than the engines can handle in their present roles: the lease
// holder changes the roles of one engine at a time under load, and no stream is interrupted.
func TestRolesFollowTheMix(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 4, PlainTargets: 1, VMs: 2, Steward: func(_ int, s *settings.Steward) {
		s.RoleInterval = settings.Duration(500 * time.Millisecond)
		s.Engine.RoleChangeTime = settings.Duration(200 * time.Millisecond)
		// The engines are so slow that a few streams exceed their capacity.
		s.Engine.PrefillTokensPerS, s.Engine.DecodeTokensPerS, s.Engine.MixedFactor = 20, 400, 0.5
	}})
	h.awaitServing("v1", "checked")
	f := h.startLoad(6, 40)
	h.await("a split of prefill and decode", func(context.Context) error {
		out, err := h.ctl(0, "status")
		if err != nil {
			return errors.Errorf("%v: %s", err, out)
		}
		if !strings.Contains(out, "prefill") || !strings.Contains(out, "decode") {
			return errors.New(out)
		}
		return nil
	})
	f.awaitAnswered(f.answeredCount() + 30)
	f.finish(0)
	out, err := h.ctl(0, "explain", "hints")
	is.NoErr(err)
	is.True(strings.Contains(out, "role_change"))
	is.True(strings.Contains(out, "option")) // the decision's options are shown with their prices
}

// The lease holder is killed in the middle of a roll-out under load: its successor finishes the
// roll-out, and no request is lost or cut.
func TestHolderKilledDuringRollOut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 3, PlainTargets: 2, VMs: 3})
	h.awaitServing("v1", "checked")
	f := h.startLoad(4, 30)
	h.apply(1, "v2", "checked")
	h.await("the first order of the roll-out", func(context.Context) error {
		if h.orderCount() <= len(h.Engines) {
			return errors.New("no order yet")
		}
		return nil
	})
	old, _, err := h.leaseHolder(0)
	is.NoErr(err)
	is.NoErr(h.VMs[old].Steward.Kill())
	h.VMs[old].Steward, err = h.Rerun("garnet-steward", h.VMs[old].Name+"-steward")
	is.NoErr(err)
	h.awaitVersion("v2")
	f.finish(20)
}

// An engine is killed in the middle of a change and restarts without any state: the holder resumes
// the change from the journal, and the roll-out finishes.
func TestEngineKilledDuringChange(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 3, PlainTargets: 2, VMs: 2, Engine: func(_ int, s *settings.Standin) {
		s.TokenInterval = settings.Duration(5 * time.Millisecond)
		s.RoleChange = settings.Duration(time.Second)
	}})
	h.awaitServing("v1", "checked")
	f := h.startLoad(3, 30)
	h.apply(1, "v2", "checked")
	changing := -1
	h.await("an engine that changes", func(context.Context) error {
		for i := range h.Engines {
			if len(h.engineCounts(i).Orders) > 1 {
				changing = i
				return nil
			}
		}
		return errors.New("none yet")
	})
	e := &h.Engines[changing]
	is.NoErr(e.Process.Kill())
	var err error
	e.Process, err = h.Rerun("garnet-standin", e.Name)
	is.NoErr(err)
	h.awaitVersion("v2")
	f.finish(20)
}

// One VM is cut off from the platform: it continues to serve, learns of a new table version from
// its peers, and if it held the lease another VM takes over.
func TestVMCutOffFromPlatform(t *testing.T) {
	is := is.New(t)
	var cut *proc.Relay
	h := newHarness(t, proc.Shape{Engines: 2, PlainTargets: 1, VMs: 3, Steward: func(i int, s *settings.Steward) {
		if i == 0 {
			var err error
			cut, err = proc.NewRelay(string(s.Platform.Address))
			if err != nil {
				t.Fatal(err)
			}
			s.Platform.Address = settings.Addr(cut.Addr())
		}
	}})
	t.Cleanup(cut.Close)
	h.awaitServing("v1", "checked")
	f := h.startLoad(3, 30)
	cut.Cut()
	h.apply(1, "v2", "checked")
	h.awaitVersion("v2") // as the status of all VMs shows, including the one that is cut off
	old, _, err := h.leaseHolder(0)
	is.NoErr(err)
	is.True(old != 0) // a VM that cannot renew the lease does not remain its holder
	cut.Heal()
	f.finish(20)
}
