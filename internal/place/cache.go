package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// cache reckons which prompt parts a target's KV cache holds: parts yield in
// the order of their last use, so a part is held as long as fewer tokens than
// the cache's size have come in since. All VMs tell each other their uses.
type cache struct {
	// came is how many tokens have come in so far.
	came float64
	// used is the value of came at each part's last use.
	used map[uint64]float64
}

// maxCacheParts bounds the parts that are remembered for one target.
const maxCacheParts = 8192

func newCache() *cache { return &cache{used: make(map[uint64]float64)} }

// held returns the tokens at the prompt's start that the target holds. A part
// is of use only where all parts before it are held.
func (c *cache) held(q *Prompt, size float64) int {
	tokens := 0
	for _, part := range q.sharedParts() {
		at, ok := c.used[part.Hash]
		if !ok || c.came-at > size {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes that the target has the whole prompt, of which missing tokens were
// new to it.
func (c *cache) use(parts []uint64, missing int) {
	c.came += float64(missing)
	for _, hash := range parts {
		c.used[hash] = c.came
	}
	if len(c.used) > maxCacheParts {
		c.shrink()
	}
}

// shrink forgets the older half of the parts, by last use.
func (c *cache) shrink() {
	oldest := c.came
	for _, at := range c.used {
		oldest = min(oldest, at)
	}
	middle := (oldest + c.came) / 2
	for hash, at := range c.used {
		if at <= middle {
			delete(c.used, hash)
		}
	}
}

// Use is one request that a target was given, or one that it failed.
type Use struct {
	// Target is the run of the target.
	Target string
	// Parts is the hashes of the prompt's parts that other prompts may share.
	Parts []uint64
	// Missing is the prompt's tokens that were new to the target, and Reads says that it
	// reads them itself; else they are moved to it.
	Missing int
	Reads   bool
	// Failed says that an earlier request to the target has failed.
	Failed bool
}

// noteUse takes in a use of this VM's own, but for its parts; the caller holds p.mu.
func (p *Placer) noteUse(u Use, q *Prompt, now time.Time) {
	for _, part := range q.sharedParts() {
		u.Parts = append(u.Parts, part.Hash)
	}
	p.tell(u, now)
}

// tell takes in a use of this VM's own and keeps it for the others; the caller
// holds p.mu.
func (p *Placer) tell(u Use, now time.Time) {
	s := p.state(u.Target)
	s.take(u, now)
	p.noteReading(s, u, now)
	if len(p.uses) < maxUses {
		p.uses = append(p.uses, u)
	}
}

// take takes in a use.
func (s *state) take(u Use, now time.Time) {
	if u.Failed {
		s.record.fail(now)
		return
	}
	s.record.send(now)
	s.cache.use(u.Parts, u.Missing)
}

// noteReading notes a prompt that a decode target reads beside its streams, each step of which
// then takes longer; the caller holds p.mu.
func (p *Placer) noteReading(s *state, u Use, now time.Time) {
	if !u.Reads || s.stage == fleet.Prefill {
		return
	}
	took := time.Duration(float64(p.profile(s.service).InPlaceTime(u.Missing, 0)) * s.slowdown)
	s.reading.add(took, now)
	s.read += u.Missing
}

// maxUses bounds the uses that wait to be told to other VMs.
const maxUses = 256

// TakeUses returns this VM's uses since the last call.
func (p *Placer) TakeUses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.uses
	p.uses = nil
	return out
}

// Observe takes in another VM's uses.
func (p *Placer) Observe(uses []Use, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		s := p.state(u.Target)
		s.take(u, now)
		p.noteReading(s, u, now)
		if u.Reads {
			p.inflow(s.service).add(p.profile(s.service).ReadTime(u.Missing, 0), now)
		}
	}
}
