// Package place chooses targets: it keeps account of the work in hand at each
// target, that of this VM and what other VMs say of theirs, and prices the
// ways to run a request. It has no clock and no network of its own.
package place

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Part is one part of a prompt that other prompts may share.
type Part struct {
	Hash   uint64
	Tokens int
}

// Prompt is what a request says of its prompt and its answer.
type Prompt struct {
	// Tokens is the prompt's length.
	Tokens int
	// Output is the expected and MaxOutput the largest answer, in tokens.
	Output    int
	MaxOutput int
	// Parts is the prompt's parts in order; the rest is the request's own.
	Parts []Part
}

// Session is the hash of the last part that other requests share, or 0. The
// last part of all is the request's own.
func (p *Prompt) Session() uint64 {
	switch n := len(p.Parts); n {
	case 0:
		return 0
	case 1:
		return p.Parts[0].Hash
	default:
		return p.Parts[n-2].Hash
	}
}

// shared returns the tokens of the parts before the session's part, those of
// the session's part, and the request's own.
func (p *Prompt) shared() (common, session, own int) {
	n := len(p.Parts)
	rest := p.Tokens
	for i, part := range p.Parts {
		switch {
		case n > 1 && i < n-2:
			common += part.Tokens
			rest -= part.Tokens
		case n > 1 && i == n-2:
			session = part.Tokens
			rest -= part.Tokens
		}
	}
	return common, session, max(rest, 0)
}

// Work is what a target has in hand.
type Work struct {
	// Prefill is the time that its prefills in hand will take.
	Prefill time.Duration
	// Running is the requests being run, and Prefills those being prefilled.
	Running  int
	Prefills int
}

func (w Work) plus(o Work) Work {
	return Work{Prefill: w.Prefill + o.Prefill, Running: w.Running + o.Running, Prefills: w.Prefills + o.Prefills}
}

// state is what is known of one target.
type state struct {
	own Work
	// failures is the share of recent requests that failed, 0 to 1.
	failures float64
	// slowdown is how many times longer its work takes than reckoned.
	slowdown float64
	// retryAt is when a target that could not be reached is tried again.
	retryAt time.Time
	// misses counts the sends in a row that found it unreachable.
	misses int
}

// Others says what other VMs have in hand at a target.
type Others interface {
	Work(targetID string) Work
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg    Config
	others Others
	// changing says whether an engine changes its stage.
	changing func(*fleet.Target) bool

	mu     sync.Mutex
	states map[string]*state
	seen   *seen
}

// New returns a placer without any work in hand.
func New(cfg Config, others Others, changing func(*fleet.Target) bool) *Placer {
	return &Placer{cfg: cfg, others: others, changing: changing, states: make(map[string]*state), seen: newSeen(cfg.SeenFor)}
}

func (p *Placer) state(id string) *state {
	s := p.states[id]
	if s == nil {
		s = &state{slowdown: 1}
		p.states[id] = s
	}
	return s
}

// Forget drops what is known of targets that are not listed any more and have
// nothing in hand.
func (p *Placer) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.own == (Work{}) && !listed(id) {
			delete(p.states, id)
		}
	}
}

// Own returns this VM's work in hand at each target that has some.
func (p *Placer) Own() map[string]Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Work, len(p.states))
	for id, s := range p.states {
		if s.own != (Work{}) {
			out[id] = s.own
		}
	}
	return out
}

// Ticket is a request in hand at a target, until End.
type Ticket struct {
	placer *Placer
	id     string
	work   Work
	// expected is how long the work should take with what is before it.
	expected time.Duration
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
	// Neutral tells nothing: the caller left, or the target was full.
	Neutral
	// Bad: the target failed.
	Bad
	// Unreachable: no connection could be opened.
	Unreachable
)

// begin counts work at a target; the caller holds p.mu.
func (p *Placer) begin(id string, w Work, expected time.Duration, now time.Time) *Ticket {
	s := p.state(id)
	s.own = s.own.plus(w)
	return &Ticket{placer: p, id: id, work: w, expected: expected, began: now}
}

// Weights of the newest request in the moving shares.
const (
	failureWeight  = 0.1
	slowdownWeight = 0.15
	// maxSlowdown bounds what one slow answer can do.
	maxSlowdown = 20.0
)

// Waits before an unreachable target is tried again; they double.
const (
	firstMiss  = 300 * time.Millisecond
	maxMiss    = 3 * time.Second
	maxDoubles = 4
)

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
	s.own = Work{Prefill: s.own.Prefill - t.work.Prefill, Running: s.own.Running - t.work.Running, Prefills: s.own.Prefills - t.work.Prefills}
	switch r {
	case Good:
		s.misses = 0
		s.failures += failureWeight * (0 - s.failures)
		t.measure(s, now)
	case Bad:
		s.failures += failureWeight * (1 - s.failures)
	case Unreachable:
		wait := firstMiss << min(s.misses, maxDoubles)
		s.misses++
		s.retryAt = now.Add(min(wait, maxMiss))
	}
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
	s.own.Prefill -= t.work.Prefill
	s.own.Prefills -= t.work.Prefills
	t.work.Prefill, t.work.Prefills = 0, 0
	t.measure(s, now)
	t.expected = 0
}

func (t *Ticket) measure(s *state, now time.Time) {
	if t.expected <= 0 {
		return
	}
	ratio := float64(now.Sub(t.began)) / float64(t.expected)
	ratio = min(max(ratio, 0.5), maxSlowdown)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// total is a target's whole work in hand; the caller holds p.mu.
func (p *Placer) total(id string) Work {
	return p.state(id).own.plus(p.others.Work(id))
}

func (s *state) reachable(now time.Time) bool { return s.misses == 0 || !now.Before(s.retryAt) }

// rendezvous is the weight of a key at a target: each key has its own order of
// the targets, the same on every VM.
func rendezvous(key uint64, id string) uint64 {
	h := key ^ 0x9e3779b97f4a7c15
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
