package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
)

// readBody reads the request body. It fails if the body exceeds the configured size, is not
// complete by the deadline, or is still incomplete when the gateway shuts down.
func (x *exchange) readBody(limits fleet.Limits) error {
	if x.r.ContentLength > limits.BodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limits.BodyBytes)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	defer x.limitBodyTime()()
	var body []byte
	var err error
	if n := x.r.ContentLength; n > 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(x.r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(x.r.Body, limits.BodyBytes+1))
	}
	if err != nil {
		return x.bodyError(err)
	}
	if int64(len(body)) > limits.BodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limits.BodyBytes)
	}
	x.body = body
	return nil
}

// limitBodyTime ends the reading of the body at the deadline, or earlier if the gateway aborts its
// requests. The caller gets an error response which says that the request has not run, instead of a
// closed connection. The returned function removes the limit.
func (x *exchange) limitBodyTime() func() {
	ctx, cancel := clock.WithDeadline(x.g.abortCtx, x.deadline)
	rc := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		// It fails only if the connection is already closed.
		_ = rc.SetReadDeadline(time.Now())
	})
	return func() {
		stop()
		cancel()
	}
}

// bodyError returns the error for an incomplete body. Its outcome is NotRun.
func (x *exchange) bodyError(cause error) error {
	kind, detail := errkind.BadRequest, "the body is malformed"
	switch {
	case x.g.abortCtx.Err() != nil:
		kind, detail = errkind.Stopping, "this VM stops; the body was not complete"
	case !clock.Now().Before(x.deadline):
		kind, detail = errkind.SlowBody, "the body was not complete by the deadline"
	case callerGone(x.r.Context()):
		kind, detail = errkind.ClientGone, "the body was cut off"
	}
	e := errkind.Wrap(kind, cause, "%s", detail)
	e.Outcome = errkind.NotRun
	return e
}
