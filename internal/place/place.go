// Package place chooses the target of each request. It tracks the work in progress at every target,
// both this VM's and what other VMs report of theirs, estimates which prompt prefixes each engine
// has cached, and compares the cost of the ways to serve a request. A cost is a duration: the
// expected wait plus penalties. The package reads no clock and opens no connections of its own.
//
// A model engine, or engine, is a target that serves a language model. It is in one of two stages.
// A prefill target computes the KV cache of a prompt and hands the request off to a decode target,
// which generates the answer. A decode target can also prefill a prompt itself, in place. It runs
// all of its requests as one batch and generates one token of each answer per decode step, so that
// steps take longer in larger batches and while the target prefills. Plain requests go to targets
// that are not model engines.
//
// These terms are used throughout the package:
//   - Answers are sent as events, which hold one or more tokens each. The gap is the time between
//     two events. A stream is a running request with an answer that takes longer than the maximum
//     gap that its service allows.
//   - A seat is a place in the batch of a decode target. A target has one seat for each request
//     that it may run concurrently: its slots less a few spare ones, or fewer, if the steps of a
//     larger batch would be too long for the longest answers to end within their time limits.
//   - A session is a set of requests whose prompts are equal except for their last parts.
//   - The objective is the time to the first event that a route aims for.
//   - The handle of a prefilled prompt identifies the prompt's KV cache. A decode target uses it to
//     fetch the KV cache.
//   - A run of a target is the time from one start of the target to the next. State is kept by the
//     id of the run.
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
	// ID names the content. Hash is a hash of ID; callers may choose ids with equal hashes.
	ID   string
	Hash uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Prompt describes the prompt of a request and the answer that its caller expects.
type Prompt struct {
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// Output is the length of the answer that the caller expects, and MaxOutput the maximum length
	// that the caller allows, both in tokens.
	Output    int
	MaxOutput int
	// Limit is the time that the whole answer may take, or 0 for no limit. InitialLimit is the
	// value of Limit at the caller's first try.
	Limit        time.Duration
	InitialLimit time.Duration
	// MaxWait is the longest wait behind other prompts with which the request is still sent (see
	// AdmissionInput.MaxWait), or 0 if it has not been computed.
	MaxWait time.Duration
	// Deferred is set if the request was deferred and already has its place in the queue.
	Deferred bool
	// BodyBytes is the number of bytes that each send of the request puts on the VM's link.
	BodyBytes int
	// reservedTarget is the id of the run of the limited decode target at which a permit is reserved
	// for the request while another target prefills the prompt, or empty.
	reservedTarget string
	// Parts are the parts of the prompt in order. The last one belongs to this request alone.
	Parts []Part
}

// SharedParts returns the parts that other prompts may share: all but the last one. A part that is
// the only one counts as shared.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) < 2 {
		return p.Parts
	}
	return p.Parts[:len(p.Parts)-1]
}

