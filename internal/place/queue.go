package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// queuePrefix followed by the name of a service is the id of a pseudo target, under which VMs
// report the deferred requests of that service. Reports and summaries can then add up the deferred
// requests like other work.
const queuePrefix = "queue/"

// favoredPrefix followed by the names of a service and a route is the id of the pseudo target under which
// VMs report those deferred requests of the route that are favored.
const favoredPrefix = "favored/"

// AddDeferred counts a deferred request of a service until End is called on the returned ticket.
// The request counts as a pending prefill and, if it waits for a seat, as a running request too. c
// is the choice with which the request was deferred.
func (p *Placer) AddDeferred(service string, c Choice) *Ticket {
	work := Work{Prefill: c.OwnPrefill, Prefills: 1}
	if c.waitReason() == NoSeat {
		work.Running = 1
	}
	return p.addQueued(queuePrefix+service, service, work)
}

// AddFavored counts a deferred request as favored until End is called on the returned ticket. Requests of
// the same route that are not favored leave their place to it. It is counted by AddDeferred too.
func (p *Placer) AddFavored(service, route string, c Choice) *Ticket {
	return p.addQueued(favoredID(service, route), service, Work{Prefill: c.OwnPrefill, Prefills: 1})
}

// favoredID returns the id of the pseudo target for the favored requests of a route.
func favoredID(service, route string) string { return favoredPrefix + service + "/" + route }

// addQueued counts work at a pseudo target.
func (p *Placer) addQueued(id, service string, work Work) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(&fleet.Target{ID: id, Service: service}, work, time.Time{})
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

// Queue describes the deferred requests of all VMs that a request competes with.
type Queue struct {
	// Prefill is the total prefill time of the requests. Ahead is the time that the targets, all together,
	// are expected to take for requests that go first.
	Prefill time.Duration
	Ahead   time.Duration
}

// aheadShare is the fraction of the favored requests' work that counts as ahead of another request. They are
// sent one by one as targets become idle, so that on average half of it is still to come.
const aheadShare = 0.5

// QueueFor returns the queue for a request of a route to the targets of a service. Favored requests
// compete with those of their own route only, and go first there.
//
// Load pattern: more prompts arrive than the targets can prefill. Small ones fit into any gap, so that large
// ones, which are deferred, would wait for as long as small ones arrive.
func (p *Placer) QueueFor(targets []*fleet.Target, route string, favored bool) Queue {
	if len(targets) == 0 {
		return Queue{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	service := targets[0].Service
	first := p.totalWork(favoredID(service, route)).Prefill
	if favored {
		return Queue{Prefill: first}
	}
	return Queue{Prefill: p.totalWork(queuePrefix + service).Prefill, Ahead: time.Duration(aheadShare*float64(first)) / time.Duration(len(targets))}
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
