package steward

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/order"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// controller has one service's engines in its care while it holds the lease.
type controller struct {
	*authority
	service string
	lease   *lease.Lease
	sender  *order.Sender
	holds   bool
	fence   uint64
	// drains maps an engine to when its drain began.
	drains     map[string]time.Duration
	drainCount uint64
	// doneAt is when an engine was last seen to be done with an order; for
	// up to viewLag after, the view shows it as it was before.
	doneAt map[string]time.Duration
	plan   *rolePlan
	// nextSweep is when old claims are next removed.
	nextSweep time.Duration
	// nextLease is when the lease is due to be renewed or observed.
	nextLease time.Duration
}

func (c *controller) run(ctx context.Context) {
	kernel.Every(ctx, actInterval, c.step)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Platform.Timeout.D())
	defer cancel()
	if err := c.lease.Release(ctx); err != nil {
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("service", c.service), telemetry.F("cause", err))
	}
}

// step renews or contends, and acts if the lease is held.
func (c *controller) step(ctx context.Context) {
	var err error
	if now := c.clock(); now >= c.nextLease {
		c.nextLease = now + c.cfg.LeaseTTL.D()/stepsPerTTL
		_, held := c.lease.Held()
		if held || (c.gossip.Rank("lease/"+c.service) < leaseCandidates && len(c.targets()) > 0) {
			err = c.lease.Step(ctx, true)
		}
	}
	tenure, held := c.lease.Held()
	c.noteTenure(tenure, held, err)
	if !held {
		return
	}
	if err := c.act(ctx, tenure); err != nil && ctx.Err() == nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("service", c.service), telemetry.F("cause", err))
	}
}

func (c *controller) noteTenure(t lease.Tenure, held bool, cause error) {
	switch {
	case held && (!c.holds || c.fence != t.Fence):
		c.drains = map[string]time.Duration{}
		c.drainCount = 0
		c.plan = newRolePlan(c.cfg)
		c.store.Merge([]*api.Item{gossip.LeaseItem(c.gossip.Self().DataCentre, c.service, c.gossip.Self().VM, t.Fence)}, "")
		c.gossip.Spread()
		c.log.Info(telemetry.EventLeaseAcquired, telemetry.F("service", c.service), telemetry.F("fence", t.Fence))
	case !held && c.holds:
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("service", c.service), telemetry.F("fence", c.fence), telemetry.F("cause", cause))
	}
	c.holds, c.fence = held, t.Fence
}

