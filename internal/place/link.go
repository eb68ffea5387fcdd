package place

import "time"

// linkShare is the part of the VM's link that is there for prompts; the rest is for
// reports, answers and the store.
const linkShare = 0.8

// linkTime is how long sending the request takes this VM's link.
func (p *Placer) linkTime(q *Prompt) time.Duration {
	if p.cfg.LinkMbps <= 0 {
		return 0
	}
	us := 8 * float64(q.BodyBytes) / (linkShare * p.cfg.LinkMbps)
	return time.Duration(us * float64(time.Microsecond))
}

// linkWait is how long what is being sent already keeps the link busy; the
// caller holds p.mu.
func (p *Placer) linkWait(now time.Time) time.Duration { return max(p.linkFree.Sub(now), 0) }

// occupyLink counts one send of the request; the caller holds p.mu.
func (p *Placer) occupyLink(q *Prompt, now time.Time) {
	p.linkFree = now.Add(p.linkWait(now) + p.linkTime(q))
}
