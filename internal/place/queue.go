package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// queuePrefix followed by the name of a service is the id of a pseudo target, under which VMs
// report the deferred requests of that service. Reports and summaries can then add up the deferred
// requests like other work.
const queuePrefix = "queue/"

// AddDeferred counts a deferred request of a service until End is called on the returned ticket.
// The request counts as a pending prefill and, if it waits for a seat, as a running request too. c
// is the choice with which the request was deferred.
func (p *Placer) AddDeferred(service string, c Choice) *Ticket {
	work := Work{Prefill: c.OwnPrefill, Prefills: 1}
	if c.waitReason() == NoSeat {
		work.Running = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(&fleet.Target{ID: queuePrefix + service, Service: service}, work, time.Time{})
}

// queuedPerTarget returns the number of deferred requests that wait for a seat, divided by the
// number of decode targets that are fast enough for the longest answers. The caller holds p.mu.
//
// Load pattern: a burst of long answers, more than the targets that can finish them in time have
// seats for. A deferred request is sent only when a seat is free, but a new one is sent while a
// seat is about to become free and would overtake it. New requests therefore count the deferred
// ones as if they were running.
func (p *Placer) queuedPerTarget(est estimates, service string, targets []*fleet.Target) float64 {
	waiting := p.totalWork(queuePrefix + service).Running
	if waiting <= 0 {
		return 0
	}
	serving := 0
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && est.fastEnough(p.stateOf(t)) {
			serving++
		}
	}
	return float64(waiting) / float64(max(serving, 1))
}

// DeferredWork returns the work of the deferred requests of a service on all VMs.
func (p *Placer) DeferredWork(service string) Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalWork(queuePrefix + service)
}

// PrefillOverloaded reports whether the prefill engines have too much work pending. They do if the
// prompts that wait there or are deferred at the VMs take longer, per prefill engine, than the
// fraction idleShare of the objective. Admit would then defer a request that is late already.
// objective is the time to the first event that the service aims for.
func (p *Placer) PrefillOverloaded(targets []*fleet.Target, objective time.Duration) bool {
	if len(targets) == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	queued := p.totalWork(queuePrefix + targets[0].Service).Prefill
	engines := 0
	for _, t := range targets {
		if t.Stage == fleet.Prefill && !t.Leaving {
			queued += p.totalWork(t.RunID()).prefillWait()
			engines++
		}
	}
	return queued > idleWait(objective)*time.Duration(max(engines, 1))
}

// freeCapacity returns how much prefill time can be added to the targets of the candidates, in
// total, before each of them reaches the given wait. unreported is the prefill time that other VMs
// have placed and not reported yet; it is subtracted.
func freeCapacity(candidates []candidate, wait, unreported time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range candidates {
		sum += max(wait-(c.expected-c.ownPrefill), 0)
	}
	return max(sum-unreported, 0)
}
