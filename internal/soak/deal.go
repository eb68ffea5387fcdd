package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// The ways in which the store, links and targets are disturbed.
var (
	storeFaults = []platformtest.Fault{
		platformtest.FaultBusy, platformtest.FaultLimited, platformtest.FaultSilent, platformtest.FaultReset,
		platformtest.FaultLost, platformtest.FaultStale, platformtest.FaultSlow,
	}
	silentFaults = []proc.Disturbance{proc.Lost, proc.Swallowed}
	linkFaults   = []proc.Disturbance{proc.Refuse, proc.Reset, proc.Silent, proc.OneWay, proc.Delayed}
	targetFaults = []platformtest.EngineFault{
		platformtest.EngineFull, platformtest.EngineHangs, platformtest.EngineResets, platformtest.EngineCuts,
		platformtest.EngineStray, platformtest.EngineUnsigned, platformtest.EngineFails, platformtest.EngineNoHandle,
	}
)

const (
	// upAfter is when a started process has come to its first line of code,
	// before which the kernel ends it on SIGHUP whatever that line says.
	upAfter = 200 * time.Millisecond
	// rebornAfter is how long a target that starts again is away, and heartbeat the time
	// between its writes of its entry.
	rebornAfter = 300 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	// rollGap is the pause between two stops of a roll: with four VMs all are
	// stopping for a second or two, so that requests come to the end of each.
	rollGap = 300 * time.Millisecond
	// storms is how many changes a storm has, stormGap apart.
	storms   = 8
	stormGap = 100 * time.Millisecond
)

// deal deals the plan's faults at their times, and waits for their ends.
func (w *world) deal(ctx context.Context, plan []Fault) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		kernel.Sleep(ctx, f.At-w.now())
		if ctx.Err() != nil {
			return
		}
		faults.Go(func() { w.dealOne(ctx, f) })
	}
}

func (w *world) dealOne(ctx context.Context, f Fault) {
	v := w.vms[f.Index%len(w.vms)]
	s := w.slots[f.Index%len(w.slots)]
	switch f.Kind {
	case Stop:
		w.stop(ctx, v)
	case Roll:
		w.roll(ctx)
	case Kill:
		w.kill(v)
	case Pause:
		w.pause(ctx, v, f.For)
	case Hangup:
		w.hangup(v, f.Variant)
	case StoreFault:
		w.disturbStore(ctx, storeFaults[f.Variant%len(storeFaults)], f.For)
	case StoreForget:
		w.check.Disturbed(All, w.now(), w.now())
		w.store.DropHistory()
	case StoreLink:
		w.disturbLink(ctx, v.store, v.name, f)
	case TargetLink:
		w.disturbLink(ctx, s.link, w.idAt(s), f)
	case StoreSilence:
		for _, v := range w.vms {
			w.silence(v.store, v.name, f)
		}
	case TargetSilence:
		w.silence(s.link, w.idAt(s), f)
	case TargetFault:
		w.disturbTarget(ctx, s, targetFaults[f.Variant%len(targetFaults)], f.For)
	case Leave:
		w.leave(ctx, s)
	case Crash:
		w.crash(ctx, s)
	case Reborn:
		w.restart(ctx, s)
	case Foreign:
		w.foreign(ctx, s)
	case Deadly:
		w.deadly(ctx, f)
	case Revoke:
		w.revoke(f.Index)
	case Change:
		w.change()
	case Storm:
		for range storms {
			w.change()
			kernel.Sleep(ctx, stormGap)
		}
	}
}

// stop sends SIGTERM, and SIGKILL to what is still there when the grace ends.
func (w *world) stop(ctx context.Context, v *vm) {
	p, life := w.signalled(v)
	if p == nil || p.Terminate() != nil {
		return
	}
	kernel.Sleep(ctx, grace)
	if now, other := v.current(); now == p && other == life && !p.Exited() && ctx.Err() == nil {
		w.check.Disturbed(v.name, w.now(), w.now()+settled)
		// It may end at this moment.
		_ = p.Kill()
	}
}

// roll stops all VMs in turn.
func (w *world) roll(ctx context.Context) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, v := range w.vms {
		stops.Go(func() { w.stop(ctx, v) })
		kernel.Sleep(ctx, rollGap)
	}
}

func (w *world) kill(v *vm) {
	w.check.Disturbed(v.name, w.now(), w.now()+settled)
	if p, _ := w.signalled(v); p != nil {
		// It may end at this moment.
		_ = p.Kill()
	}
}

// signalled returns a VM's process, which is to end.
func (w *world) signalled(v *vm) (*proc.Process, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.Exited() {
		return nil, 0
	}
	v.expected = true
	return v.process, v.life
}

func (w *world) pause(ctx context.Context, v *vm, d time.Duration) {
	p, _ := v.current()
	w.check.Disturbed(v.name, w.now(), w.now()+d+settled)
	if p == nil || p.Exited() || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	kernel.Sleep(ctx, d)
	// It may have been killed meanwhile.
	_ = p.Signal(syscall.SIGCONT)
}

