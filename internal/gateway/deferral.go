package gateway

import (
	"context"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

const (
	// minLook and maxLook bound the time between two looks at the engines of a
	// request that waits: reports of other VMs come each 10 ms at the most.
	minLook = 20 * time.Millisecond
	maxLook = 100 * time.Millisecond
)

// deferred holds the requests that wait at this VM until engines are nearly idle.
type deferred struct {
	mu      sync.Mutex
	waiting map[*exchange]deferral
}

// deferral is one request that waits.
type deferral struct {
	service string
	own     time.Duration
	since   time.Time
}

// enter notes that x waits, for reading that takes own.
func (d *deferred) enter(x *exchange, own time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = make(map[*exchange]deferral)
	}
	d.waiting[x] = deferral{service: x.service, own: own, since: x.arrived}
}

func (d *deferred) leave(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, x)
}

// ahead is the reading time of those of a service that came before x.
func (d *deferred) ahead(service string, x *exchange) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum time.Duration
	for other, s := range d.waiting {
		if other != x && s.service == service && s.since.Before(x.arrived) {
			sum += s.own
		}
	}
	return sum
}

// waitDeferred waits until the engines may be looked at again.
func (x *exchange) waitDeferred(ctx context.Context, c place.Choice) {
	x.g.deferred.enter(x, c.Own)
	began := time.Now()
	defer func() { x.deferredFor += time.Since(began) }()
	look := min(max((c.Expected-c.Own)/4, minLook), maxLook)
	timer := time.NewTimer(time.Duration((0.5 + x.g.float()) * float64(look)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
