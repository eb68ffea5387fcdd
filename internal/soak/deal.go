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

// The variants of the faults StoreFault, StoreSilence and TargetSilence, StoreLink and TargetLink,
// and TargetFault.
var (
	storeFaults = []platformtest.Fault{
		platformtest.FaultBusy, platformtest.FaultLimited, platformtest.FaultSilent,
		platformtest.FaultReset,
		platformtest.FaultLost, platformtest.FaultStale, platformtest.FaultSlow,
	}
	silenceFaults = []proc.LinkFault{proc.Drop, proc.Discard}
	linkFaults    = []proc.LinkFault{proc.Refuse, proc.Reset, proc.Silent, proc.OneWay, proc.Delayed}
	targetFaults  = []platformtest.EngineFault{
		platformtest.EngineFull, platformtest.EngineHangs, platformtest.EngineResets,
		platformtest.EngineCuts,
		platformtest.EngineStray, platformtest.EngineUnsigned, platformtest.EngineFails,
		platformtest.EngineNoHandle,
	}
	// targetLimits are the variants of the fault TargetLimit, in requests a second.
	targetLimits = []float64{1.5, 4, 9.5}
)

const (
	// sighupHandledAfter is the time that a started process has to reach its first line of code.
	// Until it handles SIGHUP, the kernel ends the process on that signal.
	sighupHandledAfter = 200 * time.Millisecond
	// targetRestartDelay is how long a restarting target is down. heartbeatInterval is the time
	// between a target's writes of its entry.
	targetRestartDelay = 300 * time.Millisecond
	heartbeatInterval  = 1200 * time.Millisecond
	// rollingStopGap is the pause between the stops of two VMs. With four VMs all of them are
	// stopping for a second or two, so that requests reach each VM at the very end.
	rollingStopGap = 300 * time.Millisecond
	// A configuration storm is stormChanges changes, stormInterval apart.
	stormChanges  = 8
	stormInterval = 100 * time.Millisecond
)

// injectAll injects the plan's faults at their times and waits for them to end.
func (h *harness) injectAll(ctx context.Context, plan []Fault) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		kernel.Sleep(ctx, f.At-h.now())
		if ctx.Err() != nil {
			return
		}
		faults.Go(func() { h.inject(ctx, f) })
	}
}

// inject injects one fault and returns when it has ended.
func (h *harness) inject(ctx context.Context, f Fault) {
	v := h.vms[f.Index%len(h.vms)]
	s := h.slots[f.Index%len(h.slots)]
	switch f.Kind {
	case StopVM:
		h.stopVM(ctx, v)
	case RollingStop:
		h.stopAllInTurn(ctx)
	case KillVM:
		h.killVM(v)
	case PauseVM:
		h.pauseVM(ctx, v, f.Duration)
	case ChangeSettings:
		h.changeSettings(v, f.Variant)
	case StoreFault:
		h.injectStoreFault(ctx, storeFaults[f.Variant%len(storeFaults)], f.Duration)
	case StoreDropsHistory:
		h.check.Disturbed(All, h.now(), h.now())
		h.store.DropHistory()
	case StoreLink:
		h.injectLinkFault(ctx, v.storeLink, v.name, f)
	case TargetLink:
		h.injectLinkFault(ctx, s.link, h.targetID(s), f)
	case StoreSilence:
		for _, v := range h.vms {
			h.silenceConnections(v.storeLink, v.name, f)
		}
	case TargetSilence:
		h.silenceConnections(s.link, h.targetID(s), f)
	case TargetFault:
		h.injectTargetFault(ctx, s, targetFaults[f.Variant%len(targetFaults)], f.Duration)
	case TargetLimit:
		h.limitTarget(ctx, s, targetLimits[f.Variant%len(targetLimits)], f.Duration)
	case TargetLeaves:
		h.drainTarget(ctx, s)
	case TargetCrashes:
		h.crashTarget(ctx, s)
	case TargetRestarts:
		h.restartTarget(ctx, s)
	case ForeignEntries:
		h.writeForeignEntries(ctx, s)
	case CrashingRequest:
		h.sendCrashingRequests(ctx, f)
	case RevokeKey:
		h.revokeKey(f.Index)
	case ChangeConfig:
		h.changeConfig()
	case ConfigStorm:
		for range stormChanges {
			h.changeConfig()
			kernel.Sleep(ctx, stormInterval)
		}
	}
}

