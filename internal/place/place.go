// Package place chooses the target of each request. It tracks the work in progress at every target,
// both this VM's and what other VMs report of theirs, estimates which prompt prefixes each engine
// has cached, and compares the cost of the ways to serve a request. The package reads no clock and
// opens no connections of its own.
//
// A model engine is in one of two stages. A prefill target computes the KV cache of a prompt and
// hands the request off to a decode target, which generates the answer. A decode target can also
// prefill a prompt itself, in place. It runs all of its requests as one batch and generates one
// token of each answer per step, so that steps take longer in larger batches and while the target
// prefills. Plain calls go to targets that are not model engines.
package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/profile"
)

// Part is one part of a prompt, such as a common prefix, that other prompts may share.
type Part struct {
	// Hash identifies the content of the part, and Tokens is its length.
	Hash   uint64
	Tokens int
}

// Prompt describes the prompt of a request and the answer that its caller expects.
type Prompt struct {
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// Output is the expected and MaxOutput the largest length of the answer, in tokens.
	Output    int
	MaxOutput int
	// Limit is the time that the whole answer may take, or 0 for no limit. InitialLimit is the value
	// of Limit at the caller's first try.
	Limit        time.Duration
	InitialLimit time.Duration
	// MaxWait is the longest wait behind other prompts with which the request is still sent, or 0.
	MaxWait time.Duration
	// Deferred is set if the request was deferred and already has its place in the queue.
	Deferred bool
	// BodyBytes is the number of bytes that each send of the request puts on the VM's link.
	BodyBytes int
	// Parts are the parts of the prompt in order. The last one belongs to this request alone.
	Parts []Part
}

