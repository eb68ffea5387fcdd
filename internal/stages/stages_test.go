package stages_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/stages"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

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

func engine(id, dataCentre string, stage fleet.Stage) *fleet.Target {
	return &fleet.Target{ID: id, Service: "m", DataCentre: dataCentre, Stage: stage}
}

// staying counts the engines that do not leave.
func staying(targets []*fleet.Target) int {
	n := 0
	for _, t := range targets {
		if !t.Leaving {
			n++
		}
	}
	return n
}

func TestPlan(t *testing.T) {
	leaving := engine("x", "a", fleet.Prefill)
	leaving.Leaving = true
	cases := []struct {
		name  string
		view  *fleet.View
		share float64
		want  map[string]fleet.Stage
	}{
		{"nothing known", &fleet.View{}, 0.5, nil},
		{"as wanted", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Decode)), 0.5, nil},
		{"more prefill", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode), engine("4", "a", fleet.Prefill)), 0.5,
			map[string]fleet.Stage{"1": fleet.Prefill}},
		{"fewer prefill", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Prefill), engine("3", "a", fleet.Prefill), engine("4", "a", fleet.Prefill)), 0.5,
			map[string]fleet.Stage{"1": fleet.Decode, "2": fleet.Decode}},
		{"one of each stays", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode)), 0.99, map[string]fleet.Stage{"1": fleet.Prefill}},
		{"two of each stay of four", view(engine("1", "a", fleet.Decode), engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode), engine("4", "a", fleet.Decode)), 0.99,
			map[string]fleet.Stage{"1": fleet.Prefill, "2": fleet.Prefill}},
		{"and none is forced where there is one", view(engine("1", "a", fleet.Decode)), 0.99, nil},
		{"each data centre by itself", view(engine("1", "a", fleet.Prefill), engine("2", "a", fleet.Prefill), engine("3", "b", fleet.Decode), engine("4", "b", fleet.Decode)), 0.5,
			map[string]fleet.Stage{"1": fleet.Decode, "3": fleet.Prefill}},
		{"those that leave do not count", view(leaving, engine("2", "a", fleet.Decode), engine("3", "a", fleet.Decode)), 0.5, map[string]fleet.Stage{"2": fleet.Prefill}},
		{"plain services have none", view(&fleet.Target{ID: "1", Service: "plain"}, &fleet.Target{ID: "2", Service: "plain"}), 0.5, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]fleet.Stage{}
			want := func(targets []*fleet.Target) int { return int(math.Round(tc.share * float64(staying(targets)))) }
			for _, c := range stages.PlanAll(tc.view, want, func(string) int { return 0 }) {
				got[c.Target.ID] = c.Stage
			}
			if tc.want == nil {
				tc.want = map[string]fleet.Stage{}
			}
			is.Equal(got, tc.want)
		})
	}
}

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

func TestPlanDealsToDataCentres(t *testing.T) {
	is := is.New(t)
	var targets []*fleet.Target
	for _, dc := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2", "3", "4"} {
			targets = append(targets, engine(dc+n, dc, fleet.Decode))
		}
	}
	for want := 3; want <= 9; want++ {
		// Two of each stage stay in a data centre of four.
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

// engines carry out orders and note who gave them.
type engines struct {
	mu     sync.Mutex
	keeper []*fleet.Keeper
	orders []given
	// silent orders are carried out, unanswered.
	silent bool
	// refuse refuses all orders.
	refuse bool
	// beforeOrder is called before an order's last check.
	beforeOrder func()
}

type given struct {
	engine string
	order  stages.Order
	at     time.Time
}

func (e *engines) Report(context.Context, *fleet.Target) (stages.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return stages.Report{Sequence: uint64(len(e.orders))}, nil
}

func (e *engines) Order(_ context.Context, t *fleet.Target, o stages.Order, still func() bool) error {
	if e.beforeOrder != nil {
		e.beforeOrder()
	}
	if !still() {
		return stages.ErrWithheld
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse {
		return stages.ErrRefused
	}
	e.orders = append(e.orders, given{t.ID, o, time.Now()})
	changed := *t
	changed.Stage = o.Stage
	for _, k := range e.keeper {
		k.ApplyTargets([]fleet.TargetChange{{ID: t.ID, Target: &changed}}, 0)
	}
	if e.silent {
		return stages.ErrUnknown
	}
	return nil
}

func (e *engines) given() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]given(nil), e.orders...)
}

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

