package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Background runs a module's goroutines until the module stops. It is meant to be embedded in the
// module. Its Stop method makes the module a Stopper. The zero value is ready to use.
type Background struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Run runs each function in a goroutine of its own. Their context ends with Stop. Run must be
// called at most once, from the module's Start.
func (b *Background) Run(fs ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	for _, f := range fs {
		b.wg.Go(func() { f(ctx) })
	}
}

// Stop cancels the context of the goroutines and waits until they have returned.
func (b *Background) Stop(context.Context) error {
	if b.cancel != nil {
		b.cancel()
	}
	b.wg.Wait()
	return nil
}

// RetryPolicy configures the retries of RetryUntilDone.
type RetryPolicy struct {
	// InitialWait is the wait after the first failure, before jitter. The wait grows exponentially.
	InitialWait time.Duration
	// MaxWait is the longest wait between calls, before jitter.
	MaxWait time.Duration
	// Timeout limits each call.
	Timeout time.Duration
}

// RetryUntilDone calls f until it succeeds or ctx ends, with exponential backoff and jitter.
func RetryUntilDone(ctx context.Context, r RetryPolicy, f func(context.Context) error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = r.InitialWait, r.MaxWait
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, r.Timeout)
		err := f(call)
		cancel()
		if err == nil {
			return
		}
		Sleep(ctx, wait.NextBackOff())
	}
}

// Every calls f immediately and then once per interval, until ctx ends. A call that takes longer
// than the interval delays the next call.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
