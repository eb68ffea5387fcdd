package place

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

const (
	// prefillWorkCost weighs the time that a prefill occupies the target against the time that the
	// request waits. While prompts queue, a prefill delays several later ones, so that a session
	// goes back to the target that has it cached even if others wait there.
	prefillWorkCost = 4.0
	// cacheShare is the part of a target's free KV cache that is assumed to hold prompt parts.
	cacheShare = 0.9
	// spareSlots is the number of slots of each decode target that are kept for the short decode
	// phases of prompts prefilled elsewhere.
	spareSlots = 4
	// smallPromptShare is the part of the gap budget up to which a prompt may be prefilled
	// anywhere.
	smallPromptShare = 1.0 / 8
	// minHandOffShare is the part of the hand-off time that a prefill must take for the hand-off to
	// be worthwhile. In place the prefill takes twice as long, which is what the hand-off saves.
	minHandOffShare = 0.5
	// streamDelayCost is the cost of delaying one stream by a prefill beside it, as a part of the
	// prefill time.
	streamDelayCost = 0.05
	// firstStreamCost is the cost of the first stream at a target, as a part of the gap budget:
	// from then on the target can prefill other prompts less freely.
	firstStreamCost = 0.35
)

// engineModel estimates the timing of the engines of one service for the placement of a request.
type engineModel struct {
	*profile.Profile
	spec *fleet.EngineSpec
	off  Off
	// maxStep is the longest decode step at which the service's longest answers end in time, or 0
	// if none are known yet.
	maxStep time.Duration
	// batch is what the request being placed needs from the batch that it joins.
	batch batchNeeds
}

// engineModel returns the model for the service of the targets. The caller holds p.mu.
func (p *Placer) engineModel(targets []*fleet.Target, spec *fleet.EngineSpec) engineModel {
	service := ""
	if len(targets) > 0 {
		service = targets[0].Service
	}
	return engineModel{Profile: p.profile(service), spec: spec, off: p.cfg.Off, maxStep: p.stepLimit(service).step}
}

// gapBudget returns the time that prompts may be prefilled between two events of a stream: what the
// shortest maximum gap of any route leaves beside the stream's own steps.
func (e engineModel) gapBudget() time.Duration {
	if e.spec.MaxGap <= 0 {
		return math.MaxInt64
	}
	return max(e.spec.MaxGap-e.EventInterval(), 0)
}

// longStreams returns 1 if the answer to q lasts longer than the maximum gap between events, and
// else 0. A shorter answer is unlikely to be interrupted by a prefill beside it.
func (e engineModel) longStreams(q *Prompt) int {
	if e.spec.MaxGap > 0 && time.Duration(q.Output)*e.TokenTime() > e.spec.MaxGap {
		return 1
	}
	return 0
}

// candidate is one way to prefill a prompt, with its estimated times and cost.
type candidate struct {
	target *fleet.Target
	work   Work
	// cached is the number of the prompt's tokens that the target has cached.
	cached int
	// prefillWait is the time of the prefills that the target has pending before this one.
	prefillWait time.Duration
	// running is the number of requests that the target runs.
	running int
	// expected is the time until the answer begins. It includes ownPrefill, the prefill of this
	// prompt, seatWait, the wait for a seat, and overhead, what the target takes besides
	// prefilling.
	expected   time.Duration
	ownPrefill time.Duration
	seatWait   time.Duration
	overhead   time.Duration
	cost       time.Duration
}

// evaluate estimates the times and the cost of prefilling the prompt of req at t. It returns false
// if t must not prefill it. The caller holds p.mu.
func (p *Placer) evaluate(t *fleet.Target, req prefillRequest) (candidate, bool) {
	s, load, model, q := p.stateOf(t), p.totalWork(t.RunID()), req.model, req.prompt
	c := candidate{target: t, work: Work{Prefills: 1, Tokens: q.Tokens}, prefillWait: load.prefillWait(), running: load.Running, overhead: model.OverheadTime()}
	if !model.off.Cache {
		c.cached = s.cache.cachedTokens(q, cacheShare*float64(model.spec.KVTokens-load.Tokens))
	}
	var extra seat
	var ok bool
	if t.Stage == fleet.Prefill {
		extra, ok = p.evaluatePrefill(&c, req)
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
	cost := prefill + time.Duration(model.workCost()*float64(c.work.Prefill)) + extra.cost + p.remotePenalty(t)
	c.cost = time.Duration(float64(cost)*s.expectedTries(req.now)) + p.healthPenalty(s, req.now)
	return c, true
}

// evaluatePrefill estimates a prefill at a prefill engine and the hand-off to a decode engine. It
// returns false if the hand-off takes more time than it saves. The caller holds p.mu.
func (p *Placer) evaluatePrefill(c *candidate, req prefillRequest) (seat, bool) {
	model, q := req.model, req.prompt
	c.work.Prefill = model.PrefillTime(q.Tokens, c.cached)
	handOff := model.OverheadTime() + model.HandoffTime(q.Tokens) + p.linkTime(q)
	if c.work.Prefill < time.Duration(minHandOffShare*float64(handOff)) {
		return seat{}, false
	}
	return seat{wait: req.decodeSeat.wait + handOff, cost: req.decodeSeat.cost + handOff}, true
}

// evaluateInPlace estimates a prefill at the decode engine that then runs the request. It returns
// false if streams there would be delayed too long.
func (c *candidate) evaluateInPlace(t *fleet.Target, s *state, load Work, req prefillRequest) (seat, bool) {
	model, q := req.model, req.prompt
	c.work.Prefill = model.InPlacePrefillTime(q.Tokens, c.cached)
	c.work.Running, c.work.Streams = 1, model.longStreams(q)
	c.work.Tokens += q.Output / 2
	if req.keepMaxGap && !(model.keepsMaxGap(load, c.work.Prefill) && model.leavesStepTime(s, load, c.work.Prefill, req.now)) {
		return seat{}, false
	}
	c.overhead += model.HandoffTime(0)
	extra := model.seat(t, s, load, req.now)
	extra.cost += model.HandoffTime(0) + model.interferenceCost(load, c.work)
	return extra, true
}

// workCost returns the weight of a prefill's work.
func (e engineModel) workCost() float64 {
	if e.off.Stay {
		return 1
	}
	return prefillWorkCost
}

// keepsMaxGap reports whether a decode target can prefill a prompt that takes this long beside its
// streams without exceeding their maximum gap. Each chunk of a prompt is processed between two of
// their tokens.
func (e engineModel) keepsMaxGap(load Work, prefill time.Duration) bool {
	budget := e.gapBudget()
	return load.Streams == 0 || load.Prefill+prefill <= budget || prefill <= time.Duration(smallPromptShare*float64(budget))
}

// interferenceCost returns the cost that keeps streams and prefills in place apart: streams gather
// at a few targets, and prompts go to the others.
func (e engineModel) interferenceCost(load, added Work) time.Duration {
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

// fillShare returns how far the running requests fill a decode target, by seats or by memory. It
// exceeds 1 if the target is overloaded.
func (e engineModel) fillShare(t *fleet.Target, s *state, load Work) float64 {
	seats := float64(load.Running) / float64(e.seatsForLongest(t, s))
	memory := float64(load.Tokens) / float64(max(e.spec.KVTokens, 1))
	return max(seats, memory)
}
