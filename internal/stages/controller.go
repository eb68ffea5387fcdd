package stages

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math"
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
	// tick is the time between looks at the plan.
	tick = 200 * time.Millisecond
	// candidateStep is how much longer each further candidate waits before it
	// contends, so that they do not all ask the store at once.
	candidateStep = 600 * time.Millisecond
	// candidates is the number of steps.
	candidates = 8
	// leaseTTL is how long an unrenewed lease stays in force.
	leaseTTL = 4 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = time.Second
	// settle is the time between the journal's row and the order, in which
	// every VM hears of it and prompts in hand are finished.
	settle = 300 * time.Millisecond
	// callTimeout bounds a call to the store or to an engine.
	callTimeout = 700 * time.Millisecond
	// doneWithin is how long an order that was answered may take; one without
	// an answer may be carried out seconds later.
	doneWithin    = 8 * time.Second
	unknownWithin = 15 * time.Second
	// decodeUse is the part of a decode engine that runs may fill on average, so that
	// a swing of the mix finds room: an engine takes seconds to change its stage.
	decodeUse = 0.7
	// peakSpan is for how long at least the most that decoding needed is kept. The mix
	// swings within seconds, and a change that chases it comes too late.
	peakSpan = 15 * time.Second
	// pressedSpan takes its place while prompts queue at the engines that prefill: above the
	// few seconds of one swing, so that engines do not change back and forth with it.
	pressedSpan = 3 * time.Second
	// maxChanges bounds the changes of one step: the store takes 100 entries in
	// one transaction, the tenure's condition among them.
	maxChanges = 90
	// KeyPrefix is where orders are journalled in the store.
	KeyPrefix = "order/"
)

// Order is an order to an engine.
type Order struct {
	Stage fleet.Stage
	// Holder names the VM that orders, and Fence its tenure.
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine must have accepted.
	Sequence uint64
}

// Report is what an engine says of itself.
type Report struct {
	Stage    fleet.Stage
	Busy     bool
	Sequence uint64
}

// The errors of an order.
var (
	// ErrRefused: the engine did not take the order and never will.
	ErrRefused = errors.New("stages: order refused")
	// ErrWithheld: the lease had lapsed; nothing was sent.
	ErrWithheld = errors.New("stages: order withheld")
	// ErrUnknown: the order may be carried out, now or later.
	ErrUnknown = errors.New("stages: order's outcome unknown")
)

// Engines carries reports and orders.
type Engines interface {
	Report(ctx context.Context, t *fleet.Target) (Report, error)
	// Order sends o at most once, unless still, asked right before the first
	// byte, says no. It fails with one of this package's errors.
	Order(ctx context.Context, t *fleet.Target, o Order, still func() bool) error
}

// Config is the controller's settings.
type Config struct {
	VM string
	// Share is the share of engines that prefill.
	Share float64
	// Gap is how long after one holder's last order another may give one.
	Gap time.Duration
}

// Controller plans and orders.
type Controller struct {
	kernel.Background
	cfg     Config
	keeper  *fleet.Keeper
	table   store.Table
	engines Engines
	lease   *lease.Lease
	clock   lease.Clock
	log     *telemetry.Logger

	mu sync.Mutex
	// open holds the journal's rows, by run of the engine: a run that has ended takes
	// its orders with it.
	open map[string]*openOrder

	// load is the streams at each engine.
	load Load
	// elsewhere says whether another VM changes an engine.
	elsewhere func(engine string) bool
	// demand is how many decode engines the runs in hand of a service fill.
	demand func([]*fleet.Target) float64
	// pressed reports whether prompts queue at a service's engines that prefill.
	pressed func([]*fleet.Target) bool
	// peaks holds the most that decoding needed of late, by service; mu guards it.
	peaks map[string]*peaks
	// candidate says whether this VM may contend for the lease.
	candidate func() bool

	// wantedSince is when the plan first held changes; owned by run.
	wantedSince time.Duration
	renewedAt   time.Duration
	heldFence   uint64
	// loadedFence is the tenure that the journal was read in.
	loadedFence uint64
}

// New returns a controller that does nothing until Start.
func New(cfg Config, keeper *fleet.Keeper, table store.Table, engines Engines, clock lease.Clock, incarnation uint64, log *telemetry.Logger) *Controller {
	lc := lease.Config{DataCentre: "all", Service: "stages", Holder: cfg.VM, Incarnation: incarnation, TTL: leaseTTL}
	return &Controller{
		cfg: cfg, keeper: keeper, table: table, engines: engines, clock: clock, log: log,
		lease: lease.New(lc, table, clock), open: make(map[string]*openOrder),
		load: func(string) int { return 0 }, elsewhere: func(string) bool { return false },
		candidate: func() bool { return true }, demand: func([]*fleet.Target) float64 { return 0 }, peaks: make(map[string]*peaks),
		pressed: func([]*fleet.Target) bool { return false },
	}
}

