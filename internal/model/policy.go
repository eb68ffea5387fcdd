package model

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Decision says where to send an attempt, or that it is refused or deferred.
type Decision struct {
	// Target is the chosen engine, or nil if none is available or the attempt is not sent.
	Target *fleet.Target
	// InPlace says that the engine that decodes also prefills the prompt.
	InPlace bool
	// Ticket counts the work at the engine until it ends, and is told the result; it may be nil.
	Ticket *place.Ticket
	// Refused says that the caller should retry after After, and Deferred that the VM decides
	// again after After.
	Refused  bool
	Deferred bool
	After    time.Duration
	// Priority is sent to the engine; lower values are served first.
	Priority int
}

// Policy chooses engines for the attempts that reach the VMs. now is the virtual time.
type Policy interface {
	// Prefill chooses the engine that prefills the prompt.
	Prefill(a *Attempt, now time.Duration) Decision
	// Decode chooses the engine that decodes after the engine from has prefilled the prompt.
	Decode(a *Attempt, from *fleet.Target, now time.Duration) Decision
	// Finish tells the policy that an attempt has ended, and whether it was served.
	Finish(a *Attempt, served bool, now time.Duration)
	// ExchangeReports has the VMs exchange reports of the work that they have outstanding.
	ExchangeReports(now time.Duration)
}

// Fleet is a policy's view of the engines.
type Fleet interface {
	// Targets returns the listed engines.
	Targets() []*fleet.Target
	// Load returns the number of prompt tokens that wait for prefill at an engine and the number
	// of its unfinished requests.
	Load(id string) (tokens, requests int)
	// Changing reports whether an engine is changing its stage.
	Changing(id string) bool
}

// shortPromptTokens is the prompt length below which a pickPolicy prefills a prompt in place.
const shortPromptTokens = 1024

// pickPolicy chooses one engine by a rule and refuses nothing. It sees the current state of the
// engines without delay.
type pickPolicy struct {
	fleet Fleet
	pick  func(a *Attempt, candidates []*fleet.Target) *fleet.Target
}

// Prefill implements Policy.
func (p *pickPolicy) Prefill(a *Attempt, _ time.Duration) Decision {
	t := p.choose(a, a.Prompt.Tokens >= shortPromptTokens)
	return Decision{Target: t, InPlace: t != nil && t.Stage != fleet.Prefill, Priority: a.Class.Priority}
}

// Decode implements Policy.
func (p *pickPolicy) Decode(a *Attempt, _ *fleet.Target, _ time.Duration) Decision {
	return Decision{Target: p.choose(a, false), Priority: a.Class.Priority}
}

// Finish implements Policy.
func (*pickPolicy) Finish(*Attempt, bool, time.Duration) {}

// ExchangeReports implements Policy.
func (*pickPolicy) ExchangeReports(time.Duration) {}

// choose picks a usable engine, or returns nil if there is none. Decode engines are always
// candidates, and prefill engines only if prefill is set.
func (p *pickPolicy) choose(a *Attempt, prefill bool) *fleet.Target {
	var usable []*fleet.Target
	for _, t := range p.fleet.Targets() {
		if !t.Leaving && !p.fleet.Changing(t.ID) && !a.Tried[t.ID] && (prefill || t.Stage != fleet.Prefill) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return p.pick(a, usable)
}

// NewRandom returns a policy that picks a random engine.
func NewRandom(f Fleet, random *rand.Rand) Policy {
	return &pickPolicy{fleet: f, pick: func(_ *Attempt, candidates []*fleet.Target) *fleet.Target {
		return candidates[random.IntN(len(candidates))]
	}}
}

// NewRoundRobin returns a policy that picks the engines in turn.
func NewRoundRobin(f Fleet) Policy {
	next := 0
	return &pickPolicy{fleet: f, pick: func(_ *Attempt, candidates []*fleet.Target) *fleet.Target {
		next++
		return candidates[next%len(candidates)]
	}}
}

// NewLeastLoad returns a policy that picks the engine with the fewest waiting prompt tokens and,
// among equals, the fewest requests.
func NewLeastLoad(f Fleet) Policy {
	return &pickPolicy{fleet: f, pick: func(_ *Attempt, candidates []*fleet.Target) *fleet.Target {
		best := candidates[0]
		tokens, requests := f.Load(best.ID)
		for _, t := range candidates[1:] {
			if n, r := f.Load(t.ID); n < tokens || (n == tokens && r < requests) {
				best, tokens, requests = t, n, r
			}
		}
		return best
	}}
}

// NewPrefixHash returns a policy that picks an engine by rendezvous hashing of the prompt's last
// shared part, regardless of load.
func NewPrefixHash(f Fleet) Policy {
	return &pickPolicy{fleet: f, pick: func(a *Attempt, candidates []*fleet.Target) *fleet.Target {
		part := a.Prompt.Parts[max(len(a.Prompt.Parts)-2, 0)].Hash
		best, highest := candidates[0], uint64(0)
		for _, t := range candidates {
			if w := rendezvousWeight(t.ID, part); w >= highest {
				best, highest = t, w
			}
		}
		return best
	}}
}

// rendezvousWeight returns an engine's weight for a prompt part. The highest weight wins.
func rendezvousWeight(id string, part uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(part >> (8 * i))
	}
	// Write of a hash never returns an error.
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
