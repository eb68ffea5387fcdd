package place

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

// task states what a target does for a request.
type task int

const (
	// taskPrefill: the target prefills the prompt, and another target runs the request.
	taskPrefill task = iota + 1
	// taskPrefillInPlace: the target prefills the prompt and runs the request.
	taskPrefillInPlace
	// taskDecode: the target runs a request whose prompt another target has prefilled.
	taskDecode
	// taskPlain: the target is not a model engine and serves a plain request.
	taskPlain
)

// Ticket counts a request as work in progress at a target until End is called. Its methods may be
// called on a nil Ticket.
type Ticket struct {
	placer *Placer
	// id is the id of the target's run.
	id      string
	service string
	// work is the work in progress that the request still counts as at the target.
	work Work
	// task is 0 while the request waits in the queue of deferred requests.
	task task
	// prompt is nil for a deferred request and for a plain one.
	prompt *Prompt
	// cached is the estimated number of the prompt's tokens that the target had cached.
	cached int
	// prefillWait is the time of the prefills that were pending before the one of this request, and
	// overhead the time that the request takes besides all these prefills and its own.
	prefillWait time.Duration
	overhead    time.Duration
	// distance is the distance of the target's data centre (see Placer.distance), which is not part
	// of what the target takes.
	distance time.Duration
	// waitedForSeat is set if the target's batch was full when the target was chosen.
	waitedForSeat bool
	// span holds the events of the answer whose step time is being measured. stepsObserved is set
	// once the step time of one span was recorded.
	span          span
	stepsObserved bool
	// began is when the target was chosen. The times that the ticket measures start then.
	began time.Time
	// firstObserved is set once the time to the first event was recorded or, for taskPrefill, the
	// time to the handle of the prefilled prompt.
	firstObserved bool
	ended         bool
}

// setExpected sets the task, and the estimates by which the target was chosen.
func (t *Ticket) setExpected(c candidate, q *Prompt) {
	t.task, t.prompt, t.cached, t.prefillWait, t.overhead, t.span.running = taskPrefill, q, c.cached, c.prefillWait, c.overhead, c.running
	if c.work.Running > 0 {
		t.task = taskPrefillInPlace
	}
}

// Result is how a request at a target ended, as far as the target's health is concerned.
type Result int

// The possible results.
const (
	// Good: the target served the request.
	Good Result = iota + 1
	// Neutral: the result says nothing about the target, as when the caller left.
	Neutral
	// Refused: the target did not run the request. It was full, or its response says that the
	// request was not run.
	Refused
	// Bad: the target failed.
	Bad
	// Lost: the network lost the connection. This says nothing about how other VMs reach the target.
	Lost
	// Unreachable: no connection to the target could be opened.
	Unreachable
)

// Constants of the moving averages.
const (
	// failureWeight is the weight of the newest request in the average of the failures.
	failureWeight  = 0.1
	slowdownWeight = 0.1 // weight of the newest request in the average of the slowdowns
	refusalWeight  = 0.3 // weight of the newest request in the average of the refusals
	// minSlowdown and maxSlowdown bound a slowdown factor, and slowdownStep bounds the change of
	// its logarithm by one answer: a single long time may be due to a stall or an unknown queue
	// just as well as to a slow target. A target that is five times slower is recognized after
	// about 25 answers.
	minSlowdown  = 0.5  // lower bound of a slowdown factor
	maxSlowdown  = 20.0 // upper bound of a slowdown factor
	slowdownStep = 0.07 // maximum change of the logarithm of a factor by one answer
)

// The delay before an unreachable target is tried again is firstRetryDelay after the first failure
// and doubles with each further one, at most maxRetryDoublings times and up to maxRetryDelay.
const (
	firstRetryDelay   = 300 * time.Millisecond // delay before the next try after the first failure
	maxRetryDelay     = 3 * time.Second        // upper bound of the delay
	maxRetryDoublings = 4                      // maximum number of times that the delay doubles
)

// begin counts w as work in progress at a target and returns the ticket for it. The ticket measures
// times from the time now on. The caller holds p.mu.
func (p *Placer) begin(t *fleet.Target, w Work, now time.Time) *Ticket {
	s := p.stateByID(t.RunID())
	p.setOwnWork(t.RunID(), s, s.ownWork.Plus(w))
	return &Ticket{placer: p, id: t.RunID(), service: t.Service, work: w, distance: p.distance(t.DataCentre), began: now}
}

