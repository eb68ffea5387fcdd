package place

import "time"

// linkShare is the fraction of the speed of the VM's network link that is available for sending
// prompts. The rest is for reports, answers and the store.
const linkShare = 0.8

// linkTime returns how long one send of the request occupies this VM's link, or 0 if the speed of
// the link is unknown.
func (p *Placer) linkTime(q *Prompt) time.Duration {
	if p.cfg.LinkMbps <= 0 {
		return 0
	}
	us := 8 * float64(q.BodyBytes) / (linkShare * p.cfg.LinkMbps)
	return time.Duration(us * float64(time.Microsecond))
}

// linkWait returns how long the sends in progress still occupy this VM's link. The caller holds
// p.mu.
func (p *Placer) linkWait(now time.Time) time.Duration { return max(p.linkFreeAt.Sub(now), 0) }

// occupyLink reserves this VM's link for one send of the request, after those in progress. The
// caller holds p.mu.
func (p *Placer) occupyLink(q *Prompt, now time.Time) {
	p.linkFreeAt = now.Add(p.linkWait(now) + p.linkTime(q))
}
