package stages

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// stepInterval is the time between two evaluations of the plan.
	stepInterval = 200 * time.Millisecond
	// listSettleTime is how long no further engine must have been listed before the lease is contended
	// for.
	listSettleTime = 1500 * time.Millisecond
	// idleInterval is the time between two checks whether this VM has become a candidate.
	idleInterval = time.Second
	// contendStagger is the difference between two successive values of contendDelay. VMs wait
	// for different times before they contend for the lease, so that they do not all send
	// requests to the store at once.
	contendStagger = 600 * time.Millisecond
	// contendSlots is the number of different values of contendDelay.
	contendSlots = 8
	// leaseTTL is how long a lease that is not renewed stays valid.
	leaseTTL = 4 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = time.Second
	// propagationDelay is the time between writing the journal row and sending the order. In this
	// time every VM learns of the order, and prefills that are already running finish.
	propagationDelay = 300 * time.Millisecond
	// callTimeout bounds one call to the store or to an engine.
	callTimeout = 700 * time.Millisecond
	// orderTimeout is the time after which an order that the engine has responded to counts as
	// closed, so that it no longer blocks another order to the engine. unknownOrderTimeout is that
	// time for an order without a response, which may still be carried out seconds later.
	orderTimeout        = 8 * time.Second
	unknownOrderTimeout = 15 * time.Second
	// decodeUtilization is the average fraction of a decode engine's capacity that running
	// requests may fill. The rest absorbs swings of the request mix, as an engine takes seconds
	// to change its stage.
	decodeUtilization = 0.7
	// peakWindow is the minimum time for which the peak demand for decode engines is remembered.
	// The request mix swings within seconds, and a stage change that follows each swing comes
	// too late.
	peakWindow = 15 * time.Second
	// backlogPeakWindow replaces peakWindow while prompts queue at the prefill engines. The window
	// is longer than one swing of the request mix, which lasts a few seconds, so that engines do
	// not change their stage back and forth with each swing.
	backlogPeakWindow = 3 * time.Second
	// maxChangesPerTxn bounds the changes of one step, because the store accepts at most 100
	// entries in one transaction, including the condition on the lease tenure.
	maxChangesPerTxn = 90
	// KeyPrefix is the prefix of the store keys under which orders are journalled.
	KeyPrefix = "order/"
	// leaseDataCentre and leaseService name the lease, which covers all data centres and services.
	leaseDataCentre = "all"
	leaseService    = "stages"
)

// Order tells an engine to change its stage.
type Order struct {
	Stage fleet.Stage
	// Holder is the VM that sends the order, and Fence the fencing number of its lease tenure.
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine must have accepted before this one.
	Sequence uint64
}

// Report is the state that an engine reports.
type Report struct {
	Stage fleet.Stage
	// Busy says that the engine is still changing its stage. A busy engine is sent no order.
	Busy bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
}

// Errors that EngineClient.Order returns.
var (
	// ErrRefused says that the engine rejected the order and will never carry it out.
	ErrRefused = errors.New("stages: engine refused the order")
	// ErrWithheld says that the lease had lapsed and nothing was sent.
	ErrWithheld = errors.New("stages: order not sent: lease lapsed")
	// ErrUnknown says that the order may be carried out, now or later.
	ErrUnknown = errors.New("stages: outcome of the order unknown")
)

// EngineClient reads the reports of engines and sends them orders.
type EngineClient interface {
	// Report returns the current state of engine t.
	Report(ctx context.Context, t *fleet.Target) (Report, error)
	// Order sends o at most once. It calls stillHeld immediately before it writes the first byte
	// and sends nothing if stillHeld returns false. It fails with one of this package's errors.
	Order(ctx context.Context, t *fleet.Target, o Order, stillHeld func() bool) error
}

