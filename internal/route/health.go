package route

import "time"

// Health is a circuit breaker for one target. A target that fails repeatedly is
// set aside, that is, gets no requests for a time that doubles with each further
// failure. After that it gets one probe request at a time until one succeeds.
// Times are durations since an arbitrary start. It is not safe for concurrent
// use.
type Health struct {
	// failures counts the failures since the last success.
	failures      int
	setAsideUntil time.Duration
	// probing is true while a probe request is running.
	probing bool
}

const (
	// failuresToSetAside is how many consecutive failures set a target aside.
	failuresToSetAside = 2
	firstSetAside      = time.Second
	maxSetAside        = 30 * time.Second
)

// Available reports whether a request may go to the target at time now.
func (h *Health) Available(now time.Duration) bool {
	if h.failures < failuresToSetAside {
		return true
	}
	return now >= h.setAsideUntil && !h.probing
}

// Sent records that a request is being sent to the target.
func (h *Health) Sent() {
	if h.failures >= failuresToSetAside {
		h.probing = true
	}
}

// OK records a success, which makes the target fully available again.
func (h *Health) OK() { *h = Health{} }

// Failed records a failure at time now. It returns for how long the target is
// set aside, or zero if it stays available.
func (h *Health) Failed(now time.Duration) time.Duration {
	h.failures++
	h.probing = false
	if h.failures < failuresToSetAside {
		return 0
	}
	wait := firstSetAside << min(h.failures-failuresToSetAside, 10)
	wait = min(wait, maxSetAside)
	h.setAsideUntil = now + wait
	return wait
}

// Unknown records that a request ended without showing whether the target works.
func (h *Health) Unknown() { h.probing = false }
