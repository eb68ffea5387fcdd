package model

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Decision is where an attempt goes, or that it is refused.
type Decision struct {
	// Target is nil where there is no engine to ask.
	Target  *fleet.Target
	InPlace bool
	// Ticket is told how it went; it may be nil.
	Ticket *place.Ticket
	// Refused says that the caller is to come back After, and Deferred that the VM looks
	// at the engines again then.
	Refused  bool
	Deferred bool
	After    time.Duration
	// Priority is sent to the engine.
	Priority int
}

// Policy decides for the attempts that reach the VMs.
type Policy interface {
	// Read chooses the engine that reads the prompt.
	Read(a *Attempt, now time.Duration) Decision
	// Decode chooses the engine that goes on with what another has read.
	Decode(a *Attempt, from *fleet.Target, now time.Duration) Decision
	// Over says that an attempt is not in hand any more.
	Over(a *Attempt)
	// Exchange has the VMs tell each other what they have in hand.
	Exchange(now time.Duration)
}

// Fleet is what a policy can see of the engines.
type Fleet interface {
	// Targets is the listed engines.
	Targets() []*fleet.Target
	// Load is the prompt tokens that wait at an engine and its requests in hand.
	Load(id string) (tokens, requests int)
	// Changing says whether an engine changes its stage.
	Changing(id string) bool
}

// shortPrompt is the length in tokens below which these policies read a prompt where it
// is decoded.
const shortPrompt = 1024

// simple is a policy that takes one engine by a rule and refuses nothing. It
// sees the engines as they are at that moment.
type simple struct {
	fleet Fleet
	pick  func(a *Attempt, among []*fleet.Target) *fleet.Target
}

// Read implements Policy.
func (p *simple) Read(a *Attempt, _ time.Duration) Decision {
	t := p.among(a, a.Prompt.Tokens >= shortPrompt)
	return Decision{Target: t, InPlace: t != nil && t.Stage != fleet.Prefill, Priority: a.Class.Priority}
}

// Decode implements Policy.
func (p *simple) Decode(a *Attempt, _ *fleet.Target, _ time.Duration) Decision {
	return Decision{Target: p.among(a, false), Priority: a.Class.Priority}
}

// Over implements Policy.
func (*simple) Over(*Attempt) {}

// Exchange implements Policy.
func (*simple) Exchange(time.Duration) {}

func (p *simple) among(a *Attempt, prefill bool) *fleet.Target {
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

// NewRandom takes any engine.
func NewRandom(f Fleet, random *rand.Rand) Policy {
	return &simple{fleet: f, pick: func(_ *Attempt, among []*fleet.Target) *fleet.Target {
		return among[random.IntN(len(among))]
	}}
}

// NewRoundRobin takes the engines in turn.
func NewRoundRobin(f Fleet) Policy {
	next := 0
	return &simple{fleet: f, pick: func(_ *Attempt, among []*fleet.Target) *fleet.Target {
		next++
		return among[next%len(among)]
	}}
}

// NewLeastLoad takes the engine with the fewest prompt tokens waiting, and of
// these the one with the fewest requests.
func NewLeastLoad(f Fleet) Policy {
	return &simple{fleet: f, pick: func(_ *Attempt, among []*fleet.Target) *fleet.Target {
		best := among[0]
		tokens, requests := f.Load(best.ID)
		for _, t := range among[1:] {
			if n, r := f.Load(t.ID); n < tokens || (n == tokens && r < requests) {
				best, tokens, requests = t, n, r
			}
		}
		return best
	}}
}

// NewPrefixHash takes the engine that the last shared part hashes to, whatever
// its load.
func NewPrefixHash(f Fleet) Policy {
	return &simple{fleet: f, pick: func(a *Attempt, among []*fleet.Target) *fleet.Target {
		part := a.Prompt.Parts[max(len(a.Prompt.Parts)-2, 0)].Hash
		best, most := among[0], uint64(0)
		for _, t := range among {
			if w := weight(t.ID, part); w >= most {
				best, most = t, w
			}
		}
		return best
	}}
}

// weight is an engine's rank for a part, the highest of which is taken.
func weight(id string, part uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(part >> (8 * i))
	}
	// A hash's Write returns no error.
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
