package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// queuePrefix marks the pseudo target under which VMs report the deferred requests of a
// service, so that reports and summaries add them up like other work.
const queuePrefix = "queue/"

// Wait counts a request of a service that was deferred with a choice until its ticket ends: the
// reading of its prompt, and a run where it waits for a seat.
func (p *Placer) Wait(service string, c Choice) *Ticket {
	work := Work{Prefill: c.Own, Prefills: 1}
	if c.obstacle() == NoSeat {
		work.Running = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(&fleet.Target{ID: queuePrefix + service, Service: service}, work, time.Time{})
}

// seatQueue is how many requests wait at each of the targets that run the longest answers for
// a seat there; the caller holds p.mu.
//
// Load pattern: a burst of long answers, more than there are seats for at the targets at which
// these end in time. A deferred request is sent once a seat is free, a newcomer already while
// one is about to be; so newcomers count those that wait as if they ran.
func (p *Placer) seatQueue(e engines, service string, targets []*fleet.Target) float64 {
	waiting := p.total(queuePrefix + service).Running
	if waiting <= 0 {
		return 0
	}
	serving := 0
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && e.servesLongest(p.at(t)) {
			serving++
		}
	}
	return float64(waiting) / float64(max(serving, 1))
}

// Waiting returns the deferred requests of a service on all VMs.
func (p *Placer) Waiting(service string) Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total(queuePrefix + service)
}

// Pressed reports whether prompts wait so long for the engines that prefill, there and at the
// VMs, that one which is late anyway would not be sent (see Judge).
func (p *Placer) Pressed(targets []*fleet.Target, objective time.Duration) bool {
	if len(targets) == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	queued := p.total(queuePrefix + targets[0].Service).Prefill
	engines := 0
	for _, t := range targets {
		if t.Stage == fleet.Prefill && !t.Leaving {
			queued += p.total(t.RunID()).ahead()
			engines++
		}
	}
	return queued > idleWait(objective)*time.Duration(max(engines, 1))
}

// room returns the reading time that can be added to the targets before each reaches the
// given wait, minus the work placed by others that is not reported yet.
func room(ways []weighed, wait, unseen time.Duration) time.Duration {
	var sum time.Duration
	for _, w := range ways {
		sum += max(wait-(w.expected-w.own), 0)
	}
	return max(sum-unseen, 0)
}
