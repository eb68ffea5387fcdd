package place

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

const (
	// prefillWorkCost is the weight of the time that a prefill occupies the target, relative to the
	// time that the request waits. While prompts queue, a prefill delays several later ones. With
	// this weight, a session goes back to the target that has it cached even if prompts wait there.
	prefillWorkCost = 4.0
	// cacheShare is the fraction of a target's free KV cache that is assumed to hold prompt parts.
	cacheShare = 0.9
	// spareSlots is the number of slots of each decode target that are kept free for the short
	// decode phases of prompts prefilled separately.
	spareSlots = 4
	// smallPromptShare defines a small prompt: its prefill takes at most this fraction of the gap
	// budget (see gapBudget). A small prompt may be prefilled in place no matter which streams run at the target.
	smallPromptShare = 1.0 / 8
	// minHandoffShare is the shortest prefill time for which a handoff is worthwhile, as a fraction
	// of the time of the handoff. As a prefill in place takes twice as long as a separate one, a
	// handoff saves about the time of the separate prefill.
	minHandoffShare = 0.5
	// streamDelayCost is the cost of each stream that a prefill in place delays, as a fraction of
	// the prefill time.
	streamDelayCost = 0.05
	// firstStreamCost is the cost of the first stream at a target, as a fraction of the gap budget:
	// once the target runs a stream, it can prefill other prompts less freely.
	firstStreamCost = 0.35
)

// estimates holds what is known of the timing of the engines of one service, and what the request
// being placed needs from them. Placer.mu must be held while its methods are called.
type estimates struct {
	*profile.Profile
	spec *fleet.EngineSpec
	off  Off
	// maxStep is the longest decode step at which the service's longest answers end in time, or 0
	// if no such answers are known.
	maxStep time.Duration
	// fastest is the least slowdown of the decode steps of the service's targets.
	fastest float64
	// batch is what the request being placed needs from the batch that it joins.
	batch batchNeeds
}

// estimatesFor returns the estimates for the service of the targets, without the needs of a
// request. The caller holds p.mu.
func (p *Placer) estimatesFor(targets []*fleet.Target, spec *fleet.EngineSpec) estimates {
	service := ""
	if len(targets) > 0 {
		service = targets[0].Service
	}
	limit := p.stepLimitOf(service)
	return estimates{Profile: p.profile(service), spec: spec, off: p.cfg.Off, maxStep: limit.step, fastest: limit.fastest}
}

// gapBudget returns for how long prompts may be prefilled between two events of a stream: the
// maximum gap, which is the shortest of all routes of the service, less the usual time between
// events.
func (e estimates) gapBudget() time.Duration {
	if e.spec.MaxGap <= 0 {
		return math.MaxInt64
	}
	return max(e.spec.MaxGap-e.EventInterval(), 0)
}

// longStreams returns the number of streams that q counts as: 1 if its answer takes longer than the
// maximum gap between events, and 0 otherwise. A prefill in place is unlikely to interrupt a
// shorter answer.
func (e estimates) longStreams(q *Prompt) int {
	if e.spec.MaxGap > 0 && time.Duration(q.Output)*e.TokenTime() > e.spec.MaxGap {
		return 1
	}
	return 0
}

// candidate is one way to prefill a prompt, with its estimated times and cost.
type candidate struct {
	target *fleet.Target
	// work is the work in progress that the request would add at the target.
	work Work
	// cached is the number of the prompt's tokens that the target has cached.
	cached int
	// prefillWait is the time of the prefills that the target has pending before this one.
	prefillWait time.Duration
	// running is the number of requests that the target runs already.
	running int
	// expected is the time until the answer begins. It includes prefillWait, ownPrefill, seatWait
	// and overhead.
	expected time.Duration
	// ownPrefill is the time of the prefill of this prompt.
	ownPrefill time.Duration
	// seatWait is the time that the request waits for a seat.
	seatWait time.Duration
	// overhead is the time that the request takes at the target besides waiting and prefilling.
	overhead time.Duration
	// cost is what candidates are compared by.
	cost time.Duration
}

