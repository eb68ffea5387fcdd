package gateway

import (
	"time"

	"garnethoist.org/garnethoist/internal/retry"
)

// attemptTracker counts the attempts of one request. Each attempt goes through begin, whatever path
// the request takes, so that no target is reached without being counted against the route's
// attempts and the retry budget. It is used by one goroutine only.
type attemptTracker struct {
	// budget returns the current retry budget of the service; clock returns the time that the
	// budget uses.
	budget func() *retry.Window
	clock  func() time.Duration
	// maxAttempts is the route's limit on arrivals.
	maxAttempts int

	// arrivals counts the targets that the request has reached or is being sent to. The first
	// accepted prefill is not counted, as it is followed by the handoff to a decode target.
	arrivals int
	// prefills counts the prefills that were accepted or may have been.
	prefills int
	// retriesUsed counts the retries that were taken from the budget and used. reserved holds, for
	// each retry that was taken and is not used yet, the budget from which it was taken.
	retriesUsed int
	reserved    []*retry.Window
}

// attempt is an attempt that has been counted and is in flight.
type attempt struct {
	// prefillOnly says that the target only prefills the prompt.
	prefillOnly bool
	// budget is the budget that the retry for this attempt was taken from; nil if it needed none.
	budget *retry.Window
}

// begin counts an attempt that is about to be made. It returns false if the attempts or the budget
// are used up. A prompt is prefilled separately once at most, because a second separate prefill
// would add one arrival to that at the decode target.
func (t *attemptTracker) begin(prefillOnly bool) (attempt, bool) {
	if t.arrivals >= t.maxAttempts || (prefillOnly && t.prefills > 0) {
		return attempt{}, false
	}
	a := attempt{prefillOnly: prefillOnly}
	if t.arrivals > 0 {
		if !t.reserve() {
			return attempt{}, false
		}
		last := len(t.reserved) - 1
		a.budget, t.reserved = t.reserved[last], t.reserved[:last]
		t.retriesUsed++
	}
	t.arrivals++
	return a, true
}

// reserve takes a retry from the budget for a further attempt, unless one is reserved already. It
// returns false if no attempts are left or the budget is used up.
func (t *attemptTracker) reserve() bool {
	if t.arrivals >= t.maxAttempts {
		return false
	}
	if len(t.reserved) > 0 {
		return true
	}
	b := t.budget()
	if !b.Retry(t.clock()) {
		return false
	}
	t.reserved = append(t.reserved, b)
	return true
}

// finish records how an attempt ended. An attempt that reached no target, and the first prefill
// that is accepted, don't count as arrivals. A retry that was taken from the budget for such an
// attempt is reserved again.
func (t *attemptTracker) finish(a attempt, out outcome) {
	if a.prefillOnly && out != outcomeNotSent && out != outcomeRefused {
		t.prefills++
	}
	free := out == outcomeNotSent || (a.prefillOnly && out == outcomeAnswered)
	if !free {
		return
	}
	t.arrivals--
	if a.budget != nil {
		t.retriesUsed--
		t.reserved = append(t.reserved, a.budget)
	}
}

// releaseReserved returns the unused retries to their budgets.
func (t *attemptTracker) releaseReserved() {
	for _, b := range t.reserved {
		b.Return(t.clock())
	}
	t.reserved = nil
}
