package steward

import (
	"context"
	stderrors "errors"
	"slices"
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

// controller manages the engines of one service in the data centre while this steward
// holds the service's lease. It is used by one goroutine, except for lease.
type controller struct {
	*leaseManager
	service string
	lease   *lease.Lease
	sender  *order.Sender
	// holding tells whether the lease was held at the last step.
	holding bool
	// fence is the fencing token of the current tenure, or of the last one.
	fence uint64
	// lostAt is when the last tenure was found to have ended.
	lostAt time.Duration
	// drain is the last drain started in this tenure, if any.
	drain drain
	// orderDoneAt is when each engine's last order was found to be done. For up to
	// maxViewLag after that, the view may still show the engine's old configuration.
	orderDoneAt map[string]time.Duration
	plan        *rolePlan
	// nextClaimSweep is when old claims are due to be removed.
	nextClaimSweep time.Duration
	// nextLeaseStep is when the lease is due to be renewed or observed.
	nextLeaseStep time.Duration
}

// drain is the drain of one engine: entries send it no new requests, so that it
// becomes idle. A service drains at most one engine at a time.
type drain struct {
	engine    string
	startedAt time.Duration
}

// run takes a step every controlInterval until ctx ends, and then releases the lease.
func (c *controller) run(ctx context.Context) {
	kernel.Every(ctx, controlInterval, c.step)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Platform.Timeout.D())
	defer cancel()
	if err := c.lease.Release(ctx); err != nil {
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("service", c.service), telemetry.F("cause", err))
	}
}

// step renews the lease or tries to acquire it when that is due, and reconciles the
// engines if the lease is held. If an engine has a higher fencing token than the tenure,
// it releases the lease, because only a new tenure gets a higher one.
func (c *controller) step(ctx context.Context) {
	var err error
	if now := c.clock(); now >= c.nextLeaseStep {
		c.nextLeaseStep = now + c.cfg.LeaseTTL.D()/leaseStepsPerTTL
		_, held := c.lease.Held()
		if held || (c.gossip.Rank("lease/"+c.service) < leaseCandidates && len(c.targets()) > 0) {
			err = c.lease.Step(ctx, true)
		}
	}
	tenure, held := c.lease.Held()
	c.updateTenure(tenure, held, err)
	if !held {
		c.undrainAfterLeaseLoss()
		return
	}
	err = c.reconcile(ctx, tenure)
	if errors.Is(err, order.ErrFenceBehind) {
		err = stderrors.Join(err, errors.Wrap(c.lease.Release(ctx), "release the lease after an engine had a higher fencing token"))
	}
	if err != nil && ctx.Err() == nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("service", c.service), telemetry.F("cause", err))
	}
}

// updateTenure resets the state of the previous tenure when a new one begins, announces
// a new holder by gossip, and logs when the lease is acquired or lost. cause is the
// error of the lease's last step, or nil.
func (c *controller) updateTenure(t lease.Tenure, held bool, cause error) {
	switch {
	case held && (!c.holding || c.fence != t.Fence):
		c.drain = drain{}
		c.plan = newRolePlan(c.cfg)
		c.store.Merge([]*api.Item{gossip.LeaseItem(c.gossip.Self().DataCentre, c.service, c.gossip.Self().VM, t.Fence)}, "")
		c.gossip.RequestUrgentRound()
		c.log.Info(telemetry.EventLeaseAcquired, telemetry.F("service", c.service), telemetry.F("fence", t.Fence))
	case !held && c.holding:
		c.lostAt = c.clock()
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("service", c.service), telemetry.F("fence", c.fence), telemetry.F("cause", cause))
	}
	c.holding = held
	if held {
		c.fence = t.Fence
	}
}

// undrainAfterLeaseLoss ends the drain of the engine that the last tenure drained, once
// a successor has had time to acquire the lease. While the platform is unreachable no
// steward can acquire it, and the engine would stay unused until the platform is back.
// A drain set by a successor has a higher fencing token and is left alone.
func (c *controller) undrainAfterLeaseLoss() {
	name := c.drain.engine
	if name == "" || c.clock()-c.lostAt < successorWaitTTLs*c.cfg.LeaseTTL.D() {
		return
	}
	c.drain = drain{}
	if !c.isDraining(name) || !c.sender.Settled(name) {
		return
	}
	if err := c.setDrain(name, false); err != nil {
		c.log.Info(telemetry.EventOrderRefused, telemetry.F("service", c.service), telemetry.F("target", name), telemetry.F("cause", err))
	}
}

