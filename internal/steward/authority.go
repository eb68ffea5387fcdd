package steward

import (
	"context"
	"sort"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/order"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// leaseCandidates is how many stewards of a data centre try to acquire a
	// service's lease.
	leaseCandidates = 3
	// leaseStepsPerTTL is how many times within its TTL a lease is renewed or
	// observed.
	leaseStepsPerTTL = 3
	// controlInterval is the time between two steps of a controller.
	controlInterval = 500 * time.Millisecond
)

// leaseManager runs a controller for each service of the table. A controller tries to
// acquire the service's lease if the service has targets in the data centre, and
// manages the service's engines while it holds the lease.
type leaseManager struct {
	cfg       *settings.Steward
	store     *gossip.Store
	gossip    *member.Gossip
	table     store.Table
	weights   store.WeightStore
	engines   order.Engines
	clock     lease.Clock
	log       *telemetry.Logger
	decisions *decisionHistory

	mu sync.Mutex
	// controllers is keyed by service.
	controllers map[string]*controller

	// Background's Stop ends every controller, which releases its lease.
	kernel.Background
}

// Start starts the controllers of the table's services.
func (m *leaseManager) Start(context.Context) error {
	m.Run(m.run)
	return nil
}

// run starts controllers as services appear in the table. After ctx ends it waits for
// all of them.
func (m *leaseManager) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	kernel.Every(ctx, m.cfg.LeaseTTL.D()/leaseStepsPerTTL, func(ctx context.Context) { m.startControllers(ctx, &wg) })
}

// startControllers starts a controller for each service that has none yet. A
// controller keeps running after its service's row is removed; it stops trying to
// acquire the lease because the service then has no targets.
func (m *leaseManager) startControllers(ctx context.Context, wg *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.store.RecentView(maxViewAge).Table.Rows {
		if m.controllers[row.Service] != nil {
			continue
		}
		c := m.newController(row.Service)
		m.controllers[row.Service] = c
		wg.Go(func() { c.run(ctx) })
	}
}

// newController returns a controller of the service that does not hold the lease.
func (m *leaseManager) newController(service string) *controller {
	self := m.gossip.Self()
	l := lease.New(lease.Config{
		DataCentre: self.DataCentre, Service: service, Holder: self.VM,
		Incarnation: self.Incarnation, TTL: m.cfg.LeaseTTL.D(),
	}, m.table, m.clock)
	journal := order.NewJournal(m.table, self.DataCentre, service, m.log)
	return &controller{
		leaseManager: m, service: service, lease: l,
		sender:      order.NewSender(journal, l, m.engines, m.clock, m.cfg.EngineReadTimeout.D()),
		orderDoneAt: map[string]time.Duration{}, plan: newRolePlan(m.cfg),
	}
}

// leaseOf returns the lease of a service as this steward takes part in it, or nil if
// the service is not known.
func (m *leaseManager) leaseOf(service string) *lease.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.controllers[service]
	if !ok {
		return nil
	}
	return c.lease
}

// holders returns the last known holder of each lease of the data centre, sorted by
// service.
func (m *leaseManager) holders() []*api.LeaseLine {
	var out []*api.LeaseLine
	for _, row := range m.store.RecentView(maxViewAge).Table.Rows {
		if it := m.store.Get(gossip.LeaseKey(m.gossip.Self().DataCentre, row.Service)); it != nil {
			out = append(out, &api.LeaseLine{Service: row.Service, Holder: it.GetLease().GetVm(), Fence: it.GetEpoch()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetService() < out[j].GetService() })
	return out
}
