package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/origin"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/retry"
)

// exchange is one caller's request and its response. It is used by one goroutine, except that
// concurrent attempts of a plain request read it and change account and trace.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// view is the configuration and the targets as of the latest decision on the request.
	view *fleet.View

	meta  Meta
	route *fleet.Route
	// service is the one of the route's services that serves the request.
	service string
	// conn is the caller's connection. bodyBytes is what is reserved there for body.
	conn      *callerConn
	body      []byte
	bodyBytes int64
	// received is set once the whole request was received.
	received bool
	// deadline is when the response must be complete.
	deadline time.Time

	// account is nil for an anonymous request. It is atomic because each attempt looks it up again,
	// possibly while another attempt is in flight.
	account atomic.Pointer[fleet.Account]
	// allowance is what the request has taken out of its account's allowance, or would have taken.
	// It is nil if the account has none.
	allowance *allowanceUse
	// tried holds the targets that must not be chosen again.
	tried place.Tried
	// attempts counts the attempts at targets and takes retries from the budget.
	attempts attemptTracker
	// limitedSends counts the sends to targets that stated a limit on requests before. It is atomic
	// because attempts may run concurrently.
	limitedSends atomic.Int64
	// sentAt is when the latest attempt at a model engine began.
	sentAt time.Time
	// quarantineReq identifies the request on all VMs. trial is set while this exchange tests
	// whether a request that is suspected of crashing targets still does so; this VM makes no other
	// attempt at the request during that time.
	quarantineReq quarantine.Request
	trial         *quarantine.ID
	// partTrial is set while this exchange tests whether a held part of its prompt still crashes targets.
	partTrial *quarantine.PartVerdict
	// unreachableCount is the number of targets that could not be reached, except those whose host
	// refused the connection.
	unreachableCount int
	// targetClosed is set once a target closed the connection before the response was complete.
	targetClosed bool
	// unanswered is set once an attempt got no response or its response was overdue. The next
	// attempt uses a new connection, because a kept-alive connection might be dead.
	unanswered bool
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// responseStarted is set once a part of the response went to the caller. status is the status
	// of a complete response. abortConn is set if the connection must be closed without a complete
	// response.
	responseStarted bool
	abortConn       bool
	status          int
	// firstByteAt is when the first byte of the response went to the caller.
	firstByteAt time.Time
	// queueTicket is set while the request is deferred, and favoredTicket too if its size is favored;
	// deferredFor is how long it has been deferred in total.
	queueTicket   *place.Ticket
	favoredTicket *place.Ticket
	deferredFor   time.Duration
	// longestGap is the longest time between two writes of events to the caller.
	longestGap time.Duration
	// admission is set once the request was sent to an engine, or refused because it could not be
	// on time. sizeClass caches the result of the method size.
	admission *admission
	sizeClass *fair.Size
	// countedAdmitted is set once x.g.sizes has counted the request as admitted.
	countedAdmitted bool
	// favor and aheadWait are place.AdmissionInput.Favor and Ahead of the latest admission decision.
	favor     float64
	aheadWait time.Duration
	// seat is the estimate with which the request was placed in the batch of its decode engine.
	// eventInterval is the measured mean time between the events of that engine's response.
	seat          *place.Seat
	eventInterval time.Duration
	// lastEventID is the id of the last event that the caller received.
	lastEventID string
	// version is the software version of the targets whose events the caller has received, or "" if it
	// has received none.
	version string
	// announced is the version at which the stream must begin, or "" if it may begin at any.
	announced string
	// originSource is what told where the stream that the caller resumes began, or "".
	originSource origin.Source
	// endsWithConn is set if the body of the latest answer ended with the target's connection. It is
	// atomic because attempts may run concurrently. trailingBytes is the number of bytes that followed
	// the last event of a stream.
	endsWithConn  atomic.Bool
	trailingBytes int
	// lastStopCheck is the latest comparison of the time that the response may need with the time
	// until the gateway ends; nil if the gateway is not stopping.
	lastStopCheck *stopCheck

	mu sync.Mutex
	// trace holds the attempts and their results for the log line; see addTrace. Guarded by mu.
	trace strings.Builder
}

// run serves the request. Its errors are of type *errkind.Error.
func (x *exchange) run() error {
	if !x.view.Usable() {
		return errkind.New(errkind.NotReady, "configuration and targets are not known yet")
	}
	if x.g.freshness.Behind() {
		return x.refusal(errkind.NotReady, nil, "other VMs know a newer configuration")
	}
	if x.g.awaitsQuarantines() {
		return x.refusal(errkind.NotReady, nil, "requests that crash targets are not known yet")
	}
	if err := x.matchRoute(); err != nil {
		return err
	}
	meta, err := x.g.proto.Meta(x.r.Header)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "%v", err)
	}
	x.meta = meta
	if err := x.identifyAccount(); err != nil {
		return err
	}
	x.setDeadline()
	if err := x.checkStop(); err != nil {
		return err
	}
	x.service = x.route.Pick(x.g.randomFloat())
	if meta.Prompt != nil {
		meta.Prompt.Limit = clock.Until(x.deadline)
		meta.Prompt.InitialLimit = meta.Prompt.Limit + x.g.callerWaits.sinceFirstTry(x.route.Name, meta.Timeout)
		meta.Prompt.BodyBytes = int(max(x.r.ContentLength, 0))
	}
	if err := x.readBody(x.view.Config.Limits); err != nil {
		return x.confirmDenial(err)
	}
	x.quarantineReq = x.quarantineRequest()
	defer x.endTrial()
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if err := x.checkParts(); err != nil {
		return err
	}
	if err := x.takeAllowance(); err != nil {
		return err
	}
	err = x.serveWithAllowance()
	x.returnAllowance(err)
	return err
}

