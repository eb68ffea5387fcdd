package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// crashListingDelay is how long the row of a crashed engine remains.
	crashListingDelay = 3600 * time.Millisecond
	// drainTime is how long a leaving engine serves at least, and maxDrainTime at most.
	drainTime    = 2 * time.Second
	maxDrainTime = 16 * time.Second
	// drainPollInterval is how often a leaving engine checks whether it is idle.
	drainPollInterval = 100 * time.Millisecond
	slowFactor        = 5
	// releaseGap is the time between the replacements of two engines.
	releaseGap = 400 * time.Millisecond
	// rollGap is the time between the stops of two VMs.
	rollGap    = 1500 * time.Millisecond
	leaveShare = 0.25
	// hotTenths is the share of the callers, in tenths, that HotVM sends to one VM.
	hotTenths = 9
	// shortTimeoutShare is the fraction of a route's timeout that ShortTimeouts leaves.
	shortTimeoutShare = 0.92
	leaveAfter        = 1500 * time.Millisecond
	// settleTime is how long a VM still counts as disturbed after the end of its fault.
	settleTime = time.Second
)

// injectAll injects faults at their times and waits for them to end.
func (h *harness) injectAll(ctx context.Context, faults []Fault) {
	faults = append([]Fault(nil), faults...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, f := range faults {
		kernel.Sleep(ctx, time.Until(began.Add(f.At)))
		if ctx.Err() != nil {
			return
		}
		running.Go(func() { h.inject(ctx, f) })
	}
}

// inject injects one fault and returns when it has ended.
func (h *harness) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case EngineCrash, EngineSilent, EngineDrain, EngineSlow, EnginePause:
		h.eachSlot(f, func(_ int, s *slot) { h.disturbEngine(ctx, s, f) })
	case EngineRelease:
		version := fmt.Sprint("v", h.lastVersion.Add(1))
		h.eachSlot(f, func(n int, s *slot) {
			kernel.Sleep(ctx, time.Duration(n)*releaseGap)
			s.setNextVersion(version)
			h.disturbEngine(ctx, s, f)
		})
	case VMKill:
		h.eachVM(f, func(_ int, v *vm) { h.killVM(ctx, v, f.Duration) })
	case VMPause:
		h.eachVM(f, func(_ int, v *vm) { h.pauseVM(ctx, v, f.Duration) })
	case VMRoll:
		h.eachVM(f, func(n int, v *vm) {
			kernel.Sleep(ctx, time.Duration(n)*rollGap)
			h.stopVM(ctx, v)
		})
	case StoreSilent:
		h.store.SetFault(platformtest.FaultSilent)
		kernel.Sleep(ctx, f.Duration)
		h.store.SetFault(platformtest.FaultNone)
	case ShortTimeouts:
		h.writeConfig(shortTimeoutShare)
		kernel.Sleep(ctx, f.Duration)
		h.writeConfig(1)
	case ConfigChange:
		h.writeConfig(1)
	case CallersLeave:
		h.leaving.Add(1)
		kernel.Sleep(ctx, f.Duration)
		h.leaving.Add(-1)
	case HotVM:
		h.hot.Store(h.vms[choose(f, len(h.vms))[0]])
		kernel.Sleep(ctx, f.Duration)
		h.hot.Store(nil)
	}
}

// eachSlot calls do for f.Count slots at once and waits until all calls have returned. The first
// argument of do counts the calls.
func (h *harness) eachSlot(f Fault, do func(n int, s *slot)) {
	var running sync.WaitGroup
	defer running.Wait()
	for n, i := range choose(f, len(h.slots)) {
		running.Go(func() { do(n, h.slots[i]) })
	}
}

// eachVM calls do for f.Count VMs at once and waits until all calls have returned. The first
// argument of do counts the calls.
func (h *harness) eachVM(f Fault, do func(n int, v *vm)) {
	var running sync.WaitGroup
	defer running.Wait()
	for n, i := range choose(f, len(h.vms)) {
		running.Go(func() { do(n, h.vms[i]) })
	}
}

// choose returns f.Count different indexes below n.
func choose(f Fault, n int) []int {
	return rand.New(rand.NewPCG(f.Seed, uint64(f.At))).Perm(n)[:min(f.Count, n)]
}

