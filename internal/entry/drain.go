package entry

import (
	"context"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
)

const (
	// stopMargin is kept free between the end of the requests in flight and the end of the process, so that their
	// callers get an answer.
	stopMargin = 300 * time.Millisecond
	// stoppingRetryAfter is the retry delay for callers that a stopping entry refuses: another one can take the
	// request at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// drain is the state of an entry's stop. It is safe for concurrent use.
type drain struct {
	begun atomic.Bool
	// end is when requests in flight are ended. It is nil if there is no limit.
	end atomic.Pointer[time.Time]
	// aborted ends with the requests in flight, and abort ends it.
	aborted context.Context
	abort   context.CancelFunc
}

// newDrain returns the state of an entry that does not stop.
func newDrain() *drain {
	d := &drain{}
	d.aborted, d.abort = context.WithCancel(context.Background())
	return d
}

// begin begins the stop, which the deadline of ctx limits. The caller must call release at the end of the stop.
func (d *drain) begin(ctx context.Context) (release func()) {
	d.begun.Store(true)
	limit, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	end := limit.Add(-stopMargin)
	d.end.Store(&end)
	timer := time.AfterFunc(time.Until(end), d.abort)
	return func() { timer.Stop() }
}

// check refuses a request that has not run if the entry may end before the deadline of the request.
func (d *drain) check(deadline time.Time) error {
	end := d.end.Load()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	e := errkind.New(errkind.Stopping, "this VM stops in %d ms", max(time.Until(*end), 0).Milliseconds())
	e.RetryAfter = stoppingRetryAfter
	return e
}

// bind returns a context that ends with ctx or with the requests in flight.
func (d *drain) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unbind := context.AfterFunc(d.aborted, cancel)
	return ctx, func() {
		unbind()
		cancel()
	}
}

// cause returns the error for a request that ended with e. The context of one that the stop has ended looks like that
// of a caller that has left.
func (d *drain) cause(e *errkind.Error) *errkind.Error {
	if d.aborted.Err() == nil || e.Kind != errkind.ClientGone {
		return e
	}
	if e.Response().Outcome == errkind.NotRun {
		return errkind.Wrap(errkind.Stopping, e, "this VM stops")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, e, "this VM stops; the request may have run")
}
