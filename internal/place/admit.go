package place

import "time"

// Verdict is the outcome of an admission decision.
type Verdict int

// The possible verdicts.
const (
	// Send means that the request is sent to the chosen target.
	Send Verdict = iota + 1
	// Defer means that the request waits at this VM until an engine is nearly idle: its answer
	// would be late, and it would delay others.
	Defer
	// Refuse means that the request could not be served in time at all.
	Refuse
)

// Reason states why a request was deferred or refused.
type Reason string

// The possible reasons.
const (
	// TooLongToRead: prefilling the prompt alone takes longer than the caller waits.
	TooLongToRead Reason = "too_long_to_read"
	// BehindPrompts: the prompts that the targets still have to prefill take too long.
	BehindPrompts Reason = "behind_prompts"
	// NoSeat: the batches that the request could join are full, and the wait for a seat is longer
	// than the one for pending prompts.
	NoSeat Reason = "no_seat"
	// NotItsTurn: the requests that are deferred on all VMs need the capacity that is free.
	NotItsTurn Reason = "not_its_turn"
	// QueueFull: the requests deferred earlier take up the time that this one has left.
	QueueFull Reason = "queue_full"
)

// Decision is a verdict and, unless the request is sent, the reason for it.
type Decision struct {
	Verdict Verdict
	Reason  Reason
}

const (
	// onTimeShare is the part of the objective within which an answer is planned to begin. The rest
	// allows for errors of the estimate.
	onTimeShare = 0.9
	// maxOwnShare is the part of the objective up to which the prefill of the request itself
	// counts. A longer prefill is late in any case, and the request would be refused whenever
	// engines are busy.
	maxOwnShare = 0.4
	// idleShare is the part of the objective that pending prompts at an engine may take for a
	// request to be sent although it is late already. Requests that arrive later are still on time
	// behind it.
	idleShare = 0.3
	// queuedShare is the part of a request's remaining time that the requests deferred earlier may
	// take all engines together. It is small because only a part of the engines is free for them.
	queuedShare = 0.25
	// prefillMargin is the factor by which a prefill may take longer than estimated.
	prefillMargin = 1.25
	// deferShare is the part of the time to the first event for which a request is deferred at
	// most. Its caller is then told to come back, and has as much time again for that.
	deferShare = 0.5
)

// AdmissionInput holds the inputs of an admission decision for one request.
type AdmissionInput struct {
	// Objective is the route's time to the first event, and Waited the time since the caller's
	// first try.
	Objective time.Duration
	Waited    time.Duration
	// TimeLeft is the time that the caller still allows for the whole answer, and Patience for its
	// first event. A Patience of 0 means no such limit.
	TimeLeft time.Duration
	Patience time.Duration
	// HeldFor is how long this VM has had the request.
	HeldFor time.Duration
	// QueueTime is the time that the requests deferred earlier will take all engines together.
	QueueTime time.Duration
	// QueuedPrefill is the prefill time of the requests deferred on all VMs, including this one, or 0 if
	// this one has not been deferred. Look is the time between two checks of a deferred request.
	QueuedPrefill time.Duration
	CheckInterval time.Duration
	// Favor is the part of the request's own prefill time that is not counted, from 0 to 1. It
	// favors prompt sizes that are admitted less often than others.
	Favor float64
	// Random is uniform in [0, 1).
	Random float64
}

// timeLeft returns how soon the answer must begin to be of use. The duration of the answer is not
// considered, as callers' estimates of its length are often several times off.
func (a AdmissionInput) timeLeft() time.Duration {
	if a.Patience > 0 {
		return min(a.TimeLeft, a.Patience)
	}
	return a.TimeLeft
}

// idleWait returns the queueing delay up to which a target counts as idle.
func idleWait(objective time.Duration) time.Duration {
	return time.Duration(idleShare * float64(objective))
}

// maxWait returns the longest queueing delay at which a request with a prefill time of own is sent:
// the answer is still on time, or the target counts as idle.
func (a AdmissionInput) maxWait(own time.Duration) time.Duration {
	own = time.Duration((1 - a.Favor) * float64(min(own, time.Duration(maxOwnShare*float64(a.Objective)))))
	return max(time.Duration(onTimeShare*float64(a.Objective))-a.Waited-own, idleWait(a.Objective))
}

// MaxWait returns the longest queueing delay before the prefill time of the request is known.
func (a AdmissionInput) MaxWait() time.Duration { return a.maxWait(0) }

// isTurn reports whether a deferred request may be sent now.
//
// Load pattern: after a burst, hundreds of requests are deferred on as many VMs. When an engine
// becomes idle, all VMs learn it from the same report and would send at once. Each request is
// therefore sent with a probability at which the requests that are checked during the age of a
// report fill the free capacity once.
func isTurn(c Choice, a AdmissionInput) bool {
	if a.QueuedPrefill <= 0 {
		return true
	}
	checking := float64(a.QueuedPrefill) * min(1, float64(c.ReportAge)/float64(max(a.CheckInterval, 1)))
	return a.Random*checking <= float64(max(c.FreeCapacity, 0))
}

// Admit decides whether a request is sent to the chosen target. In a burst, prompts arrive faster
// than the engines prefill them. If all were sent, all would be late until the backlog is done.
// Requests that are on time therefore go first. The others are deferred until engines are nearly
// idle, and are answered late but completely while there is time left.
func Admit(c Choice, a AdmissionInput) Decision {
	left := a.timeLeft()
	lastCheck := a.HeldFor > time.Duration(deferShare*float64(left+a.HeldFor))
	inTime := c.Wait() <= a.maxWait(c.OwnPrefill)
	switch {
	case time.Duration(prefillMargin*float64(c.OwnPrefill)) > left:
		return Decision{Refuse, TooLongToRead}
	case inTime && (lastCheck || isTurn(c, a)):
		return Decision{Verdict: Send}
	case lastCheck:
		return Decision{Refuse, c.waitReason()}
	case a.QueueTime > time.Duration(queuedShare*float64(left)):
		return Decision{Refuse, QueueFull}
	case inTime:
		return Decision{Defer, NotItsTurn}
	}
	return Decision{Defer, c.waitReason()}
}

// waitReason returns what causes most of the expected wait.
func (c Choice) waitReason() Reason {
	if 2*c.SeatWait > c.Wait() {
		return NoSeat
	}
	return BehindPrompts
}
