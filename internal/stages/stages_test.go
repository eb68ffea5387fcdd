package stages_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/stages"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// view returns a view of the targets and a configuration with the model service m and the plain
// service "plain".
func view(targets ...*fleet.Target) *fleet.View {
	v := &fleet.View{
		Config:  fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Engine: &fleet.EngineSpec{Slots: 8}}, {Name: "plain"}}, fleet.Limits{}),
		Targets: map[string][]*fleet.Target{},
	}
	for _, t := range targets {
		v.Targets[t.Service] = append(v.Targets[t.Service], t)
	}
	return v
}

// engine returns an engine of service m.
func engine(id, dataCentre string, stage fleet.Stage) *fleet.Target {
	return &fleet.Target{ID: id, Service: "m", DataCentre: dataCentre, Stage: stage}
}

// staying returns the number of engines that are not leaving.
func staying(targets []*fleet.Target) int {
	n := 0
	for _, t := range targets {
		if !t.Leaving {
			n++
		}
	}
	return n
}

// The plan brings each data centre to the wanted share of prefill engines while engines of both
// stages remain there. It changes no more engines than that requires.
func TestPlan(t *testing.T) {
	leaving := engine("x", "a", fleet.Prefill)
	leaving.Leaving = true
	cases := []struct {
		name  string
		view  *fleet.View
		share float64
		want  map[string]fleet.Stage
	}{
		{"no configuration", &fleet.View{}, 0.5, nil},
		{"already as planned", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Decode)), 0.5, nil},
		{"more prefill", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode), engine("4", "a", fleet.Prefill)), 0.5,
			map[string]fleet.Stage{"1": fleet.Prefill}},
		{"fewer prefill", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Prefill), engine("3", "a", fleet.Prefill), engine("4", "a", fleet.Prefill)), 0.5,
			map[string]fleet.Stage{"1": fleet.Decode, "2": fleet.Decode}},
		{"two engines keep one of each stage", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode)), 0.99, map[string]fleet.Stage{"1": fleet.Prefill}},
		{"four engines keep two of each stage", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode), engine("4", "a", fleet.Decode)), 0.99,
			map[string]fleet.Stage{"1": fleet.Prefill, "2": fleet.Prefill}},
		{"a single engine is not changed", view(engine("1", "a", fleet.Decode)), 0.99, nil},
		{"each data centre is planned separately", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Prefill), engine("3", "b", fleet.Decode), engine("4", "b", fleet.Decode)), 0.5,
			map[string]fleet.Stage{"1": fleet.Decode, "3": fleet.Prefill}},
		{"leaving engines do not count", view(leaving, engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode)), 0.5, map[string]fleet.Stage{"2": fleet.Prefill}},
		{"plain services have no stages", view(&fleet.Target{ID: "1", Service: "plain"}, &fleet.Target{ID: "2", Service: "plain"}), 0.5, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]fleet.Stage{}
			want := func(targets []*fleet.Target) int { return int(math.Round(tc.share * float64(staying(targets)))) }
			for _, c := range stages.PlanAll(tc.view, want, func(string) int { return 0 }, settled) {
				got[c.Target.ID] = c.Stage
			}
			if tc.want == nil {
				tc.want = map[string]fleet.Stage{}
			}
			is.Equal(got, tc.want)
		})
	}
}

// The engines with the fewest streams change first.
func TestPlanChangesTheLeastLoaded(t *testing.T) {
	is := is.New(t)
	targets := []*fleet.Target{engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode), engine("4", "a", fleet.Decode)}
	load := map[string]int{"1": 30, "2": 5, "3": 40, "4": 1}
	var got []string
	for _, c := range stages.Plan(targets, 2, func(id string) int { return load[id] }) {
		got = append(got, c.Target.ID)
	}
	is.Equal(got, []string{"4", "2"})
}

