package place

import (
	"hash/fnv"

	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// evaluateAllLimit is the largest number of targets that are all evaluated for a request. Of
	// more targets, only a sample is evaluated. Evaluating one target takes about a microsecond.
	evaluateAllLimit = 128
	// sessionTargets is about how many targets of the sample are selected by a hash of the prompt's
	// session, which gives the same targets on every VM.
	sessionTargets = 48
	// randomTargets is how many targets of the sample are drawn at random.
	randomTargets = 48
)

// sampleTargets returns the targets to evaluate for a prompt: all of them, or a sample if there are
// more than evaluateAllLimit. The caller holds p.mu.
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

// sampleDecodeTargets returns the targets to evaluate for decoding: all of them, or, if there are
// more than evaluateAllLimit, the decode targets among them or a random sample of these. The caller
// holds p.mu.
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

// appendRandom draws randomTargets of the targets, possibly some of them twice, and appends them to
// out. The caller holds p.mu.
func (p *Placer) appendRandom(out, targets []*fleet.Target) []*fleet.Target {
	for range randomTargets {
		out = append(out, targets[p.random.IntN(len(targets))])
	}
	return out
}

// session returns the hash of the last part that other prompts may share, which identifies the
// prompt's session. It returns false if the prompt has no parts.
func (q *Prompt) session() (uint64, bool) {
	parts := q.SharedParts()
	if len(parts) == 0 {
		return 0, false
	}
	return parts[len(parts)-1].Hash, true
}

// hashID returns a hash of a target's id that is the same on every VM.
func hashID(id string) uint64 {
	h := fnv.New64a()
	// The Write method of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mix returns a hash of x (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
