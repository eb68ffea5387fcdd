package model

import (
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

// prefilling is an attempt whose prompt is read at a prefill engine.
type prefilling struct {
	w *world
	a *Attempt
	d Decision
	r *run
}

func (p *prefilling) make() *run {
	p.r = &run{prompt: p.a.Prompt, priority: p.d.Priority, only: true, expires: p.a.Deadline, on: p}
	return p.r
}

// read implements outcome: the VM chooses where to go on.
func (p *prefilling) read(int) {
	w, e := p.w, p.w.byID[p.d.Target.ID]
	w.after(w.hop(p.a.dc, e), func() {
		if p.a.ended {
			e.free(p.r)
			return
		}
		p.d.Ticket.End(place.Good, epoch.Add(w.now))
		next := w.policy.Decode(p.a, p.d.Target, w.now)
		if next.Target == nil {
			e.free(p.r)
			w.refuse(p.a, time.Second)
			return
		}
		p.a.Sends++
		w.submit(p.a, next, &decoding{w: w, a: p.a, d: next, from: e, handle: p.r})
	})
}

// event implements outcome.
func (*prefilling) event(int, bool) {}

// dropped implements outcome.
func (p *prefilling) dropped(bool) {
	w, e := p.w, p.w.byID[p.d.Target.ID]
	if w.now >= p.a.Deadline || p.r.expires <= w.now {
		p.d.Ticket.End(place.Neutral, epoch.Add(w.now))
		w.fail(p.a)
		return
	}
	if e.silent {
		w.at(p.a.Deadline, func() { w.fail(p.a) })
		return
	}
	w.after(w.hop(p.a.dc, e), func() {
		p.d.Ticket.End(place.Bad, epoch.Add(w.now))
		w.again(p.a, p.d.Target.ID)
	})
}

// decoding is an attempt whose answer is made at a decode engine.
type decoding struct {
	w *world
	a *Attempt
	d Decision
	// from keeps the prompt as handle, if another engine has read it.
	from   *engine
	handle *run
	r      *run
	// firstAt is when the VM had the first event.
	firstAt time.Duration
}

func (x *decoding) make() *run {
	events := x.a.Request.Output / x.w.site.Engine.EventTokens
	x.r = &run{
		prompt: x.a.Prompt, priority: x.d.Priority, expires: x.a.Deadline, on: x,
		// The first token is an event of its own.
		output: 1 + (events-1)*x.w.site.Engine.EventTokens,
	}
	if x.from != nil {
		x.r.fetched = true
		x.fetch()
	}
	return x.r
}

// fetch moves the prompt's memory: the run cannot begin before it is there.
func (x *decoding) fetch() {
	w, to := x.w, x.w.byID[x.d.Target.ID]
	begin := max(w.now, x.from.linkFree, to.linkFree)
	if !x.from.keeps(x.handle) || begin-w.now > maxTransferWait {
		// It is read again.
		x.r.fetched = false
		return
	}
	f := &w.site.Engine
	ms := f.SetupMS + float64(x.a.Prompt.Tokens)*f.KVTokenBytes*8/(f.LinkMbps*thousand)
	if x.from.target.DataCentre != to.target.DataCentre {
		ms *= farTransfer
	}
	end := begin + millis(ms)
	x.from.linkFree, to.linkFree = end, end
	x.r.ready = end
	w.result.Reads.Moved += x.a.Prompt.Tokens
	w.at(end, func() { x.from.free(x.handle) })
}

// read implements outcome.
func (*decoding) read(int) {}

// event implements outcome.
func (x *decoding) event(n int, last bool) {
	w, e := x.w, x.w.byID[x.d.Target.ID]
	if !w.reaches(x.a.dc, e) {
		w.at(x.a.Deadline, func() { w.fail(x.a) })
		return
	}
	w.after(w.hop(x.a.dc, e), func() {
		if n == 1 {
			x.firstAt = w.now
			x.d.Ticket.First(epoch.Add(w.now))
		}
		x.d.Ticket.Events(1, epoch.Add(w.now))
		if last {
			x.d.Ticket.Length(n)
			x.d.Ticket.Stream(n, w.now-x.firstAt)
			x.d.Ticket.End(place.Good, epoch.Add(w.now))
		}
		w.after(millis(w.site.Network.CallerMS), func() { w.deliver(x.a, last) })
	})
}

// deliver notes that an event has reached the caller.
func (w *world) deliver(a *Attempt, last bool) {
	if a.ended {
		return
	}
	if a.first == 0 {
		a.first = w.now
	} else if w.now-a.last > millis(a.Class.GapMS) {
		a.paused = true
	}
	a.last = w.now
	if w.now > a.Deadline {
		w.fail(a)
		return
	}
	if last {
		w.end(a)
		w.result.served(a)
	}
}

// dropped implements outcome.
func (x *decoding) dropped(started bool) {
	w, e := x.w, x.w.byID[x.d.Target.ID]
	if w.now >= x.a.Deadline || x.r.expires <= w.now {
		x.d.Ticket.End(place.Neutral, epoch.Add(w.now))
		w.fail(x.a)
		return
	}
	if e.silent {
		w.at(x.a.Deadline, func() { w.fail(x.a) })
		return
	}
	w.after(w.hop(x.a.dc, e), func() {
		x.d.Ticket.End(place.Bad, epoch.Add(w.now))
		if started && x.a.first != 0 {
			w.fail(x.a)
			return
		}
		w.again(x.a, x.d.Target.ID)
	})
}
