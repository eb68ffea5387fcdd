package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// queuePrefix marks the pseudo target under which VMs report the deferred requests of a
// service, so that reports and summaries add them up like other work.
const queuePrefix = "queue/"

// Wait counts a deferred request of a service until its ticket ends; own is the time that
// reading its prompt takes.
func (p *Placer) Wait(service string, own time.Duration) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(&fleet.Target{ID: queuePrefix + service, Service: service}, Work{Prefill: own, Prefills: 1}, time.Time{})
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
