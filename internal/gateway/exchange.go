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

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/retry"
)

// exchange is one caller's request and its answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	view    *fleet.View

	meta     Meta
	route    *fleet.Route
	service  string
	body     []byte
	deadline time.Time

	// account is nil for an anonymous request. Each send looks it up anew, also beside another.
	account atomic.Pointer[fleet.Account]
	// tried holds the targets that are not to be chosen again.
	tried place.Tried
	// sends counts the sends of the request.
	sends sends
	// sentAt is when the newest send to a model engine began.
	sentAt time.Time
	// request tells it from others at every VM, and trial is set while it is a suspect that
	// is being tried.
	request quarantine.Request
	trial   *quarantine.ID
	// misses counts the targets that could not be reached and whose hosts did not say so.
	misses int
	// brokenOff is set once a target broke off its answer, or gave none.
	brokenOff bool
	// unanswered is set once a send had no answer, or an overdue one: the next one
	// is not to meet a silent connection too.
	unanswered bool
	// ran is set once a target may have run the request.
	ran bool
	// began is set once the caller has a part of the answer; status is that of
	// a complete one. cut is set where the connection must end without one.
	began  bool
	cut    bool
	status int
	// first is when the first byte of the answer went to the caller.
	first time.Time
	// queued is set while the request is deferred, and deferredFor is how long it has been.
	queued      *place.Ticket
	deferredFor time.Duration
	// longestGap is the longest pause between two writes of a stream's events.
	longestGap time.Duration
	// admission is set once the request was sent or refused, and bands once its size was placed.
	admission *admission
	bands     *fair.Size
	// seat is what the choice of the engine that runs the request rests on, and eventPause
	// the mean time between the events that it has made.
	seat       *place.Seat
	eventPause time.Duration
	// lastEvent is the id of the last event of a stream that the caller has.
	lastEvent string
	// stop is what a stopping VM weighed when it took or refused the request.
	stop *stopCheck

	mu sync.Mutex
	// trail is the request's sends for its log line; mu guards it.
	trail strings.Builder
}

// run serves the request. An error is an *errkind.Error.
func (x *exchange) run() error {
	if !x.view.Usable() {
		return errkind.New(errkind.NotReady, "configuration and targets are not known yet")
	}
	if x.g.known.Behind() {
		return x.refusal(errkind.NotReady, nil, "other VMs know a newer configuration")
	}
	if err := x.match(); err != nil {
		return err
	}
	meta, err := x.g.proto.Meta(x.r.Header)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "%v", err)
	}
	x.meta = meta
	if err := x.identify(); err != nil {
		return err
	}
	x.setDeadline()
	if err := x.checkStop(); err != nil {
		return err
	}
	x.service = x.route.Pick(x.g.float())
	if meta.Prompt != nil {
		meta.Prompt.Limit = clock.Until(x.deadline)
		meta.Prompt.FullLimit = meta.Prompt.Limit + x.g.waits.waited(x.route.Name, meta.Timeout)
		meta.Prompt.BodyBytes = int(max(x.r.ContentLength, 0))
	}
	if err := x.readBody(x.view.Config.Limits); err != nil {
		return x.certain(err)
	}
	x.request = x.identity()
	defer x.endTrial()
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	ctx, cancel := clock.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.g.ending, cancel)()
	x.tried = place.Tried{}
	x.g.budgets.of(x.service).Request(x.g.sinceStart())
	x.sends = sends{
		budget: func() *retry.Window { return x.g.budgets.of(x.service) }, clock: x.g.sinceStart, most: x.route.MaxAttempts,
	}
	defer x.sends.close()
	if x.generates() {
		return x.generate(ctx)
	}
	return x.plain(ctx)
}

// checkStop refuses a request that has not run where the VM stops and may end before
// the answer does. It is asked again before each target: a body or a target that
// refuses may have taken long, and the VM may have begun to stop meanwhile.
func (x *exchange) checkStop() error {
	if x.ran {
		return nil
	}
	now := clock.Now()
	x.stop = x.g.drain.weigh(x.deadline.Sub(now), now)
	return x.stop.check()
}

// generates reports whether a model engine serves the request.
func (x *exchange) generates() bool {
	s := x.view.Config.Services[x.service]
	return s != nil && s.Engine != nil && x.meta.Prompt != nil
}

// setDeadline takes the shorter of the route's timeout and the caller's own.
func (x *exchange) setDeadline() {
	x.deadline = x.arrived.Add(allowed(x.route.Timeout, x.meta.Timeout))
}

// allowed returns the shorter of two timeouts, of which 0 is none.
func allowed(route, caller time.Duration) time.Duration {
	if route <= 0 {
		route = defaultTimeout
	}
	if caller > 0 && caller < route {
		return caller
	}
	return route
}

// defaultTimeout bounds requests on routes without a timeout of their own.
const defaultTimeout = time.Minute

// reload takes the newest view, so that nothing is sent to a target that has
// begun to leave meanwhile.
func (x *exchange) reload() { x.view = x.g.keeper.View() }

// wanted reports whether the request is still to be sent to a target.
func (x *exchange) wanted(ctx context.Context) bool {
	return ctx.Err() == nil && !callerLeft(x.r.Context())
}

// mayTryAgain reports whether another target may be asked, and draws on the
// budget.
func (x *exchange) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	may := x.sends.reserve()
	x.g.stats.Retry(x.service, may)
	return may
}

// giveUp returns the error for a request that no further target is asked for.
func (x *exchange) giveUp(ctx context.Context, cause error) error {
	switch {
	case callerLeft(x.r.Context()):
		return errkind.Wrap(errkind.ClientGone, cause, "the caller has gone")
	case !x.ran:
		return x.refusal(errkind.NoTarget, cause, "no target could take the request")
	case x.g.ending.Err() != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "this VM stops; the request may have run")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "no answer in time")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, cause, "the target did not answer; the request may have run")
}

// refusalWait is when a refused caller is told to come back.
const refusalWait = 100 * time.Millisecond

func (x *exchange) refusal(kind errkind.Kind, cause error, detail string) error {
	e := errkind.Wrap(kind, cause, "%s", detail)
	e.RetryAfter = refusalWait
	return e
}

// fail answers with an error of this system's own.
func (x *exchange) fail(e *errkind.Error) {
	x.began = true
	a := e.Answer()
	x.status = a.Status
	if e.Kind == errkind.ClientGone {
		// A caller that has only ended its sending side would get the server's
		// own default answer.
		x.cut = true
		return
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(errkind.HeaderOutcome, string(a.Outcome))
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	x.writeHead(a.Status)
	// A failed write means that the caller has gone.
	_, _ = x.w.Write(errkind.Body(e))
}

// writeHead sends the answer's head. The connection ends with the answer where
// this VM stops, or has little room for further callers.
func (x *exchange) writeHead(status int) {
	if x.g.drain.stopping() || x.g.conns.above(lastShare) {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// endedHere reports whether the request was ended on this side, which tells nothing of
// the target: its caller has gone, or the VM's stop ended the wait.
func (x *exchange) endedHere() bool {
	return x.r.Context().Err() != nil || x.g.ending.Err() != nil
}