// hangup changes the settings file, with a signal or silently.
func (w *world) hangup(v *vm, variant int) {
	v.mu.Lock()
	v.cfg.LogLinesPerS = int64(300 + variant%100)
	err := w.cluster.Write(v.name, v.cfg)
	p, up := v.process, time.Since(v.started) > upAfter
	v.mu.Unlock()
	if err != nil || variant%2 == 0 || p == nil || p.Exited() || !up {
		return
	}
	// It may end at this moment.
	_ = p.Signal(syscall.SIGHUP)
}

func (w *world) disturbStore(ctx context.Context, f platformtest.Fault, d time.Duration) {
	w.check.Disturbed(All, w.now(), w.now()+d)
	w.mu.Lock()
	w.storeTurn++
	turn := w.storeTurn
	w.mu.Unlock()
	w.store.SetFault(f)
	if f == platformtest.FaultStale {
		// Old reads matter where a VM lists a table that it knows.
		w.store.DropHistory()
	}
	kernel.Sleep(ctx, d)
	w.mu.Lock()
	newest := w.storeTurn == turn
	w.mu.Unlock()
	if newest {
		w.store.SetFault(platformtest.FaultNone)
	}
}

func (w *world) disturbLink(ctx context.Context, r *proc.Relay, subject string, f Fault) {
	w.check.Disturbed(subject, w.now(), w.now()+f.For)
	r.Disturb(linkFaults[f.Variant%len(linkFaults)])
	kernel.Sleep(ctx, f.For)
	r.Heal()
}

// silence silences the connections that are open now. What they carry may be cut,
// and nothing else: later requests have the time that any other has.
func (w *world) silence(r *proc.Relay, subject string, f Fault) {
	w.check.Disturbed(subject, w.now(), w.now())
	r.Disturb(silentFaults[f.Variant%len(silentFaults)])
}

func (w *world) idAt(s *slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.ID
}

func (w *world) disturbTarget(ctx context.Context, s *slot, f platformtest.EngineFault, d time.Duration) {
	s.mu.Lock()
	e := s.engine
	s.mu.Unlock()
	e.SetFault(f)
	kernel.Sleep(ctx, d)
	e.SetFault(platformtest.EngineHealthy)
}

// take marks a slot's target as going, unless it goes already or the service
// would have too few.
func (w *world) take(s *slot) *platformtest.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	here := 0
	for _, other := range w.slots {
		other.mu.Lock()
		if other.service == s.service && !other.away {
			here++
		}
		other.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || here <= leastTargets {
		return nil
	}
	s.away = true
	return s.engine
}

// leastTargets of a service always stay.
const leastTargets = 2

// leave drains a target as planned and puts another one in its place.
func (w *world) leave(ctx context.Context, s *slot) {
	e := w.take(s)
	if e == nil {
		return
	}
	w.store.Put(platformtest.TableTargets, e.ID, platformtest.WithLeaving(platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr())))
	w.check.Leaves(e.ID, w.now())
	kernel.Sleep(ctx, leaveTakes)
	w.store.Remove(platformtest.TableTargets, e.ID)
	w.replace(s, e)
}

// crash ends a target without a word; its entry lapses later.
func (w *world) crash(ctx context.Context, s *slot) {
	e := w.take(s)
	if e == nil {
		return
	}
	w.check.Disturbed(e.ID, w.now(), w.now()+entryStays)
	e.Close()
	kernel.Sleep(ctx, entryStays)
	w.store.Remove(platformtest.TableTargets, e.ID)
	w.replace(s, e)
}

// restart ends a target without a word and starts it again under its id.
func (w *world) restart(ctx context.Context, s *slot) {
	e := w.take(s)
	if e == nil {
		return
	}
	w.check.Disturbed(e.ID, w.now(), w.now()+settled)
	e.Close()
	kernel.Sleep(ctx, rebornAfter)
	if err := w.fillAs(s, e.ID); err != nil {
		w.count("target_not_started")
	}
}

// foreign has another program write entries: of targets that there are not, and over the
// entry of one that there is, which writes its own again with its next heartbeat.
func (w *world) foreign(ctx context.Context, s *slot) {
	s.mu.Lock()
	e := s.engine
	sound := platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr())
	s.mu.Unlock()
	for i, entry := range platformtest.ForeignEntries(sound) {
		w.store.PutBytes(platformtest.TableTargets, fmt.Sprintf("foreign-%d", i), entry)
	}
	w.check.Disturbed(e.ID, w.now(), w.now()+settled)
	w.store.PutBytes(platformtest.TableTargets, e.ID, []byte("{"))
	kernel.Sleep(ctx, heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine == e && !s.away {
		w.list(s, e)
	}
}

// replace puts a new target at the address of an old one.
func (w *world) replace(s *slot, old *platformtest.Engine) {
	w.check.Disturbed(old.ID, w.now(), w.now()+settled)
	old.Close()
	if err := w.fill(s); err != nil {
		w.count("target_not_started")
	}
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tallies[what]++
}
