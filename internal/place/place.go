// Package place chooses targets: it keeps account of the work in hand at each
// target, that of this VM and what other VMs say of theirs, reckons what each
// engine has cached, and prices the ways to run a request. It has no clock and
// no network of its own.
package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
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
	// Limit is the time that the whole answer may take, or 0, and FullLimit what it was when
	// the caller first asked.
	Limit     time.Duration
	FullLimit time.Duration
	// MaxWait is the wait for other prompts with which the request is sent, or 0.
	MaxWait time.Duration
	// Deferred says that the request was deferred and has its place in the queue.
	Deferred bool
	// BodyBytes is what each send of the request puts on the VM's link.
	BodyBytes int
	// Parts is the prompt's parts in order. The last one is the request's own.
	Parts []Part
}

// sharedParts returns the parts that other prompts may share.
func (p *Prompt) sharedParts() []Part {
	if len(p.Parts) < 2 {
		return p.Parts
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedTokens is the length of the shared parts.
func (p *Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range p.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// Work is what a target has in hand.
type Work struct {
	// Prefill is the time that its prefills in hand will take.
	Prefill time.Duration
	// Running is the requests being run, and Prefills those being prefilled.
	Running  int
	Prefills int
	// Streams is the running requests whose answers are long.
	Streams int
	// Tokens is the KV cache that they take up.
	Tokens int
}

// Plus returns the sum of both.
func (w Work) Plus(o Work) Work {
	return Work{
		Prefill: w.Prefill + o.Prefill, Running: w.Running + o.Running,
		Prefills: w.Prefills + o.Prefills, Streams: w.Streams + o.Streams, Tokens: w.Tokens + o.Tokens,
	}
}

// Minus returns the difference of both.
func (w Work) Minus(o Work) Work {
	return Work{
		Prefill: w.Prefill - o.Prefill, Running: w.Running - o.Running,
		Prefills: w.Prefills - o.Prefills, Streams: w.Streams - o.Streams, Tokens: w.Tokens - o.Tokens,
	}
}

// Positive returns w without what is below zero, as a difference of numbers of different
// age may be.
func (w Work) Positive() Work {
	return Work{
		Prefill: max(w.Prefill, 0), Running: max(w.Running, 0), Prefills: max(w.Prefills, 0),
		Streams: max(w.Streams, 0), Tokens: max(w.Tokens, 0),
	}
}

// ahead is the time that the prefills in hand keep one more waiting: the one that is
// being read is half done on average.
func (w Work) ahead() time.Duration {
	if w.Prefills <= 0 {
		return w.Prefill
	}
	return w.Prefill - w.Prefill/time.Duration(2*w.Prefills)
}

// state is what is known of one target.
type state struct {
	service string
	own     Work
	cache   *cache
	// failures is the share of this VM's recent requests that failed, 0 to 1, and
	// record counts those of all VMs.
	failures float64
	record   record
	// refusals is the share of recent requests that were refused, as of
	// refusedAt; it falls with time, as a full target empties.
	refusals  float64
	refusedAt time.Time
	// slowdown is how many times longer its work takes than the profile says, in its
	// present stage.
	slowdown float64
	// reading is the rate at which a decode target is given prompts to read, and read the tokens
	// of all that it was given.
	reading inflow
	read    int
	// pace is how many times longer the steps of its answers take than the profile says.
	pace  float64
	stage fleet.Stage
	// retryAt is when a target that could not be reached is tried again.
	retryAt time.Time
	// misses counts the sends in a row that found it unreachable.
	misses int
}

// Busy reports whether any of the targets has work in hand, as far as is known.
func (p *Placer) Busy(targets []*fleet.Target) bool {
	own := p.Own()
	for _, t := range targets {
		if own[t.RunID()] != (Work{}) || p.others.Work(t.RunID()) != (Work{}) {
			return true
		}
	}
	return false
}

// Others says what other VMs have in hand at a target.
type Others interface {
	Work(targetID string) Work
	// Age is how old what is known of their work is, on average.
	Age() time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg    Config
	others Others
	// changing says whether an engine changes its stage.
	changing func(*fleet.Target) bool

	mu     sync.Mutex
	states map[string]*state
	// profiles holds what is learned of each service's targets.
	profiles map[string]*profile.Profile
	uses     []Use
	// inflows holds the prompts that each service's targets are given.
	inflows map[string]*inflow
	// needs holds how fast the steps of each service's longest answers must be.
	needs  map[string]*need
	random *rand.Rand
	// linkFree is when this VM's link has sent what it was given.
	linkFree time.Time
}

// New returns a placer without any work in hand.
func New(cfg Config, others Others, changing func(*fleet.Target) bool) *Placer {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Placer{
		cfg: cfg, others: others, changing: changing,
		states: make(map[string]*state), profiles: make(map[string]*profile.Profile),
		inflows: make(map[string]*inflow), needs: make(map[string]*need),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (p *Placer) state(id string) *state {
	s := p.states[id]
	if s == nil {
		s = &state{slowdown: 1, pace: 1, cache: newCache(), reading: inflow{memory: readingMemory}}
		p.states[id] = s
	}
	return s
}

// profile is what is learned of a service's targets; the caller holds p.mu.
func (p *Placer) profile(service string) *profile.Profile {
	f := p.profiles[service]
	if f == nil {
		f = profile.New()
		p.profiles[service] = f
	}
	return f
}

// inflow is what is known of the prompts that a service's targets are given by other
// VMs; the caller holds p.mu.
func (p *Placer) inflow(service string) *inflow {
	f := p.inflows[service]
	if f == nil {
		f = &inflow{memory: inflowMemory}
		p.inflows[service] = f
	}
	return f
}

// at returns the state of a target that is weighed now; the caller holds p.mu.
func (p *Placer) at(t *fleet.Target) *state {
	s := p.state(t.RunID())
	s.service = t.Service
	if s.stage != t.Stage {
		s.stage, s.slowdown, s.pace = t.Stage, 1, 1
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

// Streams counts the long answers that a target runs.
func (p *Placer) Streams(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total(id).Streams
}

// Decoding is how many decode engines the runs in hand of a service fill, by the seats that the
// longest answers leave: slots would count a batch that is already too large for these as half
// empty.
func (p *Placer) Decoding(targets []*fleet.Target, spec *fleet.EngineSpec, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return 0
	}
	e := p.engines(targets, spec)
	e.long = p.need(targets[0].Service).current(now)
	sum := 0.0
	for _, t := range targets {
		if t.Stage != fleet.Prefill {
			load := p.total(t.RunID())
			// Prompts that are read in place, as too few engines prefill, are no reason to have
			// more of them decode.
			load.Running = max(load.Running-load.Prefills, 0)
			sum += e.filled(t, p.at(t), load)
		}
	}
	return sum
}

// scatter is a random price that keeps VMs which all know the same old numbers
// from all choosing the same target; the caller holds p.mu.
func (p *Placer) scatter() time.Duration {
	return time.Duration(p.random.Float64() * scatterShare * float64(p.others.Age()))
}

// scatterShare is the part of the age of what is known that scatter reaches.
const scatterShare = 0.5

// total is a target's whole work in hand; the caller holds p.mu.
func (p *Placer) total(id string) Work {
	return p.state(id).own.Plus(p.others.Work(id))
}

// refusing is the share of refused requests as of now.
func (s *state) refusing(now time.Time) float64 {
	if s.refusals == 0 {
		return 0
	}
	return s.refusals * math.Exp(-float64(now.Sub(s.refusedAt))/float64(refusalDecay))
}

func (s *state) noteRefusal(now time.Time) {
	r := s.refusing(now)
	s.refusals, s.refusedAt = r+refusalWeight*(1-r), now
}

func (s *state) reachable(now time.Time) bool { return s.misses == 0 || !now.Before(s.retryAt) }
