package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// maxBufferedBody is the largest response body that is buffered until it is complete, so that
	// the request can be retried if the response is cut off.
	maxBufferedBody = 256 << 10
	// maxUnreachable limits how many unreachable targets are tried for one request. Targets whose
	// host refused the connection are not counted.
	maxUnreachable = 4
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// overdueDivisor sets when a response to an idempotent request is overdue and a second target is
// tried: after 1/overdueDivisor of the remaining time. The first target may hang, or its connection
// may be dead although the request was acknowledged. Nearly all responses come sooner.
const overdueDivisor = 3

// plainCall is one attempt of a plain request and its result.
type plainCall struct {
	attempt attempt
	sentAt  time.Time
	// resp is set only if err is nil.
	target *fleet.Target
	resp   *bufferedResponse
	out    outcome
	err    error
}

// plainCalls makes the attempts of one plain request. They are made one after the other, or two at
// once if the first response is overdue. A plainCalls is used by one goroutine only.
type plainCalls struct {
	x            *exchange
	ctx          context.Context
	done         chan plainCall
	pendingCount int
	// overdue fires when the response to the latest call is overdue. It is nil if the request must
	// not be sent twice.
	overdue <-chan time.Time
	// startErr is why start made no further attempt, or nil.
	startErr error
}

// start sends the request to one more target, if there is one and the response can be complete
// before the gateway ends.
func (c *plainCalls) start() {
	x := c.x
	if !x.callerWaiting(c.ctx) {
		return
	}
	if c.startErr = x.checkStop(); c.startErr != nil {
		return
	}
	x.reloadView()
	choice, ok := x.g.placer.Plain(x.candidates(), x.excludeForTrial(x.tried), rand.Uint64(), clock.Now())
	if !ok {
		if x.limitsUsedUp() {
			c.startErr = x.refuseLimited()
		}
		return
	}
	x.tried[choice.Target.ID] = true
	a, err := x.beginAttempt(choice.Target, false)
	if err != nil {
		choice.Ticket.End(place.Neutral, clock.Now())
		c.startErr = err
		return
	}
	c.pendingCount++
	if x.route.Kind == fleet.Idempotent {
		c.overdue = time.After(clock.Until(x.deadline) / overdueDivisor)
	}
	to, account := x.destination(choice.Target, Directive{}), x.accountName()
	go func() {
		began := clock.Now()
		call := x.callPlain(c.ctx, to, choice)
		if call.out == outcomeAnswered || call.out == outcomeUnknown {
			// Targets are full only for moments, so the run is taken to begin when the request
			// arrives.
			x.g.usage.Ran(account, began)
		}
		call.attempt, call.sentAt = a, began
		c.done <- call
	}()
}

// next waits for a call to end and returns it, or returns false when a response is overdue.
func (c *plainCalls) next() (plainCall, bool) {
	select {
	case call := <-c.done:
		c.pendingCount--
		return call, true
	case <-c.overdue:
		c.overdue = nil
		return plainCall{}, false
	}
}

// cancelPending cancels the calls in flight and waits for them.
func (c *plainCalls) cancelPending(cancel context.CancelCauseFunc) {
	cancel(httpsend.ErrOverdue)
	for ; c.pendingCount > 0; c.pendingCount-- {
		<-c.done
	}
}

