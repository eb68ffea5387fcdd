package scaling

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// stepInterval is the time between two evaluations of the plan.
	stepInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the store or to the platform.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the time after which an order that was refused, or whose outcome is unknown,
	// is sent again.
	retryDelay = 1500 * time.Millisecond
	// bootMargin is added to the boot time of ordered engines. Engines that are still missing after
	// that time are ordered again, as they may have crashed or been reclaimed while they booted.
	bootMargin = 4 * time.Second
	// spotUnavailableFor is how long a data centre counts as having no spot engines after an order
	// for spot engines there was refused, or after the data centre lost all its spot engines.
	spotUnavailableFor = 4 * time.Second
	// listSettleTime delays the first plan of a service: a service is first planned once its number
	// of engines has not grown for listSettleTime. Engines enter the list of targets one by one,
	// with their heartbeats.
	listSettleTime = 2 * time.Second
	// idleTimeout is the time without work at any target of a service after which the service
	// counts as idle.
	idleTimeout = 10 * time.Second
	// KeyPrefix is the prefix of the store keys under which orders are journalled, and headKey the key of
	// the journal's head.
	KeyPrefix = "scaling/"
	headKey   = "journal/scaling"
)

// Order sets the number of engines of one kind, spot or on-demand, that a service should have in
// a data centre.
type Order struct {
	Service    string
	DataCentre string
	Count      int
	Spot       bool
}

// Platform provides the engines.
type Platform interface {
	// Scale sends one order. It fails with an error of package duty; duty.ErrRefused says that no
	// such engines are available at the moment.
	Scale(ctx context.Context, c duty.Call, o Order) error
}

// Holder says whether this VM may send orders, and identifies it in calls. duty.Holder implements
// it.
type Holder interface {
	// Held returns this VM's tenure, or false if this VM may not send orders now.
	Held() (duty.Tenure, bool)
	// Call returns the identification for calls within tenure t.
	Call(t duty.Tenure) duty.Call
}

// Config holds the settings of a Controller.
type Config struct {
	// Busy reports whether targets of a service are working on requests of any VM.
	Busy func(service string) bool
}

// pool identifies the engines of one kind, spot or on-demand, of a service in a data centre.
type pool struct {
	Service    string
	DataCentre string
	Spot       bool
}

// key returns the store key of the pool's row in the journal.
func (p pool) key() string {
	kind := "full"
	if p.Spot {
		kind = "spot"
	}
	return KeyPrefix + p.Service + "/" + p.DataCentre + "/" + kind
}

// lastOrder is the last order for a pool.
type lastOrder struct {
	count int
	// sentAt is when the order was last sent, or when it was read from the journal. retryAt is the
	// earliest time for the next order for the pool. It is zero if the platform has accepted the
	// last order.
	sentAt  time.Time
	retryAt time.Time
}

// orderRow is the JSON value of a pool's row in the journal: the last order for the pool. Count is
// the total number of engines ordered, and Fence the fencing number of the tenure that ordered them.
type orderRow struct {
	Count int    `json:"count"`
	Fence uint64 `json:"fence"`
}

// needRow is the JSON value of the row that holds how many engines a service had before the first
// order. That number is taken as what the service needs at peak load.
type needRow struct {
	Engines int `json:"engines"`
}

// Controller orders engines while this VM holds the duty, see package duty. It writes each order
// to the journal, a set of rows in the store, before it sends it, so that the next holder knows
// the last orders.
type Controller struct {
	kernel.Background
	cfg      Config
	keeper   *fleet.Keeper
	journal  *store.Journal
	platform Platform
	holder   Holder
	log      *telemetry.Logger

	// The fields below are used only by the goroutine of step.
	//
	// journalFence is the fencing number of the tenure in which the journal was read; 0 if it has
	// not been read.
	journalFence uint64
	// lastOrders holds the last order for each pool.
	lastOrders map[pool]*lastOrder
	// needs holds how many engines each service needs at peak load.
	needs map[string]int
	// spotUnavailableUntil is the time until which no spot engines count as available for a pool,
	// and spotCounts the number of its spot engines in the last step.
	spotUnavailableUntil map[pool]time.Time
	spotCounts           map[pool]int
	// The following maps are by service. maxListed is the highest number of engines that the
	// service has had in the list of targets, and listGrewAt when that number was reached.
	// lastBusyAt is when the service was last seen to have work.
	maxListed  map[string]int
	listGrewAt map[string]time.Time
	lastBusyAt map[string]time.Time
}

// New returns a controller that does nothing before Start.
func New(cfg Config, keeper *fleet.Keeper, table store.Table, platform Platform, holder Holder, log *telemetry.Logger) *Controller {
	return &Controller{
		cfg: cfg, keeper: keeper, journal: store.NewJournal(table, KeyPrefix, headKey), platform: platform, holder: holder, log: log,
		spotUnavailableUntil: make(map[pool]time.Time), spotCounts: make(map[pool]int), maxListed: make(map[string]int), listGrewAt: make(map[string]time.Time), lastBusyAt: make(map[string]time.Time),
	}
}

