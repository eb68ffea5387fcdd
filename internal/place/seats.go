package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// stepLimit is the longest decode step at which the longest answers of a service still end in
// time. Answers for which no target is fast enough do not count.
type stepLimit struct {
	// step is the limit, and at when it was last observed.
	step time.Duration
	at   time.Time
	// fastest is the least slowdown of the decode steps of the service's targets.
	fastest float64
}

const (
	// answerTimeShare limits the estimated time of the longest answer, as a fraction of the
	// request's time limit. The rest allows for errors: step times are known to within a few
	// percent, and later requests join the batch. An answer that needs more than this even if it runs
	// alone still limits the prefills in place, as long as it ends within the whole limit there.
	answerTimeShare = 0.9
	// fullBatchCost is the cost of joining a batch whose seats are all taken, as a fraction of the
	// time that a request keeps its seat.
	fullBatchCost = 0.04
	// lastSeatCost is the additional cost of the last seat at a target that is fast enough for the
	// longest answers, for an answer that would end in time at slower targets too. It is a fraction
	// of the time that a request keeps its seat.
	lastSeatCost = 0.3
	// minSeatsShare is the smallest number of seats at a target, as a fraction of its usable slots.
	// A seat is a place for one request in the target's batch. The minimum holds even if the
	// longest answers do not end in time in a batch of that size. Only few answers are that long,
	// and all others would be turned away for them. Besides, what a VM has learned since its start
	// may be wrong.
	minSeatsShare = 0.4
)

// inPlaceDecay is the time constant of the average rate at which a target is given prompts to
// prefill in place. It is about as long as the longest answers take, so that a burst of prompts
// need not be turned away.
const inPlaceDecay = 10 * time.Second

// stepLimitTTL is how long a step limit holds after it was last observed: about as long as the
// longest answers take.
const stepLimitTTL = 15 * time.Second

// observe records the longest decode step at which an answer ends in time. This step becomes the
// limit unless a shorter limit has not expired yet.
func (l *stepLimit) observe(step time.Duration, now time.Time) {
	if have := l.current(now); have == 0 || step <= have {
		l.step, l.at = step, now
	}
}

// current returns the limit, or 0 if it was last observed more than stepLimitTTL ago.
func (l *stepLimit) current(now time.Time) time.Duration {
	if now.Sub(l.at) > stepLimitTTL {
		return 0
	}
	return l.step
}

// stepLimitOf returns the step limit of a service. The caller holds p.mu.
func (p *Placer) stepLimitOf(service string) *stepLimit {
	l := p.stepLimits[service]
	if l == nil {
		l = &stepLimit{}
		p.stepLimits[service] = l
	}
	return l
}

// batchNeeds holds what a request needs from the batch that it joins. It is zero for a request that
// is not a stream or has no time limit.
type batchNeeds struct {
	// stream is set if the request is a stream with a time limit.
	stream bool
	// maxStep is the longest decode step at which the longest answer that the request may have ends
	// within timeLimit, or 0 if no target is fast enough for that.
	maxStep   time.Duration
	timeLimit time.Duration
	// queuedAhead is the number of requests that have waited longer for a seat, per target that is
	// fast enough for the longest answers.
	queuedAhead float64
}

// setBatchNeeds sets est.batch to what q needs from its batch, and est.maxStep to the step limit of
// the service. It changes nothing if q is not a stream or has no time limit. The caller holds p.mu.
func (p *Placer) setBatchNeeds(est *estimates, targets []*fleet.Target, q *Prompt, now time.Time) {
	if est.longStreams(q) == 0 || q.Limit <= 0 || len(targets) == 0 {
		return
	}
	est.batch = batchNeeds{stream: true, timeLimit: time.Duration(answerTimeShare * float64(q.Limit))}
	longest := max(est.longestAnswer(q), 1)
	step := est.batch.timeLimit / time.Duration(longest)
	if !p.anyFastEnough(*est, targets, wholeLimit(step)) {
		return
	}
	est.batch.maxStep = step
	// A caller that comes back has less time left than at its first try. The step limit of the
	// service is that of first tries.
	limit := p.stepLimitOf(targets[0].Service)
	limit.observe(time.Duration(answerTimeShare*float64(max(q.InitialLimit, q.Limit)))/time.Duration(longest), now)
	est.maxStep = limit.current(now)
	limit.fastest = p.leastSlowdown(p.sampleDecodeTargets(targets))
	est.fastest = limit.fastest
	if !q.Deferred {
		est.batch.queuedAhead = p.queuedPerTarget(*est, targets[0].Service, targets)
	}
}

// wholeLimit returns the longest step at which an answer ends within its time limit if it ends within
// answerTimeShare of that limit at the given step.
func wholeLimit(step time.Duration) time.Duration {
	return time.Duration(float64(step) / answerTimeShare)
}

// anyFastEnough reports whether any decode target takes at most step for each decode step of a
// request that runs there alone. The caller holds p.mu.
func (p *Placer) anyFastEnough(est estimates, targets []*fleet.Target, step time.Duration) bool {
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && est.maxBatch(p.stateOf(t), step) >= 1 {
			return true
		}
	}
	return false
}

