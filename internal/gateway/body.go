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

// readBody reads the caller's body within the configuration's limits, the request's
// deadline and the VM's stop.
func (x *exchange) readBody(limits fleet.Limits) error {
	if x.r.ContentLength > limits.BodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limits.BodyBytes)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	defer x.boundBody()()
	var body []byte
	var err error
	if n := x.r.ContentLength; n > 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(x.r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(x.r.Body, limits.BodyBytes+1))
	}
	if err != nil {
		return x.bodyBroke(err)
	}
	if int64(len(body)) > limits.BodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limits.BodyBytes)
	}
	x.body = body
	return nil
}

// boundBody ends the reading of the body at the deadline, and when the drain is over:
// its caller is then told that nothing ran, instead of finding the connection closed.
// The returned function ends the bound.
func (x *exchange) boundBody() func() {
	ctx, cancel := clock.WithDeadline(x.g.ending, x.deadline)
	rc := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		// It fails only where the connection is gone already.
		_ = rc.SetReadDeadline(time.Now())
	})
	return func() {
		stop()
		cancel()
	}
}

// bodyBroke returns the error for a body that is not whole. Nothing has run.
func (x *exchange) bodyBroke(cause error) error {
	kind, detail := errkind.BadRequest, "the body is malformed"
	switch {
	case x.g.ending.Err() != nil:
		kind, detail = errkind.Stopping, "this VM stops; the body was not there"
	case !clock.Now().Before(x.deadline):
		kind, detail = errkind.SlowBody, "the body was not there by the deadline"
	case callerLeft(x.r.Context()):
		kind, detail = errkind.ClientGone, "the body broke off"
	}
	e := errkind.Wrap(kind, cause, "%s", detail)
	e.Outcome = errkind.NotRun
	return e
}
