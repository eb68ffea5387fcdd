package limit

import "time"

// Estimate is what is known of a request's chances when it arrives.
type Estimate struct {
	// Wait is the time until its work starts.
	Wait time.Duration
	// Work is the time its own work takes from then on.
	Work time.Duration
	// Deadline is the time it has.
	Deadline time.Duration
}

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	// RetryAfter is when the queue will have drained far enough, for a
	// request that is refused.
	RetryAfter time.Duration
}

// Admit lets a request in if it can finish in time. One that could not finish
// even on an idle target is let in as well: its deadline is wrong, not the
// load, and asking again later would not help.
func Admit(e Estimate) Verdict {
	spare := e.Deadline - e.Work
	if spare <= 0 || e.Wait <= spare {
		return Verdict{Admit: true}
	}
	return Verdict{RetryAfter: e.Wait - spare}
}