// longestAnswer returns the number of tokens that the answer to q is expected not to exceed: the
// length that its caller expects times LengthRatio, or the maximum length if that is less.
func (e estimates) longestAnswer(q *Prompt) int {
	return min(int(e.LengthRatio()*float64(q.Output)), q.MaxOutput)
}

// maxBatch returns how many requests may run at a target for its decode steps to take no longer
// than step. The result is below 1 if the target is too slow even for one.
func (e estimates) maxBatch(s *state, step time.Duration) float64 {
	return e.MaxConcurrent(time.Duration(float64(step)/s.stepSlowdown)) + 1
}

// usableSlots returns the number of slots of t minus spareSlots, at least 1.
func usableSlots(t *fleet.Target) int { return max(t.Slots-spareSlots, 1) }

// seatCount returns the number of seats at t for the request being placed, which is the size of the
// largest batch that the request should run in. If the request is not a stream, all usable slots
// are seats.
func (e estimates) seatCount(t *fleet.Target, s *state) int {
	if !e.batch.stream {
		return usableSlots(t)
	}
	return e.seatCountForLongest(t, s)
}

// seatCountForLongest returns how many requests may run at t for the service's longest answers to
// end in time there, but no fewer than minSeatsShare of the usable slots. A target that is too slow
// for the longest answers may use all usable slots.
func (e estimates) seatCountForLongest(t *fleet.Target, s *state) int {
	open := float64(usableSlots(t))
	if !e.fastEnough(s) {
		return int(open)
	}
	return int(min(max(e.maxBatch(s, e.maxStep), minSeatsShare*open, 1), open))
}

// fastEnough reports whether a target is fast enough for the longest answers of the service if they
// run there alone. Only such targets limit their seats for the sake of these answers.
func (e estimates) fastEnough(s *state) bool { return e.maxStep > 0 && e.maxBatch(s, e.maxStep) >= 1 }

// canEndLongest reports whether the longest answers of the service can end in time at a target: if it
// is fast enough, or if it is nearly as fast as the fastest target and they end within their whole
// time limit when they run there alone. The latter have no time to lose to prefills in place.
func (e estimates) canEndLongest(s *state) bool {
	if e.maxStep <= 0 || e.fastEnough(s) {
		return e.maxStep > 0
	}
	return s.stepSlowdown <= e.fastest/answerTimeShare && e.maxBatch(s, wholeLimit(e.maxStep)) >= 1
}

// leastSlowdown returns the least slowdown of the decode steps of the targets, or 0 if none decodes.
// The caller holds p.mu.
func (p *Placer) leastSlowdown(targets []*fleet.Target) float64 {
	least := 0.0
	for _, t := range targets {
		if s := p.stateOf(t); t.Stage != fleet.Prefill && !t.Leaving && (least == 0 || s.stepSlowdown < least) {
			least = s.stepSlowdown
		}
	}
	return least
}

// leavesStepTime reports whether a decode target that runs streams may prefill a prompt in place:
// all such prefills must fit into the fraction of the target's time that the steps of the longest
// answers do not need. Limiting each single gap was not enough, because a burst of prompts made all
// steps longer for as long as the burst lasted. Small prompts (see smallPromptShare) and targets
// at which the longest answers cannot end in time are exempt. load is the work at the target, and
// prefill the time for the prompt.
func (e estimates) leavesStepTime(s *state, load Work, prefill time.Duration, now time.Time) bool {
	if load.Streams == 0 || !e.canEndLongest(s) || prefill <= time.Duration(smallPromptShare*float64(e.gapBudget())) {
		return true
	}
	stepShare := float64(e.StepTime(load.Running)) * s.stepSlowdown / float64(e.maxStep)
	return s.inPlacePrefills.share(now)+float64(prefill)/float64(inPlaceDecay) <= 1-stepShare
}

// seat is the estimate for a place in a decode target's batch.
type seat struct {
	// wait is the time until the place is free.
	wait time.Duration
	// cost is the cost of taking the place, which includes wait.
	cost time.Duration
}

// seatAt estimates the seat of the request being placed at t, whose work in progress is load.
func (e estimates) seatAt(t *fleet.Target, s *state, load Work, now time.Time) seat {
	seats := e.seatCount(t, s)
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

// overrun returns by how much a long answer would exceed its time limit at a target whose work in
// progress is load. In general it considers the longest answer that the request itself may have, so
// that long answers go where they end in time. At targets that are fast enough for the service's
// longest answers it considers these instead, so that requests with shorter answers leave the seats
// there to them and fill the slower targets first.
//
// Load pattern: a burst of streams of all lengths on engines that differ in speed. If the streams
// are distributed equally, long answers are lost at the slower engines, and at the faster ones too,
// because short answers fill their batches.
func (e estimates) overrun(s *state, load Work, now time.Time) time.Duration {
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

// maxInPlaceShare is the largest fraction of its time that a target is assumed to spend on prefills
// in place.
const maxInPlaceShare = 0.8

// seatEstimate returns the estimate for the request q if it runs at a target concurrently with the
// given number of others.
func (e estimates) seatEstimate(s *state, others int, q *Prompt) Seat {
	step := float64(e.StepTime(others)) * s.stepSlowdown
	return Seat{
		Running: others, LongestAnswer: time.Duration(step * float64(e.longestAnswer(q))),
		EventTokens: e.EventTokens(), StepSamples: e.StepSamples(),
	}
}
