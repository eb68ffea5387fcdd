package soak

import (
	"context"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// Config sets the size of a run and where its files are.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Faults, if not nil, is used instead of the plan that Seed gives.
	Faults []Fault
	VMs    int
	// Engines and PlainTargets are numbers of targets. Callers is the number of callers that send
	// requests one after the other.
	Engines      int
	PlainTargets int
	Callers      int
	// Accounts makes callers send keys of client accounts, and VMs report usage.
	Accounts bool
	// Bin is the directory of the programs, and Dir that for settings and logs.
	Bin   string
	Dir   string
	Ports *proc.Ports
}

const (
	// startTimeout bounds the first start of all VMs. recoveryTimeout bounds the time until all VMs
	// are ready after the last fault; the user documentation states 12 s.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 12 * time.Second
	// finalRequests is the number of requests that each VM is sent after the last fault.
	finalRequests = 20
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Length time.Duration
	Faults []Fault
	// Outcomes counts requests by kind and outcome, and a few other events. Checks counts the
	// checks of each invariant.
	Outcomes   map[string]int
	Checks     map[Invariant]int
	Violations []Violation
}

// Run starts the VMs, injects the faults and checks the invariants. It returns an error if the VMs
// do not start; violations are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	h, err := newHarness(cfg)
	if err != nil {
		return nil, err
	}
	defer h.close()
	start, cancel := context.WithTimeout(ctx, startTimeout)
	err = h.awaitReady(start)
	cancel()
	if err != nil {
		return nil, err
	}
	h.readyAt = time.Now()
	plan := cfg.Faults
	if plan == nil {
		plan = Plan(cfg.Seed, cfg.Length)
	}
	h.runFaults(ctx, plan)
	h.checkRecovery(ctx)
	h.checkDuties()
	violations, checks := h.check.Result()
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Report{Seed: cfg.Seed, Length: cfg.Length, Faults: plan, Outcomes: h.outcomes,
		Checks: checks, Violations: violations}, nil
}

// runFaults runs callers, probes and faults for the length of the run.
func (h *harness) runFaults(ctx context.Context, plan []Fault) {
	ctx, cancel := context.WithDeadline(ctx, h.startedAt.Add(h.cfg.Length))
	defer cancel()
	var ids idSource
	var parts sync.WaitGroup
	parts.Go(func() { h.pollReadiness(ctx) })
	parts.Go(func() { h.injectAll(ctx, plan) })
	for i := range h.cfg.Callers {
		parts.Go(func() { h.runCaller(ctx, &ids, h.cfg.Seed+uint64(i)) })
	}
	for _, v := range h.vms {
		parts.Go(func() { h.probeVersions(ctx, v, &ids) })
	}
	parts.Wait()
}

// checkRecovery ends all faults and checks that every VM serves again in time.
func (h *harness) checkRecovery(ctx context.Context) {
	h.clearFaults()
	ready, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	// A VM that is not ready is found by its answers below.
	_ = h.awaitReady(ready)
	kernel.Sleep(ready, settleTime)
	var last idSource
	// The callers have not used ids as high as these.
	last.n.Store(1 << 40)
	for _, v := range h.vms {
		served := 0
		for i := range finalRequests {
			kind := requestKinds[i%len(requestKinds)]
			c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
			if err != nil {
				continue
			}
			if r := h.send(c, v, last.next(), kind); r.Err == nil && (r.Status == 200 || r.Status == 401) {
				// 401 is the right answer to a revoked key.
				served++
			}
			c.Close()
		}
		h.check.CheckRecovery(v.name, served, finalRequests, h.now())
	}
}