// sharedTokens returns the length of the shared parts in tokens.
func (p *Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range p.SharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// Work is the work in progress at a target.
type Work struct {
	// Prefill is the time that the target's pending prefills will take.
	Prefill time.Duration
	// Running is the number of running requests, and Prefills the number of pending prefills.
	Running  int
	Prefills int
	// Streams is the number of running requests whose answers last longer than the maximum gap
	// between events that the service allows.
	Streams int
	// Tokens is the KV cache that the requests occupy, in tokens.
	Tokens int
}

// Plus returns the sum of w and o, field by field.
func (w Work) Plus(o Work) Work {
	return Work{
		Prefill: w.Prefill + o.Prefill, Running: w.Running + o.Running,
		Prefills: w.Prefills + o.Prefills, Streams: w.Streams + o.Streams, Tokens: w.Tokens + o.Tokens,
	}
}

// Minus returns the difference of w and o, field by field.
func (w Work) Minus(o Work) Work {
	return Work{
		Prefill: w.Prefill - o.Prefill, Running: w.Running - o.Running,
		Prefills: w.Prefills - o.Prefills, Streams: w.Streams - o.Streams, Tokens: w.Tokens - o.Tokens,
	}
}

// Positive returns w with its negative fields set to 0. Negative fields arise when Minus is applied
// to works that were reported at different times.
func (w Work) Positive() Work {
	return Work{
		Prefill: max(w.Prefill, 0), Running: max(w.Running, 0), Prefills: max(w.Prefills, 0),
		Streams: max(w.Streams, 0), Tokens: max(w.Tokens, 0),
	}
}

// prefillWait returns how long the pending prefills delay one more prompt. Of the prompt that is
// being prefilled now, half is done on average.
func (w Work) prefillWait() time.Duration {
	if w.Prefills <= 0 {
		return w.Prefill
	}
	return w.Prefill - w.Prefill/time.Duration(2*w.Prefills)
}

// state holds what this VM knows of one run of a target.
type state struct {
	service string
	// ownWork is this VM's work in progress at the target.
	ownWork Work
	cache   *cacheModel
	// failureRate is the fraction of this VM's recent requests that failed, and sends counts the
	// recent requests of all VMs and those that failed.
	failureRate float64
	sends       sendCounts
	// refusalRate is the fraction of this VM's recent requests that were refused, as of refusedAt.
	// It decays with time, because a full target empties.
	refusalRate float64
	refusedAt   time.Time
	// prefillSlowdown is how many times longer prefills take than the service's profile predicts.
	// It is reset to 1 when the target changes its stage.
	prefillSlowdown float64
	// inPlacePrefills is the rate of the prefill work that a decode target is given to do in place,
	// and inPlaceTokens the total number of tokens of these prompts that were not cached.
	inPlacePrefills workRate
	inPlaceTokens   int
	// stepSlowdown is how many times longer decode steps take than the service's profile predicts.
	// It is reset to 1 when the target changes its stage.
	stepSlowdown float64
	stage        fleet.Stage
	// limit is the limit that the target states on requests.
	limit limitState
	conns connUse
	// connErrors is the number of consecutive failures to reach the target. If it is above 0,
	// retryAt is when the target may be tried again.
	retryAt    time.Time
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
	// Work returns the work of other VMs at the target run with this id.
	Work(targetID string) Work
	// Age returns the average age of the reports from which that work is known.
	Age() time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	cfg Config
	// others provides the work of the other VMs.
	others PeerWork
	// coverage returns the fraction of the known VMs whose work others provides, this VM included.
	coverage func() float64
	// changingStage reports whether an engine is changing its stage.
	changingStage func(*fleet.Target) bool

	// membership returns this VM's index in the group and the size of the group.
	membership Membership

	// onWork is called when this VM's work in progress changes; see SetOnWork.
	onWork func()

	// mu protects the fields below.
	mu sync.Mutex
	// states holds what is known of each target, by run id.
	states map[string]*state
	// busy holds the states with ownWork, by run id. It is much smaller than states, and is gone
	// through for each report.
	busy map[string]*state
	// ownLimits holds the limits of targets that this VM has received lately, by run id.
	ownLimits map[string]*limitState
	// profiles holds the estimated timing of each service's targets, by service.
	profiles map[string]*profile.Profile
	// sendRecords holds this VM's send records that have not been reported to other VMs yet.
	sendRecords []SendRecord
	// peerInflows holds the rate at which other VMs place prefill work, by service.
	peerInflows map[string]*workRate
	// stepLimits holds the longest decode step at which the longest answers end in time, by
	// service.
	stepLimits map[string]*stepLimit
	random     *rand.Rand
	// roundTrips holds the round trip time to the targets of each data centre.
	roundTrips map[string]time.Duration
	// linkFreeAt is when this VM's link will have finished the sends in progress.
	linkFreeAt time.Time
}

// New returns a Placer without work in progress. The function changing reports whether an engine is
// changing its stage.
func New(cfg Config, others PeerWork, changing func(*fleet.Target) bool) *Placer {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Placer{
		cfg: cfg, others: others, changingStage: changing, onWork: func() {}, coverage: func() float64 { return 0 },
		membership: func() (int, int) { return 0, 1 }, ownLimits: make(map[string]*limitState),
		states: make(map[string]*state), busy: make(map[string]*state), profiles: make(map[string]*profile.Profile),
		roundTrips: make(map[string]time.Duration), peerInflows: make(map[string]*workRate), stepLimits: make(map[string]*stepLimit),
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

// peerInflow returns the rate at which other VMs place prefill work at a service's targets. The
// caller holds p.mu.
func (p *Placer) peerInflow(service string) *workRate {
	r := p.peerInflows[service]
	if r == nil {
		r = &workRate{timeConstant: peerInflowDecay}
		p.peerInflows[service] = r
	}
	return r
}

// stateOf returns the state of a target and creates it if needed. It updates the service and stage
// in the state, and resets the slowdowns if the stage has changed. The caller holds p.mu.
func (p *Placer) stateOf(t *fleet.Target) *state {
	s := p.stateByID(t.RunID())
	s.service = t.Service
	if s.stage != t.Stage {
		s.stage, s.prefillSlowdown, s.stepSlowdown = t.Stage, 1, 1
	}
	return s
}

// Forget drops the state of each target run that is no longer listed. The function listed reports
// whether the run with the given id is listed. Forget keeps the state of target runs at which this
// VM has work in progress.
func (p *Placer) Forget(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.ownWork == (Work{}) && !listed(id) {
			delete(p.states, id)
		}
	}
}

// Own returns this VM's work in progress, by run id. Targets without such work are left out.
func (p *Placer) Own() map[string]Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Work, len(p.busy))
	for id, s := range p.busy {
		out[id] = s.ownWork
	}
	return out
}

