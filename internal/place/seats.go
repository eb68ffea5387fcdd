package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// stepLimit is the longest decode step at which the longest answers of a service still end in time.
// Answers that no target is fast enough for do not count.
type stepLimit struct {
	// step is the limit, and at when it was last observed.
	step time.Duration
	at   time.Time
}

const (
	// answerTimeShare is the part of its time limit that the longest answer may take by estimate.
	// The rest allows for errors: step times are known to within a few percent, and later requests
	// join the batch.
	answerTimeShare = 0.9
	// fullBatchCost is the cost of joining a batch whose slots are all taken, as a part of the time
	// that a request keeps its slot.
	fullBatchCost = 0.04
	// lastSeatCost is the cost of the last seat at a target that is fast enough for the longest
	// answers, for an answer that would end in time elsewhere too. It is a part of the time that a
	// request keeps its seat.
	lastSeatCost = 0.3
	// minSeatsShare is the part of the slots that may be filled whatever the estimate for the
	// longest answers is. Only few answers are that long and all others would be turned away for
	// them, and what a VM has learned since its start may be wrong.
	minSeatsShare = 0.4
)

// inPlaceDecay is the time constant of the rate of prompts that are prefilled beside running
// streams. It is about as long as the longest answers take, so that a burst of prompts need not be
// turned away.
const inPlaceDecay = 10 * time.Second

// stepLimitTTL is how long an observed step limit counts: about as long as the longest answers
// take.
const stepLimitTTL = 15 * time.Second

// observe records the decode step that an answer needs. A shorter step replaces a longer one.
func (l *stepLimit) observe(step time.Duration, now time.Time) {
	if have := l.current(now); have == 0 || step <= have {
		l.step, l.at = step, now
	}
}

// current returns the step limit as of now, or 0 if no long answer was seen recently.
func (l *stepLimit) current(now time.Time) time.Duration {
	if now.Sub(l.at) > stepLimitTTL {
		return 0
	}
	return l.step
}

// stepLimit returns the step limit of a service. The caller holds p.mu.
func (p *Placer) stepLimit(service string) *stepLimit {
	l := p.stepLimits[service]
	if l == nil {
		l = &stepLimit{}
		p.stepLimits[service] = l
	}
	return l
}

// batchNeeds is what a request needs from the batch that it joins.
type batchNeeds struct {
	// stream is set if the answer is a long stream, whose steps become longer with the batch.
	stream bool
	// maxStep is the longest step at which the longest answer that the request may have ends within
	// timeLimit, or 0 if no target is fast enough for that.
	maxStep   time.Duration
	timeLimit time.Duration
	// queuedAhead is how many requests wait longer for a seat at each target that is fast enough
	// for the longest answers.
	queuedAhead float64
}

// setBatchNeeds sets in model what q needs from its batch. The caller holds p.mu.
func (p *Placer) setBatchNeeds(model *engineModel, targets []*fleet.Target, q *Prompt, now time.Time) {
	if model.longStreams(q) == 0 || q.Limit <= 0 || len(targets) == 0 {
		return
	}
	model.batch = batchNeeds{stream: true, timeLimit: time.Duration(answerTimeShare * float64(q.Limit))}
	longest := max(model.longestAnswer(q), 1)
	step := model.batch.timeLimit / time.Duration(longest)
	if !p.anyFastEnough(*model, targets, step) {
		return
	}
	model.batch.maxStep = step
	// Callers that come back have less time left. Seats are reserved for the time limit of first
	// tries.
	limit := p.stepLimit(targets[0].Service)
	limit.observe(time.Duration(answerTimeShare*float64(max(q.InitialLimit, q.Limit)))/time.Duration(longest), now)
	model.maxStep = limit.current(now)
	if !q.Deferred {
		model.batch.queuedAhead = p.queuedPerTarget(*model, targets[0].Service, targets)
	}
}

// anyFastEnough reports whether any decode target takes at most step for a decode step of a request
// that runs alone. The caller holds p.mu.
func (p *Placer) anyFastEnough(model engineModel, targets []*fleet.Target, step time.Duration) bool {
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && model.maxBatch(p.stateOf(t), step) >= 1 {
			return true
		}
	}
	return false
}

// longestAnswer returns the number of tokens that the answer to q may well reach.
func (e engineModel) longestAnswer(q *Prompt) int {
	return min(int(e.LengthRatio()*float64(q.Output)), q.MaxOutput)
}

// maxBatch returns how many requests may run at a target for its steps to take no longer than step.
// The result is below 1 if the target is too slow.
func (e engineModel) maxBatch(s *state, step time.Duration) float64 {
	return e.MaxConcurrent(time.Duration(float64(step)/s.stepSlowdown)) + 1
}

