package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// queuePrefix starts the id of the pseudo target under which VMs report the deferred requests of a
// service. Reports and summaries can then add them up like other work.
const queuePrefix = "queue/"

// AddDeferred counts a deferred request of a service until the returned ticket ends: the prefill of its
// prompt, and a running request if it waits for a seat. c is the choice with which it was deferred.
func (p *Placer) AddDeferred(service string, c Choice) *Ticket {
	work := Work{Prefill: c.OwnPrefill, Prefills: 1}
	if c.waitReason() == NoSeat {
		work.Running = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(&fleet.Target{ID: queuePrefix + service, Service: service}, work, time.Time{})
}

// queuedPerTarget returns how many requests wait for a seat at each of the targets that are fast
// enough for the longest answers. The caller holds p.mu.
//
// Load pattern: a burst of long answers, more than the targets that can finish them in time have
// seats for. A deferred request is sent once a seat is free, but a new one already while a seat is
// about to become free. New requests therefore count the waiting ones as if they were running.
func (p *Placer) queuedPerTarget(model engineModel, service string, targets []*fleet.Target) float64 {
	waiting := p.totalWork(queuePrefix + service).Running
	if waiting <= 0 {
		return 0
	}
	serving := 0
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && model.fastEnough(p.stateOf(t)) {
			serving++
		}
	}
	return float64(waiting) / float64(max(serving, 1))
}

// DeferredWork returns the deferred requests of a service on all VMs.
func (p *Placer) DeferredWork(service string) Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalWork(queuePrefix + service)
}

// PrefillOverloaded reports whether prompts queue so long at the prefill engines and at the VMs that a
// request which is late already would not be sent (see Judge).
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

// freeCapacity returns the prefill time that can be added to the targets before each of them
// reaches the given wait, less the work that other VMs have placed without it being reported yet.
func freeCapacity(candidates []candidate, wait, unreported time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range candidates {
		sum += max(wait-(c.expected-c.ownPrefill), 0)
	}
	return max(sum-unreported, 0)
}