// The wanted number of prefill engines is reached over all data centres together, except where a
// data centre has to keep engines of both stages.
func TestPlanSpreadsOverDataCentres(t *testing.T) {
	is := is.New(t)
	var targets []*fleet.Target
	for _, dc := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2", "3", "4"} {
			targets = append(targets, engine(dc+n, dc, fleet.Decode))
		}
	}
	for want := 3; want <= 9; want++ {
		// A data centre with four engines keeps two of each stage.
		is.Equal(len(stages.Plan(targets, want, func(string) int { return 0 })), 6)
	}
	var small []*fleet.Target
	for _, dc := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2", "3"} {
			small = append(small, engine(dc+n, dc, fleet.Decode))
		}
	}
	for want := 3; want <= 6; want++ {
		is.Equal(len(stages.Plan(small, want, func(string) int { return 0 })), want)
	}
}

// fakeEngines is a fake EngineClient that carries out orders and records them.
type fakeEngines struct {
	mu sync.Mutex
	// keepers hold the views of the VMs. Order stores the new stage of an engine in each of them.
	keepers []*fleet.Keeper
	orders  []executedOrder
	// unanswered makes Order carry out orders and return ErrUnknown.
	unanswered bool
	// refuse makes Order refuse all orders.
	refuse bool
	// beforeOrder, if set, is called before Order checks the lease.
	beforeOrder func()
}

// executedOrder is an order that an engine has carried out.
type executedOrder struct {
	engine string
	order  stages.Order
	at     time.Time
}

// Report implements stages.EngineClient. The Sequence of the report counts the orders that all
// engines together have carried out.
func (e *fakeEngines) Report(context.Context, *fleet.Target) (stages.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return stages.Report{Sequence: uint64(len(e.orders))}, nil
}

// Order implements stages.EngineClient. It carries out o unless stillHeld returns false or refuse
// is set.
func (e *fakeEngines) Order(_ context.Context, t *fleet.Target, o stages.Order, stillHeld func() bool) error {
	if e.beforeOrder != nil {
		e.beforeOrder()
	}
	if !stillHeld() {
		return stages.ErrWithheld
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse {
		return stages.ErrRefused
	}
	e.orders = append(e.orders, executedOrder{t.ID, o, time.Now()})
	changed := *t
	changed.Stage = o.Stage
	for _, k := range e.keepers {
		k.ApplyTargets([]fleet.TargetChange{{ID: t.ID, Target: &changed}}, 0)
	}
	if e.unanswered {
		return stages.ErrUnknown
	}
	return nil
}

// executed returns the orders carried out so far.
func (e *fakeEngines) executed() []executedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]executedOrder(nil), e.orders...)
}

// newKeeper returns a keeper whose view has four decode engines in one data centre.
func newKeeper() *fleet.Keeper {
	k := fleet.NewKeeper()
	v := view()
	k.SetConfig(v.Config)
	var changes []fleet.TargetChange
	for _, id := range []string{"1", "2", "3", "4"} {
		changes = append(changes, fleet.TargetChange{ID: id, Target: engine(id, "a", fleet.Decode)})
	}
	k.ApplyTargets(changes, 1)
	return k
}

// bootClock is the clock of the controllers. It also counts the time for which the machine is
// suspended.
func bootClock() time.Duration { return clock.Boot() }

// handoverGap is the HandoverGap of the controllers.
const handoverGap = 500 * time.Millisecond

// newController returns a controller that plans half of the engines to prefill.
func newController(vm string, k *fleet.Keeper, table store.Table, e *fakeEngines, c lease.Clock) *stages.Controller {
	return stages.New(stages.Config{VM: vm, PrefillShare: 0.5, HandoverGap: handoverGap}, k, table, e, c, 1, telemetry.Discard())
}

