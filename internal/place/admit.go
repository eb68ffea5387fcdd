package place

import "time"

// Verdict is the outcome of an admission decision.
type Verdict int

// The possible verdicts.
const (
	// Send means that the request is sent to the chosen target.
	Send Verdict = iota + 1
	// Defer means that the request waits at this VM until an engine is nearly idle. If the request
	// were sent at once, its answer would be late, and it would delay other requests.
	Defer
	// Refuse means that the request could not be served in time at all.
	Refuse
)

// Reason states why a request was deferred or refused.
type Reason string

// The possible reasons.
const (
	// TooLongToPrefill: the prefill of the request's own prompt takes longer than its caller waits.
	TooLongToPrefill Reason = "too_long_to_read"
	// BehindPrompts: the prompts that the targets still have to prefill take too long.
	BehindPrompts Reason = "behind_prompts"
	// NoSeat: the batches that the request could join are full, and the wait for a seat, which is a
	// free place in one of them, is longer than the wait for pending prompts.
	NoSeat Reason = "no_seat"
	// BehindFavored: deferred requests of the same route go first, as their sizes are served less often.
	BehindFavored Reason = "behind_favored"
	// NotItsTurn: the requests that are deferred on all VMs need more than the capacity that is
	// free, and this request was not drawn at random to be sent now.
	NotItsTurn Reason = "not_its_turn"
	// QueueFull: the requests deferred earlier take up too much of the time that this request has
	// left.
	QueueFull Reason = "queue_full"
)

// Decision is a verdict and, unless the request is sent, the reason for it.
type Decision struct {
	Verdict Verdict
	Reason  Reason
}

const (
	// onTimeShare is the fraction of the objective within which an answer is planned to begin, and of the time
	// left within which a resumed one is planned to go on. The rest allows for errors of the estimate.
	onTimeShare = 0.9
	// maxOwnShare limits the time that is counted for the request's own prefill, as a fraction of
	// the objective. Without the limit, a request whose own prefill takes longer would be refused
	// whenever engines are busy.
	maxOwnShare = 0.4
	// idleShare is the largest fraction of the objective that the pending prompts at an engine may
	// take for the engine to count as idle. A request that is late already is still sent to an idle
	// engine: requests that arrive later can wait for it and still be on time.
	idleShare = 0.3
	// queuedShare is the largest fraction of a request's remaining time that the requests deferred
	// earlier may take if they are divided over all engines. The fraction is small because only
	// some of the engines are free for these requests.
	queuedShare = 0.25
	// prefillMargin is the factor by which the estimated time of a request's own prefill is
	// multiplied before the result is compared with the time left, because a prefill may take
	// longer than estimated.
	prefillMargin = 1.25
	// yieldShare is the largest fraction of its allowed wait that a size gives up while other sizes are
	// admitted less often.
	yieldShare = 0.3
	// deferShare limits how long a request is deferred, as a fraction of the time within which its
	// answer must begin. After that the caller is told to try again, and as much time is left for
	// the next try.
	deferShare = 0.5
)

