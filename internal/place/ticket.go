package place

import "time"

// Ticket is a request in hand at a target, until End.
type Ticket struct {
	placer *Placer
	id     string
	work   Work
	// reckoned is how long the prefill should take with what is before it, at
	// the speed of the settings.
	reckoned time.Duration
	began    time.Time
	ended    bool
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
	// Bounds of what one answer can do to the slowdown.
	minSlowdown = 0.5
	maxSlowdown = 20.0
)

// Waits before an unreachable target is tried again; they double.
const (
	firstMiss  = 300 * time.Millisecond
	maxMiss    = 3 * time.Second
	maxDoubles = 4
)

// begin counts work at a target; the caller holds p.mu.
func (p *Placer) begin(id string, w Work, reckoned time.Duration, now time.Time) *Ticket {
	s := p.state(id)
	s.own = s.own.Plus(w)
	return &Ticket{placer: p, id: id, work: w, reckoned: reckoned, began: now}
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
		t.measure(s, now)
	case Refused:
		s.noteRefusal(now)
	case Bad:
		s.failures += failureWeight * (1 - s.failures)
		p.tell(Use{Target: t.id, Failed: true}, now)
	case Unreachable:
		wait := firstMiss << min(s.misses, maxDoubles)
		s.misses++
		s.retryAt = now.Add(min(wait, maxMiss))
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
	if t == nil || t.ended || t.work.Prefill == 0 {
		return
	}
	p := t.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t.id)
	over := Work{Prefill: t.work.Prefill, Prefills: t.work.Prefills}
	s.own = s.own.Minus(over)
	t.work = t.work.Minus(over)
	t.measure(s, now)
}

// measure compares the time that the prefill took with the reckoned one, once.
func (t *Ticket) measure(s *state, now time.Time) {
	if t.reckoned < minReckoned {
		return
	}
	ratio := float64(now.Sub(t.began)) / float64(t.reckoned)
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	t.reckoned = 0
}

// refusalDecay is how fast refusals are forgotten: a full engine has a free slot
// again within a second or two (users' sheets).
const refusalDecay = time.Second

// minReckoned is the shortest prefill that tells something of the speed.
const minReckoned = 5 * time.Millisecond
