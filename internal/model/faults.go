package model

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// scheduleFaults schedules the day's outages and VM stops.
func (sim *simulation) scheduleFaults() {
	for _, o := range sim.day.Outages {
		sim.at(seconds(o.AtS), func() { sim.startOutage(o) })
	}
	for _, s := range sim.day.Stops {
		sim.at(seconds(s.AtS), sim.stopVMs)
	}
}

// startOutage takes randomly chosen available engines out of service.
func (sim *simulation) startOutage(o Outage) {
	var candidates []*engine
	for _, e := range sim.engines {
		if !e.down && !e.delisted && !e.target.Leaving {
			candidates = append(candidates, e)
		}
	}
	for _, i := range sim.random.Perm(len(candidates))[:min(o.Count, len(candidates))] {
		if o.Drain {
			sim.drain(candidates[i], o)
		} else {
			sim.crash(candidates[i], o)
		}
	}
}

// drain takes an engine out of service gradually: the engine is listed as leaving, keeps serving
// for drainTime and is then removed. If the outage is temporary, a replacement starts at once.
func (sim *simulation) drain(e *engine, o Outage) {
	sim.after(listingDelay, func() {
		t := *e.target
		t.Leaving = true
		e.target = &t
		sim.refreshListing()
	})
	if o.ForS > 0 {
		sim.addEngine(e.target.DataCentre, sim.replacementStage(), e.timeFactor)
		sim.after(listingDelay, sim.refreshListing)
	}
	sim.after(listingDelay+drainTime, func() {
		e.crash()
		e.delisted = true
		sim.refreshListing()
	})
}

// replacementStage returns the stage of the next engine that replaces a drained one. The stages
// are spread so that the fraction NewPrefillShare of the replacements are prefill engines.
func (sim *simulation) replacementStage() fleet.Stage {
	k, share := float64(sim.replacements), sim.site.Engine.NewPrefillShare
	sim.replacements++
	if math.Floor(k*share) != math.Floor((k-1)*share) {
		return fleet.Prefill
	}
	return fleet.Decode
}

// crash takes an engine out of service and drops its work. If the outage is temporary, the engine
// restarts at the end of the outage under a new id, with its former stage.
func (sim *simulation) crash(e *engine, o Outage) {
	e.silent = o.Silent
	e.crash()
	sim.after(min(crashListingDelay, seconds(o.ForS)), func() {
		e.delisted = true
		sim.refreshListing()
	})
	if o.ForS > 0 {
		sim.after(seconds(o.ForS), func() {
			sim.addEngine(e.target.DataCentre, e.target.Stage, e.timeFactor)
			sim.after(listingDelay, sim.refreshListing)
		})
	}
}

// reconnectSpread is the interval over which callers reconnect once stopped VMs run again.
const reconnectSpread = time.Second

// vmsStopped reports whether the VMs are stopped at present, and until when.
func (sim *simulation) vmsStopped() (until time.Duration, yes bool) {
	for _, s := range sim.day.Stops {
		if sim.now >= seconds(s.AtS) && sim.now < seconds(s.AtS+s.ForS) {
			return seconds(s.AtS + s.ForS), true
		}
	}
	return 0, false
}

// stopVMs ends all attempts in progress, because all VMs have stopped. Callers that have received
// an event of their stream do not retry; the others do.
func (sim *simulation) stopVMs() {
	back, _ := sim.vmsStopped()
	lost := sim.attempts
	sim.attempts = nil
	for _, a := range lost {
		if a.ended {
			continue
		}
		a.Request.struck = true
		if a.firstEventAt != 0 {
			sim.failAttempt(a)
			continue
		}
		sim.endAttempt(a, false)
		sim.retryAfterStop(a.Request, a.Retry, back)
	}
}

// retryAfterStop schedules the n-th attempt, counted from 0, for shortly after back, the time at
// which the VMs run again. If the request's deadline has passed by then, it records the request as
// failed.
func (sim *simulation) retryAfterStop(r *Request, n int, back time.Duration) {
	at := back + time.Duration(sim.random.Float64()*float64(reconnectSpread))
	if deadline := r.At + millis(sim.site.Classes[r.Class].DeadlineMS); at >= deadline {
		sim.result.recordLost(r)
		return
	}
	sim.at(at, func() { sim.attempt(r, n) })
}
