package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// The buffer of a body begins with firstBodyBytes. A body of a stated length up to mediumBodyBytes is then
	// read into a buffer of its size; other buffers double.
	firstBodyBytes  = 4 << 10
	mediumBodyBytes = 64 << 10
	// smallBodyBytes is the size up to which memory is reserved step by step.
	smallBodyBytes = 256 << 10
)

// readBody reads the request body. It fails if the body exceeds the configured size, is not
// complete by the deadline, or is still incomplete when the gateway shuts down, and if memory is short.
func (x *exchange) readBody(limits fleet.Limits) error {
	if x.r.ContentLength > limits.BodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limits.BodyBytes)
	}
	if x.r.ContentLength == 0 {
		return x.endBody(nil)
	}
	ctx, cancel := clock.WithDeadline(x.g.abortCtx, x.deadline)
	defer cancel()
	defer x.limitBodyTime(ctx)()
	x.conn.beginBody()
	return x.endBody(x.readWhole(ctx, limits.BodyBytes))
}

// endBody ends the reading of the body, which failed with err unless err is nil.
func (x *exchange) endBody(err error) error {
	if x.conn.endBody(err == nil) {
		x.trimBody()
		x.received = true
		return nil
	}
	x.body = nil
	x.releaseBody()
	switch {
	case errors.Is(err, errTooLarge):
		return errkind.Wrap(errkind.BodyTooLarge, err, "the body is larger than the limit")
	case x.conn.ended(), errors.Is(err, errMemoryShort):
		return x.refusal(errkind.CallersLimited, err, "the memory for callers' requests is used up")
	}
	return x.bodyError(err)
}

// errTooLarge means that a body is larger than it may be.
var errTooLarge = errors.New("too large")

// readWhole reads the body into x.body, at most limit bytes, and reserves the memory for it as it comes.
func (x *exchange) readWhole(ctx context.Context, limit int64) error {
	stated := x.r.ContentLength
	most := limit + 1 // one byte more shows that the body is too large
	if stated > 0 {
		most = stated
	}
	size := min(firstBodyBytes, most)
	for {
		if err := x.growBody(ctx, size, most); err != nil {
			return err
		}
		for len(x.body) < cap(x.body) {
			n, err := x.r.Body.Read(x.body[len(x.body):cap(x.body)])
			x.body = x.body[:len(x.body)+n]
			have := int64(len(x.body))
			switch {
			case have > limit:
				return errTooLarge
			case have == stated, errors.Is(err, io.EOF) && stated < 0:
				return nil
			case err != nil:
				return err
			}
		}
		size = nextBodySize(int64(cap(x.body)), most, stated > 0)
	}
}

// nextBodySize returns the size of the buffer that follows one of the given size, for a body of at most most bytes.
func nextBodySize(size, most int64, stated bool) int64 {
	next := 2 * size
	if stated && next < mediumBodyBytes {
		next = min(mediumBodyBytes, most)
	}
	if 2*next > most || (stated && next > smallBodyBytes) {
		return most
	}
	return next
}

// growBody replaces the buffer of the body by one of the given size. Both are reserved while the body is copied.
// Before a body outgrows smallBodyBytes, all that it may need is reserved, up to most bytes, so that requests
// which have sent much are not refused for the last of it.
func (x *exchange) growBody(ctx context.Context, size, most int64) error {
	// Those that wait for memory must not keep others from parsing, and so from giving up theirs.
	x.conn.endTurn()
	before := int64(cap(x.body))
	need := before + size
	large := size > smallBodyBytes
	if large && size < most && need > x.bodyBytes {
		need = max(need, min(most+most/2, x.conn.conns.maxBody()))
	}
	if n := need - x.bodyBytes; n > 0 {
		if err := x.conn.conns.reserve(ctx, x.conn, n); err != nil {
			return err
		}
		x.bodyBytes += n
	}
	if before > 0 {
		if err := x.conn.widenWindow(ctx, size); err != nil {
			return err
		}
	}
	x.body = append(make([]byte, 0, size), x.body...)
	if !large {
		x.trimBody()
	}
	return nil
}

// trimBody returns the memory that is reserved beyond the buffer of the body.
func (x *exchange) trimBody() {
	if excess := x.bodyBytes - int64(cap(x.body)); excess > 0 {
		x.conn.conns.release(x.conn, excess)
		x.bodyBytes -= excess
	}
}

// releaseBody returns the memory that was reserved for the body.
func (x *exchange) releaseBody() {
	x.conn.conns.release(x.conn, x.bodyBytes)
	x.bodyBytes = 0
}

// limitBodyTime ends the reading of the body when ctx ends, which is at the deadline, or earlier if the
// gateway aborts its requests. The caller gets an error response which says that the request has not
// run, instead of a closed connection. The returned function removes the limit.
func (x *exchange) limitBodyTime(ctx context.Context) func() {
	rc := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		// It fails only if the connection is already closed.
		_ = rc.SetReadDeadline(time.Now())
	})
	return func() { stop() }
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