// targets returns the service's targets in this data centre, sorted by name.
func (c *controller) targets() []gossip.TargetView {
	var out []gossip.TargetView
	for _, t := range c.store.RecentView(maxViewAge).Targets {
		if t.Service == c.service && t.DataCentre == c.gossip.Self().DataCentre {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// reconcile first completes the unfinished orders in the journal, and then changes
// engines whose configuration differs from the service's row, one at a time. For a
// plain service it only removes old claims.
func (c *controller) reconcile(ctx context.Context, t lease.Tenure) error {
	if _, err := c.sender.Begin(ctx); err != nil {
		return err
	}
	row, ok := c.store.RecentView(maxViewAge).Table.Row(c.service)
	if !ok {
		return nil
	}
	if row.Kind != table.Language {
		return c.sweepClaims(ctx)
	}
	targets := c.targets()
	unfinished, err := c.completeOrders(ctx, targets)
	if err != nil || len(unfinished) > 0 {
		return stderrors.Join(err, c.undrainAllExcept(targets, unfinished...))
	}
	c.planRoles(row, targets)
	return c.advanceChange(ctx, t, row, targets)
}

// claimSweepInterval is the time between two removals of old claims.
const claimSweepInterval = time.Hour

// sweepClaims removes claims of idempotency keys that have expired, once in each
// claimSweepInterval. A failure is only logged.
func (c *controller) sweepClaims(ctx context.Context) error {
	if now := c.clock(); now >= c.nextClaimSweep {
		c.nextClaimSweep = now + claimSweepInterval
		n, err := once.Sweep(ctx, c.table, c.service, time.Now())
		if n > 0 || err != nil {
			c.log.Info(telemetry.EventClaimsRemoved, telemetry.F("service", c.service), telemetry.F("count", n), telemetry.F("cause", err))
		}
	}
	return nil
}

// completeOrders advances every unfinished order to one of targets by one step. It
// returns the engines whose orders are still unfinished, and the first error.
func (c *controller) completeOrders(ctx context.Context, targets []gossip.TargetView) ([]string, error) {
	address := make(map[string]string, len(targets))
	for _, t := range targets {
		address[t.Name] = t.Address
	}
	var unfinished []string
	var firstErr error
	for _, name := range c.sender.Unfinished() {
		addr, ok := address[name]
		if !ok {
			continue
		}
		done, err := c.sender.Complete(ctx, name, addr)
		if err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "complete the order of %s", name)
		}
		if !done {
			unfinished = append(unfinished, name)
			continue
		}
		c.orderDoneAt[name] = c.clock()
		c.log.Info(telemetry.EventOrderDone, telemetry.F("service", c.service), telemetry.F("target", name))
	}
	return unfinished, firstErr
}

// advanceChange advances the change of one engine: it is drained and then sent an
// order. Drains of all other engines are ended.
func (c *controller) advanceChange(ctx context.Context, t lease.Tenure, row table.Row, targets []gossip.TargetView) error {
	tv, want, ok := c.chooseEngine(row, targets)
	if !ok {
		return c.undrainAllExcept(targets)
	}
	if err := c.undrainAllExcept(targets, tv.Name); err != nil {
		return err
	}
	return c.drainAndOrder(ctx, t, row, tv, want)
}

// chooseEngine returns the engine to change next and its new configuration. An engine
// that is being drained already is preferred to the first one by name. The only engine
// that serves the row's model is skipped, so that it does not block the change of the
// others.
func (c *controller) chooseEngine(row table.Row, targets []gossip.TargetView) (tv gossip.TargetView, want target.DesiredState, ok bool) {
	for _, t := range targets {
		w, due := c.pendingChange(row, t)
		if !due || (servesModel(t, row.Model) && !otherServesModel(t.Name, row.Model, targets)) {
			continue
		}
		if c.isDraining(t.Name) {
			return t, w, true
		}
		if !ok {
			tv, want, ok = t, w, true
		}
	}
	return tv, want, ok
}

// pendingChange returns the configuration that an engine is to have, and whether the
// engine has another one and can be changed now. An engine whose last order was just
// done is left alone for maxViewLag.
func (c *controller) pendingChange(row table.Row, t gossip.TargetView) (target.DesiredState, bool) {
	if t.Status == nil || !t.Status.GetReachable() || t.Leaving() || t.Status.GetChanging() {
		return target.DesiredState{}, false
	}
	if at, ok := c.orderDoneAt[t.Name]; ok && c.clock()-at < c.maxViewLag() {
		return target.DesiredState{}, false
	}
	want := target.DesiredState{Role: c.plan.desiredRole(t), Model: row.Model, Version: row.Version, Adapters: row.Adapters}
	return want, !reportedConfig(t.Status).Equal(want)
}

// reportedConfig returns the configuration that an engine's gossiped report shows.
func reportedConfig(s *api.Target) target.DesiredState {
	return target.DesiredState{Role: target.Role(s.GetRole()), Model: s.GetModel(), Version: s.GetVersion(), Adapters: s.GetAdapters()}
}

// statusConfig returns the configuration that an engine's own status shows.
func statusConfig(s target.Status) target.DesiredState {
	return target.DesiredState{Role: s.Role, Model: s.Model, Version: s.Version, Adapters: s.Adapters}
}

// maxViewLag returns how far the view of an engine may lag behind the engine: the time
// to the next poll, the gossip of the report and the age of the view.
func (c *controller) maxViewLag() time.Duration {
	return c.cfg.PollInterval.D() + c.cfg.GossipInterval.D() + maxViewAge
}

// drainAndOrder drains an engine and, once it is idle and the weight store allows the
// load, sends it an order to take the configuration want. Each call advances this as
// far as possible without waiting.
func (c *controller) drainAndOrder(ctx context.Context, t lease.Tenure, row table.Row, tv gossip.TargetView, want target.DesiredState) error {
	if servesModel(tv, row.Model) {
		if settled, err := c.ensureDrained(tv.Name); err != nil || !settled {
			return err
		}
	}
	status, err := c.engines.Status(ctx, tv.Address)
	if err != nil {
		return errors.Wrapf(err, "status of %s", tv.Name)
	}
	if status.Running > 0 || status.Waiting > 0 || status.Changing {
		return nil
	}
	if statusConfig(status).Equal(want) {
		// The engine has the configuration already; the view lags behind.
		return nil
	}
	wait, err := c.weights.Reserve(ctx, row.Model, assumedWeightBytes)
	if err != nil || wait > 0 {
		return errors.Wrap(err, "reserve a load from the weight store")
	}
	err = c.sender.Issue(ctx, tv.Name, tv.Address, row.Fencing, want)
	c.log.Info(telemetry.EventOrderSent, telemetry.F("service", c.service), telemetry.F("target", tv.Name),
		telemetry.F("role", want.Role), telemetry.F("version", want.Version), telemetry.F("fence", t.Fence), telemetry.F("err", err))
	c.decisions.recordOrder(c.service, tv.Name, want, err)
	return err
}

const (
	// drainPropagation is how long after its start a drain is assumed to be known to
	// every entry.
	drainPropagation = 2 * time.Second
	// successorWaitTTLs is the time after the loss of a lease, in TTLs, by which a
	// successor has acquired it if any steward can.
	successorWaitTTLs = 2
	// assumedWeightBytes is the assumed size of a model's weights, in bytes.
	assumedWeightBytes = 1 << 30
)

// servesModel reports whether t has the model loaded, so that entries may be sending
// it requests.
func servesModel(t gossip.TargetView, model string) bool { return t.Status.GetModel() == model }

// otherServesModel reports whether a usable engine other than name serves the model.
// The only one that does must not be drained.
func otherServesModel(name, model string, targets []gossip.TargetView) bool {
	for _, t := range targets {
		if t.Name != name && t.Usable() && servesModel(t, model) {
			return true
		}
	}
	return false
}

// ensureDrained starts the drain of an engine unless it is drained already, and
// reports whether every entry knows of the drain by now. A drain that was ended in
// the meantime is started again.
func (c *controller) ensureDrained(name string) (bool, error) {
	if c.drain.engine == name && c.isDraining(name) {
		return c.clock()-c.drain.startedAt >= drainPropagation, nil
	}
	c.drain = drain{engine: name, startedAt: c.clock()}
	return false, c.setDrain(name, true)
}

// undrainAllExcept ends the drains of all targets except those named in keep. A drain
// left by an earlier holder, or started for a change that is no longer wanted, would
// otherwise keep the engine out of use for good.
func (c *controller) undrainAllExcept(targets []gossip.TargetView, keep ...string) error {
	for _, t := range targets {
		if slices.Contains(keep, t.Name) || !c.isDraining(t.Name) {
			continue
		}
		if err := c.setDrain(t.Name, false); err != nil {
			return err
		}
	}
	return nil
}

// isDraining reports whether the store's latest drain item for an engine is on. It
// reads the store directly because views lag behind.
func (c *controller) isDraining(name string) bool {
	return c.store.Get(gossip.DrainKey(name)).GetDrain().GetOn()
}

// setDrain starts or ends an engine's drain and spreads it by gossip. It returns
// order.ErrFenceBehind if the last drain item has a higher fencing token than this
// tenure, for example from the holder of another service that the engine was moved
// from.
func (c *controller) setDrain(name string, on bool) error {
	last := c.store.Get(gossip.DrainKey(name))
	if last.GetEpoch() > c.fence {
		return order.ErrFenceBehind
	}
	seq := uint64(1)
	if last.GetEpoch() == c.fence {
		seq = last.GetSeq() + 1
	}
	c.store.Merge([]*api.Item{gossip.DrainItem(name, on, c.fence, seq)}, "")
	c.gossip.RequestUrgentRound()
	return nil
}
