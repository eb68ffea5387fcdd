package place

import (
	"hash/fnv"

	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// weighAll is the number of targets up to which all are weighed for a
	// request. One takes about a microsecond.
	weighAll = 128
	// homes and chances are how many targets of a larger fleet are weighed: those
	// that the prompt's session hashes to, the same on every VM, and random ones.
	homes   = 48
	chances = 48
)

// thin returns the targets to weigh for a prompt; the caller holds p.mu.
func (p *Placer) thin(targets []*fleet.Target, q *Prompt) []*fleet.Target {
	n := len(targets)
	if n <= weighAll {
		return targets
	}
	out := make([]*fleet.Target, 0, homes+chances)
	if session, ok := q.session(); ok {
		for _, t := range targets {
			if mix(hashID(t.ID)^session)%uint64(n) < homes {
				out = append(out, t)
			}
		}
	}
	return p.draw(out, targets)
}

// decoders returns the decode targets to weigh; the caller holds p.mu.
func (p *Placer) decoders(targets []*fleet.Target) []*fleet.Target {
	if len(targets) <= weighAll {
		return targets
	}
	var all []*fleet.Target
	for _, t := range targets {
		if t.Stage != fleet.Prefill {
			all = append(all, t)
		}
	}
	if len(all) <= weighAll {
		return all
	}
	return p.draw(nil, all)
}

// draw appends random targets to out.
func (p *Placer) draw(out, targets []*fleet.Target) []*fleet.Target {
	for range chances {
		out = append(out, targets[p.random.IntN(len(targets))])
	}
	return out
}

// session returns the hash of the last part that other prompts may share.
func (q *Prompt) session() (uint64, bool) {
	parts := q.sharedParts()
	if len(parts) == 0 {
		return 0, false
	}
	return parts[len(parts)-1].Hash, true
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	// A hash's Write returns no error.
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
