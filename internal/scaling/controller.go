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
	// tick is the time between looks at the plan.
	tick = 250 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 700 * time.Millisecond
	// againAfter is how long after an order that was refused, or whose outcome is unknown, it
	// is given again.
	againAfter = 1500 * time.Millisecond
	// bootSlack is how much longer than their boot engines that were ordered may take before
	// they are ordered again: some may have crashed, or been reclaimed as they came.
	bootSlack = 4 * time.Second
	// dryFor is how long a data centre counts as having no reclaimable engines after it had
	// none, or lost those that it had.
	dryFor = 4 * time.Second
	// settleFor is how long the list of engines must not have grown before the first plan: they
	// enter it one by one, with their heartbeats.
	settleFor = 2 * time.Second
	// idleAfter is how long no engine must have had work for a service to count as idle.
	idleAfter = 10 * time.Second
	// KeyPrefix is where orders are journalled in the store.
	KeyPrefix = "scaling/"
)

// Order is an order for engines.
type Order struct {
	Service    string
	DataCentre string
	Count      int
	Spot       bool
}

// Platform takes orders.
type Platform interface {
	// Scale orders engines. It fails with an error of package duty; ErrRefused says that none
	// are to be had at the moment.
	Scale(ctx context.Context, c duty.Call, o Order) error
}

// Holder says when this VM may order.
type Holder interface {
	Held() (duty.Tenure, bool)
	Call(t duty.Tenure) duty.Call
}

// Config is the settings of a Controller.
type Config struct {
	// Busy reports whether targets of a service have work in hand, of any VM.
	Busy func(service string) bool
}

// subject is a service in a data centre, with a kind of engine.
type subject struct {
	Service    string
	DataCentre string
	Spot       bool
}

func (s subject) key() string {
	kind := "full"
	if s.Spot {
		kind = "spot"
	}
	return KeyPrefix + s.Service + "/" + s.DataCentre + "/" + kind
}

// ordered is the last order of a subject.
type ordered struct {
	count int
	// at is when it was given last, and again when it may be given again though it is the
	// same; zero is never.
	at    time.Time
	again time.Time
}

// row is the value of a subject's row in the journal.
type row struct {
	Count int    `json:"count"`
	Fence uint64 `json:"fence"`
}

// needRow is how many engines of a service stood there before the first order.
type needRow struct {
	Engines int `json:"engines"`
}

// Controller orders engines while this VM holds the duty.
type Controller struct {
	kernel.Background
	cfg      Config
	keeper   *fleet.Keeper
	table    store.Table
	platform Platform
	holder   Holder
	log      *telemetry.Logger

	// Only the own goroutine uses what follows. fence is the tenure that the journal was read
	// in; 0 is not read.
	fence  uint64
	orders map[subject]*ordered
	// needs is how many engines serve a service's load at its worst.
	needs map[string]int
	// dryUntil is how long a data centre counts as dry, and spots its reclaimable engines when
	// last looked.
	dryUntil map[subject]time.Time
	spots    map[subject]int
	// listed is how many engines of a service were listed at most before the first plan, and
	// grewAt when they became as many. busyAt is when they were last seen to have work.
	listed map[string]int
	grewAt map[string]time.Time
	busyAt map[string]time.Time
}

// New returns a controller that does nothing before Start.
func New(cfg Config, keeper *fleet.Keeper, table store.Table, p Platform, h Holder, log *telemetry.Logger) *Controller {
	return &Controller{
		cfg: cfg, keeper: keeper, table: table, platform: p, holder: h, log: log,
		dryUntil: make(map[subject]time.Time), spots: make(map[subject]int), listed: make(map[string]int), grewAt: make(map[string]time.Time), busyAt: make(map[string]time.Time),
	}
}

// Start begins to plan.
func (c *Controller) Start(context.Context) error {
	c.Run(func(ctx context.Context) { kernel.Every(ctx, tick, c.step) })
	return nil
}

func (c *Controller) step(ctx context.Context) {
	t, held := c.holder.Held()
	if !held {
		c.fence = 0
		return
	}
	v := c.keeper.View()
	if v.Config == nil || (c.fence != t.Fence && !c.load(ctx, t)) {
		return
	}
	for _, name := range scaled(v.Config) {
		c.stepService(ctx, t, v, name)
	}
}