// SetView sets where the streams of engines, and the changes that other VMs have
// ordered, are read; it is called before Start.
func (c *Controller) SetView(load Load, elsewhere func(engine string) bool) {
	c.load, c.elsewhere = load, elsewhere
}

// SetDemand sets where it is read how many decode engines the runs in hand of a service
// fill; it is called before Start.
func (c *Controller) SetDemand(demand func([]*fleet.Target) float64) { c.demand = demand }

// SetPressed sets where it is read whether prompts queue at a service's engines that prefill;
// it is called before Start.
func (c *Controller) SetPressed(pressed func([]*fleet.Target) bool) { c.pressed = pressed }

// SetCandidate sets what says whether this VM may contend for the lease: in a
// large group a few are enough. It is called before Start.
func (c *Controller) SetCandidate(candidate func() bool) { c.candidate = candidate }

// Start begins to plan.
func (c *Controller) Start(context.Context) error {
	c.Run(func(ctx context.Context) { kernel.Every(ctx, tick, c.step) })
	return nil
}

// Changing reports whether this VM has ordered an engine to change its stage
// and the engine has not done so yet; nothing new is to be sent to it.
func (c *Controller) Changing(t *fleet.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[t.RunID()]
	return o != nil && o.row.Stage != t.Stage && c.clock()-o.seen < unknownWithin
}

// Open returns the engines that this VM has ordered to change, with the stage.
func (c *Controller) Open() map[string]fleet.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) == 0 {
		return nil
	}
	out := make(map[string]fleet.Stage, len(c.open))
	for id, o := range c.open {
		out[id] = o.row.Stage
	}
	return out
}

// step looks at the plan once.
func (c *Controller) step(ctx context.Context) {
	v := c.keeper.View()
	changes := c.wanted(v)
	now := c.clock()
	if len(changes) == 0 && !c.finishing(v) {
		c.wantedSince = 0
		c.release(ctx)
		return
	}
	if c.wantedSince == 0 {
		c.wantedSince = now
	}
	if _, held := c.lease.Held(); !held && (now-c.wantedSince < c.patience() || !c.candidate()) {
		return
	}
	t, ok := c.hold(ctx)
	if !ok {
		return
	}
	if c.loadedFence != t.Fence {
		if err := c.readJournal(ctx); err != nil {
			c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "read"), telemetry.F("cause", err))
			return
		}
		c.loadedFence = t.Fence
	}
	c.finish(ctx, t, v)
	if t.Fence > 1 && c.clock()-t.Since < c.cfg.Gap+settle {
		// The holder before may have ordered until just before.
		return
	}
	c.order(ctx, t, changes)
}

// wanted returns the planned changes of engines that no order stands open for.
func (c *Controller) wanted(v *fleet.View) []Change {
	var out []Change
	for _, ch := range PlanAll(v, c.want, c.load) {
		c.mu.Lock()
		open := c.open[ch.Target.RunID()] != nil
		c.mu.Unlock()
		if !open && !c.elsewhere(ch.Target.RunID()) {
			out = append(out, ch)
		}
	}
	return out
}

// want is how many of a service's engines are to prefill: their share, and no more
// than decoding leaves.
func (c *Controller) want(targets []*fleet.Target) int {
	staying, _ := count(targets)
	share := int(math.Round(c.cfg.Share * float64(staying)))
	return min(share, staying-c.decoding(targets))
}

// decoding is how many engines of a service decode at least: those that its runs have
// lately filled to decodeUse.
//
// Load pattern: spans of long answers and spans of prompts follow each other within seconds.
// Engines that the answers needed a while ago are kept for the next ones, but not while prompts
// queue.
func (c *Controller) decoding(targets []*fleet.Target) int {
	if len(targets) == 0 {
		return 0
	}
	// Placement answers under its own lock, under which it calls Changing.
	demand, pressed := c.demand(targets), c.pressed(targets)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peaks[targets[0].Service]
	if p == nil {
		p = &peaks{long: peak{span: peakSpan}, short: peak{span: pressedSpan}}
		c.peaks[targets[0].Service] = p
	}
	return int(math.Ceil(p.take(demand, pressed, c.clock()) / decodeUse))
}

// peaks is the most that decoding needed of late, over a long and a short span.
type peaks struct {
	long  peak
	short peak
}