// Config holds the settings of a Controller.
type Config struct {
	// VM is the name of this VM.
	VM string
	// PrefillShare is the fraction of a service's engines that prefill, from 0 to 1.
	PrefillShare float64
	// HandoverGap is the minimum time between one lease holder's last order and the first order
	// of the next holder.
	HandoverGap time.Duration
}

// Controller plans the stages of all model engines and, while this VM holds the lease, orders the
// changes.
type Controller struct {
	kernel.Background
	cfg     Config
	keeper  *fleet.Keeper
	journal *store.Journal
	engines EngineClient
	lease   *lease.Lease
	clock   lease.Clock
	log     *telemetry.Logger

	// mu guards openOrders and decodePeaks.
	mu sync.Mutex
	// openOrders holds the journal rows by the run id of the engine (fleet.Target.RunID). An engine
	// that restarts gets another run id and has lost its orders.
	openOrders map[string]*openOrder

	// load returns the number of streams at an engine.
	load Load
	// changingElsewhere reports whether another VM has ordered an engine to change its stage.
	changingElsewhere func(engine string) bool
	// decodeDemand returns how many decode engines the running requests of a service fill.
	decodeDemand func([]*fleet.Target) float64
	// prefillBacklogged reports whether prompts queue at the prefill engines of a service.
	prefillBacklogged func([]*fleet.Target) bool
	// decodePeaks holds the recent peak demand for decode engines by service.
	decodePeaks map[string]*demandPeaks
	// isCandidate reports whether this VM may contend for the lease.
	isCandidate func() bool
	// groupSize returns the number of VMs. It is nil if that number does not limit the prefill
	// engines.
	groupSize func() int

	// changesSince is when step first found changes to order or closed orders to remove, or 0 if it
	// found neither. ensureLease moves it to set the time of the next attempt to acquire the lease.
	// Like the fields below, only the goroutine of step uses it.
	changesSince time.Duration
	// mostEngines is the highest number of engines that were listed at once, since grownAt.
	mostEngines int
	grownAt     time.Duration
	// renewedAt is when the lease was last renewed or contended for.
	renewedAt time.Duration
	// heldFence is the fencing number of the last tenure whose start was logged. It is 0 once the
	// end of that tenure has been logged or the lease has been released.
	heldFence uint64
	// journalFence is the fencing number of the tenure in which the journal was read. mustRead is set while it
	// has to be read again in that tenure.
	journalFence uint64
	mustRead     bool
}

// New returns a controller that does nothing until Start. The clock must also count the time for
// which the machine is suspended.
func New(cfg Config, keeper *fleet.Keeper, table store.Table, engines EngineClient, clock lease.Clock, incarnation uint64, log *telemetry.Logger) *Controller {
	lc := lease.Config{DataCentre: leaseDataCentre, Service: leaseService, Holder: cfg.VM, Incarnation: incarnation, TTL: leaseTTL}
	return &Controller{
		cfg: cfg, keeper: keeper, journal: store.NewJournal(table, KeyPrefix, headKey), engines: engines, clock: clock, log: log,
		lease: lease.New(lc, table, clock), openOrders: make(map[string]*openOrder),
		load: func(string) int { return 0 }, changingElsewhere: func(string) bool { return false },
		isCandidate: func() bool { return true }, decodeDemand: func([]*fleet.Target) float64 { return 0 }, decodePeaks: make(map[string]*demandPeaks),
		prefillBacklogged: func([]*fleet.Target) bool { return false },
	}
}

// SetEngineState sets two functions: load returns the number of streams at an engine, and changing
// reports whether another VM has ordered an engine to change its stage. It must be called before
// Start.
func (c *Controller) SetEngineState(load Load, changing func(engine string) bool) {
	c.load, c.changingElsewhere = load, changing
}

// SetDecodeDemand sets the function that returns how many decode engines the running requests of a
// service fill. It must be called before Start.
func (c *Controller) SetDecodeDemand(demand func([]*fleet.Target) float64) { c.decodeDemand = demand }

