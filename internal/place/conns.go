package place

import (
	"math"
	"time"
)

// connUse tracks how many requests this VM has in progress at a target, for ConnLimit.
type connUse struct {
	// sampled is the number of requests at sampledAt, and known the number at the sample before. The other VMs
	// know of the latter.
	sampled, known int
	sampledAt      time.Time
}

// sample takes in the number of requests in progress at now, if the last sample is older than interval.
func (u *connUse) sample(requests int, now time.Time, interval time.Duration) {
	if now.Sub(u.sampledAt) < interval {
		return
	}
	u.known, u.sampled, u.sampledAt = u.sampled, requests, now
}

// ConnLimit returns how many connections this VM may have to a target, which accepts maxConns from all VMs, and of how
// many it may keep unused ones, which the other VMs do not know of. vms is the number of known VMs. A VM that gets
// most callers may use what the others leave, but for half of their even shares: these they may use at any time.
func (p *Placer) ConnLimit(runID string, maxConns, vms int, now time.Time) (limit, kept int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateByID(runID)
	s.conns.sample(requests(s.ownWork), now, 2*p.others.Age())
	// VMs that are not heard may use their even shares.
	unheard := int(math.Ceil((1 - p.coverage()) * float64(vms) * float64(maxConns) / float64(vms+SpareVMs)))
	return connLimit(maxConns, vms, s.conns.known, requests(p.others.Work(runID))+unheard), evenShare(maxConns, vms)
}

// SetCoverage sets a function that returns the fraction of the known VMs, this one included, whose work is known.
// Without it only this VM's is. It must be called before the placer is used.
func (p *Placer) SetCoverage(f func() float64) { p.coverage = f }

// requests returns the number of requests in progress in w.
func requests(w Work) int { return w.Running + w.Prefills }

// SpareVMs is added to the number of known VMs when what all of them share is divided, as some VMs may not be known
// yet.
const SpareVMs = 3

// connLimit returns the limit of a VM whose requests at the target are known to the other VMs to be own, and who
// have others in progress there. Each VM has its even share, or half of it while the target has no more left. What
// is unused beside the half shares goes to the VMs in proportion to their requests, so that all of them together do
// not take more than their even shares are if they grow at the same time.
func connLimit(maxConns, vms, own, others int) int {
	even := evenShare(maxConns, vms)
	usable := max(maxConns*vms/(vms+SpareVMs), vms)
	guaranteed := max(min(even, usable-others), even/2, 1)
	unused := usable - own - max(others, usable/2)
	if own == 0 || unused <= 0 {
		return guaranteed
	}
	return max(guaranteed, own+unused*own/(own+others))
}

// evenShare returns the share of each VM if all have the same.
func evenShare(maxConns, vms int) int { return max(maxConns/(vms+SpareVMs), 1) }
