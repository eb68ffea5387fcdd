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

// An entry is killed in the middle of a stream: the caller goes on at another
// from its last event id, and has each token once.
func TestEntryKilledMidStream(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 2, Plains: 1, VMs: 2})
	w.serve("v1", "checked")
	r, err := openStream(w.ctx, w.VMs[0].Callers, 100, "")
	is.NoErr(err)
	is.NoErr(r.next(10))
	is.NoErr(w.VMs[0].Entry.Kill())
	for r.next(1) == nil && !r.done { // what was on its way
	}
	is.True(!r.done)
	again, err := openStream(w.ctx, w.VMs[1].Callers, 100, r.last)
	is.NoErr(err)
	defer again.close()
	is.NoErr(again.next(0))
	is.Equal(r.text+again.text, expected(100))
}

// An engine is killed, and another frozen, in the middle of a stream.
func TestEngineKilledMidStream(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(sig.String(), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, proc.Shape{Engines: 3, Plains: 1, VMs: 1})
			w.serve("v1", "checked")
			r, err := openStream(w.ctx, w.VMs[0].Callers, 200, "")
			is.NoErr(err)
			defer r.close()
			is.NoErr(r.next(10))
			name, _, _ := strings.Cut(r.last, "/")
			for _, e := range w.Engines {
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
			is.Equal(r.text, expected(200))
		})
	}
}

// The platform goes down: streams and repeatable calls go on, a call that
// needs a claim is refused truthfully, and a VM that starts now gets the table
// from its peers.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 2, Plains: 1, VMs: 2})
	w.serve("v1", "checked")
	w.platformFault("down")
	is.NoErr(stream(w.ctx, w.VMs[0].Callers, 20))
	a, err := renew(w.ctx, w.VMs[0].Callers, "k1", "renew-1")
	is.NoErr(err)
	is.Equal(a.status, 503)
	is.Equal(a.outcome, "not_run")
	is.True(a.retry != "")
	is.Equal(w.ran("renew-1"), 0) // the refusal was true

	is.NoErr(w.VMs[1].Entry.Kill())
	is.NoErr(w.VMs[1].Steward.Kill())
	w.VMs[1].Steward, err = w.Rerun("garnet-steward", w.VMs[1].Name+"-steward")
	is.NoErr(err)
	w.VMs[1].Entry, err = w.Rerun("garnet-entry", w.VMs[1].Name+"-entry")
	is.NoErr(err)
	w.until("the new VM", proc.Ready("http://"+string(w.VMs[1].EntryAdmin)+"/readyz"))
	w.until("a stream through the new VM", func(ctx context.Context) error { return stream(ctx, w.VMs[1].Callers, 20) })

	w.platformFault("")
	w.until("the platform's return", func(ctx context.Context) error {
		a, err := renew(ctx, w.VMs[1].Callers, "k1", "renew-1")
		if err != nil || a.status != 201 {
			return errors.Errorf("%+v %v", a, err)
		}
		return nil
	})
	is.Equal(w.ran("renew-1"), 1)
}

// Many callers ask at once, at two entries, with one key, while an entry is
// killed: the call runs at most once, and an answer is always the kept one.
func TestKeyedCallRunsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 1, Plains: 2, VMs: 2})
	w.serve("v1", "checked")
	const keys = 20
	var wg sync.WaitGroup
	for k := range keys {
		for i := range 4 {
			wg.Go(func() {
				body := fmt.Sprintf("renew-%d", k)
				// How each ends does not matter; how often it ran does.
				_, _ = renew(w.ctx, w.VMs[i%2].Callers, body, body)
			})
		}
	}
	wg.Go(func() { _ = w.VMs[0].Entry.Kill() })
	wg.Wait()
	for k := range keys {
		body := fmt.Sprintf("renew-%d", k)
		a, err := renew(w.ctx, w.VMs[1].Callers, body, body)
		is.NoErr(err)
		n := w.ran(body)
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

// holder returns the index of the VM that holds the lease of hints, and its
// fencing number, as seen by VM i.
func (w *world) holder(i int) (int, string, error) {
	out, err := w.ctl(i, "status")
	if err != nil {
		return 0, "", errors.Errorf("%v: %s", err, out)
	}
	_, leases, _ := strings.Cut(out, "LEASE")
	for _, line := range strings.Split(leases, "\n") {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "hints" {
			for j, vm := range w.VMs {
				if vm.Name == f[1] {
					return j, f[2], nil
				}
			}
		}
	}
	return 0, "", errors.Errorf("nobody holds the lease:\n%s", out)
}

// The holder of the lease is frozen during a roll-out: another takes over and
// finishes it; when the first wakes its orders have no effect. On engines that
// check fencing numbers and on engines that ignore them.
func TestFrozenHolderDuringRollOut(t *testing.T) {
	for _, fencing := range []string{"checked", "ignored"} {
		t.Run(fencing, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, proc.Shape{Engines: 3, Plains: 1, VMs: 3, Engine: func(_ int, s *settings.Standin) {
				s.TokenInterval = settings.Duration(5 * time.Millisecond)
				s.RoleChange = settings.Duration(300 * time.Millisecond)
				s.IgnoreFencing = fencing == "ignored"
				s.ReadTimeout = settings.Duration(time.Second)
			}})
			w.serve("v1", fencing)
			var old int
			var fence string
			w.until("a holder", func(context.Context) error {
				var err error
				old, fence, err = w.holder(0)
				return err
			})
			w.apply(1, "v2", fencing)
			w.until("the first order of the roll-out", func(context.Context) error {
				for i := range w.Engines {
					if n := len(w.counts(i).Orders); n > 1 {
						return nil
					}
				}
				return errors.New("no order yet")
			})
			is.NoErr(w.VMs[old].Steward.Signal(syscall.SIGSTOP))
			other := (old + 1) % len(w.VMs)
			w.until("a successor", func(context.Context) error {
				now, f, err := w.holder(other)
				if err != nil || now == old || f == fence {
					return errors.Errorf("holder %d fence %s: %v", now, f, err)
				}
				return nil
			})
			is.NoErr(w.VMs[old].Steward.Signal(syscall.SIGCONT))
			w.untilVersion("v2")
			for i := range w.Engines {
				c := w.counts(i)
				is.Equal(c.Cut, 0) // no stream was running, none was cut
				versions := ""
				for _, o := range c.Orders {
					versions += o.Want.Version + " "
				}
				is.Equal(versions, "v1 v2 ") // each order took effect once, in order
			}
		})
	}
}

