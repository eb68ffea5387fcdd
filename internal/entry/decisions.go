package entry

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/errkind"
)

// maxPendingDecisions bounds the records that wait for a steward.
const maxPendingDecisions = 256

// refusalSpacing is the least time between two records of the same class of
// refusal; the later one carries the count.
const refusalSpacing = time.Second

// decisionLog gathers the entry's decision records until a steward takes them.
// It is safe for concurrent use.
type decisionLog struct {
	vm string

	mu      sync.Mutex
	next    uint64
	pending []*api.Decision
	classes map[refusalClass]*refusalCount
}

type refusalClass struct {
	service string
	kind    errkind.Kind
}

type refusalCount struct {
	last  time.Time
	count int
}

func newDecisionLog(vm string) *decisionLog {
	return &decisionLog{vm: vm, classes: map[refusalClass]*refusalCount{}}
}

// setAside records that a target gets no requests for a while.
func (d *decisionLog) setAside(service, name string, wait time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.add(&api.Decision{
		Service: service, What: "target_set_aside", Choice: name, Cause: "failures in a row",
		Inputs: []*api.Input{{Name: "wait", Value: wait.String()}},
	})
}

// refused counts a refusal and records it, at most one a second of its class.
func (d *decisionLog) refused(service string, e *errkind.Error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	class := refusalClass{service: service, kind: e.Kind}
	c, ok := d.classes[class]
	if !ok {
		c = &refusalCount{}
		d.classes[class] = c
	}
	c.count++
	if now.Sub(c.last) < refusalSpacing {
		return
	}
	d.add(&api.Decision{
		Service: service, What: "refusal", Choice: string(e.Kind), Cause: e.Detail,
		Inputs: []*api.Input{{Name: "count", Value: strconv.Itoa(c.count)}},
	})
	c.last, c.count = now, 0
}

// add gives the record its id; the caller holds the lock.
func (d *decisionLog) add(r *api.Decision) string {
	d.next++
	r.Id = fmt.Sprintf("%s-%d", d.vm, d.next)
	r.Vm = d.vm
	r.UnixMs = time.Now().UnixMilli()
	if len(d.pending) < maxPendingDecisions {
		d.pending = append(d.pending, r)
	}
	return r.Id
}

// take returns the pending records and forgets them.
func (d *decisionLog) take() []*api.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.pending
	d.pending = nil
	return out
}