// stopVM sends SIGTERM, and SIGKILL if the process is still running after the grace period.
func (h *harness) stopVM(ctx context.Context, v *vm) {
	p, incarnation := h.expectExit(v)
	if p == nil || p.Terminate() != nil {
		return
	}
	kernel.Sleep(ctx, grace)
	if now, other := v.current(); now == p && other == incarnation && !p.Exited() && ctx.Err() == nil {
		h.check.Disturbed(v.name, h.now(), h.now()+settleTime)
		// The process may exit at this moment.
		_ = p.Kill()
	}
}

// stopAllInTurn stops all VMs, one shortly after the other.
func (h *harness) stopAllInTurn(ctx context.Context) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, v := range h.vms {
		stops.Go(func() { h.stopVM(ctx, v) })
		kernel.Sleep(ctx, rollingStopGap)
	}
}

// killVM sends SIGKILL.
func (h *harness) killVM(v *vm) {
	h.check.Disturbed(v.name, h.now(), h.now()+settleTime)
	if p, _ := h.expectExit(v); p != nil {
		// The process may exit at this moment.
		_ = p.Kill()
	}
}

// expectExit marks the exit of a VM's process as expected. It returns the process and its
// incarnation, or nil and 0 if none is running.
func (h *harness) expectExit(v *vm) (*proc.Process, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.Exited() {
		return nil, 0
	}
	v.exitExpected = true
	return v.process, v.incarnation
}

// pauseVM stops a VM's process with SIGSTOP for a time.
func (h *harness) pauseVM(ctx context.Context, v *vm, d time.Duration) {
	p, _ := v.current()
	h.check.Disturbed(v.name, h.now(), h.now()+d+settleTime)
	if p == nil || p.Exited() || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	kernel.Sleep(ctx, d)
	// The process may have been killed meanwhile.
	_ = p.Signal(syscall.SIGCONT)
}

// changeSettings rewrites a VM's settings file. Odd variants also send SIGHUP.
func (h *harness) changeSettings(v *vm, variant int) {
	v.mu.Lock()
	v.cfg.LogLinesPerS = int64(300 + variant%100)
	err := h.cluster.Write(v.name, v.cfg)
	p, up := v.process, time.Since(v.startedAt) > sighupHandledAfter
	v.mu.Unlock()
	if err != nil || variant%2 == 0 || p == nil || p.Exited() || !up {
		return
	}
	// The process may exit at this moment.
	_ = p.Signal(syscall.SIGHUP)
}

// injectStoreFault makes the store misbehave for the duration d, unless a newer fault of the store
// replaces this one.
func (h *harness) injectStoreFault(ctx context.Context, f platformtest.Fault, d time.Duration) {
	h.check.Disturbed(All, h.now(), h.now()+d)
	h.mu.Lock()
	h.storeFaultSeq++
	seq := h.storeFaultSeq
	h.mu.Unlock()
	h.store.SetFault(f)
	if f == platformtest.FaultStale {
		// Stale reads matter only if a VM lists a table that it knows already. Dropping the history
		// cuts the feed of changes, so that the VMs list the tables again.
		h.store.DropHistory()
	}
	kernel.Sleep(ctx, d)
	h.mu.Lock()
	newest := h.storeFaultSeq == seq
	h.mu.Unlock()
	if newest {
		h.store.SetFault(platformtest.FaultNone)
	}
}

// injectLinkFault disturbs a link for the duration of the fault. subject is the VM or target that
// counts as disturbed.
func (h *harness) injectLinkFault(ctx context.Context, r *proc.Relay, subject string, f Fault) {
	h.check.Disturbed(subject, h.now(), h.now()+f.Duration)
	r.Inject(linkFaults[f.Variant%len(linkFaults)])
	kernel.Sleep(ctx, f.Duration)
	r.Heal()
}

// silenceConnections silences the connections of a link that are open now. subject counts as
// disturbed at this moment only, so only the requests on these connections may be cut: later ones
// have the full time to be answered.
func (h *harness) silenceConnections(r *proc.Relay, subject string, f Fault) {
	h.check.Disturbed(subject, h.now(), h.now())
	r.Inject(silenceFaults[f.Variant%len(silenceFaults)])
}

