package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// need is the longest step at which the longest answers of a service, as far as they can end
// in time at all, still do.
type need struct {
	step time.Duration
	at   time.Time
}

const (
	// streamShare is the part of its time limit that the longest answer may take by
	// reckoning; the rest is for what the reckoning misses: steps are known to some in 100, and
	// later requests join the batch.
	streamShare = 0.9
	// batchShare is the price of joining a batch whose slots are all taken, as a
	// part of the time that a run keeps its slot.
	batchShare = 0.04
	// leaveShare is the price of the last seat at a target that is fast enough for the longest
	// answers, to answers that end in time elsewhere too, as a part of the time that a run keeps
	// its seat.
	leaveShare = 0.3
	// seatsShare is the part of the slots that are filled whatever is reckoned for the longest
	// answers: few are that long, all others would be turned away for them, and what a VM has
	// learned since its start may be wrong.
	seatsShare = 0.4
)

// readingMemory is the time over which reading beside streams is levelled: about as long as
// the longest answers take, so that a burst of prompts need not be turned away.
const readingMemory = 10 * time.Second

// needMemory is how long a need counts: about as long as the longest answers take.
const needMemory = 15 * time.Second

// take takes in the step that an answer needs.
func (n *need) take(step time.Duration, now time.Time) {
	if have := n.current(now); have == 0 || step <= have {
		n.step, n.at = step, now
	}
}

// current returns the step needed as of now, or 0 where no long answer came of late.
func (n *need) current(now time.Time) time.Duration {
	if now.Sub(n.at) > needMemory {
		return 0
	}
	return n.step
}

// need is that of a service; the caller holds p.mu.
func (p *Placer) need(service string) *need {
	n := p.needs[service]
	if n == nil {
		n = &need{}
		p.needs[service] = n
	}
	return n
}

// batch is what a request asks of the batch that it joins.
type batch struct {
	// stream says that the answer is a stream, whose steps others make longer.
	stream bool
	// step is the longest step at which its longest answer ends within limit; 0 where no
	// target is fast enough for it.
	step  time.Duration
	limit time.Duration
	// queue is how many requests have waited longer for a seat at each target that runs the
	// longest answers.
	queue float64
}

// setBatch sets what q asks of its batch at the targets; the caller holds p.mu.
func (p *Placer) setBatch(e *engines, targets []*fleet.Target, q *Prompt, now time.Time) {
	if e.streams(q) == 0 || q.Limit <= 0 || len(targets) == 0 {
		return
	}
	e.batch = batch{stream: true, limit: time.Duration(streamShare * float64(q.Limit))}
	longest := max(e.longest(q), 1)
	step := e.batch.limit / time.Duration(longest)
	if !p.anyWithin(*e, targets, step) {
		return
	}
	e.batch.step = step
	// Those that come back have less time left; engines are kept free for first tries.
	n := p.need(targets[0].Service)
	n.take(time.Duration(streamShare*float64(max(q.FullLimit, q.Limit)))/time.Duration(longest), now)
	e.long = n.current(now)
	if !q.Deferred {
		e.batch.queue = p.seatQueue(*e, targets[0].Service, targets)
	}
}

// anyWithin reports whether a decode target makes steps no longer than step for a request
// that runs alone; the caller holds p.mu.
func (p *Placer) anyWithin(e engines, targets []*fleet.Target, step time.Duration) bool {
	for _, t := range targets {
		if t.Stage != fleet.Prefill && !t.Leaving && e.within(p.at(t), step) >= 1 {
			return true
		}
	}
	return false
}

// longest is the tokens that q's answer may well have.
func (e engines) longest(q *Prompt) int {
	return min(int(e.Stretch()*float64(q.Output)), q.MaxOutput)
}

// within is how many requests may run at a target for its steps to take no longer than step.
// It is below 1 where the target is too slow.
func (e engines) within(s *state, step time.Duration) float64 {
	return e.MaxBeside(time.Duration(float64(step)/s.pace)) + 1
}

