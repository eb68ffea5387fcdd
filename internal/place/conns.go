package place

import "time"

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

// ConnLimit returns how many connections this VM may have to a target, which accepts maxConns from all VMs. vms is
// the number of VMs. A VM that gets most callers may use what the others leave, but for half of their even shares,
// which they can use without having told anybody.
func (p *Placer) ConnLimit(runID string, maxConns, vms int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateByID(runID)
	s.conns.sample(requests(s.ownWork), now, 2*p.others.Age())
	return connLimit(maxConns, vms, s.conns.known, requests(p.others.Work(runID)))
}

// requests returns the number of requests in progress in w.
func requests(w Work) int { return w.Running + w.Prefills }

// connLimit returns the limit of a VM whose requests at the target are known to the other VMs to be own, and who
// have others in progress there. Each VM has its even share, or half of it while the target has no more left. What
// is unused beside the half shares goes to the VMs in proportion to their requests, so that all of them together do
// not take more than there is if they grow at the same time.
func connLimit(maxConns, vms, own, others int) int {
	even := max(maxConns/vms, 1)
	guaranteed := max(min(even, maxConns-others), even/2, 1)
	unused := maxConns - own - max(others, maxConns*(vms-1)/(2*vms))
	if own == 0 || unused <= 0 {
		return guaranteed
	}
	return max(guaranteed, own+unused*own/(own+others))
}
