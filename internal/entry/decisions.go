package entry

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/errkind"
)

// maxPendingDecisions is the most decision records that wait to be sent to a
// steward. Further ones are dropped.
const maxPendingDecisions = 256

// minRefusalInterval is the least time between two records of refusals of the
// same service and kind. A record carries the number of refusals since the last
// one.
const minRefusalInterval = time.Second

// decisionLog collects the entry's decision records until they are sent to a
// steward. It is safe for concurrent use.
type decisionLog struct {
	vm string

	mu       sync.Mutex
	lastID   uint64
	pending  []*api.Decision
	refusals map[refusalKey]*refusalCount
}

// refusalKey is what refusals are counted by.
type refusalKey struct {
	service string
	kind    errkind.Kind
}

// refusalCount is how many refusals came since the last record of them.
type refusalCount struct {
	recordedAt time.Time
	count      int
}

func newDecisionLog(vm string) *decisionLog {
	return &decisionLog{vm: vm, refusals: map[refusalKey]*refusalCount{}}
}

// recordSetAside records that the target called name gets no requests for the
// time wait, and returns the record's id.
func (d *decisionLog) recordSetAside(service, name string, wait time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.add(&api.Decision{
		Service: service, What: "target_set_aside", Choice: name, Cause: "failures in a row",
		Inputs: []*api.Input{{Name: "wait", Value: wait.String()}},
	})
}

// recordRefusal counts a refusal, and adds a record unless there was one of the
// same service and kind within minRefusalInterval.
func (d *decisionLog) recordRefusal(service string, e *errkind.Error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := refusalKey{service: service, kind: e.Kind}
	c, ok := d.refusals[key]
	if !ok {
		c = &refusalCount{}
		d.refusals[key] = c
	}
	c.count++
	if now.Sub(c.recordedAt) < minRefusalInterval {
		return
	}
	d.add(&api.Decision{
		Service: service, What: "refusal", Choice: string(e.Kind), Cause: e.Detail,
		Inputs: []*api.Input{{Name: "count", Value: strconv.Itoa(c.count)}},
	})
	c.recordedAt, c.count = now, 0
}

// add fills in the record's id, VM and time, and appends it unless the log is
// full. It returns the id. The caller must hold d.mu.
func (d *decisionLog) add(r *api.Decision) string {
	d.lastID++
	r.Id = fmt.Sprintf("%s-%d", d.vm, d.lastID)
	r.Vm = d.vm
	r.UnixMs = time.Now().UnixMilli()
	if len(d.pending) < maxPendingDecisions {
		d.pending = append(d.pending, r)
	}
	return r.Id
}

// takePending returns the pending records and empties the log.
func (d *decisionLog) takePending() []*api.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.pending
	d.pending = nil
	return out
}