// SetPrefillBacklog sets the function that reports whether prompts queue at the prefill engines of
// a service. It must be called before Start.
func (c *Controller) SetPrefillBacklog(f func([]*fleet.Target) bool) { c.prefillBacklogged = f }

// SetCandidate sets the function that reports whether this VM may contend for the lease; in a
// large group a few candidates are enough. It must be called before Start.
func (c *Controller) SetCandidate(candidate func() bool) { c.isCandidate = candidate }

// SetGroupSize sets the function that returns the number of VMs. It must be called before Start.
func (c *Controller) SetGroupSize(size func() int) { c.groupSize = size }

// Start begins to evaluate the plan at regular intervals.
func (c *Controller) Start(context.Context) error {
	c.Run(func(ctx context.Context) {
		for ctx.Err() == nil {
			c.step(ctx)
			kernel.Sleep(ctx, c.pause())
		}
	})
	return nil
}

// pause returns the time until the next step.
func (c *Controller) pause() time.Duration {
	if _, held := c.lease.Held(); !held && !c.isCandidate() {
		return idleInterval
	}
	return stepInterval
}

// Changing reports whether this VM knows of an order for an engine to change its stage that the
// engine has not carried out yet and that is not older than unknownOrderTimeout. No new requests
// may be sent to such an engine.
func (c *Controller) Changing(t *fleet.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.openOrders[t.RunID()]
	return o != nil && o.row.Stage != t.Stage && c.clock()-o.seenAt < unknownOrderTimeout
}

// OpenOrders returns the open orders that this VM has in memory: the ordered stage by run id of
// the engine, or nil if there are none.
func (c *Controller) OpenOrders() map[string]fleet.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openOrders) == 0 {
		return nil
	}
	out := make(map[string]fleet.Stage, len(c.openOrders))
	for id, o := range c.openOrders {
		out[id] = o.row.Stage
	}
	return out
}

// step evaluates the plan once, acquires the lease if there is something to do and sends the
// orders.
func (c *Controller) step(ctx context.Context) {
	_, held := c.lease.Held()
	if !held && !c.isCandidate() {
		// The plan takes all engines into account. Most VMs of a large group need not know it.
		c.changesSince = 0
		return
	}
	v := c.keeper.View()
	now := c.clock()
	if !held && c.listGrows(v, now) {
		return
	}
	changes := c.pendingChanges(v)
	// A write whose outcome is unknown is settled before the lease is released.
	if len(changes) == 0 && len(c.closedOrders(v)) == 0 && !(held && c.mustRead) {
		c.changesSince = 0
		c.releaseLease(ctx)
		return
	}
	if c.changesSince == 0 {
		c.changesSince = now
	}
	if !held && now-c.changesSince < c.contendDelay() {
		return
	}
	t, ok := c.ensureLease(ctx)
	if !ok {
		return
	}
	if c.journalFence != t.Fence || c.mustRead {
		if err := c.readJournal(ctx, t); err != nil {
			c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "read"), telemetry.F("cause", err))
			return
		}
		c.journalFence, c.mustRead = t.Fence, false
	}
	c.removeClosedOrders(ctx, t, v)
	if c.mustRead {
		return
	}
	if t.Fence > 1 && c.clock()-t.Since < c.cfg.HandoverGap+propagationDelay {
		// The previous holder may have sent an order until the end of its tenure.
		return
	}
	c.issueOrders(ctx, t, changes)
}

// listGrows reports whether more engines than ever before were listed within listSettleTime. The plan
// for a part of the engines is not that for all.
//
// Load pattern: ten thousand engines register in the seconds after the start. While a third of them
// were listed, hundreds were ordered to prefill that are not needed.
func (c *Controller) listGrows(v *fleet.View, now time.Duration) bool {
	engines := 0
	for name, ts := range v.Targets {
		if s := v.Config; s != nil && s.Services[name] != nil && s.Services[name].Engine != nil {
			engines += len(ts)
		}
	}
	if engines > c.mostEngines {
		c.mostEngines, c.grownAt = engines, now
	}
	return now-c.grownAt < listSettleTime
}