// servePlain serves a request whose response is a single body. An error response to an idempotent
// request is kept, and is sent to the caller only if no other target gives a better response. If a
// response is overdue, a second target is tried and the first response to come is used.
func (x *exchange) servePlain(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &plainCalls{x: x, ctx: ctx, done: make(chan plainCall)}
	defer c.cancelPending(cancel)
	var last error
	var fallback *bufferedResponse
	for c.start(); c.pendingCount > 0; {
		call, ended := c.next()
		if !ended {
			if x.reserveRetry(ctx) {
				x.unanswered = true
				c.start()
			}
			continue
		}
		x.attempts.finish(call.attempt, call.out)
		if call.err == nil {
			x.noteAnswered(call.target, call.resp.status)
		}
		if call.err == nil && !(call.resp.status >= http.StatusInternalServerError && x.route.Kind == fleet.Idempotent) {
			return x.writeResponse(call.resp)
		}
		if call.err == nil {
			fallback = call.resp
		}
		last = call.err
		if call.out == outcomeNotSent {
			if x.noteUnreachable(call.err) {
				c.start()
			}
			continue
		}
		x.mayHaveRun = x.mayHaveRun || call.out != outcomeRefused
		x.unanswered = x.unanswered || call.out == outcomeUnknown
		if call.out == outcomeUnknown {
			x.checkTargetExit(call.target, call.err, call.sentAt, 0)
		}
		if c.pendingCount == 0 && (!x.mayHaveRun || x.route.Repeatable()) && x.reserveRetry(ctx) {
			c.start()
		}
	}
	if fallback != nil {
		return x.writeResponse(fallback)
	}
	if c.startErr != nil && !x.mayHaveRun && isNotRunRefusal(c.startErr) {
		return c.startErr
	}
	return x.finalError(ctx, last)
}

// callPlain sends the request to one target and reads the whole response.
func (x *exchange) callPlain(ctx context.Context, to httpsend.Destination, c place.Choice) plainCall {
	resp, out, err := x.sendTo(ctx, to, c.Target, Directive{}, c.Ticket)
	if err != nil {
		return plainCall{out: out, err: err, target: c.Target}
	}
	defer resp.Close()
	answer, err := x.readAnswer(ctx, c.Target, resp)
	x.noteBody(resp, err)
	if err != nil {
		x.addTrace(c.Target, "cut", err)
		result := failureResult(err)
		if x.endedLocally() {
			result = place.Neutral
		}
		c.Ticket.End(result, clock.Now())
		return plainCall{out: outcomeUnknown, err: err, target: c.Target}
	}
	x.addTrace(c.Target, strconv.Itoa(resp.Status), nil)
	result := place.Good
	if resp.Status >= http.StatusInternalServerError {
		result = place.Bad
	}
	c.Ticket.End(result, clock.Now())
	return plainCall{resp: &bufferedResponse{status: resp.Status, header: resp.Header, body: answer}, out: outcomeAnswered, target: c.Target}
}

// readAnswer reads the whole body of a target's answer, as readBuffered does. A body that ends with its
// connection is taken to be cut off if the target may have crashed, or if it is a stream and ends inside an
// event.
func (x *exchange) readAnswer(ctx context.Context, t *fleet.Target, resp *httpsend.Response) ([]byte, error) {
	answer, err := x.readBuffered(ctx, resp)
	if err != nil {
		return answer, err
	}
	if x.route.Kind == fleet.Streaming && resp.Status == http.StatusOK && isTruncated(resp, answer) {
		return nil, resp.Truncated()
	}
	if err := x.checkComplete(t, resp); err != nil {
		return nil, err
	}
	return answer, nil
}

// readBuffered reads the whole body of a response, of at most maxBufferedBody bytes.
func (x *exchange) readBuffered(ctx context.Context, resp *httpsend.Response) ([]byte, error) {
	return x.g.bodies.ReadAll(ctx, x.r.Context(), resp, resp.Length, maxBufferedBody)
}

// writeResponse sends a target's complete response to the caller, with its body unchanged.
func (x *exchange) writeResponse(r *bufferedResponse) error {
	h := x.w.Header()
	copyHeader(h, x.g.proto.CallerHeader(r.header))
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	x.responseStarted = true
	x.firstByteAt = clock.Now()
	x.status = r.status
	x.writeHeader(r.status)
	if len(r.body) > body.SmallBytes {
		defer x.conn.conns.beginWrite(x.conn)()
	}
	if _, err := x.w.Write(r.body); err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

// copyHeader copies the header lines of src to dst, replacing those of the same name.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	if _, ok := src["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the type.
		dst["Content-Type"] = nil
	}
}
