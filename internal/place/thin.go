package place

import (
	"hash/fnv"

	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// evaluateAllLimit is the number of targets up to which all are evaluated for a request.
	// Evaluating one takes about a microsecond.
	evaluateAllLimit = 128
	// In a larger fleet about sessionTargets targets are evaluated that the prompt's session hashes
	// to, the same on every VM, and randomTargets random ones.
	sessionTargets = 48
	randomTargets  = 48
)

// sampleTargets returns the targets to evaluate for a prompt. The caller holds p.mu.
func (p *Placer) sampleTargets(targets []*fleet.Target, q *Prompt) []*fleet.Target {
	n := len(targets)
	if n <= evaluateAllLimit {
		return targets
	}
	out := make([]*fleet.Target, 0, sessionTargets+randomTargets)
	if session, ok := q.session(); ok {
		for _, t := range targets {
			if mix(hashID(t.ID)^session)%uint64(n) < sessionTargets {
				out = append(out, t)
			}
		}
	}
	return p.appendRandom(out, targets)
}

// sampleDecodeTargets returns the decode targets to evaluate. The caller holds p.mu.
func (p *Placer) sampleDecodeTargets(targets []*fleet.Target) []*fleet.Target {
	if len(targets) <= evaluateAllLimit {
		return targets
	}
	var all []*fleet.Target
	for _, t := range targets {
		if t.Stage != fleet.Prefill {
			all = append(all, t)
		}
	}
	if len(all) <= evaluateAllLimit {
		return all
	}
	return p.appendRandom(nil, all)
}

// appendRandom appends randomTargets random targets to out. The caller holds p.mu.
func (p *Placer) appendRandom(out, targets []*fleet.Target) []*fleet.Target {
	for range randomTargets {
		out = append(out, targets[p.random.IntN(len(targets))])
	}
	return out
}

// session returns the hash of the last part that other prompts may share, which identifies the
// prompt's session. It returns false if the prompt has no parts.
func (q *Prompt) session() (uint64, bool) {
	parts := q.sharedParts()
	if len(parts) == 0 {
		return 0, false
	}
	return parts[len(parts)-1].Hash, true
}

// hashID returns a hash of a target's id that is the same on every VM.
func hashID(id string) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mix spreads the bits of x (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
