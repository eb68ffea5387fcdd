package gateway

import (
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/place"
)

// admit decides whether the request is sent to the chosen target, deferred or refused. A deferred
// request waits at this VM, and admit is called for it again later; see waitDeferred. A request is
// always sent if it was sent to a target before, or if its route has no objective, that is, no
// configured time within which the response must begin.
func (x *exchange) admit(c place.Choice) place.Decision {
	if x.attempts.arrivals > 0 || x.mayHaveRun || x.route.Objective <= 0 {
		return place.Decision{Verdict: place.Send}
	}
	in := x.admissionInput(clock.Now())
	in.Favor = x.g.sizes.Favor(x.route.Name, x.size())
	x.addQueueState(&in, c)
	x.favor, x.aheadWait = in.Favor, in.Ahead
	return place.Admit(c, in)
}

// admissionInput returns the part of the admission input that does not depend on the chosen target.
func (x *exchange) admissionInput(now time.Time) place.AdmissionInput {
	in := place.AdmissionInput{
		Objective: x.route.Objective,
		Waited:    x.g.callerWaits.sinceFirstTry(x.route.Name, x.meta.Timeout) + now.Sub(x.arrived),
		TimeLeft:  x.deadline.Sub(now),
		HeldFor:   now.Sub(x.arrived),
		Resumes:   x.version != "",
	}
	if x.route.Patience > 0 {
		in.Patience = max(x.arrived.Add(x.route.Patience).Sub(now), 1)
	}
	return in
}

// addQueueState sets the fields of in that depend on the requests deferred on all VMs that x competes
// with: Ahead, and if x is a new request, QueueTime, the time that all engines together need for them. If x
// is deferred itself, the fields are QueuedPrefill, which is their total prefill time, and those by
// which place.Admit decides whether it is the turn of x.
func (x *exchange) addQueueState(in *place.AdmissionInput, c place.Choice) {
	targets := x.view.Targets[x.service]
	q := x.g.placer.QueueFor(targets, x.route.Name, in.Favor > 0)
	in.Ahead = q.Ahead
	if x.queueTicket == nil {
		in.QueueTime = q.Prefill / time.Duration(max(len(targets), 1))
		return
	}
	in.QueuedPrefill, in.CheckInterval, in.Random = q.Prefill, recheckDelay(c), x.g.randomFloat()
}

// refuseLate records the refusal of a request that cannot be served in time and returns its error.
func (x *exchange) refuseLate(c place.Choice) error {
	x.addTrace(c.Target, "full~"+strconv.FormatInt(c.Expected.Milliseconds(), 10), nil)
	e := errkind.New(errkind.CannotFinish, "the engines are full; the answer would begin in %d ms", c.Expected.Milliseconds())
	e.RetryAfter = x.retryAfter()
	return e
}

// limitsUsedUp reports whether the request could be sent to some target if the limits that targets
// state on requests were not used up.
func (x *exchange) limitsUsedUp() bool {
	return x.g.placer.LimitsUsedUp(x.candidates(), x.tried, clock.Now())
}

// refuseLimited returns the error of a request that no target may be sent because of the limits that
// the targets state.
func (x *exchange) refuseLimited() error {
	e := errkind.New(errkind.TargetsLimited, "the targets limit their requests, and this VM's share of the limits is used up")
	e.RetryAfter = x.retryAfter()
	if x.route.Objective <= 0 {
		e.RetryAfter = refusalRetryAfter
	}
	return e
}

// Range of the retry delay given to refused callers, in multiples of the route's objective. Callers
// accept a delay of at most a third of their remaining time.
const (
	// minRetryObjectives is the shortest retry delay, in multiples of the route's objective.
	minRetryObjectives = 1.2
	// maxRetryObjectives is the longest retry delay, in multiples of the route's objective.
	maxRetryObjectives = 3.0
)

// retryAfter returns the delay after which a refused caller should retry. It is random, so that
// refused callers don't all retry at once.
func (x *exchange) retryAfter() time.Duration {
	objectives := minRetryObjectives + (maxRetryObjectives-minRetryObjectives)*x.g.randomFloat()
	wait := time.Duration(objectives * float64(x.route.Objective))
	return min(wait, clock.Until(x.deadline)/3).Round(time.Millisecond)
}

// waitEstimator estimates how long ago callers first sent a request. Each request states as its
// timeout how long its caller still waits. The longest timeout seen on a route is taken to be the
// timeout that callers state on their first try. A waitEstimator is safe for concurrent use; the
// zero value is ready.
type waitEstimator struct {
	mu             sync.Mutex
	longestTimeout map[string]time.Duration
}

// sinceFirstTry estimates how long ago the caller of a request with the given remaining timeout
// first sent it. A timeout of 0 means that the caller gave no timeout; in this case the result is
// 0.
func (w *waitEstimator) sinceFirstTry(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longestTimeout == nil {
		w.longestTimeout = make(map[string]time.Duration)
	}
	w.longestTimeout[route] = max(w.longestTimeout[route], timeout)
	return w.longestTimeout[route] - timeout
}