// End removes the request from the target's work in progress and records its result. Calls after
// the first one have no effect.
func (t *Ticket) End(r Result, now time.Time) {
	if t == nil || t.ended {
		return
	}
	t.ended = true
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateByID(t.id)
	p.setOwnWork(t.id, s, s.ownWork.Minus(t.work))
	switch r {
	case Good:
		s.connErrors = 0
		s.failureRate -= failureWeight * s.failureRate
		s.sends.addSuccess()
		t.observeEnd(s, now)
	case Refused:
		s.noteRefusal(now)
	case Bad:
		s.noteFailure()
		p.recordOwn(SendRecord{Target: t.id, Failed: true}, now)
	case Lost:
		s.noteFailure()
	case Unreachable:
		s.noteConnectFailure(now)
	}
}

// noteFailure records that a request of this VM to the target failed. The caller holds Placer.mu.
func (s *state) noteFailure() { s.failureRate += failureWeight * (1 - s.failureRate) }

// noteConnectFailure records that the target could not be reached. The caller holds Placer.mu.
func (s *state) noteConnectFailure(now time.Time) {
	wait := firstRetryDelay << min(s.connErrors, maxRetryDoublings)
	s.connErrors++
	s.retryAt = now.Add(min(wait, maxRetryDelay))
}

// NoteUnreachable records that the target run with this id is known to be down, so that requests
// avoid it without having to try it first.
func (p *Placer) NoteUnreachable(target string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.stateByID(target); s.reachable(now) {
		s.noteConnectFailure(now)
	}
}

// NoteLostHandle records that a prompt which the target run with this id had prefilled could not be
// decoded, because its handle was gone or its KV cache could not be fetched. The target's refusal
// rate rises as if it had refused the request.
func (p *Placer) NoteLostHandle(target string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateByID(target).noteRefusal(now)
}

