package kernel

import (
	"context"
	"sync"
	"time"
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
