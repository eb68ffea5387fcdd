package gateway

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// minRecheck is the shortest mean time between two checks of the engines for a deferred
	// request. Other VMs report their load at most once every 10 ms.
	minRecheck = 20 * time.Millisecond
	// maxRecheck is the longest mean time between two checks of the engines for a deferred request.
	maxRecheck = 100 * time.Millisecond
)

// enqueue counts the request as deferred, with the engine chosen for it, unless it is counted
// already. A request of a favored size goes before others of its route.
func (x *exchange) enqueue(c place.Choice) {
	if x.queueTicket != nil {
		return
	}
	x.queueTicket = x.g.placer.AddDeferred(x.service, c)
	if x.g.sizes.Favor(x.route.Name, x.size()) > 0 {
		x.favoredTicket = x.g.placer.AddFavored(x.service, x.route.Name, c)
	}
}

// dequeue stops counting the request as deferred, if it is counted.
func (x *exchange) dequeue() {
	x.queueTicket.End(place.Neutral, clock.Now())
	x.favoredTicket.End(place.Neutral, clock.Now())
	x.queueTicket, x.favoredTicket = nil, nil
}

// recheckDelay returns the mean time between two checks of the engines for a deferred request.
func recheckDelay(c place.Choice) time.Duration { return min(max(c.Wait()/4, minRecheck), maxRecheck) }

// waitDeferred counts the request as deferred and waits for a random time, from half of
// recheckDelay to one and a half times it, or until ctx is done.
func (x *exchange) waitDeferred(ctx context.Context, c place.Choice) {
	x.enqueue(c)
	began := clock.Now()
	defer func() { x.deferredFor += clock.Since(began) }()
	timer := time.NewTimer(time.Duration((0.5 + x.g.randomFloat()) * float64(recheckDelay(c))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
