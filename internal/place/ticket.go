package place

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

// way is how a request is served by a target.
type way int

const (
	// readApart: the target reads the prompt for another one.
	readApart way = iota + 1
	// readInPlace: the target reads the prompt and runs the request.
	readInPlace
	// goOn: the target runs a request whose prompt was read elsewhere.
	goOn
	// plainCall: the target is no model engine.
	plainCall
)

// Ticket is a request in hand at a target, until End.
type Ticket struct {
	placer  *Placer
	id      string
	service string
	work    Work
	way     way
	prompt  *Prompt
	cached  int
	// ahead is the prompts that were in hand before it, and rest what the target
	// takes besides reading.
	ahead time.Duration
	rest  time.Duration
	// waits says that the target's batch was full when it was chosen.
	waits bool
	// span is the part of the answer whose pace is being measured, and paced is set once one
	// was.
	span  span
	paced bool
	began time.Time
	// measured is set once the time to the first event, or to the handle, was taken
	// in.
	measured bool
	ended    bool
}

// expect notes what the choice rests on.
func (t *Ticket) expect(w weighed, q *Prompt) {
	t.way, t.prompt, t.cached, t.ahead, t.rest, t.span.beside = readApart, q, w.cached, w.ahead, w.rest, w.beside
	if w.work.Running > 0 {
		t.way = readInPlace
	}
}

// Result is how a request at a target ended, as far as the target's health is
// concerned.
type Result int

// The results.
const (
	// Good: the target did its work.
	Good Result = iota + 1
	// Neutral tells nothing: the caller left.
	Neutral
	// Refused: the target did not run the request. It is full, or says so.
	Refused
	// Bad: the target failed.
	Bad
	// Unreachable: no connection could be opened.
	Unreachable
)

// Weights of the newest request in the moving shares.
const (
	failureWeight  = 0.1
	slowdownWeight = 0.1
	refusalWeight  = 0.3
	// Bounds of the slowdown, and of what one answer changes of its logarithm: a single
	// long time tells as much of a stall, or of a queue that was not known, as of the
	// target. One that is five times slower is known after some 25 answers.
	minSlowdown  = 0.5
	maxSlowdown  = 20.0
	slowdownStep = 0.07
)

// Waits before an unreachable target is tried again; they double.
const (
	firstMiss  = 300 * time.Millisecond
	maxMiss    = 3 * time.Second
	maxDoubles = 4
)

// begin counts work at a target; the caller holds p.mu.
func (p *Placer) begin(t *fleet.Target, w Work, now time.Time) *Ticket {
	s := p.state(t.RunID())
	s.own = s.own.Plus(w)
	return &Ticket{placer: p, id: t.RunID(), service: t.Service, work: w, began: now}
}

// End takes the request off the target's account and notes how it went.
func (t *Ticket) End(r Result, now time.Time) {
	if t == nil || t.ended {
		return
	}
	t.ended = true
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t.id)
	s.own = s.own.Minus(t.work)
	switch r {
	case Good:
		s.misses = 0
		s.failures -= failureWeight * s.failures
		s.record.succeed()
		t.measureEnd(s, now)
	case Refused:
		s.noteRefusal(now)
	case Bad:
		s.failures += failureWeight * (1 - s.failures)
		p.tell(Use{Target: t.id, Failed: true}, now)
	case Unreachable:
		s.miss(now)
	}
}

// miss notes that the target could not be reached.
func (s *state) miss(now time.Time) {
	wait := firstMiss << min(s.misses, maxDoubles)
	s.misses++
	s.retryAt = now.Add(min(wait, maxMiss))
}

// Unreachable notes that a target is known to be down, so that no request finds it out.
func (p *Placer) Unreachable(target string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(target); s.reachable(now) {
		s.miss(now)
	}
}

// Blame notes that a prompt which a target had read could not be gone on with:
// its handle was gone, or could not be fetched.
func (p *Placer) Blame(target string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(target).noteRefusal(now)
}

// First notes that the target has begun to answer: the prefill is over.
func (t *Ticket) First(now time.Time) {
	if t == nil || t.ended {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t.id)
	over := Work{Prefill: t.work.Prefill, Prefills: t.work.Prefills}
	s.own = s.own.Minus(over)
	t.work = t.work.Minus(over)
	t.measureFirst(s, now)
}

// span is some events of an answer in a row.
type span struct {
	// began is when the event before them came; it is zero before the first event.
	began  time.Time
	events int
	// beside is the requests that ran beside when it began, and read the prompt tokens that the
	// target had been given to read by then.
	beside int
	read   int
}

// pacedSpan is the number of events after which the pace of an answer that is being made is
// taken in: enough that a single late event tells little, and soon enough to know a batch that
// has just grown, of which whole answers tell only when they end.
const pacedSpan = 16

// pacedEvents is the number of events from which a whole answer tells of its target's pace.
const pacedEvents = 4