// pendingChanges returns the planned changes of engines that have no open order. An order counts if
// this VM knows it from the journal or another VM has announced it.
func (c *Controller) pendingChanges(v *fleet.View) []Change {
	var out []Change
	for _, ch := range PlanAll(c.withOpenOrders(v), c.prefillCount, c.load, c.isOrdered) {
		if _, open := c.orderedStage(ch.Target); !open {
			out = append(out, ch)
		}
	}
	return out
}

// isOrdered reports whether an engine has an open order.
func (c *Controller) isOrdered(t *fleet.Target) bool {
	_, open := c.orderedStage(t)
	return open
}

// withOpenOrders returns the view that v will be when the open orders have been carried out.
func (c *Controller) withOpenOrders(v *fleet.View) *fleet.View {
	out := &fleet.View{Config: v.Config, Targets: make(map[string][]*fleet.Target, len(v.Targets))}
	for name, targets := range v.Targets {
		for _, t := range targets {
			if stage, open := c.orderedStage(t); open && stage != t.Stage && !c.notSent(t) {
				changed := *t
				changed.Stage, t = stage, &changed
			}
			out.Targets[name] = append(out.Targets[name], t)
		}
	}
	return out
}

// notSent reports whether an engine will not carry out its open order.
func (c *Controller) notSent(t *fleet.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.openOrders[t.RunID()]
	return o != nil && o.notSent
}

// markNotSent records that an engine will not carry out its open order.
func (c *Controller) markNotSent(t *fleet.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.openOrders[t.RunID()]; o != nil {
		o.notSent = true
	}
}

// orderedStage returns the stage of an engine's open order, or false if it has none.
func (c *Controller) orderedStage(t *fleet.Target) (fleet.Stage, bool) {
	c.mu.Lock()
	o := c.openOrders[t.RunID()]
	c.mu.Unlock()
	switch {
	case o != nil:
		return o.row.Stage, true
	case !c.changingElsewhere(t.RunID()):
		return t.Stage, false
	case t.Stage == fleet.Prefill:
		return fleet.Decode, true
	}
	return fleet.Prefill, true
}

// closedOrders returns the run ids of the engines whose orders are no longer open: the engine shows
// the ordered stage or is gone, or the order has timed out or was never sent. Their rows can be removed
// from the journal.
func (c *Controller) closedOrders(v *fleet.View) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openOrders) == 0 {
		return nil
	}
	waiting := make(map[string]bool, len(c.openOrders))
	for _, ts := range v.Targets {
		for _, t := range ts {
			if o := c.openOrders[t.RunID()]; o != nil && !o.abandoned && o.row.Stage != t.Stage && !c.timedOut(o) {
				waiting[t.RunID()] = true
			}
		}
	}
	var closed []string
	for id := range c.openOrders {
		if !waiting[id] {
			closed = append(closed, id)
		}
	}
	return closed
}

// timedOut reports whether an order counts as closed because of its age. The caller must hold c.mu.
func (c *Controller) timedOut(o *openOrder) bool {
	limit := orderTimeout
	if o.outcomeUnknown || o.row.Holder != c.cfg.VM {
		limit = unknownOrderTimeout
	}
	return c.clock()-o.seenAt > limit
}

// contendDelay returns how long this VM waits before it contends for the lease. The time is
// derived from the VM's name, so that VMs wait for different times.
func (c *Controller) contendDelay() time.Duration {
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(c.cfg.VM))
	return time.Duration(h.Sum32()%contendSlots) * contendStagger
}