// AdmissionInput holds the inputs of an admission decision for one request.
type AdmissionInput struct {
	// Objective is the time to the first event that the route aims for, and Waited the time since
	// the caller's first try.
	Objective time.Duration
	Waited    time.Duration
	// TimeLeft is the time that the caller still allows for the whole answer, and Patience the time
	// that it still allows for the first event. A Patience of 0 means no such limit.
	TimeLeft time.Duration
	Patience time.Duration
	// Resumes says that the request resumes a stream that has begun. Then the answer goes on in time if it does
	// before the caller gives up, however long ago the first try was.
	Resumes bool
	// HeldFor is how long this VM has had the request.
	HeldFor time.Duration
	// QueueTime is the time that the engines, all together, will take for the requests deferred
	// earlier.
	QueueTime time.Duration
	// QueuedPrefill is the total prefill time of the requests deferred on all VMs, including the
	// request itself, or 0 if the request has not been deferred. CheckInterval is the time between
	// two checks of whether a deferred request can be sent.
	QueuedPrefill time.Duration
	CheckInterval time.Duration
	// Ahead is the time that the engines, all together, will take for deferred requests that go first.
	Ahead time.Duration
	// Favor is above 0 for a prompt size that is admitted less often than others, and below 0 for one
	// that is admitted more often, from -1 to 1. It is the fraction of the request's own prefill time
	// that is not counted or, if negative, that of yieldShare by which the allowed wait is reduced.
	Favor float64
	// Random is a random number, uniform in [0, 1).
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

// idleWait returns the longest queueing delay with which a target counts as idle.
func idleWait(objective time.Duration) time.Duration {
	return time.Duration(idleShare * float64(objective))
}

// maxWait returns the longest queueing delay with which a request is sent. This is the larger of
// two delays: the longest at which the answer is on time, and the longest at which the target
// counts as idle. own is the estimated time of the request's own prefill.
func (a AdmissionInput) maxWait(own time.Duration) time.Duration {
	own = time.Duration((1 - max(a.Favor, 0)) * float64(min(own, time.Duration(maxOwnShare*float64(a.Objective)))))
	yielded := 1 - yieldShare*max(-a.Favor, 0)
	return max(time.Duration(yielded*onTimeShare*float64(a.Objective))-a.Waited-own, time.Duration(yielded*float64(idleWait(a.Objective))))
}

// maxResumeWait returns the longest queueing delay with which a request that resumes a stream is sent: with which
// the stream goes on in time, but at least that of a new request, as the estimate of its own prefill, own, may be
// too long.
func (a AdmissionInput) maxResumeWait(own time.Duration) time.Duration {
	asNew := a
	asNew.Waited = 0
	return max(time.Duration(onTimeShare*float64(a.timeLeft()))-own, asNew.maxWait(own))
}

// MaxWait returns the longest queueing delay with which the request is sent. It is for use while
// the time of the request's own prefill is not known yet, and counts that prefill as 0.
func (a AdmissionInput) MaxWait() time.Duration {
	if a.Resumes {
		return a.maxResumeWait(0)
	}
	return a.maxWait(0)
}

// isTurn reports whether a deferred request may be sent now.
//
// Load pattern: after a burst, hundreds of requests are deferred on as many VMs. When an engine
// becomes idle, all VMs learn of this from the same report and would send at once. Each request is
// therefore sent only with some probability, which is chosen so that the requests checked by all
// VMs within the age of a report together fill the free capacity once.
func isTurn(c Choice, a AdmissionInput) bool {
	if a.QueuedPrefill <= 0 {
		return true
	}
	checking := float64(a.QueuedPrefill) * min(1, float64(c.ReportAge)/float64(max(a.CheckInterval, 1)))
	return a.Random*checking <= float64(max(c.FreeCapacity, 0))
}

// Admit decides whether a request is sent to the chosen target, deferred or refused. In a burst,
// prompts arrive faster than the engines prefill them. If all were sent, all would be late until
// the backlog is done. Requests that can be on time are therefore sent first. The others are
// deferred until engines are nearly idle; they are answered late but completely, as long as their
// callers still have time.
//
// A request is refused for its own prefill only if prefills of its size have been observed. An
// estimate from smaller ones may be too long, and would never be corrected if it refused all
// requests of that size.
//
// A request that resumes a stream does not stand behind new ones: its caller has a part of the answer, and the
// engines have already done work for it.
func Admit(c Choice, a AdmissionInput) Decision {
	left := a.timeLeft()
	lastCheck := a.HeldFor > time.Duration(deferShare*float64(left+a.HeldFor))
	own := time.Duration(prefillMargin * float64(c.OwnPrefill))
	reason := c.waitReason()
	inTime := c.Wait() <= a.maxWait(c.OwnPrefill) && (!c.PrefillKnown || c.Wait()+own <= left)
	if inTime && c.Wait()+a.Ahead > a.maxWait(c.OwnPrefill) {
		inTime, reason = false, BehindFavored
	}
	switch {
	case c.PrefillKnown && own > left:
		return Decision{Refuse, TooLongToPrefill}
	case a.Resumes:
		return admitResumed(c, a, c.PrefillKnown && c.Wait()+own > left, lastCheck)
	case inTime && (lastCheck || isTurn(c, a)):
		return Decision{Verdict: Send}
	case lastCheck:
		return Decision{Refuse, reason}
	case a.QueueTime > time.Duration(queuedShare*float64(left)):
		return Decision{Refuse, QueueFull}
	case inTime:
		return Decision{Defer, NotItsTurn}
	}
	return Decision{Defer, reason}
}

// admitResumed is Admit for a request that resumes a stream and whose prompt can be prefilled in time. tooLate says
// that it can't be behind the prompts that are pending at the target.
func admitResumed(c Choice, a AdmissionInput, tooLate, lastCheck bool) Decision {
	switch {
	case !tooLate && c.Wait() <= a.maxResumeWait(c.OwnPrefill):
		return Decision{Verdict: Send}
	case lastCheck:
		return Decision{Refuse, c.waitReason()}
	}
	return Decision{Defer, c.waitReason()}
}

// waitReason returns the cause of most of the expected wait: NoSeat or BehindPrompts.
func (c Choice) waitReason() Reason {
	if 2*c.SeatWait > c.Wait() {
		return NoSeat
	}
	return BehindPrompts
}