// FirstEvent records that the first event of the answer has come, which means that the prefill is
// done.
func (t *Ticket) FirstEvent(now time.Time) {
	if t == nil || t.ended {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateByID(t.id)
	finished := Work{Prefill: t.work.Prefill, Prefills: t.work.Prefills}
	p.setOwnWork(t.id, s, s.ownWork.Minus(finished))
	t.work = t.work.Minus(finished)
	t.observeFirst(s, now)
}

// span is a series of consecutive events of an answer.
type span struct {
	// began is when the last event before the span came, or zero before the first event of the
	// answer.
	began time.Time
	// events is the number of events so far.
	events int
	// running is the number of other requests that ran at the target when the span began, and
	// inPlaceTokens the value of state.inPlaceTokens at that time.
	running       int
	inPlaceTokens int
}

// eventsPerSpan is the number of events after which a span ends and its step time is recorded.
// Among so many events, a single late one has little weight. A span is also short enough to show
// soon that a batch has just grown. Whole answers would show this only when they end.
const eventsPerSpan = 16

// minObservedEvents is the minimum number of events of a whole answer for its step time to be
// measured.
const minObservedEvents = 4

// AddEvents records that n more events of the answer have come.
func (t *Ticket) AddEvents(n int, now time.Time) {
	if t == nil || t.ended || t.prompt == nil {
		return
	}
	t.span.events += n
	first := t.span.began.IsZero()
	if !first && t.span.events < eventsPerSpan {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateByID(t.id)
	if !first {
		t.observeSteps(s, t.span.events, now.Sub(t.span.began))
	}
	t.span = span{began: now, running: p.totalWork(t.id).Running - 1, inPlaceTokens: s.inPlaceTokens}
}

// ObserveAnswer records a whole answer: the number of its events, and the time from the first to
// the last of them.
func (t *Ticket) ObserveAnswer(events int, took time.Duration) {
	if t == nil || t.ended || t.prompt == nil || t.placer.cfg.Off.Profile {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.stepsObserved && events >= minObservedEvents {
		t.observeSteps(p.stateByID(t.id), events-1, took)
	}
	p.profile(t.service).ObserveAnswer(events, t.prompt.Output)
}

// observeSteps records the time that the given number of events took. The caller holds Placer.mu.
func (t *Ticket) observeSteps(s *state, events int, took time.Duration) {
	p := t.placer
	if p.cfg.Off.Profile {
		return
	}
	t.stepsObserved = true
	f := p.profile(t.service)
	b := profile.Load{Running: (t.span.running + p.totalWork(t.id).Running - 1) / 2, PrefillTokens: float64(s.inPlaceTokens-t.span.inPlaceTokens) / float64(events)}
	if !p.cfg.Off.Slowdown {
		s.stepSlowdown = adjustSlowdown(s.stepSlowdown, float64(took)/max(float64(events)*float64(f.LoadedInterval(b)), 1))
		s.stepSlowdown = math.Pow(s.stepSlowdown, 1-stepSlowdownDecay)
	}
	// The slower targets of a service run smaller batches. If their times were not divided by their
	// slowdown, steps would seem to grow less with the size of the batch, or not at all.
	f.ObserveEvents(events, time.Duration(float64(took)/s.stepSlowdown), b)
}

// stepSlowdownDecay is the fraction by which the logarithm of a step slowdown decreases with each
// sample. The profile is learned from times divided by the slowdowns, and the slowdowns are learned
// from times divided by the profile's; without the decay both could drift in opposite directions.
const stepSlowdownDecay = 0.003

// ObserveLength records how many events an answer had, whether it is complete or not.
func (t *Ticket) ObserveLength(events int) {
	if t == nil || t.prompt == nil || t.placer.cfg.Off.Profile {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profile(t.service).ObserveLength(events, t.prompt.MaxOutput)
}

// adjustSlowdown returns the slowdown factor, moved towards observed, which is the ratio of the
// measured to the expected time of one answer.
func adjustSlowdown(factor, observed float64) float64 {
	step := slowdownWeight * math.Log(max(observed, minSlowdown/2)/factor)
	factor *= math.Exp(min(max(step, -slowdownStep), slowdownStep))
	return min(max(factor, minSlowdown), maxSlowdown)
}

// observeEnd records the time of a request whose result is Good. The caller holds Placer.mu.
func (t *Ticket) observeEnd(s *state, now time.Time) {
	if t.placer.cfg.Off.Profile {
		return
	}
	took := now.Sub(t.began)
	switch t.task {
	case taskPrefill:
		t.observeFirst(s, now)
	case taskPlain:
		t.placer.profile(t.service).ObservePlain(took)
	case taskPrefillInPlace, taskDecode:
		t.placer.profile(t.service).ObserveRun(took)
	}
}

// observeFirst records the time of the prefill or of the handoff, once per ticket. The caller holds
// Placer.mu.
func (t *Ticket) observeFirst(s *state, now time.Time) {
	if t.firstObserved || t.prompt == nil {
		return
	}
	t.firstObserved = true
	f, took := t.placer.profile(t.service), now.Sub(t.began)-t.distance
	t.observePrefillSlowdown(f, s, took)
	if t.placer.cfg.Off.Profile || t.waitedForSeat {
		return
	}
	switch t.task {
	case taskPrefill:
		f.ObservePrefill(t.prompt.Tokens, t.cached, t.prefillWait, took)
	case taskPrefillInPlace:
		f.ObserveInPlacePrefill(t.prompt.Tokens, t.cached, t.prefillWait, took)
	case taskDecode:
		f.ObserveHandoff(t.prompt.Tokens, took)
	}
}

// observePrefillSlowdown adjusts the target's prefill slowdown by the time that a prefill took,
// once the profile's estimate is based on enough samples. The caller holds Placer.mu.
func (t *Ticket) observePrefillSlowdown(f *profile.Profile, s *state, took time.Duration) {
	expected, overhead := f.PrefillTime(t.prompt.Tokens, t.cached), t.overhead
	if t.task == taskPrefillInPlace {
		expected, overhead = f.InPlacePrefillTime(t.prompt.Tokens, t.cached), f.InPlaceOverheadTime()
	}
	expected += t.prefillWait
	if t.task == taskDecode || expected < max(minPrefillSample, overhead) || !f.PrefillKnown() || t.placer.cfg.Off.Slowdown {
		return
	}
	s.prefillSlowdown = adjustSlowdown(s.prefillSlowdown, float64(took-overhead)/float64(expected))
}

// refusalDecay is the time constant with which the rate of refusals decays. It is short because a
// full engine has a free slot again as soon as one of its requests ends. The value is fixed and not
// learned.
const refusalDecay = time.Second

// minPrefillSample is the minimum estimated time of a prefill for the prefill slowdown of its
// target to be measured. The time must also be at least as long as the overhead, whose error would
// otherwise be taken for a slowdown.
const minPrefillSample = 5 * time.Millisecond
