package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Background owns a module's goroutines: it ends them and waits for them. Its
// zero value is ready; Stop makes it a Stopper.
type Background struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Run starts each function in a goroutine of its own. The context that they
// get ends with Stop. It is called once, from the module's Start.
func (b *Background) Run(fs ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	for _, f := range fs {
		b.done.Go(func() { f(ctx) })
	}
}

// Stop ends the goroutines and waits for them.
func (b *Background) Stop(context.Context) error {
	if b.cancel != nil {
		b.cancel()
	}
	b.done.Wait()
	return nil
}

// Retrying bounds the calls of Until.
type Retrying struct {
	// First and Most bound the waits between calls, which grow and are spread.
	First time.Duration
	Most  time.Duration
	// Timeout bounds each call.
	Timeout time.Duration
}

// Until calls f until it succeeds or ctx ends.
func Until(ctx context.Context, r Retrying, f func(context.Context) error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = r.First, r.Most
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

// Every calls f at once and then at each interval until ctx ends.
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
