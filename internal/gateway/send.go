package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// outcome is how one attempt at a target ended.
type outcome int

const (
	// outcomeNotSent means that the target could not be reached.
	outcomeNotSent outcome = iota + 1
	// outcomeWithheld means that the request must not be sent to any further target.
	outcomeWithheld
	// outcomeRefused means that the target stated that it has not run the request.
	outcomeRefused
	// outcomeUnknown means that the request was sent and may have run.
	outcomeUnknown
	// outcomeAnswered means that the header of the target's response has been received.
	outcomeAnswered
)

// Range of the time for which data sent to a target may stay unacknowledged. Linux detects a dead
// connection some 400 ms after that time, because the time counts from the first retransmission,
// which comes after 200 ms. Within the range it is a fraction of the time left until the deadline,
// in steps of minUnacked, so that most requests on a kept-alive connection need no system call to
// change it.
const (
	minUnacked     = 250 * time.Millisecond // lower limit of unackedTimeout
	maxUnacked     = time.Second            // upper limit of unackedTimeout
	unackedDivisor = 8                      // between the limits, the timeout is the time left divided by unackedDivisor
	// maxUnackedOnce is the limit for a request that must not be sent to another target. A sound engine
	// may be silent for a second, and giving it up gains nothing. After it the caller of a stream whose
	// connection is lost has left.
	maxUnackedOnce = 2500 * time.Millisecond
)

// unackedTimeout returns the limit for unacknowledged data of a request with the given time left. If the
// request may be sent to another target, the limit is short compared to the time left, so that enough
// time remains for that.
func unackedTimeout(left time.Duration, repeatable bool) time.Duration {
	if !repeatable {
		return maxUnackedOnce
	}
	return min(max((left/unackedDivisor).Truncate(minUnacked), minUnacked), maxUnacked)
}

// maxStreamConnIdle is the longest time for which a kept-alive connection may have been idle when a
// stream that must not be sent twice uses it. If a connection dies, only the requests of the next
// half second are sent on it. Opening a new connection for every such stream instead tripled the
// number of connections opened on a day without faults.
const maxStreamConnIdle = 500 * time.Millisecond

// destination returns the connection settings for an attempt at t. A kept-alive connection may be
// dead, or the target may be closing it. A non-idempotent request, and one whose previous attempt
// was lost, therefore gets a new connection. Any other request that must not run twice gets one
// that has been idle for maxStreamConnIdle at most, unless it is a prefill, which may always be
// repeated.
func (x *exchange) destination(t *fleet.Target, d Directive) httpsend.Destination {
	to := x.g.destination(x.view, t, x.unanswered || x.route.Kind == fleet.NonIdempotent)
	if !d.PrefillOnly && !x.route.Repeatable() {
		to.MaxIdleTime = maxStreamConnIdle
	}
	return to
}

// errNoAttemptLeft means that the attempts of the request or the retry budget are used up.
var errNoAttemptLeft = errors.New("gateway: no further attempt is allowed")

// send makes one attempt at t. If the outcome is outcomeAnswered, it returns the response and
// leaves the ticket to the calling function. With any other outcome the response is nil and the
// ticket has been ended.
func (x *exchange) send(ctx context.Context, t *fleet.Target, d Directive, ticket *place.Ticket) (*httpsend.Response, outcome, error) {
	a, err := x.beginAttempt(t, d.PrefillOnly)
	if err != nil {
		x.addTrace(t, "withheld", err)
		ticket.End(place.Neutral, clock.Now())
		return nil, outcomeWithheld, err
	}
	x.sentAt = clock.Now()
	resp, out, err := x.sendTo(ctx, x.destination(t, d), t, d, ticket)
	counted := out
	if d.PrefillOnly && resp != nil && resp.Status != http.StatusOK {
		// The target has the request and may not have treated it as a prefill.
		counted = outcomeUnknown
	}
	x.attempts.finish(a, counted)
	x.unanswered = x.unanswered || out == outcomeUnknown
	if out == outcomeUnknown {
		x.checkTargetExit(t, err, x.sentAt, 0)
	}
	return resp, out, err
}

