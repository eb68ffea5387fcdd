package soak

import (
	"context"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// Config says how large a soak is.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Faults is dealt in place of the seed's plan, where it is set.
	Faults []Fault
	VMs    int
	// Engines and Plains are the numbers of targets; Callers is that of callers
	// that ask one after the other.
	Engines int
	Plains  int
	Callers int
	// Accounts has callers name client accounts by keys, and VMs report their use.
	Accounts bool
	// Bin holds the programs, Dir takes settings and logs.
	Bin   string
	Dir   string
	Ports *proc.Ports
}

const (
	// startWithin bounds the first start, and recoverWithin the return of all
	// VMs after the last fault: the users' pages say 12 s.
	startWithin   = 20 * time.Second
	recoverWithin = 12 * time.Second
	// lastAsks is how many requests each VM is sent after the last fault.
	lastAsks = 20
)

// Report is what a soak found.
type Report struct {
	Seed       uint64
	Length     time.Duration
	Faults     []Fault
	Outcomes   map[string]int
	Checks     map[Promise]int
	Violations []Violation
}

// Run soaks: it starts the VMs, deals the seed's faults and checks.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	w, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	defer w.close()
	start, cancel := context.WithTimeout(ctx, startWithin)
	err = w.awaitReady(start)
	cancel()
	if err != nil {
		return nil, err
	}
	w.served = time.Now()
	plan := cfg.Faults
	if plan == nil {
		plan = Plan(cfg.Seed, cfg.Length)
	}
	w.soak(ctx, plan)
	w.recover(ctx)
	w.checkDuties()
	violations, checks := w.check.Result()
	w.mu.Lock()
	defer w.mu.Unlock()
	return &Report{Seed: cfg.Seed, Length: cfg.Length, Faults: plan, Outcomes: w.tallies, Checks: checks, Violations: violations}, nil
}

// soak runs callers, probes and faults for the soak's length.
func (w *world) soak(ctx context.Context, plan []Fault) {
	ctx, cancel := context.WithDeadline(ctx, w.began.Add(w.cfg.Length))
	defer cancel()
	var ids ids
	var parts sync.WaitGroup
	parts.Go(func() { w.balance(ctx) })
	parts.Go(func() { w.deal(ctx, plan) })
	for i := range w.cfg.Callers {
		parts.Go(func() { w.call(ctx, &ids, w.cfg.Seed+uint64(i)) })
	}
	for _, v := range w.vms {
		parts.Go(func() { w.probe(ctx, v, &ids) })
	}
	parts.Wait()
}

// recover ends all faults and checks that every VM serves again in time.
func (w *world) recover(ctx context.Context) {
	w.heal()
	ready, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	// A VM that is not ready is found by its answers.
	_ = w.awaitReady(ready)
	kernel.Sleep(ready, settled)
	var last ids
	last.n.Store(1 << 40)
	for _, v := range w.vms {
		served := 0
		for i := range lastAsks {
			kind := kindsOfCall[i%len(kindsOfCall)]
			c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
			if err != nil {
				continue
			}
			if r := w.ask(c, v, last.next(), kind); r.Err == nil && (r.Status == 200 || r.Status == 401) {
				// A removed key is denied.
				served++
			}
			c.Close()
		}
		w.check.Recovers(v.name, served, lastAsks, w.now())
	}
}