// serveWithAllowance serves a request that its account's allowance permits.
func (x *exchange) serveWithAllowance() error {
	ctx, cancel := clock.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.g.abortCtx, cancel)()
	if err := x.findVersion(ctx); err != nil {
		return err
	}
	x.tried = place.Tried{}
	x.g.retryBudgets.forService(x.service).Request(x.g.sinceStart())
	x.attempts = attemptTracker{
		budget: func() *retry.Window { return x.g.retryBudgets.forService(x.service) }, clock: x.g.sinceStart, maxAttempts: x.route.MaxAttempts,
	}
	defer x.attempts.releaseReserved()
	if x.isGeneration() {
		return x.serveGeneration(ctx)
	}
	return x.servePlain(ctx)
}

// checkStop refuses a request that no target has run if the gateway may end before the response is
// complete. It is called again before each attempt, because the gateway may have begun to stop
// while the body was read or while a target refused an earlier attempt.
func (x *exchange) checkStop() error {
	if x.mayHaveRun {
		return nil
	}
	now := clock.Now()
	x.lastStopCheck = x.g.drain.newStopCheck(x.deadline.Sub(now), now)
	return x.lastStopCheck.check()
}

// isGeneration reports whether a model engine serves the request.
func (x *exchange) isGeneration() bool {
	s := x.view.Config.Services[x.service]
	return s != nil && s.Engine != nil && x.meta.Prompt != nil
}

// setDeadline sets the deadline from the shorter of the route's and the caller's timeouts.
func (x *exchange) setDeadline() {
	x.deadline = x.arrived.Add(effectiveTimeout(x.route.Timeout, x.meta.Timeout))
}

// effectiveTimeout returns the shorter of the two timeouts. 0 means defaultTimeout for the route
// and no timeout for the caller.
func effectiveTimeout(route, caller time.Duration) time.Duration {
	if route <= 0 {
		route = defaultTimeout
	}
	if caller > 0 && caller < route {
		return caller
	}
	return route
}

// defaultTimeout applies to routes without a timeout.
const defaultTimeout = time.Minute

// reloadView sets x.view to the newest view, so that nothing is sent to a target that has begun to
// leave since the previous view.
func (x *exchange) reloadView() { x.view = x.g.keeper.View() }

// callerWaiting reports whether the request should still be sent to a target: the caller is
// connected, the deadline has not passed and the gateway has not aborted the requests in flight.
func (x *exchange) callerWaiting(ctx context.Context) bool {
	return ctx.Err() == nil && !callerGone(x.r.Context())
}

// reserveRetry reports whether a further attempt may be made. If so, a retry is reserved for it in
// the retry budget.
func (x *exchange) reserveRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	may := x.attempts.reserve()
	x.g.stats.Retry(x.service, may)
	return may
}

// finalError returns the error for a request for which no further attempt is made.
func (x *exchange) finalError(ctx context.Context, cause error) error {
	switch {
	case callerGone(x.r.Context()):
		return errkind.Wrap(errkind.ClientGone, cause, "the caller has gone")
	case !x.mayHaveRun:
		return x.refusal(errkind.NoTarget, cause, "no target could take the request")
	case x.g.abortCtx.Err() != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "this VM stops; the request may have run")
	case unusable(cause) != "":
		return x.refusal(errkind.TargetFailed, cause, unusable(cause)+"; the request may have run")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "no answer in time")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, cause, "the target did not answer; the request may have run")
}

// unusable returns what is wrong with a response that is none or too large, or "" if err has another cause.
func unusable(err error) string {
	switch {
	case errors.Is(err, httpsend.ErrMalformed):
		return "the target sent bytes that are no response"
	case errors.Is(err, body.ErrTooLarge):
		return "the target's response is larger than " + strconv.Itoa(maxBufferedBody) + " bytes"
	case errors.Is(err, errEventTooLarge):
		return "an event of the target's stream is larger than " + strconv.Itoa(maxEvent) + " bytes"
	}
	return ""
}

// refusalRetryAfter is the retry delay for refusals whose reason is likely to pass soon.
const refusalRetryAfter = 100 * time.Millisecond

// refusal returns an error of the given kind with refusalRetryAfter as its delay.
func (x *exchange) refusal(kind errkind.Kind, cause error, detail string) error {
	e := errkind.Wrap(kind, cause, "%s", detail)
	e.RetryAfter = refusalRetryAfter
	return e
}

// writeError sends e to the caller as the response.
func (x *exchange) writeError(e *errkind.Error) {
	x.responseStarted = true
	resp := e.Response()
	x.status = resp.Status
	if e.Kind == errkind.ClientGone {
		// If the caller closed only its sending side, net/http would send it a default response.
		x.abortConn = true
		return
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(errkind.HeaderOutcome, string(resp.Outcome))
	if resp.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.RetryAfter.Seconds(), 'f', -1, 64))
	}
	x.writeHeader(resp.Status)
	// A failed write means that the caller has closed its connection.
	_, _ = x.w.Write(errkind.Body(e))
}

// writeHeader sends the response header. If the gateway is stopping or is short of connections, it
// has the connection closed after the response.
func (x *exchange) writeHeader(status int) {
	if x.g.drain.stopping() || x.g.conns.usedAtLeast(closeAfterResponseShare) {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// endedLocally reports whether the caller left or the gateway's shutdown aborted the request. If it
// returns true, the failure of an attempt says nothing about the target.
func (x *exchange) endedLocally() bool {
	return x.r.Context().Err() != nil || x.g.abortCtx.Err() != nil
}