// start starts a controller and stops it at the end of the test.
func start(t *testing.T, c *stages.Controller) {
	t.Helper()
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// eventually waits up to 15 seconds for ok to return true. Otherwise it fails the test with the
// message what, which names the expected condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

// When three VMs plan the same two changes, only the lease holder sends the orders, and sends each
// of them once.
func TestOnlyOneVMSendsOrders(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	e := &fakeEngines{}
	for _, vm := range []string{"a", "b", "c"} {
		k := newKeeper()
		e.keepers = append(e.keepers, k)
		start(t, newController(vm, k, table, e, bootClock))
	}
	eventually(t, "two engines are ordered to change", func() bool { return len(e.executed()) == 2 })
	time.Sleep(time.Second)
	orders := e.executed()
	is.Equal(len(orders), 2)
	is.Equal(orders[0].order.Holder, orders[1].order.Holder)
	is.Equal(orders[0].order.Fence, orders[1].order.Fence)
	is.Equal(orders[1].order.Sequence, uint64(1))
}

// A VM that is not a candidate writes nothing to the store and sends no orders until it becomes
// one.
func TestOnlyCandidatesContend(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	k := newKeeper()
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	var candidate atomic.Bool
	c := newController("a", k, table, e, bootClock)
	c.SetCandidate(candidate.Load)
	start(t, c)
	time.Sleep(6 * time.Second) // longer than the longest contendDelay
	is.Equal(len(e.executed()), 0)
	records, err := table.List(context.Background(), "")
	is.NoErr(err)
	is.Equal(len(records), 0)
	candidate.Store(true)
	eventually(t, "two engines are ordered to change", func() bool { return len(e.executed()) == 2 })
}

// limitedTable is a store that rejects transactions of more than 100 entries.
type limitedTable struct{ store.Table }

// Commit implements store.Table. It fails if txn has more than 100 entries.
func (l limitedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if len(txn.Conds)+len(txn.Puts)+len(txn.Deletes) > 100 {
		return 0, store.ErrUnavailable
	}
	return l.Table.Commit(ctx, txn)
}

// A plan with more changes than fit into one transaction of the store is carried out in several.
func TestManyChangesAreSplitIntoTransactions(t *testing.T) {
	table := limitedTable{store.NewMemory()}
	k := fleet.NewKeeper()
	k.SetConfig(view().Config)
	var changes []fleet.TargetChange
	const count = 260
	for i := range count {
		id := fmt.Sprint(i)
		changes = append(changes, fleet.TargetChange{ID: id, Target: engine(id, "a", fleet.Prefill)})
	}
	k.ApplyTargets(changes, 1)
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	start(t, stages.New(stages.Config{VM: "a", PrefillShare: 0.5, HandoverGap: handoverGap}, k, table, e, bootClock, 1, telemetry.Discard()))
	eventually(t, "half of the engines are ordered to change", func() bool { return len(e.executed()) == count/2 })
	eventually(t, "the journal is empty", func() bool {
		rows, err := table.List(context.Background(), stages.KeyPrefix)
		return err == nil && len(rows) == 0
	})
}

// Engines that running requests fill keep decoding although the configured share asks for more
// prefill engines, even after the demand has dropped.
func TestDecodeDemandLimitsPrefillEngines(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	k.SetConfig(view().Config)
	var changes []fleet.TargetChange
	for i := range 12 {
		id := fmt.Sprint(i)
		changes = append(changes, fleet.TargetChange{ID: id, Target: engine(id, "a", fleet.Decode)})
	}
	k.ApplyTargets(changes, 1)
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	c := stages.New(stages.Config{VM: "a", PrefillShare: 0.8, HandoverGap: handoverGap}, k, store.NewMemory(), e, bootClock, 1, telemetry.Discard())
	var asked atomic.Int64
	c.SetDecodeDemand(func([]*fleet.Target) float64 {
		if asked.Add(1) > 3 {
			return 0
		}
		return 4.7 // seven engines at decodeUtilization
	})
	start(t, c)
	eventually(t, "the remaining five engines are ordered to prefill", func() bool { return len(e.executed()) == 5 })
	time.Sleep(time.Second)
	is.Equal(len(e.executed()), 5)
}

// No order is sent while the store is down, as no VM can acquire the lease.
func TestNoOrdersWithoutStore(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	table.SetFault(store.FaultDown)
	e := &fakeEngines{}
	k := newKeeper()
	e.keepers = []*fleet.Keeper{k}
	start(t, newController("a", k, table, e, bootClock))
	time.Sleep(6 * time.Second)
	is.Equal(len(e.executed()), 0)
	table.SetFault(store.FaultNone)
	eventually(t, "two engines are ordered once the store is back", func() bool { return len(e.executed()) == 2 })
}

// A holder that is frozen just before it sends an order, and resumes once its lease has lapsed,
// sends nothing: the lease is checked once more before the first byte.
func TestFrozenHolderSendsNoOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	offset := time.Duration(0)
	jumping := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock.Boot() + offset
	}
	e := &fakeEngines{}
	frozen := make(chan struct{})
	var once sync.Once
	e.beforeOrder = func() {
		once.Do(func() {
			mu.Lock()
			offset = time.Hour
			mu.Unlock()
			close(frozen)
		})
	}
	k := newKeeper()
	e.keepers = []*fleet.Keeper{k}
	start(t, newController("a", k, store.NewMemory(), e, jumping))
	<-frozen
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(e.executed()), 0)
}

