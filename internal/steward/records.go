package steward

import (
	"fmt"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/target"
)

// recordsKept is how many decision records are kept for each service.
const recordsKept = 64

// decisionBook keeps the latest decision records of each service: this
// steward's own and those of the entries that it feeds. It is safe for
// concurrent use.
type decisionBook struct {
	vm string

	mu       sync.Mutex
	next     uint64
	services map[string][]*api.Decision
}

func newDecisionBook(vm string) *decisionBook {
	return &decisionBook{vm: vm, services: map[string][]*api.Decision{}}
}

// add keeps records made elsewhere.
func (b *decisionBook) add(records ...*api.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		kept := append(b.services[r.GetService()], r)
		if len(kept) > recordsKept {
			kept = append(kept[:0], kept[len(kept)-recordsKept:]...)
		}
		b.services[r.GetService()] = kept
	}
}

// record gives a decision its id and keeps it.
func (b *decisionBook) record(r *api.Decision) string {
	b.mu.Lock()
	b.next++
	r.Id = fmt.Sprintf("%s-s%d", b.vm, b.next)
	b.mu.Unlock()
	r.Vm = b.vm
	r.UnixMs = time.Now().UnixMilli()
	b.add(r)
	return r.GetId()
}

// order records an order to an engine.
func (b *decisionBook) order(service, engine string, want target.Want, err error) string {
	cause := "the engine was not as the row asks"
	if err != nil {
		cause = err.Error()
	}
	return b.record(&api.Decision{
		Service: service, What: "order", Choice: engine, Cause: cause,
		Inputs: []*api.Input{{Name: "role", Value: string(want.Role)}, {Name: "version", Value: want.Version}},
	})
}

// latest returns up to limit records of a service, newest first.
func (b *decisionBook) latest(service string, limit int) []*api.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.services[service]
	var out []*api.Decision
	for i := len(kept) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, kept[i])
	}
	return out
}
