package live

import (
	"sync"
	"time"
)

// disturbances records what faults break off. It is safe for concurrent use.
type disturbances struct {
	mu sync.Mutex
	// requests holds the ids of the requests that an engine worked on when it ended.
	requests map[string]bool
	vms      map[string][]interval
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// newDisturbances returns an empty record.
func newDisturbances() *disturbances {
	return &disturbances{requests: make(map[string]bool), vms: make(map[string][]interval)}
}

// addRequests records the requests that an engine worked on when it ended.
func (d *disturbances) addRequests(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.requests[id] = true
	}
}

// addVM records that a VM is disturbed for a time.
func (d *disturbances) addVM(name string, at time.Time, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms[name] = append(d.vms[name], interval{at, at.Add(span)})
}

// brokeOff reports whether a fault of its engine or VM struck an attempt that lasted from one time to
// another.
func (d *disturbances) brokeOff(id, vm string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[id] {
		return true
	}
	for _, i := range d.vms[vm] {
		if from.Before(i.to) && i.from.Before(to) {
			return true
		}
	}
	return false
}