func bootClock() time.Duration { return clock.Boot() }

const gap = 500 * time.Millisecond

func newController(vm string, k *fleet.Keeper, table store.Table, e *engines, c lease.Clock) *stages.Controller {
	return stages.New(stages.Config{VM: vm, Share: 0.5, Gap: gap}, k, table, e, c, 1, telemetry.Discard())
}

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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

func TestOneOfManyOrders(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	e := &engines{}
	for _, vm := range []string{"a", "b", "c"} {
		k := newKeeper()
		e.keeper = append(e.keeper, k)
		start(t, newController(vm, k, table, e, bootClock))
	}
	eventually(t, "the engines are ordered", func() bool { return len(e.given()) == 2 })
	time.Sleep(time.Second)
	orders := e.given()
	is.Equal(len(orders), 2)
	is.Equal(orders[0].order.Holder, orders[1].order.Holder)
	is.Equal(orders[0].order.Fence, orders[1].order.Fence)
	is.Equal(orders[1].order.Sequence, uint64(1))
}

// A VM that is no candidate asks the store for nothing and orders nothing, until
// it is one.
func TestOnlyCandidatesContend(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	k := newKeeper()
	e := &engines{keeper: []*fleet.Keeper{k}}
	var candidate atomic.Bool
	c := newController("a", k, table, e, bootClock)
	c.SetCandidate(candidate.Load)
	start(t, c)
	time.Sleep(6 * time.Second) // longer than any candidate waits
	is.Equal(len(e.given()), 0)
	records, err := table.List(context.Background(), "")
	is.NoErr(err)
	is.Equal(len(records), 0)
	candidate.Store(true)
	eventually(t, "the engines are ordered", func() bool { return len(e.given()) == 2 })
}

// narrow is a store that takes no transaction of more than 100 entries.
type narrow struct{ store.Table }

func (n narrow) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if len(txn.Conds)+len(txn.Puts)+len(txn.Deletes) > 100 {
		return 0, store.ErrUnavailable
	}
	return n.Table.Commit(ctx, txn)
}

func TestManyChangesAreJournalledInParts(t *testing.T) {
	table := narrow{store.NewMemory()}
	k := fleet.NewKeeper()
	k.SetConfig(view().Config)
	var changes []fleet.TargetChange
	const count = 260
	for i := range count {
		id := fmt.Sprint(i)
		changes = append(changes, fleet.TargetChange{ID: id, Target: engine(id, "a", fleet.Prefill)})
	}
	k.ApplyTargets(changes, 1)
	e := &engines{keeper: []*fleet.Keeper{k}}
	start(t, stages.New(stages.Config{VM: "a", Share: 0.5, Gap: gap}, k, table, e, bootClock, 1, telemetry.Discard()))
	eventually(t, "half of the engines are ordered", func() bool { return len(e.given()) == count/2 })
	eventually(t, "the journal is empty", func() bool {
		rows, err := table.List(context.Background(), stages.KeyPrefix)
		return err == nil && len(rows) == 0
	})
}

// Decoding keeps the engines that its runs fill, though the share would have them
// prefill, also while the mix swings away for a moment.
func TestDecodingKeepsWhatItNeeds(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	k.SetConfig(view().Config)
	var changes []fleet.TargetChange
	for i := range 12 {
		id := fmt.Sprint(i)
		changes = append(changes, fleet.TargetChange{ID: id, Target: engine(id, "a", fleet.Decode)})
	}
	k.ApplyTargets(changes, 1)
	e := &engines{keeper: []*fleet.Keeper{k}}
	c := stages.New(stages.Config{VM: "a", Share: 0.8, Gap: gap}, k, store.NewMemory(), e, bootClock, 1, telemetry.Discard())
	var asked atomic.Int64
	c.SetDemand(func([]*fleet.Target) float64 {
		if asked.Add(1) > 3 {
			return 0
		}
		return 4.7 // seven engines at 0.7 of what they can run
	})
	start(t, c)
	eventually(t, "the rest prefills", func() bool { return len(e.given()) == 5 })
	time.Sleep(time.Second)
	is.Equal(len(e.given()), 5)
}