// ensureLease acquires the lease, or renews it if the last renewal is at least renewInterval ago.
// It returns the tenure and whether the lease is held.
func (c *Controller) ensureLease(ctx context.Context) (lease.Tenure, bool) {
	if t, ok := c.lease.Held(); ok && c.clock()-c.renewedAt < renewInterval {
		return t, true
	}
	c.renewedAt = c.clock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.lease.Step(call, true)
	t, ok := c.lease.Held()
	if ok && t.Fence != c.heldFence {
		c.heldFence = t.Fence
		c.log.Info(telemetry.EventLeaseAcquired, telemetry.F("fence", t.Fence))
	}
	if err != nil && !ok && c.heldFence != 0 {
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("fence", c.heldFence), telemetry.F("cause", err))
		c.heldFence = 0
	}
	if !ok {
		// Another VM holds the lease or the store is unavailable: contend again after
		// renewInterval.
		c.changesSince = c.clock() - c.contendDelay() + renewInterval
	}
	return t, ok
}

// releaseLease gives up the lease if it is held, so that another VM need not wait for it to
// lapse.
func (c *Controller) releaseLease(ctx context.Context) {
	if _, ok := c.lease.Held(); !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.lease.Release(call); err != nil {
		c.log.Warn(telemetry.EventLeaseLost, telemetry.F("cause", err))
	}
	c.heldFence = 0
}

// issueOrders writes up to maxChangesPerTxn changes to the journal in one transaction, waits for
// propagationDelay and then sends the orders.
func (c *Controller) issueOrders(ctx context.Context, t lease.Tenure, changes []Change) {
	if len(changes) == 0 {
		return
	}
	changes = changes[:min(len(changes), maxChangesPerTxn)]
	var txn store.Txn
	for _, ch := range changes {
		value, err := json.Marshal(journalRow{Holder: c.cfg.VM, Fence: t.Fence, Stage: ch.Stage})
		if err != nil {
			panic("stages: encode journal row: " + err.Error())
		}
		txn.Puts = append(txn.Puts, store.Put{Key: KeyPrefix + ch.Target.RunID(), Value: value})
	}
	if err := c.commit(ctx, t, txn); err != nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "write"), telemetry.F("cause", err))
		return
	}
	c.mu.Lock()
	for _, ch := range changes {
		c.openOrders[ch.Target.RunID()] = &openOrder{row: journalRow{Holder: c.cfg.VM, Fence: t.Fence, Stage: ch.Stage}, seenAt: c.clock()}
	}
	c.mu.Unlock()
	kernel.Sleep(ctx, propagationDelay)
	for _, ch := range changes {
		c.sendOrder(ctx, t, ch)
	}
}

// sendOrder sends one journalled order, unless the engine is busy or does not report its state.
func (c *Controller) sendOrder(ctx context.Context, t lease.Tenure, ch Change) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := c.engines.Report(call, ch.Target)
	if err != nil || report.Busy {
		c.markNotSent(ch.Target)
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("engine", ch.Target.ID), telemetry.F("busy", report.Busy), telemetry.F("cause", err))
		return
	}
	o := Order{Stage: ch.Stage, Holder: c.cfg.VM, Fence: t.Fence, Sequence: report.Sequence}
	stillHeld := func() bool {
		current, ok := c.lease.Held()
		return ok && current.Fence == t.Fence
	}
	err = c.engines.Order(call, ch.Target, o, stillHeld)
	c.mu.Lock()
	if open := c.openOrders[ch.Target.RunID()]; open != nil {
		open.outcomeUnknown = errors.Is(err, ErrUnknown)
	}
	c.mu.Unlock()
	fields := []telemetry.Field{
		telemetry.F("engine", ch.Target.ID), telemetry.F("stage", string(ch.Stage)), telemetry.F("fence", t.Fence),
		telemetry.F("sequence", report.Sequence),
	}
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrWithheld) {
		c.markNotSent(ch.Target)
	}
	if err != nil {
		c.log.Warn(telemetry.EventOrderRefused, append(fields, telemetry.F("cause", err))...)
		return
	}
	c.log.Info(telemetry.EventOrderSent, fields...)
}
