package steward

import (
	"fmt"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/target"
)

// maxDecisionsPerService is how many decision records of each service are kept.
const maxDecisionsPerService = 64

// decisionHistory keeps the latest decision records of each service: this steward's
// own and those of the entries connected to it. It is safe for concurrent use.
type decisionHistory struct {
	vm string

	mu     sync.Mutex
	lastID uint64
	// services holds each service's records, oldest first.
	services map[string][]*api.Decision
}

// newDecisionHistory returns an empty history of the steward on vm.
func newDecisionHistory(vm string) *decisionHistory {
	return &decisionHistory{vm: vm, services: map[string][]*api.Decision{}}
}

// add stores records that have an id, such as those of entries, and drops the oldest
// ones above maxDecisionsPerService.
func (h *decisionHistory) add(records ...*api.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		kept := append(h.services[r.GetService()], r)
		if len(kept) > maxDecisionsPerService {
			kept = append(kept[:0], kept[len(kept)-maxDecisionsPerService:]...)
		}
		h.services[r.GetService()] = kept
	}
}

// record fills in the id, VM and time of this steward's own record, stores it and
// returns the id.
func (h *decisionHistory) record(r *api.Decision) string {
	h.mu.Lock()
	h.lastID++
	r.Id = fmt.Sprintf("%s-s%d", h.vm, h.lastID)
	h.mu.Unlock()
	r.Vm = h.vm
	r.UnixMs = time.Now().UnixMilli()
	h.add(r)
	return r.GetId()
}

// recordOrder records that an engine was sent an order, or the error of sending it,
// and returns the record's id.
func (h *decisionHistory) recordOrder(service, engine string, want target.DesiredState, err error) string {
	cause := "the engine's configuration was not that of the service's row"
	if err != nil {
		cause = err.Error()
	}
	return h.record(&api.Decision{
		Service: service, What: "order", Choice: engine, Cause: cause,
		Inputs: []*api.Input{{Name: "role", Value: string(want.Role)}, {Name: "version", Value: want.Version}},
	})
}

// latest returns up to limit records of a service, the newest first.
func (h *decisionHistory) latest(service string, limit int) []*api.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.services[service]
	var out []*api.Decision
	for i := len(kept) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, kept[i])
	}
	return out
}