// targetID returns the id of a slot's current target.
func (h *harness) targetID(s *slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target.ID
}

// injectTargetFault makes a slot's current target misbehave for the duration d.
func (h *harness) injectTargetFault(
	ctx context.Context, s *slot, f platformtest.EngineFault, d time.Duration) {
	s.mu.Lock()
	e := s.target
	s.mu.Unlock()
	e.SetFault(f)
	kernel.Sleep(ctx, d)
	e.SetFault(platformtest.EngineHealthy)
}

// limitTarget makes a slot's current target state a limit on requests for the duration d.
func (h *harness) limitTarget(ctx context.Context, s *slot, perS float64, d time.Duration) {
	s.mu.Lock()
	e := s.target
	s.mu.Unlock()
	h.check.LimitStated(e.ID, perS, h.now())
	e.SetLimit(perS)
	kernel.Sleep(ctx, d)
	e.SetLimit(0)
	h.check.LimitEnded(e.ID)
}

// takeTarget marks a slot's target as unavailable and returns it. It returns nil if the target is
// unavailable already or the service would have fewer than minTargets left.
func (h *harness) takeTarget(s *slot) *platformtest.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	here := 0
	for _, other := range h.slots {
		other.mu.Lock()
		if other.service == s.service && !other.unavailable {
			here++
		}
		other.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || here <= minTargets {
		return nil
	}
	s.unavailable = true
	return s.target
}

// minTargets is the number of targets of a service that always stay available.
const minTargets = 2

// drainTarget has a target leave as planned and starts another one in its place.
func (h *harness) drainTarget(ctx context.Context, s *slot) {
	e := h.takeTarget(s)
	if e == nil {
		return
	}
	h.store.Put(platformtest.TableTargets, e.ID,
		platformtest.WithLeaving(platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr())))
	h.check.Leaves(e.ID, h.now())
	kernel.Sleep(ctx, drainTime)
	h.store.Remove(platformtest.TableTargets, e.ID)
	h.replaceTarget(s, e)
}

// crashTarget closes a target without warning. Its entry is removed, and another target started in
// its place, only after crashedEntryTTL.
func (h *harness) crashTarget(ctx context.Context, s *slot) {
	e := h.takeTarget(s)
	if e == nil {
		return
	}
	h.check.Disturbed(e.ID, h.now(), h.now()+crashedEntryTTL)
	e.Close()
	kernel.Sleep(ctx, crashedEntryTTL)
	h.store.Remove(platformtest.TableTargets, e.ID)
	h.replaceTarget(s, e)
}

// restartTarget closes a target without warning and starts it again under the same id.
func (h *harness) restartTarget(ctx context.Context, s *slot) {
	e := h.takeTarget(s)
	if e == nil {
		return
	}
	h.check.Disturbed(e.ID, h.now(), h.now()+settleTime)
	e.Close()
	kernel.Sleep(ctx, targetRestartDelay)
	if err := h.startTargetAs(s, e.ID); err != nil {
		h.count("target_not_started")
	}
}

// writeForeignEntries writes entries as another program would: some for targets that do not exist,
// and one over the entry of an existing target. That target writes its own entry again with its
// next heartbeat.
func (h *harness) writeForeignEntries(ctx context.Context, s *slot) {
	s.mu.Lock()
	e := s.target
	sound := platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr())
	s.mu.Unlock()
	for i, entry := range platformtest.ForeignEntries(sound) {
		h.store.PutBytes(platformtest.TableTargets, fmt.Sprintf("foreign-%d", i), entry)
	}
	h.check.Disturbed(e.ID, h.now(), h.now()+settleTime)
	h.store.PutBytes(platformtest.TableTargets, e.ID, []byte("{"))
	kernel.Sleep(ctx, heartbeatInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == e && !s.unavailable {
		h.writeEntry(s, e)
	}
}

// replaceTarget starts a new target at the address of an old one.
func (h *harness) replaceTarget(s *slot, old *platformtest.Engine) {
	h.check.Disturbed(old.ID, h.now(), h.now()+settleTime)
	old.Close()
	if err := h.startTarget(s); err != nil {
		h.count("target_not_started")
	}
}

// count counts an outcome for the report.
func (h *harness) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[what]++
}
