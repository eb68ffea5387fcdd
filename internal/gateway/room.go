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

// room holds the requests that wait at this VM for a lull of the engines.
type room struct {
	mu      sync.Mutex
	waiting map[*exchange]seated
}

// seated is one request that waits.
type seated struct {
	service string
	own     time.Duration
	since   time.Time
}

// enter notes that x waits, for reading that takes own.
func (r *room) enter(x *exchange, own time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = make(map[*exchange]seated)
	}
	r.waiting[x] = seated{service: x.service, own: own, since: x.arrived}
}

func (r *room) leave(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, x)
}

// ahead is the reading time of those of a service that came before x.
func (r *room) ahead(service string, x *exchange) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum time.Duration
	for other, s := range r.waiting {
		if other != x && s.service == service && s.since.Before(x.arrived) {
			sum += s.own
		}
	}
	return sum
}

// waitForLull waits until the engines may be looked at again.
func (x *exchange) waitForLull(ctx context.Context, c place.Choice) {
	x.g.room.enter(x, c.Own)
	began := time.Now()
	defer func() { x.lull += time.Since(began) }()
	look := min(max((c.Expected-c.Own)/4, minLook), maxLook)
	timer := time.NewTimer(time.Duration((0.5 + x.g.float()) * float64(look)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