// sharedParts returns the parts that other prompts may share: all but the last, unless there is
// only one.
func (p *Prompt) sharedParts() []Part {
	if len(p.Parts) < 2 {
		return p.Parts
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedTokens returns the length of the shared parts in tokens.
func (p *Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range p.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// Work is the work in progress at a target.
type Work struct {
	// Prefill is the time that the target's pending prefills will take.
	Prefill time.Duration
	// Running is the number of requests being run, and Prefills that of prompts being prefilled.
	Running  int
	Prefills int
	// Streams is the number of running requests whose answers last longer than the maximum gap
	// between events that the service allows.
	Streams int
	// Tokens is the KV cache that the requests occupy, in tokens.
	Tokens int
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{
		Prefill: w.Prefill + o.Prefill, Running: w.Running + o.Running,
		Prefills: w.Prefills + o.Prefills, Streams: w.Streams + o.Streams, Tokens: w.Tokens + o.Tokens,
	}
}

// Minus returns w less o.
func (w Work) Minus(o Work) Work {
	return Work{
		Prefill: w.Prefill - o.Prefill, Running: w.Running - o.Running,
		Prefills: w.Prefills - o.Prefills, Streams: w.Streams - o.Streams, Tokens: w.Tokens - o.Tokens,
	}
}

// Positive returns w with its negative fields set to 0. They arise when numbers of different age
// are subtracted from each other.
func (w Work) Positive() Work {
	return Work{
		Prefill: max(w.Prefill, 0), Running: max(w.Running, 0), Prefills: max(w.Prefills, 0),
		Streams: max(w.Streams, 0), Tokens: max(w.Tokens, 0),
	}
}

// prefillWait returns how long the pending prefills delay one more prompt. The prompt that is being
// prefilled is half done on average.
func (w Work) prefillWait() time.Duration {
	if w.Prefills <= 0 {
		return w.Prefill
	}
	return w.Prefill - w.Prefill/time.Duration(2*w.Prefills)
}

// state holds what this VM knows of one run of a target.
type state struct {
	service string
	ownWork Work
	cache   *cacheModel
	// failureRate is the share of this VM's recent requests that failed, from 0 to 1, and sends
	// counts the sends and failures of all VMs.
	failureRate float64
	sends       sendCounts
	// refusalRate is the share of recent requests that were refused, as of refusedAt. It decays
	// with time, as a full target empties.
	refusalRate float64
	refusedAt   time.Time
	// prefillSlowdown is how many times longer prefills take than the service's profile predicts.
	// It is reset to 1 when the target changes its stage.
	prefillSlowdown float64
	// inPlacePrefills is the rate of prefill work that a decode target is given beside its running
	// requests, and inPlaceTokens the total number of tokens of these prompts.
	inPlacePrefills workRate
	inPlaceTokens   int
	// stepSlowdown is how many times longer decode steps take than the service's profile predicts.
	// It is reset to 1 when the target changes its stage.
	stepSlowdown float64
	stage        fleet.Stage
	// retryAt is when a target that could not be reached may be tried again.
	retryAt time.Time
	// connErrors counts the consecutive sends for which the target could not be reached.
	connErrors int
}

// Busy reports whether any of the targets is known to have work in progress.
func (p *Placer) Busy(targets []*fleet.Target) bool {
	own := p.Own()
	for _, t := range targets {
		if own[t.RunID()] != (Work{}) || p.others.Work(t.RunID()) != (Work{}) {
			return true
		}
	}
	return false
}

// PeerWork provides the work that other VMs have in progress.
type PeerWork interface {
	// Work returns the work of other VMs at a target.
	Work(targetID string) Work
	// Age returns the average age of the reports that the work is known from.
	Age() time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg    Config
	others PeerWork
	// changingStage reports whether an engine is changing its stage.
	changingStage func(*fleet.Target) bool

	// mu protects the fields below.
	mu sync.Mutex
	// states holds what is known of each target, by the id of its run.
	states map[string]*state
	// profiles holds what was learned of the timing of each service's targets, by service.
	profiles map[string]*profile.Profile
	// uses holds this VM's uses that have not been reported to other VMs yet.
	uses []Use
	// peerInflows holds the rate of prefill work that other VMs place, by service.
	peerInflows map[string]*workRate
	// stepLimits holds the decode step that the longest answers need, by service.
	stepLimits map[string]*stepLimit
	random     *rand.Rand
	// linkFreeAt is when this VM's link will have sent everything that it was given.
	linkFreeAt time.Time
}

// New returns a Placer with no work in progress. The function changing reports whether an engine is
// changing its stage.
func New(cfg Config, others PeerWork, changing func(*fleet.Target) bool) *Placer {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Placer{
		cfg: cfg, others: others, changingStage: changing,
		states: make(map[string]*state), profiles: make(map[string]*profile.Profile),
		peerInflows: make(map[string]*workRate), stepLimits: make(map[string]*stepLimit),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// stateByID returns the state of the target run with this id and creates it if needed. The caller
// holds p.mu.
func (p *Placer) stateByID(id string) *state {
	s := p.states[id]
	if s == nil {
		s = &state{prefillSlowdown: 1, stepSlowdown: 1, cache: newCacheModel(), inPlacePrefills: workRate{timeConstant: inPlaceDecay}}
		p.states[id] = s
	}
	return s
}

// profile returns the timing profile of a service's targets. The caller holds p.mu.
func (p *Placer) profile(service string) *profile.Profile {
	f := p.profiles[service]
	if f == nil {
		f = profile.New()
		p.profiles[service] = f
	}
	return f
}

// peerInflow returns the rate of prefill work that other VMs place at a service's targets. The
// caller holds p.mu.
func (p *Placer) peerInflow(service string) *workRate {
	r := p.peerInflows[service]
	if r == nil {
		r = &workRate{timeConstant: peerInflowDecay}
		p.peerInflows[service] = r
	}
	return r
}

// stateOf returns the state of a target and brings its service and stage up to date. The caller
// holds p.mu.
func (p *Placer) stateOf(t *fleet.Target) *state {
	s := p.stateByID(t.RunID())
	s.service = t.Service
	if s.stage != t.Stage {
		s.stage, s.prefillSlowdown, s.stepSlowdown = t.Stage, 1, 1
	}
	return s
}

// Forget drops the state of targets that are no longer listed and have no work of this VM in
// progress.
func (p *Placer) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.ownWork == (Work{}) && !listed(id) {
			delete(p.states, id)
		}
	}
}

// Own returns this VM's work in progress, by target run. Targets without any are left out.
func (p *Placer) Own() map[string]Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Work, len(p.states))
	for id, s := range p.states {
		if s.ownWork != (Work{}) {
			out[id] = s.ownWork
		}
	}
	return out
}

// Streams returns the number of long answers that a target is generating.
func (p *Placer) Streams(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalWork(id).Streams
}

// DecodeLoad returns how many decode engines the running requests of a service fill, counted by the
// seats that the longest answers allow. Counting by slots would take a batch for half empty that is
// already too large for the longest answers to end in time.
func (p *Placer) DecodeLoad(targets []*fleet.Target, spec *fleet.EngineSpec, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return 0
	}
	model := p.engineModel(targets, spec)
	model.maxStep = p.stepLimit(targets[0].Service).current(now)
	sum := 0.0
	for _, t := range targets {
		if t.Stage != fleet.Prefill {
			load := p.totalWork(t.RunID())
			// Prompts are prefilled in place when too few engines prefill. They are no reason to
			// have more engines decode.
			load.Running = max(load.Running-load.Prefills, 0)
			sum += model.fillShare(t, p.stateOf(t), load)
		}
	}
	return sum
}

// jitter returns a random cost. It keeps VMs that decide on the same outdated reports from all
// choosing the same target. The caller holds p.mu.
func (p *Placer) jitter() time.Duration {
	return time.Duration(p.random.Float64() * jitterShare * float64(p.others.Age()))
}

// jitterShare is the largest jitter, as a part of the age of the reports.
const jitterShare = 0.5

// totalWork returns a target's work in progress of all VMs. The caller holds p.mu.
func (p *Placer) totalWork(id string) Work {
	return p.stateByID(id).ownWork.Plus(p.others.Work(id))
}

// currentRefusalRate returns the share of refused requests, decayed to now.
func (s *state) currentRefusalRate(now time.Time) float64 {
	if s.refusalRate == 0 {
		return 0
	}
	return s.refusalRate * math.Exp(-float64(now.Sub(s.refusedAt))/float64(refusalDecay))
}

// noteRefusal records that the target refused a request.
func (s *state) noteRefusal(now time.Time) {
	r := s.currentRefusalRate(now)
	s.refusalRate, s.refusedAt = r+refusalWeight*(1-r), now
}

// reachable reports whether the target may be tried: its last send reached it, or the time to retry
// has come.
func (s *state) reachable(now time.Time) bool { return s.connErrors == 0 || !now.Before(s.retryAt) }