// usableSlots returns how many requests may run at t, less the spare slots.
func usableSlots(t *fleet.Target) int { return max(t.Slots-spareSlots, 1) }

// seats returns how many requests may run at t before the request waits for a seat.
func (e engineModel) seats(t *fleet.Target, s *state) int {
	if !e.batch.stream {
		return usableSlots(t)
	}
	return e.seatsForLongest(t, s)
}

// seatsForLongest returns how many requests may run at t for the service's longest answers to end
// in time there. A target that is too slow for them can use all its slots.
func (e engineModel) seatsForLongest(t *fleet.Target, s *state) int {
	open := float64(usableSlots(t))
	if !e.fastEnough(s) {
		return int(open)
	}
	return int(min(max(e.maxBatch(s, e.maxStep), minSeatsShare*open, 1), open))
}

// fastEnough reports whether a target is fast enough for the longest answers of the service. Seats
// are reserved for them only at such targets.
func (e engineModel) fastEnough(s *state) bool { return e.maxStep > 0 && e.maxBatch(s, e.maxStep) >= 1 }

// leavesStepTime reports whether a decode target may prefill a prompt beside its streams: within
// the part of its time that the steps of the longest answers leave. When only the single gaps were
// limited, a burst of prompts made all steps longer for as long as it lasted.
func (e engineModel) leavesStepTime(s *state, load Work, prefill time.Duration, now time.Time) bool {
	if load.Streams == 0 || !e.fastEnough(s) || prefill <= time.Duration(smallPromptShare*float64(e.gapBudget())) {
		return true
	}
	stepShare := float64(e.StepTime(load.Running)) * s.stepSlowdown / float64(e.maxStep)
	return s.inPlacePrefills.share(now)+float64(prefill)/float64(inPlaceDecay) <= 1-stepShare
}

// seat is a place in a decode target's batch: the wait for it and the cost of taking it. A target has
// as many seats as slots that can be used, or fewer where its steps would become too long for the
// longest answers.
type seat struct {
	wait time.Duration
	cost time.Duration
}

// seat estimates the seat of the request at t, whose work in progress is load.
func (e engineModel) seat(t *fleet.Target, s *state, load Work, now time.Time) seat {
	seats := e.seats(t, s)
	run := float64(e.RunTime())
	usedShare := float64(load.Running) / float64(seats)
	st := seat{cost: time.Duration(usedShare*usedShare*fullBatchCost*run) + e.overrun(s, load, now)}
	if e.batch.maxStep > e.maxStep && seats < usableSlots(t) {
		spareShare := 1 - float64(e.maxStep)/float64(e.batch.maxStep)
		st.cost += time.Duration(spareShare * usedShare * usedShare * lastSeatCost * run)
	}
	occupied := float64(load.Running)
	if e.fastEnough(s) {
		occupied += e.batch.queuedAhead
	}
	if over := occupied - float64(seats); over >= 0 {
		st.wait = time.Duration((over + 1) * run / float64(seats))
		st.cost += st.wait
	}
	return st
}

// overrun returns by how much the longest answer that matters at a target would miss its time
// limit. That is the longest answer of the request itself, so that long answers go where they end
// in time. At targets that are fast enough for the service's longest answers it is one of those, so
// that shorter answers leave them the seats and fill the slower targets first.
//
// Load pattern: a burst of streams of all lengths on engines that differ in speed. If they are
// dealt equally to all, long answers are lost at the slower engines, and at the faster ones too,
// because short answers fill their batches.
func (e engineModel) overrun(s *state, load Work, now time.Time) time.Duration {
	maxStep := e.batch.maxStep
	if e.fastEnough(s) && (maxStep == 0 || e.maxStep < maxStep) {
		maxStep = e.maxStep
	}
	if maxStep == 0 {
		return 0
	}
	step := float64(e.StepTime(load.Running)) * s.stepSlowdown / (1 - min(s.inPlacePrefills.share(now), maxInPlaceShare))
	return time.Duration(max(step/float64(maxStep)-1, 0) * float64(e.batch.timeLimit))
}

// maxInPlaceShare bounds the part of its time that a target is assumed to spend on prefills in
// place.
const maxInPlaceShare = 0.8

// seatEstimate returns the estimate for a request that runs beside so many others.
func (e engineModel) seatEstimate(s *state, beside int, q *Prompt) Seat {
	step := float64(e.StepTime(beside)) * s.stepSlowdown
	return Seat{Running: beside, LongestAnswer: time.Duration(step * float64(e.longestAnswer(q)))}
}