// openSlots is how many requests may run at t.
func openSlots(t *fleet.Target) int { return max(t.Slots-spareSlots, 1) }

// seats is how many requests may run at t beside the one that is placed.
func (e engines) seats(t *fleet.Target, s *state) int {
	if !e.batch.stream {
		return openSlots(t)
	}
	return e.longSeats(t, s)
}

// longSeats is how many requests may run at t for the longest answers of the service to end in
// time there, where any do.
func (e engines) longSeats(t *fleet.Target, s *state) int {
	open := float64(openSlots(t))
	if !e.servesLongest(s) {
		return int(open)
	}
	return int(min(max(e.within(s, e.long), seatsShare*open, 1), open))
}

// servesLongest reports whether a target is fast enough for the longest answers to be placed
// there. One that is not is not kept free for them.
func (e engines) servesLongest(s *state) bool { return e.long > 0 && e.within(s, e.long) >= 1 }

// leavesTime reports whether a prompt may be read beside the streams of a decode target: in
// the part of its time that the steps of the longest answers leave. Where only single pauses
// were bounded, a burst of prompts made all steps longer for as long as it lasted.
func (e engines) leavesTime(s *state, load Work, prefill time.Duration, now time.Time) bool {
	if load.Streams == 0 || !e.servesLongest(s) || prefill <= time.Duration(trifle*float64(e.pauseBudget())) {
		return true
	}
	steps := float64(e.StepTime(load.Running)) * s.pace / float64(e.long)
	return s.reading.share(now)+float64(prefill)/float64(readingMemory) <= 1-steps
}

// seat is what joining a decode target's batch costs.
type seat struct {
	wait  time.Duration
	price time.Duration
}

// seat reckons the seat of the request at t.
func (e engines) seat(t *fleet.Target, s *state, load Work, now time.Time) seat {
	seats := e.seats(t, s)
	run := float64(e.RunTime())
	used := float64(load.Running) / float64(seats)
	st := seat{price: time.Duration(used*used*batchShare*run) + e.overrun(s, load, now)}
	if e.batch.step > e.long && seats < openSlots(t) {
		spare := 1 - float64(e.long)/float64(e.batch.step)
		st.price += time.Duration(spare * used * used * leaveShare * run)
	}
	taken := float64(load.Running)
	if e.servesLongest(s) {
		taken += e.batch.queue
	}
	if over := taken - float64(seats); over >= 0 {
		st.wait = time.Duration((over + 1) * run / float64(seats))
		st.price += st.wait
	}
	return st
}

// overrun is the time by which the longest answer that has to end at a target would miss its
// limit: the request's own, so that long answers go where they end in time, and at targets
// that are fast enough for the longest ones theirs, so that shorter ones leave them the seats
// and fill the slower targets first.
//
// Load pattern: streams of all lengths on engines that differ in speed, in a burst. Dealt alike
// to all, long answers are lost at the slower engines, and at the faster ones too, as short
// answers fill their batches.
func (e engines) overrun(s *state, load Work, now time.Time) time.Duration {
	allowed := e.batch.step
	if e.servesLongest(s) && (allowed == 0 || e.long < allowed) {
		allowed = e.long
	}
	if allowed == 0 {
		return 0
	}
	step := float64(e.StepTime(load.Running)) * s.pace / (1 - min(s.reading.share(now), mostReading))
	return time.Duration(max(step/float64(allowed)-1, 0) * float64(e.batch.limit))
}

// mostReading bounds the part of its time that a target is taken to read prompts for.
const mostReading = 0.8

// seatOf states what a run beside others is reckoned with.
func (e engines) seatOf(s *state, beside int, q *Prompt) Seat {
	step := float64(e.StepTime(beside)) * s.pace
	return Seat{Beside: beside, Longest: time.Duration(step * float64(e.longest(q)))}
}
