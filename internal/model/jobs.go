package model

import (
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

// prefillPhase prefills an attempt's prompt on the engine that decision names.
type prefillPhase struct {
	sim      *simulation
	attempt  *Attempt
	decision Decision
	seq      *sequence
}

// newSequence implements phase.
func (p *prefillPhase) newSequence() *sequence {
	p.seq = &sequence{prompt: p.attempt.Prompt, priority: p.decision.Priority, prefillOnly: true, expiresAt: p.attempt.Deadline, observer: p}
	return p.seq
}

// prefilled implements sequenceObserver: the VM chooses the engine that decodes.
func (p *prefillPhase) prefilled(int) {
	sim, e := p.sim, p.sim.byID[p.decision.Target.ID]
	sim.after(sim.hopDelay(p.attempt.dataCentre, e), func() {
		if p.attempt.ended {
			e.freeHandle(p.seq)
			return
		}
		p.decision.Ticket.End(place.Good, epoch.Add(sim.now))
		next := sim.policy.Decode(p.attempt, p.decision.Target, sim.now)
		if next.Target == nil {
			e.freeHandle(p.seq)
			sim.refuse(p.attempt, time.Second)
			return
		}
		p.attempt.Sends++
		sim.dispatch(p.attempt, next, &decodePhase{sim: sim, attempt: p.attempt, decision: next, from: e, handle: p.seq})
	})
}

// eventProduced implements sequenceObserver. A prefill-only sequence produces no events.
func (*prefillPhase) eventProduced(int, bool) {}

// dropped implements sequenceObserver. It places the attempt elsewhere unless its time has expired
// or the engine is silent.
func (p *prefillPhase) dropped(bool) {
	sim, e := p.sim, p.sim.byID[p.decision.Target.ID]
	if sim.now >= p.attempt.Deadline || p.seq.expiresAt <= sim.now {
		p.decision.Ticket.End(place.Neutral, epoch.Add(sim.now))
		sim.failAttempt(p.attempt)
		return
	}
	p.attempt.Request.struck = true
	if e.silent {
		sim.at(p.attempt.Deadline, func() { sim.failAttempt(p.attempt) })
		return
	}
	sim.after(sim.hopDelay(p.attempt.dataCentre, e), func() {
		p.decision.Ticket.End(place.Bad, epoch.Add(sim.now))
		sim.placeElsewhere(p.attempt, p.decision.Target.ID)
	})
}

// decodePhase produces an attempt's answer on the engine that decision names.
type decodePhase struct {
	sim      *simulation
	attempt  *Attempt
	decision Decision
	// from is the engine that prefilled the prompt and keeps its KV cache under handle; it is
	// nil if the prompt is prefilled in place.
	from   *engine
	handle *sequence
	seq    *sequence
	// firstEventAt is when the VM received the first event of the answer.
	firstEventAt time.Duration
}

// newSequence implements phase.
func (p *decodePhase) newSequence() *sequence {
	events := p.attempt.Request.Output / p.sim.site.Engine.EventTokens
	p.seq = &sequence{
		prompt: p.attempt.Prompt, priority: p.decision.Priority, expiresAt: p.attempt.Deadline, observer: p,
		// The first token is an event of its own.
		output: 1 + (events-1)*p.sim.site.Engine.EventTokens,
	}
	if p.from != nil {
		p.seq.fetched = true
		p.fetchKV()
	}
	return p.seq
}

// fetchKV transfers the prompt's KV cache from the engine that prefilled it. The sequence cannot
// start before the KV cache has arrived.
func (p *decodePhase) fetchKV() {
	sim, to := p.sim, p.sim.byID[p.decision.Target.ID]
	begin := max(sim.now, p.from.linkFreeAt, to.linkFreeAt)
	if !p.from.hasHandle(p.handle) || begin-sim.now > maxTransferWait {
		// The KV cache is lost or the wait for a link too long, so the prompt is prefilled again.
		p.seq.fetched = false
		return
	}
	f := &sim.site.Engine
	ms := f.SetupMS + float64(p.attempt.Prompt.Tokens)*f.KVTokenBytes*8/(f.LinkMbps*thousand)
	if p.from.target.DataCentre != to.target.DataCentre {
		ms *= remoteTransferFactor
	}
	end := begin + millis(ms)
	p.from.linkFreeAt, to.linkFreeAt = end, end
	p.seq.readyAt = end
	sim.result.Tokens.Moved += p.attempt.Prompt.Tokens
	sim.at(end, func() { p.from.freeHandle(p.handle) })
}

// prefilled implements sequenceObserver. The first event follows, so there is nothing to do.
func (*decodePhase) prefilled(int) {}

// eventProduced implements sequenceObserver: the event is sent to the VM and on to the caller.
func (p *decodePhase) eventProduced(n int, last bool) {
	sim, e := p.sim, p.sim.byID[p.decision.Target.ID]
	if !sim.reachable(p.attempt.dataCentre, e) {
		sim.at(p.attempt.Deadline, func() { sim.failAttempt(p.attempt) })
		return
	}
	sim.after(sim.hopDelay(p.attempt.dataCentre, e), func() {
		if n == 1 {
			p.firstEventAt = sim.now
			p.decision.Ticket.FirstEvent(epoch.Add(sim.now))
		}
		p.decision.Ticket.AddEvents(1, epoch.Add(sim.now))
		if last {
			p.decision.Ticket.ObserveLength(n)
			p.decision.Ticket.ObserveAnswer(n, sim.now-p.firstEventAt)
			p.decision.Ticket.End(place.Good, epoch.Add(sim.now))
		}
		sim.after(millis(sim.site.Network.CallerMS), func() { sim.deliver(p.attempt, last) })
	})
}

// deliver records that an event, possibly the last one, has reached the caller.
func (sim *simulation) deliver(a *Attempt, last bool) {
	if a.ended {
		return
	}
	if a.firstEventAt == 0 {
		a.firstEventAt = sim.now
	} else if sim.now-a.lastEventAt > millis(a.Class.GapMS) {
		a.gapExceeded = true
	}
	a.lastEventAt = sim.now
	if sim.now > a.Deadline {
		sim.failAttempt(a)
		return
	}
	if last {
		sim.endAttempt(a, true)
		sim.result.recordServed(a)
	}
}

// dropped implements sequenceObserver. It places the attempt elsewhere unless its time has expired,
// the engine is silent or the caller has received a part of the answer.
func (p *decodePhase) dropped(started bool) {
	sim, e := p.sim, p.sim.byID[p.decision.Target.ID]
	if sim.now >= p.attempt.Deadline || p.seq.expiresAt <= sim.now {
		p.decision.Ticket.End(place.Neutral, epoch.Add(sim.now))
		sim.failAttempt(p.attempt)
		return
	}
	p.attempt.Request.struck = true
	if e.silent {
		sim.at(p.attempt.Deadline, func() { sim.failAttempt(p.attempt) })
		return
	}
	sim.after(sim.hopDelay(p.attempt.dataCentre, e), func() {
		p.decision.Ticket.End(place.Bad, epoch.Add(sim.now))
		if started && p.attempt.firstEventAt != 0 {
			sim.failAttempt(p.attempt)
			return
		}
		sim.placeElsewhere(p.attempt, p.decision.Target.ID)
	})
}