// Every entry and steward is stopped and started again, one VM after the
// other, and a new model version is rolled out, while requests flow: none is
// lost, none is cut, no engine is ordered while it serves.
func TestRollingRestartAndRollOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 3, Plains: 2, VMs: 3})
	w.serve("v1", "checked")
	f := w.startFlow(6, 30)
	w.apply(1, "v2", "checked")
	for i := range w.VMs {
		vm := &w.VMs[i]
		is.NoErr(vm.Steward.Terminate())
		is.NoErr(vm.Steward.Wait())
		var err error
		vm.Steward, err = w.Rerun("garnet-steward", vm.Name+"-steward")
		is.NoErr(err)
		w.until("steward", proc.Ready("http://"+string(vm.StewardAdmin)+"/readyz"))
		is.NoErr(vm.Entry.Terminate())
		is.NoErr(vm.Entry.Wait())
		vm.Entry, err = w.Rerun("garnet-entry", vm.Name+"-entry")
		is.NoErr(err)
		w.until("entry", proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz"))
	}
	w.untilVersion("v2")
	f.end(50)
}

// The mix turns to more than the engines carry in their present roles: the
// holder changes roles one engine at a time while streams flow, and cuts none.
func TestRolesFollowTheMix(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 4, Plains: 1, VMs: 2, Steward: func(_ int, s *settings.Steward) {
		s.RoleInterval = settings.Duration(500 * time.Millisecond)
		s.Engine.RoleChangeTime = settings.Duration(200 * time.Millisecond)
		// Engines so slow that a few streams are more than the fleet carries.
		s.Engine.PrefillTokensPerS, s.Engine.DecodeTokensPerS, s.Engine.MixedFactor = 20, 400, 0.5
	}})
	w.serve("v1", "checked")
	f := w.startFlow(6, 40)
	w.until("a split of prefill and decode", func(context.Context) error {
		out, err := w.ctl(0, "status")
		if err != nil {
			return errors.Errorf("%v: %s", err, out)
		}
		if !strings.Contains(out, "prefill") || !strings.Contains(out, "decode") {
			return errors.New(out)
		}
		return nil
	})
	f.untilServed(f.count() + 30)
	f.end(0)
	out, err := w.ctl(0, "explain", "hints")
	is.NoErr(err)
	is.True(strings.Contains(out, "role_change"))
	is.True(strings.Contains(out, "option")) // with the prices of the options
}

// The holder is killed in the middle of a roll-out while requests flow: its
// successor finishes, and no request is lost or cut.
func TestHolderKilledDuringRollOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 3, Plains: 2, VMs: 3})
	w.serve("v1", "checked")
	f := w.startFlow(4, 30)
	w.apply(1, "v2", "checked")
	w.until("the first order of the roll-out", func(context.Context) error {
		if w.orders() <= len(w.Engines) {
			return errors.New("no order yet")
		}
		return nil
	})
	old, _, err := w.holder(0)
	is.NoErr(err)
	is.NoErr(w.VMs[old].Steward.Kill())
	w.VMs[old].Steward, err = w.Rerun("garnet-steward", w.VMs[old].Name+"-steward")
	is.NoErr(err)
	w.untilVersion("v2")
	f.end(20)
}

// An engine dies in the middle of a change and comes back with nothing: it is
// picked up from the journal, and the roll-out ends.
func TestEngineKilledDuringChange(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 3, Plains: 2, VMs: 2, Engine: func(_ int, s *settings.Standin) {
		s.TokenInterval = settings.Duration(5 * time.Millisecond)
		s.RoleChange = settings.Duration(time.Second)
	}})
	w.serve("v1", "checked")
	f := w.startFlow(3, 30)
	w.apply(1, "v2", "checked")
	changing := -1
	w.until("an engine that changes", func(context.Context) error {
		for i := range w.Engines {
			if len(w.counts(i).Orders) > 1 {
				changing = i
				return nil
			}
		}
		return errors.New("none yet")
	})
	e := &w.Engines[changing]
	is.NoErr(e.Process.Kill())
	var err error
	e.Process, err = w.Rerun("garnet-standin", e.Name)
	is.NoErr(err)
	w.untilVersion("v2")
	f.end(20)
}

// One VM is cut off from the platform: it serves on, hears of a new version
// from its peers, and if it held the lease another takes over.
func TestVMCutOffFromPlatform(t *testing.T) {
	is := is.New(t)
	var cut *proc.Relay
	w := newWorld(t, proc.Shape{Engines: 2, Plains: 1, VMs: 3, Steward: func(i int, s *settings.Steward) {
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
	w.serve("v1", "checked")
	f := w.startFlow(3, 30)
	cut.Cut()
	w.apply(1, "v2", "checked")
	w.untilVersion("v2") // by the status of all VMs, the one cut off too
	old, _, err := w.holder(0)
	is.NoErr(err)
	is.True(old != 0) // one that cannot renew does not stay the holder
	cut.Heal()
	f.end(20)
}