// SetOnWork sets a function that is called when this VM's work in progress changes. The function must
// not block and must not call the placer. It must be called before the placer is used.
func (p *Placer) SetOnWork(f func()) { p.onWork = f }

// setOwnWork sets this VM's work in progress at the target run with this id, whose state is s. The
// caller holds p.mu.
func (p *Placer) setOwnWork(id string, s *state, w Work) {
	s.ownWork = w
	p.onWork()
	if w == (Work{}) {
		delete(p.busy, id)
		return
	}
	p.busy[id] = s
}

// Streams returns the number of streams of all VMs at the target run with this id.
func (p *Placer) Streams(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalWork(id).Streams
}

// DecodeLoad returns how many decode engines the running requests of a service fill. An engine is
// full when all its seats are taken, even if slots are free, because a batch that fills half of the
// slots may already be too large for the longest answers to end in time.
func (p *Placer) DecodeLoad(targets []*fleet.Target, spec *fleet.EngineSpec, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return 0
	}
	est := p.estimatesFor(targets, spec)
	est.maxStep = p.stepLimitOf(targets[0].Service).current(now)
	sum := 0.0
	for _, t := range targets {
		if t.Stage != fleet.Prefill {
			load := p.totalWork(t.RunID())
			// Prompts are prefilled in place when too few engines prefill. These prompts are no
			// reason to have more engines decode.
			load.Running = max(load.Running-load.Prefills, 0)
			sum += est.fillShare(t, p.stateOf(t), load)
		}
	}
	return sum
}

// jitter returns a random cost, which keeps VMs that decide on the same stale reports from all
// choosing the same target. The caller holds p.mu.
func (p *Placer) jitter() time.Duration {
	return time.Duration(p.random.Float64() * jitterShare * float64(p.others.Age()))
}

// jitterShare is the largest jitter as a fraction of the age of the reports.
const jitterShare = 0.5

// totalWork returns the work in progress of all VMs at the target run with this id. The caller
// holds p.mu.
func (p *Placer) totalWork(id string) Work {
	return p.stateByID(id).ownWork.Plus(p.others.Work(id))
}

// currentRefusalRate returns refusalRate, decayed to its value at now. The caller holds Placer.mu.
func (s *state) currentRefusalRate(now time.Time) float64 {
	if s.refusalRate == 0 {
		return 0
	}
	return s.refusalRate * math.Exp(-float64(now.Sub(s.refusedAt))/float64(refusalDecay))
}

// noteRefusal records that the target refused a request. The caller holds Placer.mu.
func (s *state) noteRefusal(now time.Time) {
	r := s.currentRefusalRate(now)
	s.refusalRate, s.refusedAt = r+refusalWeight*(1-r), now
}

// reachable reports whether the target may be tried: it was reached last time, or the time to try
// it again has come. The caller holds Placer.mu.
func (s *state) reachable(now time.Time) bool { return s.connErrors == 0 || !now.Before(s.retryAt) }