// Start begins to evaluate the plan at regular intervals.
func (c *Controller) Start(context.Context) error {
	c.Run(func(ctx context.Context) { kernel.Every(ctx, stepInterval, c.step) })
	return nil
}

// step evaluates the plan of every scaled service once, if this VM holds the duty.
func (c *Controller) step(ctx context.Context) {
	t, held := c.holder.Held()
	if !held {
		c.journalFence = 0
		return
	}
	v := c.keeper.View()
	if v.Config == nil || (c.journalFence != t.Fence && !c.loadJournal(ctx, t)) {
		return
	}
	for _, name := range scaledServices(v.Config) {
		c.stepService(ctx, t, v, name)
	}
}

// scaledServices returns the sorted names of the services whose number of engines the controller
// may choose.
func scaledServices(cfg *fleet.Config) []string {
	var names []string
	for name, s := range cfg.Services {
		if s.Scaling != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// stepService plans one service, journals the orders that are due and sends them.
func (c *Controller) stepService(ctx context.Context, t duty.Tenure, v *fleet.View, name string) {
	now := clock.Now()
	dataCentres := c.dataCentres(v, name, now)
	present := 0
	for _, dc := range dataCentres {
		present += dc.OnDemand + dc.Spot
	}
	if present > c.maxListed[name] {
		c.maxListed[name], c.listGrewAt[name] = present, now
	}
	if c.cfg.Busy(name) {
		c.lastBusyAt[name] = now
	}
	s := v.Config.Services[name].Scaling
	need, known := c.needs[name]
	if !known {
		need = c.maxListed[name]
	}
	if !known && (need == 0 || now.Sub(c.listGrewAt[name]) < listSettleTime) {
		return
	}
	planned := Plan(PlanInput{
		Need: need, Min: s.Min, Max: s.Max, SpotPrice: s.SpotPrice, Idle: now.Sub(c.lastBusyAt[name]) > idleTimeout, DataCentres: dataCentres,
	})
	due := c.dueOrders(name, dataCentres, planned, s.BootTime, now)
	if len(due) == 0 || !c.writeJournal(ctx, t, name, need, due) {
		return
	}
	for _, o := range due {
		if !c.sendOrder(ctx, t, o) {
			return
		}
	}
}

// dataCentres counts the engines of a service in each data centre, sorted by name. A data centre
// that has lost all its spot engines counts as having none available for the next
// spotUnavailableFor.
func (c *Controller) dataCentres(v *fleet.View, name string, now time.Time) []DataCentre {
	byName := make(map[string]*DataCentre)
	for dataCentre := range v.Config.Services[name].Scaling.Prices {
		byName[dataCentre] = &DataCentre{Name: dataCentre}
	}
	for _, t := range v.Targets[name] {
		dc := byName[t.DataCentre]
		switch {
		case dc == nil || t.Leaving:
		case t.Spot:
			dc.Spot++
		default:
			dc.OnDemand++
		}
	}
	out := make([]DataCentre, 0, len(byName))
	for _, dc := range byName {
		p := pool{name, dc.Name, true}
		if dc.Spot == 0 && c.spotCounts[p] > 0 {
			c.spotUnavailableUntil[p] = now.Add(spotUnavailableFor)
		}
		c.spotCounts[p] = dc.Spot
		dc.SpotUnavailable = now.Before(c.spotUnavailableUntil[p])
		out = append(out, *dc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// dueOrders returns the orders to send: those that differ from the last ones, and repetitions of
// last orders whose engines are still missing or have not been given back. Spot engines are ordered
// before on-demand engines are given back.
func (c *Controller) dueOrders(name string, dataCentres []DataCentre, planned map[string]Counts, boot time.Duration, now time.Time) []Order {
	var spot, onDemand []Order
	for _, dc := range dataCentres {
		counts := planned[dc.Name]
		if c.isDue(pool{name, dc.Name, true}, counts.Spot, dc.Spot, boot, now) {
			spot = append(spot, Order{Service: name, DataCentre: dc.Name, Count: counts.Spot, Spot: true})
		}
		if c.isDue(pool{name, dc.Name, false}, counts.OnDemand, dc.OnDemand, boot, now) {
			onDemand = append(onDemand, Order{Service: name, DataCentre: dc.Name, Count: counts.OnDemand})
		}
	}
	return append(spot, onDemand...)
}

// isDue reports whether an order that sets pool p to want engines is due. have is the present
// number of engines in the pool, and boot the boot time of an engine.
func (c *Controller) isDue(p pool, want, have int, boot time.Duration, now time.Time) bool {
	last := c.lastOrders[p]
	switch {
	case last == nil:
		return want != have
	case want < last.count && have < last.count && now.Before(last.sentAt.Add(boot+bootMargin)):
		// The engines of the last order are still booting. That order is not reduced yet, as the
		// reason for it may pass and return.
		return false
	case want != last.count:
		return now.After(last.retryAt)
	case want == have:
		return false
	}
	again := last.retryAt
	if again.IsZero() {
		again = last.sentAt.Add(boot + bootMargin)
	}
	return now.After(again)
}

// sendOrder sends one order. It returns false after an error other than duty.ErrRefused, which
// means that no further orders may be sent in this step.
func (c *Controller) sendOrder(ctx context.Context, t duty.Tenure, o Order) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.platform.Scale(call, c.holder.Call(t), o)
	now := clock.Now()
	p := pool{o.Service, o.DataCentre, o.Spot}
	last := &lastOrder{count: o.Count, sentAt: now}
	if err != nil {
		last.retryAt = now.Add(retryDelay)
	}
	c.lastOrders[p] = last
	if errors.Is(err, duty.ErrRefused) && o.Spot {
		c.spotUnavailableUntil[p] = now.Add(spotUnavailableFor)
	}
	fields := []telemetry.Field{
		telemetry.F("service", o.Service), telemetry.F("data_centre", o.DataCentre), telemetry.F("count", o.Count),
		telemetry.F("spot", o.Spot), telemetry.F("fence", t.Fence),
	}
	if err != nil {
		c.log.Warn(telemetry.EventScaling, append(fields, telemetry.F("cause", err))...)
		return errors.Is(err, duty.ErrRefused)
	}
	c.log.Info(telemetry.EventScaling, fields...)
	return true
}

// loadJournal reads the journal at the start of tenure t, and after a write that failed. It reports whether
// it succeeded.
func (c *Controller) loadJournal(ctx context.Context, t duty.Tenure) bool {
	call, cancel := context.WithTimeout(ctx, store.JournalCalls*callTimeout)
	defer cancel()
	records, err := c.journal.Read(call, t.Condition)
	if err != nil {
		c.log.Warn(telemetry.EventScaling, telemetry.F("journal", "read"), telemetry.F("cause", err))
		return false
	}
	byKey := make(map[string]store.Record, len(records))
	for _, r := range records {
		byKey[r.Key] = r
	}
	c.lastOrders, c.needs = make(map[pool]*lastOrder), make(map[string]int)
	cfg := c.keeper.View().Config
	for _, name := range scaledServices(cfg) {
		if n, ok := decodeRow[needRow](c, byKey, needKey(name)); ok {
			c.needs[name] = n.Engines
		}
		for dataCentre := range cfg.Services[name].Scaling.Prices {
			for _, spot := range []bool{true, false} {
				p := pool{name, dataCentre, spot}
				if r, ok := decodeRow[orderRow](c, byKey, p.key()); ok {
					// It is not known whether the previous holder sent this order.
					c.lastOrders[p] = &lastOrder{count: r.Count, sentAt: clock.Now(), retryAt: clock.Now()}
				}
			}
		}
	}
	c.journalFence = t.Fence
	return true
}

// decodeRow decodes the journal row with the given key. It returns false if the row does not exist
// or is malformed. A malformed row is logged.
func decodeRow[T any](c *Controller, rows map[string]store.Record, key string) (T, bool) {
	var v T
	r, ok := rows[key]
	if !ok {
		return v, false
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		c.log.BadRow(key, r.Version, err)
		return v, false
	}
	return v, true
}

// needKey returns the key of a service's needRow.
func needKey(service string) string { return KeyPrefix + service + "/need" }

// writeJournal writes the due orders of a service to the journal in tenure t, before they are sent. With the first orders of the service it also writes need,
// the number of engines that the service needs at peak load. It reports whether it succeeded.
func (c *Controller) writeJournal(ctx context.Context, t duty.Tenure, name string, need int, due []Order) bool {
	var txn store.Txn
	put := func(key string, v any) {
		value, err := json.Marshal(v)
		if err != nil {
			// Integers always encode.
			panic("scaling: encode journal row: " + err.Error())
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	}
	if _, known := c.needs[name]; !known {
		put(needKey(name), needRow{need})
	}
	for _, o := range due {
		p := pool{o.Service, o.DataCentre, o.Spot}
		if last := c.lastOrders[p]; last == nil || last.count != o.Count {
			put(p.key(), orderRow{Count: o.Count, Fence: t.Fence})
		}
	}
	if len(txn.Puts) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.journal.Commit(call, t.Condition, nil, txn); err != nil {
		c.log.Warn(telemetry.EventScaling, telemetry.F("journal", "write"), telemetry.F("cause", err))
		c.journalFence = 0
		return false
	}
	c.needs[name] = need
	return true
}