// take takes in what is needed at a time, and returns the most that counts.
func (p *peaks) take(need float64, pressed bool, at time.Duration) float64 {
	long, short := p.long.take(need, at), p.short.take(need, at)
	if pressed {
		// What was needed before the prompts came is needed no more once they have gone.
		p.long = p.short
		p.long.span = peakSpan
		return short
	}
	return long
}

// peak is the most that was needed of late.
type peak struct {
	span time.Duration
	// now is the most of the present span, which began at since, and before that of
	// the one before.
	now    float64
	before float64
	since  time.Duration
}

// take takes in what is needed at a time, and returns the most of the last one to two
// spans.
func (p *peak) take(need float64, at time.Duration) float64 {
	if at-p.since >= p.span {
		p.now, p.before, p.since = 0, p.now, at
	}
	p.now = max(p.now, need)
	return max(p.now, p.before)
}

// finishing reports whether rows of the journal can be removed.
func (c *Controller) finishing(v *fleet.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.open {
		if c.finished(v, id, o) {
			return true
		}
	}
	return false
}

// finished reports whether an order stands open no more: the engine shows the
// stage or is gone, or its time is over. The caller holds c.mu.
func (c *Controller) finished(v *fleet.View, id string, o *openOrder) bool {
	limit := doneWithin
	if o.unknown || o.row.Holder != c.cfg.VM {
		limit = unknownWithin
	}
	if c.clock()-o.seen > limit {
		return true
	}
	for _, ts := range v.Targets {
		for _, t := range ts {
			if t.RunID() == id {
				return t.Stage == o.row.Stage
			}
		}
	}
	return true
}

// patience is this VM's wait before it contends: a different one on each VM.
func (c *Controller) patience() time.Duration {
	h := fnv.New32a()
	// A hash's Write returns no error.
	_, _ = h.Write([]byte(c.cfg.VM))
	return time.Duration(h.Sum32()%candidates) * candidateStep
}

// hold acquires or renews the lease and returns its tenure.
func (c *Controller) hold(ctx context.Context) (lease.Tenure, bool) {
	if t, ok := c.lease.Held(); ok && c.clock()-c.renewedAt < renewEvery {
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
		// Another one holds it, or the store is away: look again later.
		c.wantedSince = c.clock() - c.patience() + renewEvery
	}
	return t, ok
}

func (c *Controller) release(ctx context.Context) {
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

// order journals all changes in one transaction and then gives the orders.
func (c *Controller) order(ctx context.Context, t lease.Tenure, changes []Change) {
	if len(changes) == 0 {
		return
	}
	changes = changes[:min(len(changes), maxChanges)]
	var txn store.Txn
	for _, ch := range changes {
		value, err := json.Marshal(row{Holder: c.cfg.VM, Fence: t.Fence, Stage: ch.Stage})
		if err != nil {
			panic("stages: encode row: " + err.Error())
		}
		txn.Puts = append(txn.Puts, store.Put{Key: KeyPrefix + ch.Target.RunID(), Value: value})
	}
	if err := c.commit(ctx, t, txn); err != nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "write"), telemetry.F("cause", err))
		return
	}
	c.mu.Lock()
	for _, ch := range changes {
		c.open[ch.Target.RunID()] = &openOrder{row: row{Holder: c.cfg.VM, Fence: t.Fence, Stage: ch.Stage}, seen: c.clock()}
	}
	c.mu.Unlock()
	kernel.Sleep(ctx, settle)
	for _, ch := range changes {
		c.give(ctx, t, ch)
	}
}

// give sends one order.
func (c *Controller) give(ctx context.Context, t lease.Tenure, ch Change) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := c.engines.Report(call, ch.Target)
	if err != nil || report.Busy {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("engine", ch.Target.ID), telemetry.F("busy", report.Busy), telemetry.F("cause", err))
		return
	}
	o := Order{Stage: ch.Stage, Holder: c.cfg.VM, Fence: t.Fence, Sequence: report.Sequence}
	still := func() bool {
		now, ok := c.lease.Held()
		return ok && now.Fence == t.Fence
	}
	err = c.engines.Order(call, ch.Target, o, still)
	c.mu.Lock()
	if open := c.open[ch.Target.RunID()]; open != nil {
		open.unknown = errors.Is(err, ErrUnknown)
	}
	c.mu.Unlock()
	fields := []telemetry.Field{
		telemetry.F("engine", ch.Target.ID), telemetry.F("stage", string(ch.Stage)), telemetry.F("fence", t.Fence),
		telemetry.F("sequence", report.Sequence),
	}
	if err != nil {
		c.log.Warn(telemetry.EventOrderRefused, append(fields, telemetry.F("cause", err))...)
		return
	}
	c.log.Info(telemetry.EventOrderSent, fields...)
}
