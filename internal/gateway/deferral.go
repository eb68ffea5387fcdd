package gateway

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// minLook and maxLook bound the time between two looks at the engines of a
	// request that waits: reports of other VMs come each 10 ms at the most.
	minLook = 20 * time.Millisecond
	maxLook = 100 * time.Millisecond
)

// queue notes that the request waits here, as it was deferred with a choice.
func (x *exchange) queue(c place.Choice) {
	if x.queued == nil {
		x.queued = x.g.placer.Wait(x.service, c)
	}
}

// unqueue notes that the request waits no longer.
func (x *exchange) unqueue() {
	x.queued.End(place.Neutral, clock.Now())
	x.queued = nil
}

// lookAgain is the time between two looks at the engines of a request that waits.
func lookAgain(c place.Choice) time.Duration { return min(max(c.Wait()/4, minLook), maxLook) }

// waitDeferred waits until the engines may be looked at again.
func (x *exchange) waitDeferred(ctx context.Context, c place.Choice) {
	x.queue(c)
	began := clock.Now()
	defer func() { x.deferredFor += clock.Since(began) }()
	timer := time.NewTimer(time.Duration((0.5 + x.g.float()) * float64(lookAgain(c))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