// targets returns the service's engines in this data centre, by name.
func (c *controller) targets() []gossip.TargetView {
	var out []gossip.TargetView
	for _, t := range c.store.RecentView(viewAge).Targets {
		if t.Service == c.service && t.DataCentre == c.gossip.Self().DataCentre {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// act completes what the journal shows, then brings engines to what the row
// asks for, at most one change at a time.
func (c *controller) act(ctx context.Context, t lease.Tenure) error {
	if _, err := c.sender.Begin(ctx); err != nil {
		return err
	}
	row, ok := c.store.RecentView(viewAge).Table.Row(c.service)
	if !ok {
		return nil
	}
	if row.Kind != table.Language {
		return c.sweep(ctx)
	}
	targets := c.targets()
	busy, err := c.complete(ctx, targets)
	if err != nil || busy {
		return err
	}
	c.planRoles(row, targets)
	return c.next(ctx, t, row, targets)
}

// sweepInterval is the time between removals of old claims.
const sweepInterval = time.Hour

// sweep removes claims that are too old to matter.
func (c *controller) sweep(ctx context.Context) error {
	if now := c.clock(); now >= c.nextSweep {
		c.nextSweep = now + sweepInterval
		n, err := once.Sweep(ctx, c.table, c.service, time.Now())
		if n > 0 || err != nil {
			c.log.Info(telemetry.EventClaimsRemoved, telemetry.F("service", c.service), telemetry.F("count", n), telemetry.F("cause", err))
		}
	}
	return nil
}

// complete carries every unfinished order of this service on by a step, and
// reports whether any remains.
func (c *controller) complete(ctx context.Context, targets []gossip.TargetView) (bool, error) {
	address := make(map[string]string, len(targets))
	for _, t := range targets {
		address[t.Name] = t.Address
	}
	busy := false
	var first error
	for _, name := range c.sender.Unfinished() {
		addr, ours := address[name]
		if !ours {
			continue
		}
		done, err := c.sender.Complete(ctx, name, addr)
		if err != nil && first == nil {
			first = errors.Wrapf(err, "complete the order of %s", name)
		}
		if !done {
			busy = true
			continue
		}
		c.undrain(name)
		c.doneAt[name] = c.clock()
		c.log.Info(telemetry.EventOrderDone, telemetry.F("service", c.service), telemetry.F("target", name))
	}
	return busy, first
}

// next finds the first engine that is not as wanted, drains it and orders it.
func (c *controller) next(ctx context.Context, t lease.Tenure, row table.Row, targets []gossip.TargetView) error {
	for _, tv := range targets {
		if tv.Status == nil || !tv.Status.GetReachable() || tv.Leaving() || tv.Status.GetChanging() {
			continue
		}
		want := target.Want{Role: c.plan.roleOf(tv), Model: row.Model, Version: row.Version, Adapters: row.Adapters}
		if at, ok := c.doneAt[tv.Name]; ok && c.clock()-at < c.viewLag() {
			continue
		}
		if wantOf(tv.Status).Equal(want) {
			c.undrain(tv.Name)
			continue
		}
		return c.change(ctx, t, row, tv, targets, want)
	}
	return nil
}

func wantOf(s *api.Target) target.Want {
	return target.Want{Role: target.Role(s.GetRole()), Model: s.GetModel(), Version: s.GetVersion(), Adapters: s.GetAdapters()}
}

func wantOfStatus(s target.Status) target.Want {
	return target.Want{Role: s.Role, Model: s.Model, Version: s.Version, Adapters: s.Adapters}
}

// viewLag is how far the view of an engine may be behind the engine: a poll,
// the way of its report and the age of the view.
func (c *controller) viewLag() time.Duration {
	return c.cfg.PollInterval.D() + c.cfg.GossipInterval.D() + viewAge
}

// change drains an engine and orders it once it is idle.
func (c *controller) change(ctx context.Context, t lease.Tenure, row table.Row, tv gossip.TargetView, targets []gossip.TargetView, want target.Want) error {
	if serves(tv, row.Model) {
		if !othersServe(tv.Name, row.Model, targets) {
			// The last engine of a service that serves is not taken away.
			return nil
		}
		if !c.drained(t, tv.Name) {
			return nil
		}
	}
	status, err := c.engines.Status(ctx, tv.Address)
	if err != nil {
		return errors.Wrapf(err, "status of %s", tv.Name)
	}
	if status.Running > 0 || status.Waiting > 0 || status.Changing {
		return nil
	}
	if wantOfStatus(status).Equal(want) {
		// It is as wanted already; the view lags behind.
		return nil
	}
	wait, err := c.weights.Reserve(ctx, row.Model, weightBytes)
	if err != nil || wait > 0 {
		return errors.Wrap(err, "reserve weight store")
	}
	err = c.sender.Give(ctx, tv.Name, tv.Address, row.Fencing, want)
	c.log.Info(telemetry.EventOrderSent, telemetry.F("service", c.service), telemetry.F("target", tv.Name),
		telemetry.F("role", want.Role), telemetry.F("version", want.Version), telemetry.F("fence", t.Fence), telemetry.F("err", err))
	c.records.order(c.service, tv.Name, want, err)
	if errors.Is(err, order.ErrFenceBehind) {
		return errors.Wrap(c.lease.Release(ctx), "give up a tenure behind the engine's")
	}
	return err
}

const (
	// drainSettle is how long after a drain began every entry has heard of it.
	drainSettle = 2 * time.Second
	// weightBytes is the size assumed of one load of weights.
	weightBytes = 1 << 30
)

// serves reports whether entries may be sending work of the model to t.
func serves(t gossip.TargetView, model string) bool { return t.Status.GetModel() == model }

func othersServe(name, model string, targets []gossip.TargetView) bool {
	for _, t := range targets {
		if t.Name != name && t.Usable() && serves(t, model) {
			return true
		}
	}
	return false
}

// drained begins the drain of an engine and reports whether every entry has
// heard of it by now.
func (c *controller) drained(t lease.Tenure, name string) bool {
	began, draining := c.drains[name]
	if !draining {
		c.drains[name] = c.clock()
		c.setDrain(t.Fence, name, true)
		return false
	}
	return c.clock()-began >= drainSettle
}

func (c *controller) undrain(name string) {
	v, ok := c.store.RecentView(viewAge).Targets[name]
	if !ok || !v.Draining {
		return
	}
	delete(c.drains, name)
	c.setDrain(c.fence, name, false)
}

func (c *controller) setDrain(fence uint64, name string, on bool) {
	c.drainCount++
	c.store.Merge([]*api.Item{gossip.DrainItem(name, on, fence, c.drainCount)}, "")
	c.gossip.Spread()
}
