package soak

import "time"

// statedLimit is a limit that a target states on the requests which it accepts from all VMs
// together.
type statedLimit struct {
	since time.Duration
	perS  float64
	// told holds when each VM first passed on an answer of the target since the limit began.
	told map[string]time.Duration
	// arrivals holds the times of the requests that count against the limit, within limitWindow.
	arrivals []time.Duration
}

// passedOn records that a VM has passed on an answer that states the limit.
func (l *statedLimit) passedOn(vm string, at time.Duration) {
	if _, ok := l.told[vm]; !ok {
		l.told[vm] = at
	}
}

// knownTo reports whether a VM had passed on an answer with the limit limitNoticeTime before at.
func (l *statedLimit) knownTo(vm string, at time.Duration) bool {
	told, ok := l.told[vm]
	return ok && at-told >= limitNoticeTime
}

// allowed returns how many requests may arrive within limitWindow.
func (l *statedLimit) allowed() int {
	return int(limitRatio*l.perS*limitWindow.Seconds()) + limitSlack
}

// arrive records a request that counts against the limit, and returns the number of those within
// limitWindow.
func (l *statedLimit) arrive(at time.Duration) int {
	for len(l.arrivals) > 0 && at-l.arrivals[0] >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, at)
	return len(l.arrivals)
}

// LimitStated records that a target states a limit on requests, in requests a second.
func (c *Checker) LimitStated(target string, perS float64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[target] = &statedLimit{since: at, perS: perS, told: make(map[string]time.Duration)}
}

// LimitEnded records that a target states no limit any more.
func (c *Checker) LimitEnded(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, target)
}

// checkLimit checks that a request which a target receives is within the limit that the target
// states. A request of a VM that is disturbed, or that does not know of the limit, does not count.
// The caller must hold c.mu.
func (c *Checker) checkLimit(r *request, target string, at time.Duration) {
	l := c.limits[target]
	if l == nil || r == nil || at-l.since < limitSettleTime || !l.knownTo(r.vm, at) || !c.undisturbed(at-undisturbedBefore, at, r.vm) {
		return
	}
	n := l.arrive(at)
	c.check(LimitKept, n <= l.allowed(), at, "%s, limited to %g a second, gets %d requests in %s, allowed %d",
		target, l.perS, n, limitWindow, l.allowed())
}