// disturbEngine applies a fault to a slot's present engine. It does nothing if the slot has none or
// its engine leaves.
func (h *harness) disturbEngine(ctx context.Context, s *slot, f Fault) {
	s.mu.Lock()
	e, link := s.engine, s.link
	if e == nil || s.leaving {
		s.mu.Unlock()
		return
	}
	if f.Kind != EngineSlow && f.Kind != EnginePause {
		s.leaving = true
	}
	s.mu.Unlock()
	switch f.Kind {
	case EngineSlow:
		e.Slow(s.factor * slowFactor)
		kernel.Sleep(ctx, f.Duration)
		e.Slow(s.factor)
	case EnginePause:
		e.Pause(f.Duration)
	case EngineDrain, EngineRelease:
		h.list(s, e)
		began := time.Now()
		kernel.Sleep(ctx, drainTime)
		for len(e.Running()) > 0 && time.Since(began) < maxDrainTime && ctx.Err() == nil {
			kernel.Sleep(ctx, drainPollInterval)
		}
		h.endEngine(ctx, s, e, link, f)
	default:
		h.endEngine(ctx, s, e, link, f)
	}
}

// endEngine ends a slot's engine, with what it works on, and starts another one when the fault ends.
// A fault without duration ends it for good.
func (h *harness) endEngine(ctx context.Context, s *slot, e *platformtest.LiveEngine, link *proc.Relay, f Fault) {
	s.mu.Lock()
	s.engine = nil
	s.mu.Unlock()
	stage := e.Stage()
	h.disturbed.addRequests(e.Running())
	if f.Kind == EngineSilent {
		link.Inject(proc.Silent)
	} else {
		link.Inject(proc.Refuse)
	}
	e.Crash()
	unlist := time.AfterFunc(h.listedFor(f), func() { h.store.Remove(platformtest.TableTargets, e.ID) })
	defer unlist.Stop()
	kernel.Sleep(ctx, max(f.Duration, h.listedFor(f)))
	link.Close()
	if ctx.Err() != nil || (f.Duration == 0 && f.Kind != EngineRelease) {
		return
	}
	h.store.Remove(platformtest.TableTargets, e.ID)
	// The day goes on with one engine less if its successor does not start.
	_ = h.startEngine(s, stage)
}

// listedFor returns how long the row of an engine remains after its end.
func (h *harness) listedFor(f Fault) time.Duration {
	if f.Kind == EngineDrain || f.Kind == EngineRelease {
		return 0
	}
	return crashListingDelay
}

// killVM ends a VM's process with SIGKILL and starts it again after d.
func (h *harness) killVM(ctx context.Context, v *vm, d time.Duration) {
	h.disturbed.addVM(v.name(), time.Now(), d+settleTime)
	if v.current().Kill() != nil {
		return
	}
	kernel.Sleep(ctx, d)
	h.startAgain(ctx, v)
}

// pauseVM stops a VM's process with SIGSTOP for d.
func (h *harness) pauseVM(ctx context.Context, v *vm, d time.Duration) {
	h.disturbed.addVM(v.name(), time.Now(), d+settleTime)
	p := v.current()
	if p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	kernel.Sleep(ctx, d)
	// The process may have ended meanwhile.
	_ = p.Signal(syscall.SIGCONT)
}

// stopVM stops a VM's process as planned and starts it again.
func (h *harness) stopVM(ctx context.Context, v *vm) {
	p := v.current()
	if p.Exited() || p.Terminate() != nil {
		return
	}
	kill := time.AfterFunc(grace, func() { _ = p.Kill() })
	// How the process ended does not matter.
	_ = p.Wait()
	kill.Stop()
	kernel.Sleep(ctx, restartDelay)
	h.startAgain(ctx, v)
}

// startAgain starts a VM's process again, unless another fault has done so or the day is over.
func (h *harness) startAgain(ctx context.Context, v *vm) {
	if ctx.Err() != nil || !v.current().Exited() {
		return
	}
	// The day goes on with one VM less if the process does not start.
	_ = h.restartVM(v)
}

// callerLeaves reports whether the caller of the request with the given number leaves early.
func (h *harness) callerLeaves(number int) bool {
	return h.leaving.Load() > 0 && rand.New(rand.NewPCG(uint64(number), h.cfg.Seed)).Float64() < leaveShare
}