// evaluate estimates the times and the cost of prefilling the prompt of req at t. It returns false
// if t must not prefill the prompt. The caller holds p.mu.
func (p *Placer) evaluate(t *fleet.Target, req prefillRequest) (candidate, bool) {
	s, load, est, q := p.stateOf(t), p.totalWork(t.RunID()), req.est, req.prompt
	c := candidate{target: t, work: Work{Prefills: 1, Tokens: q.Tokens}, prefillWait: load.prefillWait(), running: load.Running, overhead: est.OverheadTime()}
	if !est.off.Cache {
		c.cached = s.cache.cachedTokens(q, cacheShare*float64(est.spec.KVTokens-load.Tokens))
	}
	var extra seat
	var ok bool
	if t.Stage == fleet.Prefill {
		extra, ok = p.evaluateSeparate(&c, req)
	} else {
		extra, ok = c.evaluateInPlace(t, s, load, req)
	}
	if !ok {
		return candidate{}, false
	}
	c.ownPrefill = time.Duration(float64(c.work.Prefill) * s.prefillSlowdown)
	prefill := time.Duration(float64(c.prefillWait+c.work.Prefill) * s.prefillSlowdown)
	c.seatWait = extra.wait
	if t.Stage == fleet.Prefill {
		c.seatWait = req.decodeSeat.wait
	}
	c.expected = prefill + c.overhead + extra.wait + p.remotePenalty(t)
	cost := prefill + time.Duration(est.workCost()*float64(c.work.Prefill)) + extra.cost + p.remotePenalty(t)
	c.cost = time.Duration(float64(cost)*s.expectedTries(req.now)) + p.healthPenalty(s, req.now)
	return c, true
}

// evaluateSeparate estimates a prefill at a prefill engine and the handoff to a decode engine. It
// sets the prefill time in c.work and returns the seat at the decode engine, with the time of the
// handoff added to its wait and cost. It returns false if the handoff takes more time than it
// saves. The caller holds p.mu.
func (p *Placer) evaluateSeparate(c *candidate, req prefillRequest) (seat, bool) {
	est, q := req.est, req.prompt
	c.work.Prefill = est.PrefillTime(q.Tokens, c.cached)
	handoff := est.OverheadTime() + est.HandoffTime(q.Tokens) + p.linkTime(q)
	if c.work.Prefill < time.Duration(minHandoffShare*float64(handoff)) {
		return seat{}, false
	}
	return seat{wait: req.decodeSeat.wait + handoff, cost: req.decodeSeat.cost + handoff}, true
}

// evaluateInPlace estimates a prefill at the decode engine t, which then runs the request. load is
// the work in progress at t. It sets c.work and c.overhead and returns the seat at t, with the
// other costs of the prefill added to its cost. It returns false if the streams at t would be
// delayed for too long.
func (c *candidate) evaluateInPlace(t *fleet.Target, s *state, load Work, req prefillRequest) (seat, bool) {
	est, q := req.est, req.prompt
	c.work.Prefill = est.InPlacePrefillTime(q.Tokens, c.cached)
	c.work.Running, c.work.Streams = 1, est.longStreams(q)
	c.work.Tokens += q.Output / 2
	if req.keepMaxGap && !(est.keepsMaxGap(load, c.work.Prefill) && est.leavesStepTime(s, load, c.work.Prefill, req.now)) {
		return seat{}, false
	}
	c.overhead += est.HandoffTime(0)
	extra := est.seatAt(t, s, load, req.now)
	extra.cost += est.HandoffTime(0) + est.interferenceCost(load, c.work)
	return extra, true
}

// workCost returns the weight of the time that a prefill occupies its target.
func (e estimates) workCost() float64 {
	if e.off.Stay {
		return 1
	}
	return prefillWorkCost
}

// keepsMaxGap reports whether a decode target whose work is load can prefill one more prompt
// without exceeding the maximum gap of its streams. prefill is the time for the prompt. The target
// prefills a prompt in chunks, each between two decode steps.
func (e estimates) keepsMaxGap(load Work, prefill time.Duration) bool {
	budget := e.gapBudget()
	return load.Streams == 0 || load.Prefill+prefill <= budget || prefill <= time.Duration(smallPromptShare*float64(budget))
}

// interferenceCost returns the cost of running streams and prefills in place at the same target.
// load is the work at the target, and added the work of the request. Because of this cost, streams
// gather at a few targets, and prompts are prefilled at the others.
func (e estimates) interferenceCost(load, added Work) time.Duration {
	budget := e.gapBudget()
	small := added.Prefill <= time.Duration(smallPromptShare*float64(budget))
	var cost time.Duration
	if !small {
		cost += time.Duration(streamDelayCost * float64(load.Streams) * float64(added.Prefill))
	}
	if added.Streams == 0 && !small {
		return cost
	}
	cost += load.Prefill
	if load.Streams == 0 && e.spec.MaxGap > 0 {
		cost += time.Duration(firstStreamCost * float64(budget))
	}
	return cost
}

// fillShare returns the fraction of a decode target that the running requests fill: of its seats or
// of its KV cache, whichever is larger. It exceeds 1 if the target is overloaded.
func (e estimates) fillShare(t *fleet.Target, s *state, load Work) float64 {
	seats := float64(load.Running) / float64(e.seatCountForLongest(t, s))
	memory := float64(load.Tokens) / float64(max(e.spec.KVTokens, 1))
	return max(seats, memory)
}
