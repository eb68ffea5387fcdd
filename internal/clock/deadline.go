package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that is cancelled at t, which must come from Now, with
// context.DeadlineExceeded as its cause. If t passes while the machine is suspended, the context is
// cancelled as soon as the clock is read afterwards. A plain timer would be late by the suspended
// time.
func WithDeadline(parent context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	s := processClock.Load()
	timer := time.AfterFunc(t.Sub(s.now()), func() { cancel(context.DeadlineExceeded) })
	stop := s.onResume(func() { timer.Reset(max(t.Sub(s.now()), 0)) })
	return ctx, func() {
		stop()
		timer.Stop()
		cancel(context.Canceled)
	}
}

// watchInterval is how often Watch reads the clock.
const watchInterval = 100 * time.Millisecond

// Watch reads the clock periodically until ctx ends, so that a suspension is also detected on a
// VM that serves no requests.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		Now()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