// scaled returns the services whose engines are ordered.
func scaled(cfg *fleet.Config) []string {
	var names []string
	for name, s := range cfg.Services {
		if s.Scaling != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// stepService gives the orders that the plan of one service holds.
func (c *Controller) stepService(ctx context.Context, t duty.Tenure, v *fleet.View, name string) {
	now := clock.Now()
	centres := c.centres(v, name, now)
	present := 0
	for _, ce := range centres {
		present += ce.Full + ce.Spot
	}
	if present > c.listed[name] {
		c.listed[name], c.grewAt[name] = present, now
	}
	if c.cfg.Busy(name) {
		c.busyAt[name] = now
	}
	s := v.Config.Services[name].Scaling
	need, known := c.needs[name]
	if !known {
		need = c.listed[name]
	}
	if !known && (need == 0 || now.Sub(c.grewAt[name]) < settleFor) {
		return
	}
	wanted := Plan(Input{
		Need: need, Least: s.Min, Most: s.Max, SpotPrice: s.SpotPrice, Idle: now.Sub(c.busyAt[name]) > idleAfter, Centres: centres,
	})
	due := c.due(name, centres, wanted, s.Boot, now)
	if len(due) == 0 || !c.journal(ctx, t, name, need, due) {
		return
	}
	for _, o := range due {
		if !c.give(ctx, t, o) {
			return
		}
	}
}

// centres returns the engines of a service by data centre. A data centre whose reclaimable
// engines have gone counts as dry for a while.
func (c *Controller) centres(v *fleet.View, name string, now time.Time) []Centre {
	byName := make(map[string]*Centre)
	for dataCentre := range v.Config.Services[name].Scaling.Prices {
		byName[dataCentre] = &Centre{Name: dataCentre}
	}
	for _, t := range v.Targets[name] {
		ce := byName[t.DataCentre]
		switch {
		case ce == nil || t.Leaving:
		case t.Spot:
			ce.Spot++
		default:
			ce.Full++
		}
	}
	out := make([]Centre, 0, len(byName))
	for _, ce := range byName {
		s := subject{name, ce.Name, true}
		if ce.Spot == 0 && c.spots[s] > 0 {
			c.dryUntil[s] = now.Add(dryFor)
		}
		c.spots[s] = ce.Spot
		ce.Dry = now.Before(c.dryUntil[s])
		out = append(out, *ce)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// due returns the orders to be given: those that differ from the last ones, and those that have
// not brought what they asked for. Reclaimable engines are ordered before others are given
// back.
func (c *Controller) due(name string, centres []Centre, wanted map[string]Wanted, boot time.Duration, now time.Time) []Order {
	var spot, full []Order
	for _, ce := range centres {
		w := wanted[ce.Name]
		if c.isDue(subject{name, ce.Name, true}, w.Spot, ce.Spot, boot, now) {
			spot = append(spot, Order{Service: name, DataCentre: ce.Name, Count: w.Spot, Spot: true})
		}
		if c.isDue(subject{name, ce.Name, false}, w.Full, ce.Full, boot, now) {
			full = append(full, Order{Service: name, DataCentre: ce.Name, Count: w.Full})
		}
	}
	return append(spot, full...)
}

// isDue reports whether a subject's order is to be given, of which have engines are there.
func (c *Controller) isDue(s subject, want, have int, boot time.Duration, now time.Time) bool {
	last := c.orders[s]
	switch {
	case last == nil:
		return want != have
	case want < last.count && have < last.count && now.Before(last.at.Add(boot+bootSlack)):
		// Those that were ordered are still to come: what asked for them may pass and return.
		return false
	case want != last.count:
		return now.After(last.again)
	case want == have:
		return false
	}
	again := last.again
	if again.IsZero() {
		again = last.at.Add(boot + bootSlack)
	}
	return now.After(again)
}

// give gives an order, and reports whether further ones may be given.
func (c *Controller) give(ctx context.Context, t duty.Tenure, o Order) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.platform.Scale(call, c.holder.Call(t), o)
	now := clock.Now()
	s := subject{o.Service, o.DataCentre, o.Spot}
	last := &ordered{count: o.Count, at: now}
	if err != nil {
		last.again = now.Add(againAfter)
	}
	c.orders[s] = last
	if errors.Is(err, duty.ErrRefused) && o.Spot {
		c.dryUntil[s] = now.Add(dryFor)
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

// load reads the journal.
func (c *Controller) load(ctx context.Context, t duty.Tenure) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := c.table.List(call, KeyPrefix)
	if err != nil {
		c.log.Warn(telemetry.EventScaling, telemetry.F("journal", "read"), telemetry.F("cause", err))
		return false
	}
	byKey := make(map[string]store.Record, len(records))
	for _, r := range records {
		byKey[r.Key] = r
	}
	c.orders, c.needs = make(map[subject]*ordered), make(map[string]int)
	cfg := c.keeper.View().Config
	for _, name := range scaled(cfg) {
		if n, ok := decode[needRow](c, byKey, needKey(name)); ok {
			c.needs[name] = n.Engines
		}
		for dataCentre := range cfg.Services[name].Scaling.Prices {
			for _, spot := range []bool{true, false} {
				s := subject{name, dataCentre, spot}
				if r, ok := decode[row](c, byKey, s.key()); ok {
					// Whether the holder before gave it is not known.
					c.orders[s] = &ordered{count: r.Count, at: clock.Now(), again: clock.Now()}
				}
			}
		}
	}
	c.fence = t.Fence
	return true
}

// decode decodes a row of the journal.
func decode[T any](c *Controller, rows map[string]store.Record, key string) (T, bool) {
	var v T
	r, ok := rows[key]
	if !ok {
		return v, false
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		c.log.Warn(telemetry.EventBadRow, telemetry.F("key", key), telemetry.F("revision", r.Version), telemetry.F("cause", err))
		return v, false
	}
	return v, true
}

func needKey(service string) string { return KeyPrefix + service + "/need" }

// journal writes orders down before they are given, within the tenure.
func (c *Controller) journal(ctx context.Context, t duty.Tenure, name string, need int, due []Order) bool {
	txn := store.Txn{Conds: []store.Cond{t.Condition}}
	put := func(key string, v any) {
		value, err := json.Marshal(v)
		if err != nil {
			// Only numbers are encoded.
			panic("scaling: encode row: " + err.Error())
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	}
	if _, known := c.needs[name]; !known {
		put(needKey(name), needRow{need})
	}
	for _, o := range due {
		s := subject{o.Service, o.DataCentre, o.Spot}
		if last := c.orders[s]; last == nil || last.count != o.Count {
			put(s.key(), row{Count: o.Count, Fence: t.Fence})
		}
	}
	if len(txn.Puts) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.table.Commit(call, txn); err != nil {
		c.log.Warn(telemetry.EventScaling, telemetry.F("journal", "write"), telemetry.F("cause", err))
		c.fence = 0
		return false
	}
	c.needs[name] = need
	return true
}