// Events notes that n more events of the answer have come.
func (t *Ticket) Events(n int, now time.Time) {
	if t == nil || t.ended || t.prompt == nil {
		return
	}
	t.span.events += n
	first := t.span.began.IsZero()
	if !first && t.span.events < pacedSpan {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t.id)
	if !first {
		t.measurePace(s, t.span.events, now.Sub(t.span.began))
	}
	t.span = span{began: now, beside: p.total(t.id).Running - 1, read: s.read}
}

// Stream notes a whole answer: its events, and the time from its first to its last.
func (t *Ticket) Stream(events int, took time.Duration) {
	if t == nil || t.ended || t.prompt == nil || t.placer.cfg.Off.Profile {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.paced && events >= pacedEvents {
		t.measurePace(p.state(t.id), events-1, took)
	}
	p.profile(t.service).ObserveAnswer(events, t.prompt.Output)
}

// measurePace takes in that so many events came in took; the caller holds p.mu.
func (t *Ticket) measurePace(s *state, events int, took time.Duration) {
	p := t.placer
	if p.cfg.Off.Profile {
		return
	}
	t.paced = true
	f := p.profile(t.service)
	b := profile.Beside{Running: (t.span.beside + p.total(t.id).Running - 1) / 2, Read: float64(s.read-t.span.read) / float64(events)}
	if !p.cfg.Off.Slowdown {
		s.pace = follow(s.pace, float64(took)/max(float64(events)*float64(f.PauseBeside(b)), 1))
		s.pace = math.Pow(s.pace, 1-paceLeak)
	}
	// The slower targets of a service run fewer answers: with their times as they are, steps
	// would seem to grow less, or not at all, with what runs beside.
	f.ObservePace(events, time.Duration(float64(took)/s.pace), b)
}

// paceLeak is the part of its logarithm that a pace loses with each sample. The profile is
// learned by the paces and they by the profile: without it both could drift apart.
const paceLeak = 0.003

// Length notes how many events an answer has had, whether it is whole or not.
func (t *Ticket) Length(events int) {
	if t == nil || t.prompt == nil || t.placer.cfg.Off.Profile {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profile(t.service).ObserveLength(events, t.prompt.MaxOutput)
}

// follow moves a factor that is learned of a target towards what one answer says.
func follow(factor, ratio float64) float64 {
	step := slowdownWeight * math.Log(max(ratio, minSlowdown/2)/factor)
	factor *= math.Exp(min(max(step, -slowdownStep), slowdownStep))
	return min(max(factor, minSlowdown), maxSlowdown)
}

// measureEnd takes in the time of a request that has ended well; the caller holds
// p.mu.
func (t *Ticket) measureEnd(s *state, now time.Time) {
	if t.placer.cfg.Off.Profile {
		return
	}
	took := now.Sub(t.began)
	switch t.way {
	case readApart:
		t.measureFirst(s, now)
	case plainCall:
		t.placer.profile(t.service).ObservePlain(took)
	case readInPlace, goOn:
		t.placer.profile(t.service).ObserveRun(took)
	}
}

// measureFirst takes in the time that reading a prompt, or going on with it, took,
// once; the caller holds p.mu.
func (t *Ticket) measureFirst(s *state, now time.Time) {
	if t.measured || t.prompt == nil {
		return
	}
	t.measured = true
	f, took := t.placer.profile(t.service), now.Sub(t.began)
	t.measureSlowdown(f, s, took)
	if t.placer.cfg.Off.Profile || t.waits {
		return
	}
	switch t.way {
	case readApart:
		f.ObserveRead(t.prompt.Tokens, t.cached, t.ahead, took)
	case readInPlace:
		f.ObserveInPlace(t.prompt.Tokens, t.cached, t.ahead, took-f.HopTime(0))
	case goOn:
		f.ObserveHop(t.prompt.Tokens, took)
	}
}

// measureSlowdown compares the time that reading took with the reckoned one, where
// the profile is known; the caller holds p.mu.
func (t *Ticket) measureSlowdown(f *profile.Profile, s *state, took time.Duration) {
	reckoned := f.ReadTime(t.prompt.Tokens, t.cached)
	if t.way == readInPlace {
		reckoned = f.InPlaceTime(t.prompt.Tokens, t.cached)
	}
	reckoned += t.ahead
	if t.way == goOn || reckoned < minReckoned || !f.KnowsReading() || t.placer.cfg.Off.Slowdown {
		return
	}
	s.slowdown = follow(s.slowdown, float64(took-t.rest)/float64(reckoned))
}

// refusalDecay is how fast refusals are forgotten: a full engine has a free slot
// again as soon as one of its runs ends. The time is not learned.
const refusalDecay = time.Second

// minReckoned is the shortest prefill that tells something of the speed.
const minReckoned = 5 * time.Millisecond