// A new holder sends no order until the gap after the previous tenure has passed, and none to
// engines that have an open order in the journal.
func TestSuccessorWaitsAndAdoptsTheJournal(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	ctx := context.Background()
	previous := lease.New(lease.Config{DataCentre: "all", Service: "stages", Holder: "z", Incarnation: 9, TTL: time.Second}, table, bootClock)
	is.NoErr(previous.Step(ctx, true))
	value, err := json.Marshal(map[string]any{"holder": "z", "fence": 1, "stage": "prefill"})
	is.NoErr(err)
	_, err = table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "order/1", Value: value}}})
	is.NoErr(err)
	is.NoErr(previous.Release(ctx))
	released := time.Now()
	e := &fakeEngines{}
	k := newKeeper()
	e.keepers = []*fleet.Keeper{k}
	start(t, newController("a", k, table, e, bootClock))
	eventually(t, "the new holder sends an order", func() bool { return len(e.executed()) > 0 })
	for _, g := range e.executed() {
		is.True(g.engine != "1") // the open order may still be carried out
		is.True(g.at.Sub(released) > handoverGap)
		is.True(g.order.Fence > 1)
	}
}

// Guards against engines that are never ordered again as one row of the journal of orders cannot be read. The row is
// removed.
func TestMalformedJournalRowHidesNoOther(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	ctx := context.Background()
	previous := lease.New(lease.Config{DataCentre: "all", Service: "stages", Holder: "z", Incarnation: 9, TTL: time.Second}, table, bootClock)
	is.NoErr(previous.Step(ctx, true))
	is.NoErr(previous.Release(ctx))
	_, err := table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "order/1", Value: []byte(strings.Repeat("[", 20000))}}})
	is.NoErr(err)
	k := newKeeper()
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	start(t, newController("a", k, table, e, bootClock))
	eventually(t, "engines are ordered", func() bool { return len(e.executed()) > 0 })
	eventually(t, "the malformed row is removed", func() bool {
		_, err := table.Get(ctx, "order/1")
		return errors.Is(err, store.ErrNotFound)
	})
}

// lateTable is a store that executes the first write of an order to the journal only when RunLate is called.
type lateTable struct {
	*store.Memory
	once sync.Once
}

// Commit implements store.Table.
func (l *lateTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, stages.KeyPrefix) {
			l.once.Do(func() { l.SetFault(store.FaultLateWrites) })
		}
	}
	defer l.SetFault(store.FaultNone)
	return l.Memory.Commit(ctx, txn)
}

// A write of the journal that is executed late must not bring back the rows of orders that were written
// again, carried out and removed since: the next holder would keep their engines out of use.
func TestLateJournalWriteBringsBackOrdersThatAreDone(t *testing.T) {
	is := is.New(t)
	table := &lateTable{Memory: store.NewMemory()}
	k := newKeeper()
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	start(t, newController("a", k, table, e, bootClock))
	rows := func() int {
		records, err := table.List(context.Background(), stages.KeyPrefix)
		is.NoErr(err)
		return len(records)
	}
	eventually(t, "two engines are ordered to change", func() bool { return len(e.executed()) == 2 })
	eventually(t, "the journal is empty", func() bool { return rows() == 0 })
	table.RunLate()
	is.Equal(rows(), 0)
}

