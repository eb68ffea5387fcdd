package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// cacheModel estimates which prompt parts a target's KV cache holds. It assumes least-recently-used
// eviction: a part is cached until as many new tokens as the cache holds have been added since its
// last use. All VMs report their uses to each other.
type cacheModel struct {
	// tokensAdded is the number of tokens added to the cache so far.
	tokensAdded float64
	// lastUse is the value of tokensAdded at each part's last use, by the part's hash.
	lastUse map[uint64]float64
}

// maxCacheParts is the largest number of parts that are remembered per target.
const maxCacheParts = 8192

// newCacheModel returns the model of an empty cache.
func newCacheModel() *cacheModel { return &cacheModel{lastUse: make(map[uint64]float64)} }

// cachedTokens returns the length of the prompt's cached prefix, for a cache of size tokens. A part
// is of use only if all parts before it are cached too.
func (c *cacheModel) cachedTokens(q *Prompt, size float64) int {
	tokens := 0
	for _, part := range q.sharedParts() {
		lastUse, ok := c.lastUse[part.Hash]
		if !ok || c.tokensAdded-lastUse > size {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records that the target now holds all of these parts. missing is the number of the prompt's
// tokens that it did not hold before.
func (c *cacheModel) add(parts []uint64, missing int) {
	c.tokensAdded += float64(missing)
	for _, hash := range parts {
		c.lastUse[hash] = c.tokensAdded
	}
	if len(c.lastUse) > maxCacheParts {
		c.evictOlderHalf()
	}
}

// evictOlderHalf forgets the parts whose last use lies in the older half of the recorded range.
func (c *cacheModel) evictOlderHalf() {
	oldest := c.tokensAdded
	for _, at := range c.lastUse {
		oldest = min(oldest, at)
	}
	threshold := (oldest + c.tokensAdded) / 2
	for hash, at := range c.lastUse {
		if at <= threshold {
			delete(c.lastUse, hash)
		}
	}
}

// Use is one request that was sent to a target, or one failure of a target.
type Use struct {
	// Target is the id of the target's run.
	Target string
	// Parts are the hashes of the prompt's parts that other prompts may share.
	Parts []uint64
	// Missing is the number of the prompt's tokens that the target did not have cached. Reads is
	// set if the target prefills them itself; otherwise their KV cache is transferred to it.
	Missing  int
	Prefills bool
	// Failed is set if an earlier request to the target has failed.
	Failed bool
}

// recordPromptUse records a use of this VM and fills in the parts of its prompt. The caller holds
// p.mu.
func (p *Placer) recordPromptUse(u Use, q *Prompt, now time.Time) {
	for _, part := range q.sharedParts() {
		u.Parts = append(u.Parts, part.Hash)
	}
	p.recordUse(u, now)
}

// recordUse records a use of this VM and keeps it to be reported to the other VMs. The caller holds
// p.mu.
func (p *Placer) recordUse(u Use, now time.Time) {
	s := p.stateByID(u.Target)
	s.applyUse(u, now)
	p.noteInPlacePrefill(s, u, now)
	if len(p.uses) < maxUses {
		p.uses = append(p.uses, u)
	}
}

// applyUse updates the state of a target by a use of any VM.
func (s *state) applyUse(u Use, now time.Time) {
	if u.Failed {
		s.sends.addFailure(now)
		return
	}
	s.sends.addSend(now)
	s.cache.add(u.Parts, u.Missing)
}

// noteInPlacePrefill records a prompt that a decode target prefills beside its running requests,
// which makes each of their steps longer. The caller holds p.mu.
func (p *Placer) noteInPlacePrefill(s *state, u Use, now time.Time) {
	if !u.Prefills || s.stage == fleet.Prefill {
		return
	}
	took := time.Duration(float64(p.profile(s.service).InPlacePrefillTime(u.Missing, 0)) * s.prefillSlowdown)
	s.inPlacePrefills.add(took, now)
	s.inPlaceTokens += u.Missing
}

// maxUses is the largest number of uses that are kept until they are reported to other VMs.
const maxUses = 256

// TakeUses returns and clears this VM's uses since the last call.
func (p *Placer) TakeUses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.uses
	p.uses = nil
	return out
}

// Observe records uses that other VMs report.
func (p *Placer) Observe(uses []Use, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		s := p.stateByID(u.Target)
		s.applyUse(u, now)
		p.noteInPlacePrefill(s, u, now)
		if u.Prefills {
			p.peerInflow(s.service).add(p.profile(s.service).PrefillTime(u.Missing, 0), now)
		}
	}
}
