package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that ends at t, a time of Now, with context.DeadlineExceeded
// as its cause: also where the machine is suspended meanwhile, as soon as anybody reads the
// clock after that. Timers alone would be late by the time asleep.
func WithDeadline(parent context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	s := process.Load()
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

// Watch reads the clock again and again until ctx ends, so that a suspension is noticed on a VM
// without requests, too.
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