// A write of the journal that takes effect without an answer must not leave the row of an order that is
// never sent, nor keep its engine from being ordered.
func TestUnansweredJournalWriteLeavesNoOrder(t *testing.T) {
	is := is.New(t)
	table := &lateTable{Memory: store.NewMemory()}
	k := newKeeper()
	e := &fakeEngines{keepers: []*fleet.Keeper{k}}
	c := newController("a", k, table, e, bootClock)
	start(t, c)
	eventually(t, "the late write has taken effect", func() bool { return table.RunLate() > 0 })
	landed := time.Now()
	eventually(t, "two engines are ordered to change", func() bool { return len(e.executed()) == 2 })
	is.True(time.Since(landed) < 6*time.Second) // an order that was sent keeps its engine for 8 s
	eventually(t, "no order is open", func() bool {
		records, err := table.List(context.Background(), stages.KeyPrefix)
		is.NoErr(err)
		return len(records) == 0 && len(c.OpenOrders()) == 0
	})
	is.Equal(len(e.executed()), 2)
}

// An order without a response stays open, and no second order is sent in the meantime.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	is := is.New(t)
	e := &fakeEngines{unanswered: true}
	k := newKeeper() // does not learn of the change: the engine may change later
	c := newController("a", k, store.NewMemory(), e, bootClock)
	start(t, c)
	eventually(t, "two engines are ordered", func() bool { return len(e.executed()) == 2 })
	time.Sleep(2 * time.Second)
	is.Equal(len(e.executed()), 2)
	is.Equal(len(c.OpenOrders()), 2)
	is.True(c.Changing(engine("1", "a", fleet.Decode)))
	is.True(!c.Changing(engine("1", "a", fleet.Prefill)))
}

// An engine that restarts under the same id has lost its orders: an order that was open for the
// previous run no longer blocks it, and it is ordered again.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	e := &fakeEngines{unanswered: true}
	k := newKeeper() // does not learn of the change
	c := newController("a", k, store.NewMemory(), e, bootClock)
	start(t, c)
	eventually(t, "two engines are ordered", func() bool { return len(e.executed()) == 2 })
	restarted := engine(e.executed()[0].engine, "a", fleet.Decode)
	restarted.Born, restarted.Run = 1000, fleet.RunID(restarted.ID, 1000)
	is.True(c.Changing(engine(restarted.ID, "a", fleet.Decode)))
	k.ApplyTargets([]fleet.TargetChange{{ID: restarted.ID, Target: restarted}}, 2)
	eventually(t, "the restarted engine is ordered again", func() bool { return len(e.executed()) == 3 })
	is.Equal(e.executed()[2].engine, restarted.ID)
}

// Guards against all engines of a service being ordered to prefill: while engines changed their stage, the
// least loaded ones were others, which were ordered as well.
func TestOpenOrdersCountInThePlan(t *testing.T) {
	is := is.New(t)
	e := &fakeEngines{} // knows no view, so that the engines are listed as decode engines for the whole test
	k := newKeeper()
	c := newController("a", k, store.NewMemory(), e, bootClock)
	ordered := func(id string) bool {
		for _, o := range e.executed() {
			if o.engine == id {
				return true
			}
		}
		return false
	}
	c.SetEngineState(func(engine string) int {
		if ordered(engine) {
			return 1
		}
		return 0
	}, func(string) bool { return false })
	start(t, c)
	eventually(t, "two engines are ordered", func() bool { return len(e.executed()) == 2 })
	time.Sleep(time.Second)
	is.Equal(len(e.executed()), 2)
}

// Guards against a deadlock: the placer calls Changing while it holds its own lock, and the
// controller asks the placer for the decode demand, so the controller must not hold its own lock
// while it asks.
func TestControllerHoldsNoLockWhileItAsksForDemand(t *testing.T) {
	k := newKeeper()
	c := newController("a", k, store.NewMemory(), &fakeEngines{keepers: []*fleet.Keeper{k}}, bootClock)
	var asked, blocked atomic.Bool
	c.SetDecodeDemand(func([]*fleet.Target) float64 {
		answered := make(chan struct{})
		go func() {
			c.Changing(engine("1", "a", fleet.Decode))
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(time.Second):
			blocked.Store(true)
		}
		asked.Store(true)
		return 0
	})
	start(t, c)
	eventually(t, "the controller asks for the demand", asked.Load)
	is.New(t).True(!blocked.Load())
}