// sendTo sends the request to t with the connection settings in to, without counting an attempt. It
// may be called concurrently.
func (x *exchange) sendTo(ctx context.Context, to httpsend.Destination, t *fleet.Target, d Directive, ticket *place.Ticket) (*httpsend.Response, outcome, error) {
	d.TargetID = t.ID
	x.countLimitedSend(t)
	d.Remaining, d.Account = clock.Until(x.deadline), x.accountName()
	req := &httpsend.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host,
		Header: x.g.proto.TargetHeader(x.r.Header, d), Body: x.body, UnackedTimeout: unackedTimeout(d.Remaining, d.PrefillOnly || x.route.Repeatable()),
		BeforeSend: x.keyStillValid,
	}
	match := func(status int, h http.Header) bool { return x.g.proto.BelongsTo(x.meta.ID, status, h) }
	resp, err := x.g.client.Send(ctx, to, req, match)
	if err != nil {
		return nil, x.noteSendFailure(ctx, t, ticket, err), err
	}
	x.noteLimit(t, resp.Header)
	switch x.g.proto.Verdict(resp.Status, resp.Header, d.PrefillOnly) {
	case Refused:
		x.addTrace(t, "refused", nil)
		drainBody(resp)
		ticket.End(place.Refused, clock.Now())
		return nil, outcomeRefused, errors.Errorf("status %d", resp.Status)
	case Invalid:
		x.addTrace(t, "invalid", nil)
		resp.Close()
		ticket.End(place.Bad, clock.Now())
		return nil, outcomeUnknown, errors.Errorf("status %d without a signature", resp.Status)
	}
	return resp, outcomeAnswered, nil
}

// countLimitedSend counts a send to a target that states a limit, for the log line.
func (x *exchange) countLimitedSend(t *fleet.Target) {
	if x.g.placer.Limited(t) {
		x.limitedSends.Add(1)
	}
}

// noteLimit records the limit on requests that a target's response states, and logs a change of it.
func (x *exchange) noteLimit(t *fleet.Target, h http.Header) {
	perS, stated := x.g.proto.Limit(h)
	l := place.RateLimit{Stated: stated, PerS: perS}
	if !x.g.placer.ObserveLimit(t, l, clock.Now()) {
		return
	}
	x.g.stats.TargetLimit(t.Service, stated)
	x.g.log.Info(telemetry.EventTargetLimit, telemetry.F("target", t.ID), telemetry.F("stated", stated),
		telemetry.F("per_s", perS), telemetry.F("service", t.Service), telemetry.F("request", x.meta.ID))
}

// noteSendFailure records a failed send in the trace, ends its ticket and returns the outcome.
func (x *exchange) noteSendFailure(ctx context.Context, t *fleet.Target, ticket *place.Ticket, err error) outcome {
	now := clock.Now()
	var sendErr *httpsend.Error
	notSent := errors.As(err, &sendErr) && sendErr.Phase == httpsend.NotSent
	x.addTrace(t, "failed", err)
	switch {
	case x.endedLocally() || errors.Is(err, httpsend.ErrConnLimit):
		ticket.End(place.Neutral, now)
	case notSent:
		ticket.End(place.Unreachable, now)
	default:
		ticket.End(failureResult(err), now)
	}
	if notSent {
		return outcomeNotSent
	}
	return outcomeUnknown
}

// failureResult returns the result of a request that was sent and failed with err. A connection whose
// other end acknowledges nothing is lost by the network, for all that this VM can tell.
func failureResult(err error) place.Result {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return place.Lost
	}
	return place.Bad
}

// noteUnreachable counts a target that could not be reached and reports whether another one may be
// tried. A host that refuses the connection costs no time and is not counted: if many targets have
// just exited, the request goes on to those that are up.
func (x *exchange) noteUnreachable(err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		x.unreachableCount++
	}
	return x.unreachableCount < maxUnreachable
}

// drainBody reads a short response to its end, so that the connection can be reused.
func drainBody(resp *httpsend.Response) {
	defer resp.Close()
	// If the rest cannot be read, Close closes the connection; the status is known already.
	_, _ = io.CopyN(io.Discard, resp, maxRefusalBody)
}

// maxRefusalBody is how much of the body of a refusal is read.
const maxRefusalBody = 4 << 10
