package route

import "time"

// Health decides when a target that fails is set aside and when it is tried
// again: after a wait that doubles, with one request at a time.
type Health struct {
	failures int
	until    time.Duration
	trying   bool
}

const (
	// failuresToSetAside is how many failures in a row set a target aside.
	failuresToSetAside = 2
	firstSetAside      = time.Second
	maxSetAside        = 30 * time.Second
)

// Available reports whether a request may go to the target at time now.
func (h *Health) Available(now time.Duration) bool {
	if h.failures < failuresToSetAside {
		return true
	}
	return now >= h.until && !h.trying
}

// Sent notes that a request goes to the target.
func (h *Health) Sent() {
	if h.failures >= failuresToSetAside {
		h.trying = true
	}
}

// OK notes a success; the target is whole again.
func (h *Health) OK() { *h = Health{} }

// Failed notes a failure at time now and returns for how long the target is
// set aside, or zero.
func (h *Health) Failed(now time.Duration) time.Duration {
	h.failures++
	h.trying = false
	if h.failures < failuresToSetAside {
		return 0
	}
	wait := firstSetAside << min(h.failures-failuresToSetAside, 10)
	wait = min(wait, maxSetAside)
	h.until = now + wait
	return wait
}

// Unknown notes that a try told nothing of the target.
func (h *Health) Unknown() { h.trying = false }
