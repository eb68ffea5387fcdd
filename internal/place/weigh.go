package place

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

const (
	// workPrice weighs the time that a prefill takes the target against the time that
	// the request waits: while prompts queue it delays several that come next, so that
	// a session goes back to its cache though others wait there.
	workPrice = 4.0
	// cacheShare is the part of a target's free KV cache that parts are
	// reckoned to be held in.
	cacheShare = 0.9
	// spareSlots of each decode target are kept for the short runs of prompts
	// prefilled elsewhere.
	spareSlots = 4
	// trifle is the part of the pause budget up to which a prompt is read anywhere.
	trifle = 1.0 / 8
	// secondSend is the part of the time of a second send that reading a prompt must
	// take to be worth one: read in place it takes as long again.
	secondSend = 0.5
	// streamPrice weighs what a prompt read beside streams does to each of them, as
	// a part of its reading time.
	streamPrice = 0.05
	// openShare is the price of the first stream at a target, as a part of the
	// pause budget: other prompts can be read there less freely from then on.
	openShare = 0.35
)

// engines is what the engines of one service are reckoned with.
type engines struct {
	*profile.Profile
	spec *fleet.EngineSpec
	off  Off
	// long is the longest step at which the longest answers of the service end in time, or 0
	// before any are known.
	long time.Duration
	// batch is what the request that is placed asks of the batch that it joins.
	batch batch
}

// engines returns the engines that targets are; the caller holds p.mu.
func (p *Placer) engines(targets []*fleet.Target, spec *fleet.EngineSpec) engines {
	service := ""
	if len(targets) > 0 {
		service = targets[0].Service
	}
	return engines{Profile: p.profile(service), spec: spec, off: p.cfg.Off, long: p.need(service).step}
}

// pauseBudget is the time that prompts may be read between two events of a stream: all
// that the shortest pause allowed leaves beside a stream's own steps.
func (e engines) pauseBudget() time.Duration {
	if e.spec.MaxGap <= 0 {
		return math.MaxInt64
	}
	return max(e.spec.MaxGap-e.EventPause(), 0)
}

// streams counts an answer that lasts longer than the longest pause allowed: a
// shorter one can hardly be cut in two by a prompt that is read beside it.
func (e engines) streams(q *Prompt) int {
	if e.spec.MaxGap > 0 && time.Duration(q.Output)*e.TokenTime() > e.spec.MaxGap {
		return 1
	}
	return 0
}

// weighed is one way to prefill a prompt.
type weighed struct {
	target *fleet.Target
	work   Work
	// cached is the prompt's tokens that the target holds.
	cached int
	// ahead is the prompts that the target has in hand before this one.
	ahead time.Duration
	// beside is the requests that the target runs.
	beside int
	// expected is the time to the answer's begin, own the part of it that reading
	// this prompt takes, seatWait the wait for a seat, and rest what the target takes besides
	// reading.
	expected time.Duration
	own      time.Duration
	seatWait time.Duration
	rest     time.Duration
	price    time.Duration
}

// weigh reckons what prefilling r's prompt at t takes. It returns false where t must
// not read it; the caller holds p.mu.
func (p *Placer) weigh(t *fleet.Target, r reading) (weighed, bool) {
	s, load, e, q := p.at(t), p.total(t.RunID()), r.engines, r.prompt
	w := weighed{target: t, work: Work{Prefills: 1, Tokens: q.Tokens}, ahead: load.ahead(), beside: load.Running, rest: e.WayTime()}
	if !e.off.Cache {
		w.cached = s.cache.held(q, cacheShare*float64(e.spec.KVTokens-load.Tokens))
	}
	var extra seat
	var ok bool
	if t.Stage == fleet.Prefill {
		extra, ok = p.weighApart(&w, r)
	} else {
		extra, ok = w.inPlace(t, s, load, r)
	}
	if !ok {
		return weighed{}, false
	}
	w.own = time.Duration(float64(w.work.Prefill) * s.slowdown)
	reading := time.Duration(float64(w.ahead+w.work.Prefill) * s.slowdown)
	w.seatWait = extra.wait
	if t.Stage == fleet.Prefill {
		w.seatWait = r.next.wait
	}
	w.expected = reading + w.rest + extra.wait + p.remote(t)
	price := reading + time.Duration(e.workPrice()*float64(w.work.Prefill)) + extra.price + p.remote(t)
	w.price = time.Duration(float64(price)*s.tries(r.now)) + p.unsound(s, r.now)
	return w, true
}

// weighApart reckons reading a prompt at a prefill engine, and what going on elsewhere
// costs. It returns false where a second send takes more than it brings.
func (p *Placer) weighApart(w *weighed, r reading) (seat, bool) {
	e, q := r.engines, r.prompt
	w.work.Prefill = e.ReadTime(q.Tokens, w.cached)
	move := e.WayTime() + e.HopTime(q.Tokens) + p.linkTime(q)
	if w.work.Prefill < time.Duration(secondSend*float64(move)) {
		return seat{}, false
	}
	return seat{wait: r.next.wait + move, price: r.next.price + move}, true
}

// inPlace reckons reading a prompt at the decode engine that then runs it. It returns
// false where streams there would wait too long.
func (w *weighed) inPlace(t *fleet.Target, s *state, load Work, r reading) (seat, bool) {
	e, q := r.engines, r.prompt
	w.work.Prefill = e.InPlaceTime(q.Tokens, w.cached)
	w.work.Running, w.work.Streams = 1, e.streams(q)
	w.work.Tokens += q.Output / 2
	if r.keepPauses && !(e.fits(load, w.work.Prefill) && e.leavesTime(s, load, w.work.Prefill, r.now)) {
		return seat{}, false
	}
	w.rest += e.HopTime(0)
	extra := e.seat(t, s, load, r.now)
	extra.price += e.HopTime(0) + e.beside(load, w.work)
	return extra, true
}

// workPrice is the weight of a prefill's work.
func (e engines) workPrice() float64 {
	if e.off.Stay {
		return 1
	}
	return workPrice
}

// fits reports whether a prompt that takes so long may be read beside the streams of
// a decode target: each chunk of it comes between two of their tokens.
func (e engines) fits(load Work, prefill time.Duration) bool {
	budget := e.pauseBudget()
	return load.Streams == 0 || load.Prefill+prefill <= budget || prefill <= time.Duration(trifle*float64(budget))
}

// beside is the price that keeps streams and prompts read in place apart: streams
// gather at few targets and prompts go to the others.
func (e engines) beside(load, added Work) time.Duration {
	budget := e.pauseBudget()
	small := added.Prefill <= time.Duration(trifle*float64(budget))
	var price time.Duration
	if !small {
		price += time.Duration(streamPrice * float64(load.Streams) * float64(added.Prefill))
	}
	if added.Streams == 0 && !small {
		return price
	}
	price += load.Prefill
	if load.Streams == 0 && e.spec.MaxGap > 0 {
		price += time.Duration(openShare * float64(budget))
	}
	return price
}

// filled is the part of a decode target that its runs fill, by seats and by memory.
func (e engines) filled(t *fleet.Target, s *state, load Work) float64 {
	seats := float64(load.Running) / float64(e.longSeats(t, s))
	memory := float64(load.Tokens) / float64(max(e.spec.KVTokens, 1))
	return max(seats, memory)
}