func TestNoStoreNoOrders(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	table.SetFault(store.FaultDown)
	e := &engines{}
	k := newKeeper()
	e.keeper = []*fleet.Keeper{k}
	start(t, newController("a", k, table, e, bootClock))
	time.Sleep(6 * time.Second)
	is.Equal(len(e.given()), 0)
	table.SetFault(store.FaultNone)
	eventually(t, "orders once the store is back", func() bool { return len(e.given()) == 2 })
}

// A holder that stands still between its checks and the order, past its lease,
// sends nothing when it goes on.
func TestFrozenHolderWithholdsItsOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	offset := time.Duration(0)
	jumping := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock.Boot() + offset
	}
	e := &engines{}
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
	e.keeper = []*fleet.Keeper{k}
	start(t, newController("a", k, store.NewMemory(), e, jumping))
	<-frozen
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(e.given()), 0)
}

// A successor waits until the holder before can have ordered nothing for the
// gap, and leaves alone what the journal says is under way.
func TestSuccessorWaitsAndAdoptsTheJournal(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	ctx := context.Background()
	before := lease.New(lease.Config{DataCentre: "all", Service: "stages", Holder: "z", Incarnation: 9, TTL: time.Second}, table, bootClock)
	is.NoErr(before.Step(ctx, true))
	value, err := json.Marshal(map[string]any{"holder": "z", "fence": 1, "stage": "prefill"})
	is.NoErr(err)
	_, err = table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "order/1", Value: value}}})
	is.NoErr(err)
	is.NoErr(before.Release(ctx))
	released := time.Now()
	e := &engines{}
	k := newKeeper()
	e.keeper = []*fleet.Keeper{k}
	start(t, newController("a", k, table, e, bootClock))
	eventually(t, "the successor orders", func() bool { return len(e.given()) > 0 })
	for _, g := range e.given() {
		is.True(g.engine != "1") // its order may still be carried out
		is.True(g.at.Sub(released) > gap)
		is.True(g.order.Fence > 1)
	}
}

// An order without an answer stays open: no second one is given meanwhile.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	is := is.New(t)
	e := &engines{silent: true}
	k := newKeeper() // not told of the change: the engine may change later
	c := newController("a", k, store.NewMemory(), e, bootClock)
	start(t, c)
	eventually(t, "orders", func() bool { return len(e.given()) == 2 })
	time.Sleep(2 * time.Second)
	is.Equal(len(e.given()), 2)
	is.Equal(len(c.Open()), 2)
	is.True(c.Changing(engine("1", "a", fleet.Decode)))
	is.True(!c.Changing(engine("1", "a", fleet.Prefill)))
}

// An engine that starts again under its id has forgotten its orders: what stood open for
// the run before holds it up no longer, and it is ordered anew.
func TestEngineBornAgainIsOrderedAnew(t *testing.T) {
	is := is.New(t)
	e := &engines{silent: true}
	k := newKeeper() // not told of the change
	c := newController("a", k, store.NewMemory(), e, bootClock)
	start(t, c)
	eventually(t, "orders", func() bool { return len(e.given()) == 2 })
	again := engine(e.given()[0].engine, "a", fleet.Decode)
	again.Born, again.Run = 1000, fleet.RunID(again.ID, 1000)
	is.True(c.Changing(engine(again.ID, "a", fleet.Decode)))
	k.ApplyTargets([]fleet.TargetChange{{ID: again.ID, Target: again}}, 2)
	eventually(t, "it is ordered anew", func() bool { return len(e.given()) == 3 })
	is.Equal(e.given()[2].engine, again.ID)
}

// Placement asks whether an engine changes while it holds its own lock, and is asked by the
// controller how many engines decode: neither may wait for the other.
func TestControllerHoldsNoLockWhileItAsksForDemand(t *testing.T) {
	k := newKeeper()
	c := newController("a", k, store.NewMemory(), &engines{keeper: []*fleet.Keeper{k}}, bootClock)
	var asked, stuck atomic.Bool
	c.SetDemand(func([]*fleet.Target) float64 {
		answered := make(chan struct{})
		go func() {
			c.Changing(engine("1", "a", fleet.Decode))
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(time.Second):
			stuck.Store(true)
		}
		asked.Store(true)
		return 0
	})
	start(t, c)
	eventually(t, "the demand is asked for", asked.Load)
	is.New(t).True(!stuck.Load())
}
