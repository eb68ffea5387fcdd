package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// cacheModel estimates which prompt parts a target's KV cache holds. It assumes least-recently-used
// eviction: a part stays cached until the number of tokens added since its last use exceeds the
// size of the cache. VMs report to each other the prompts that they send, so that the model covers
// the prompts of all VMs.
type cacheModel struct {
	// tokensAdded is the number of tokens added to the cache so far.
	tokensAdded float64
	// lastUse holds, by the hash of a part, the value of tokensAdded when a prompt with that part
	// was last sent.
	lastUse map[uint64]float64
}

const (
	// maxCacheParts and minCacheParts bound the number of parts that a cacheModel keeps. Callers choose the
	// ids of parts, so the models of all targets together keep about totalCacheParts.
	maxCacheParts   = 8192
	minCacheParts   = 32
	totalCacheParts = 1 << 19
)

// cachePartLimit returns the number of parts that each of a number of cacheModels keeps at most.
func cachePartLimit(models int) int {
	return min(max(totalCacheParts/max(models, 1), minCacheParts), maxCacheParts)
}

// newCacheModel returns the model of an empty cache.
func newCacheModel() *cacheModel { return &cacheModel{lastUse: make(map[uint64]float64)} }

// cachedTokens returns the number of tokens of the prompt's cached prefix, for a cache that holds
// size tokens. A cached part saves work only if all parts before it are cached too.
func (c *cacheModel) cachedTokens(q *Prompt, size float64) int {
	tokens := 0
	for _, part := range q.SharedParts() {
		lastUse, ok := c.lastUse[part.Hash]
		if !ok || c.tokensAdded-lastUse > size {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records that the target now holds all parts with these hashes. missing is the number of the
// prompt's tokens that the target did not hold before. If there are more than limit parts, the older ones
// are forgotten.
func (c *cacheModel) add(parts []uint64, missing, limit int) {
	c.tokensAdded += float64(missing)
	for _, hash := range parts {
		c.lastUse[hash] = c.tokensAdded
	}
	if len(c.lastUse) > limit {
		c.evictOlderHalf()
	}
}

// evictOlderHalf forgets the parts that were last used in the older half of the time between the
// earliest last use and now, measured in tokens added.
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

// SendRecord records that a VM sent a request to a target or, if Failed is set, that a request of
// the VM to the target has failed. VMs report these records to each other.
type SendRecord struct {
	// Target is the id of the target's run.
	Target string
	// Parts holds the hashes of the prompt's parts that other prompts may share.
	Parts []uint64
	// Missing is the number of the prompt's tokens that the target did not have cached. Prefills is
	// set if the target prefills them itself; otherwise their KV cache is transferred to it.
	Missing  int
	Prefills bool
	// Failed is set if the record is of a request that has failed, and not of one that was sent.
	// Such a record has no other field than Target set.
	Failed bool
}

// recordOwnPrompt adds the parts of the prompt q to the record of a request that this VM sends,
// and passes the record to recordOwn. The caller holds p.mu.
func (p *Placer) recordOwnPrompt(r SendRecord, q *Prompt, now time.Time) {
	for _, part := range q.SharedParts() {
		r.Parts = append(r.Parts, part.Hash)
	}
	p.recordOwn(r, now)
}

// recordOwn updates the state of a target from a record of this VM, and keeps the record for the
// next report to other VMs. The record is not kept if maxSendRecords records are waiting to be
// reported already. The caller holds p.mu.
func (p *Placer) recordOwn(r SendRecord, now time.Time) {
	s := p.stateByID(r.Target)
	s.addRecord(r, cachePartLimit(len(p.states)), now)
	p.noteInPlacePrefill(s, r, now)
	if len(p.sendRecords) < maxSendRecords {
		p.sendRecords = append(p.sendRecords, r)
	}
}

// addRecord updates the health and the cache model of a target, which keeps at most limit parts, from a
// record of any VM. The caller holds Placer.mu.
func (s *state) addRecord(r SendRecord, limit int, now time.Time) {
	if r.Failed {
		s.sends.addFailure(now)
		return
	}
	s.sends.addSend(now)
	s.cache.add(r.Parts, r.Missing, limit)
}

// noteInPlacePrefill updates the state of a decode target from the record of a prompt that the
// target prefills in place. Such a prefill makes each decode step of the requests running there
// longer. The caller holds p.mu.
func (p *Placer) noteInPlacePrefill(s *state, r SendRecord, now time.Time) {
	if !r.Prefills || s.stage == fleet.Prefill {
		return
	}
	took := time.Duration(float64(p.profile(s.service).InPlacePrefillTime(r.Missing, 0)) * s.prefillSlowdown)
	s.inPlacePrefills.add(took, now)
	s.inPlaceTokens += r.Missing
}

// maxSendRecords is the maximum number of records that are kept until they are reported to other
// VMs.
const maxSendRecords = 256

// TakeSendRecords returns this VM's records that are to be reported to other VMs, and clears them.
func (p *Placer) TakeSendRecords() []SendRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.sendRecords
	p.sendRecords = nil
	return out
}

// Observe updates the state of the targets from records that other VMs report.
func (p *Placer) Observe(records []SendRecord, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		s := p.stateByID(r.Target)
		s.addRecord(r, cachePartLimit(len(p.states)), now)
		p.noteInPlacePrefill(s, r, now)
		if r.Prefills {
			p.peerInflow(s.service).add(p.profile(s.service).PrefillTime(r.Missing, 0), now)
		}
	}
}
