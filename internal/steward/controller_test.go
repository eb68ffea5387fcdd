package steward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/order"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// fakeEngines implements order.Engines: engines that take an order at once. orders[i]
// went to the address recipients[i].
type fakeEngines struct {
	// status is keyed by address.
	status     map[string]*target.Status
	orders     []target.Order
	recipients []string
}

func (f *fakeEngines) Status(_ context.Context, address string) (target.Status, error) {
	return *f.status[address], nil
}

func (f *fakeEngines) Order(_ context.Context, address string, o target.Order, still func() bool) error {
	if !still() {
		return target.ErrFenced
	}
	f.orders = append(f.orders, o)
	f.recipients = append(f.recipients, address)
	s := f.status[address]
	s.LastOrder, s.Role, s.Model, s.Version = o.ID, o.Want.Role, o.Want.Model, o.Want.Version
	return nil
}

// fixture is a controller of the service hints with fake engines. The test advances its
// clock.
type fixture struct {
	t       *testing.T
	now     time.Duration
	engines *fakeEngines
	store   *gossip.Store
	c       *controller
	seq     uint64
}

// newFixture returns a fixture whose engines, named a, b and so on, all serve
// version v1.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	cfg := settings.DefaultSteward()
	cfg.VM, cfg.DataCentre = "vm-1", "kakkanad"
	f := &fixture{t: t, store: gossip.NewStore(time.Now), engines: &fakeEngines{status: map[string]*target.Status{}}}
	self := member.Self{VM: "vm-1", DataCentre: "kakkanad", Address: "a", Incarnation: 1}
	memory := store.NewMemory()
	memory.SetClock(func() time.Time { return time.Unix(0, 0).Add(f.now) })
	m := &leaseManager{
		cfg: cfg, store: f.store, gossip: member.New(self, time.Second, f.store, nil, nil, telemetry.Discard()),
		table: memory, weights: memory, engines: f.engines, clock: func() time.Duration { return f.now },
		log: telemetry.Discard(), decisions: newDecisionHistory("vm-1"), controllers: map[string]*controller{},
	}
	var l store.VMListing
	l.Revision = 1
	for i := range engines {
		name := string(rune('a' + i))
		l.VMs = append(l.VMs, store.VM{Name: name, DataCentre: "kakkanad", Address: name, Kind: store.VMEngine, State: store.VMLive, Changed: 1})
		f.engines.status[name] = &target.Status{Boot: 1, Role: target.RoleBoth, Model: "m", Version: "v1", Slots: 8}
	}
	f.store.Merge(f.store.VMItems(l), "")
	f.setTable(1, "v1")
	f.c = m.newController("hints")
	return f
}

// setTable puts a table of the given version into the store, whose row asks for a
// version of the model.
func (f *fixture) setTable(version uint64, modelVersion string) {
	f.t.Helper()
	items, err := gossip.TableItems(table.Table{Version: version, Rows: []table.Row{{
		Service: "hints", Kind: table.Language, Model: "m", Version: modelVersion, Changed: version, Fencing: table.FencingChecked,
		Engines: []table.Assignment{{DataCentre: "kakkanad", Count: 9}},
	}}}, version-1, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Merge(items, "")
}

// reportStatuses puts the engines' statuses into the store, as a poller does.
func (f *fixture) reportStatuses() {
	f.seq++
	var items []*api.Item
	for name, st := range f.engines.status {
		st.Seq = f.seq
		items = append(items, statusItem(name, "kakkanad", *st))
	}
	f.store.Merge(items, "")
	// Refreshes the cached view, so that the controller does not see an older one.
	f.store.View()
}

// runSteps reports the statuses and takes a step n times, controlInterval apart.
func (f *fixture) runSteps(n int) {
	for range n {
		f.reportStatuses()
		f.c.step(context.Background())
		f.now += controlInterval
	}
}

// isDraining reports whether entries see the engine as drained.
func (f *fixture) isDraining(name string) bool { return f.store.View().Targets[name].Draining }

// drainedCount returns how many engines are drained.
func (f *fixture) drainedCount() int {
	n := 0
	for name := range f.engines.status {
		if f.isDraining(name) {
			n++
		}
	}
	return n
}

// A serving engine gets an order only after every entry has had time to learn of its
// drain, and only once it is idle.
func TestDrainBeforeOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.runSteps(3)
	is.Equal(len(f.engines.orders), 0) // all engines have the configuration already
	f.setTable(2, "v2")
	f.engines.status["a"].Running = 2
	f.runSteps(1)
	is.True(f.isDraining("a"))
	f.engines.status["a"].Running = 0
	f.runSteps(int(drainPropagation/controlInterval) - 1)
	is.Equal(len(f.engines.orders), 0) // idle, but entries may not know of the drain yet
	f.engines.status["a"].Running = 1
	f.runSteps(6)
	is.Equal(len(f.engines.orders), 0) // a request that was sent late is still running
	f.engines.status["a"].Running = 0
	f.runSteps(1)
	is.Equal(len(f.engines.orders), 1)
	is.Equal(f.engines.recipients[0], "a")
	is.True(f.isDraining("a"))
	f.runSteps(2)
	is.True(!f.isDraining("a")) // the order is done, so it serves again
}

// A new version is rolled out to one engine after the other, with one order each.
func TestRollOutOneByOne(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.setTable(2, "v2")
	for range 60 {
		f.runSteps(1)
		is.True(f.drainedCount() <= 1) // one engine at a time is out of use
		f.now += time.Second           // the weight store limits the rate of loads
	}
	is.Equal(f.engines.recipients, []string{"a", "b", "c"})
}

// The only engine that serves the model is not drained, whatever the row asks for.
func TestLastServingEngineStays(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.engines.status["b"].Leaving = true
	f.setTable(2, "v2")
	f.runSteps(30)
	is.Equal(len(f.engines.orders), 0)
	is.True(!f.isDraining("a"))
}

// A new tenure does not count the time of a drain that the previous one started. The
// engine stays drained, and gets its order only after a full drain in the new tenure.
func TestNewTenureRestartsDrains(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.runSteps(1)
	f.setTable(2, "v2")
	f.runSteps(1)
	is.True(f.isDraining("a"))
	f.now += time.Hour // the lease expires
	f.runSteps(1)
	is.True(f.isDraining("a"))
	is.Equal(len(f.engines.orders), 0) // the new tenure waits for its own drain
	f.runSteps(int(drainPropagation/controlInterval) + 2)
	is.Equal(len(f.engines.orders), 1)
}

// A steward that cannot renew its lease sends no orders until it holds the lease again.
func TestNoLeaseNoOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.runSteps(2)
	memory := f.c.table.(*store.Memory)
	memory.SetFault(store.FaultDown)
	f.now += time.Hour
	f.setTable(2, "v2")
	f.runSteps(20)
	is.Equal(len(f.engines.orders), 0)
	memory.SetFault(store.FaultNone)
	f.runSteps(20)
	is.True(len(f.engines.orders) > 0)
}

// The view lags behind the engines. An order that is done is not sent again because the
// view still shows the engine's old configuration.
func TestStaleViewGivesNoSecondOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.engines.status["a"].Model, f.engines.status["a"].Version = "", "" // it has just been installed
	f.reportStatuses()
	for range 20 { // no status is reported in between
		f.c.step(context.Background())
		f.now += controlInterval
	}
	is.Equal(f.engines.recipients, []string{"a"})
	is.True(!f.isDraining("a")) // nor is it drained for a change that it does not need
}

// rollOut takes steps until all engines have the version and none is drained. It
// reports false if that takes more than 60 steps. The steps are a second further apart
// than a controller's, as the weight store limits the rate of loads.
func (f *fixture) rollOut(version string) bool {
	const steps = 60
	for range steps {
		f.runSteps(1)
		f.now += time.Second
		if f.rolledOut(version) {
			return true
		}
	}
	return false
}

// rolledOut reports whether all engines have the version and none is drained.
func (f *fixture) rolledOut(version string) bool {
	for name, st := range f.engines.status {
		if st.Version != version || f.isDraining(name) {
			return false
		}
	}
	return true
}

// Engine a is skipped for maxViewLag because its last order was just done, and b is
// drained instead. That drain is completed when a is no longer skipped. If a were
// preferred again, neither could be drained as long as the other does not serve.
func TestStartedDrainIsCompleted(t *testing.T) {
	for engines, want := range map[int][]string{2: {"a", "b", "a"}, 3: {"a", "b", "a", "c"}} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, engines)
			f.engines.status["a"].Model, f.engines.status["a"].Version = "", "" // it has just been installed
			f.runSteps(2)
			is.Equal(f.engines.recipients, []string{"a"})
			f.setTable(2, "v2")
			f.engines.status["b"].Running = 1
			f.runSteps(1)
			is.True(f.isDraining("b"))
			f.runSteps(int(f.c.maxViewLag()/controlInterval) + 1) // b is busy until "a" is no longer skipped
			is.True(f.isDraining("b"))
			f.engines.status["b"].Running = 0
			is.True(f.rollOut("v2"))
			is.Equal(f.engines.recipients, want)
		})
	}
}

// Whatever engines the previous holder has left drained, and however far their orders
// got, its successor completes the roll-out.
func TestSuccessorCompletesTheRollOut(t *testing.T) {
	for name, c := range map[string]struct {
		engines int
		drained []string
		done    []string
	}{
		"second drained":             {engines: 2, drained: []string{"b"}},
		"second done, still drained": {engines: 2, drained: []string{"b"}, done: []string{"b"}},
		"first done, still drained":  {engines: 2, drained: []string{"a"}, done: []string{"a"}},
		"both drained":               {engines: 2, drained: []string{"a", "b"}},
		"two of three drained":       {engines: 3, drained: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.engines)
			f.setTable(2, "v2")
			for _, e := range c.done {
				f.engines.status[e].Version = "v2"
			}
			for _, e := range c.drained {
				f.store.Merge([]*api.Item{gossip.DrainItem(e, true, 0, 1)}, "")
			}
			f.runSteps(1)
			is.True(f.drainedCount() <= 1) // one engine at a time is out of use
			is.True(f.rollOut("v2"))
		})
	}
}

// The other engines leave while one is drained. It is then the only one that can serve,
// so its drain is ended.
func TestDrainEndsWhenNoOtherServes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.runSteps(1)
	f.setTable(2, "v2")
	f.runSteps(1)
	is.True(f.isDraining("a"))
	f.engines.status["b"].Leaving = true
	f.runSteps(3)
	is.True(!f.isDraining("a"))
	is.Equal(len(f.engines.orders), 0)
	f.engines.status["b"].Leaving = false
	f.runSteps(1)
	is.True(f.isDraining("a"))
	is.Equal(len(f.engines.orders), 0) // entries have to learn of the new drain first
	is.True(f.rollOut("v2"))
}

// An order that is not done holds back further changes. The drain of an engine for one
// of those is ended until then.
func TestDrainEndsWhileAnotherOrderIsUnfinished(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.runSteps(1)
	f.setTable(2, "v2")
	f.engines.status["a"].Changing = true // its order takes long
	journal := order.NewJournal(f.c.table, "kakkanad", "hints", telemetry.Discard())
	tenure, held := f.c.lease.Held()
	is.True(held)
	_, err := journal.Write(context.Background(), tenure, order.Entry{Engine: "a", Order: target.Order{ID: "a-1", Fence: 1}})
	is.NoErr(err)
	f.engines.status["a"].LastOrder = "a-1"
	f.now += time.Hour // a new tenure begins and reads the journal
	f.store.Merge([]*api.Item{gossip.DrainItem("a", true, 1, 1), gossip.DrainItem("b", true, 1, 2)}, "")
	f.runSteps(3)
	is.True(f.isDraining("a")) // its order is unfinished
	is.True(!f.isDraining("b"))
}

// The only engine that serves the model comes first by name and must not be drained. The
// next one, which serves nothing yet, gets the new version, after which the first one
// can be drained.
func TestLastServingEngineDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.engines.status["b"].Model, f.engines.status["b"].Version = "", ""
	f.setTable(2, "v2")
	is.True(f.rollOut("v2"))
	is.Equal(f.engines.recipients, []string{"b", "a"})
}

// An engine is moved to this service while the holder of another service, with a higher
// fencing token, drains it. This holder can end the drain only with a higher token, so
// it releases the lease and acquires it again. The engine does not stay drained.
func TestDrainOfAnotherServiceEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.runSteps(1)
	other := lease.New(lease.Config{
		DataCentre: "kakkanad", Service: "other", Holder: "vm-2", Incarnation: 1, TTL: time.Minute,
	}, f.c.table, f.c.clock)
	is.NoErr(other.Step(context.Background(), true))
	tenure, held := other.Held()
	is.True(held)
	is.True(tenure.Fence > f.c.fence)
	f.store.Merge([]*api.Item{gossip.DrainItem("b", true, tenure.Fence, 1)}, "")
	f.runSteps(10)
	is.True(!f.isDraining("b"))
	is.Equal(len(f.engines.orders), 0)
}

// The platform fails during a drain, so that no steward can acquire the lease and
// complete the change. The drain is ended, but not before a successor would have had
// time to take over.
func TestDrainEndsWithoutASuccessor(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.runSteps(1)
	f.setTable(2, "v2")
	f.runSteps(1)
	is.True(f.isDraining("a"))
	memory := f.c.table.(*store.Memory)
	memory.SetFault(store.FaultDown)
	ttl := f.c.cfg.LeaseTTL.D()
	f.now += ttl
	f.runSteps(1)
	is.True(f.isDraining("a"))
	f.runSteps(int(successorWaitTTLs*ttl/controlInterval) + 1)
	is.True(!f.isDraining("a"))
	is.Equal(len(f.engines.orders), 0)
	memory.SetFault(store.FaultNone)
	is.True(f.rollOut("v2"))
	is.Equal(f.engines.recipients, []string{"a", "b"})
}

// The platform fails after an order was sent. The engine may still be changing, so it
// stays drained until a holder finds the order done.
func TestDrainOfAnUnfinishedOrderOutlivesTheTenure(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.runSteps(1)
	f.setTable(2, "v2")
	f.runSteps(int(drainPropagation/controlInterval) + 1)
	is.Equal(len(f.engines.orders), 1)
	memory := f.c.table.(*store.Memory)
	memory.SetFault(store.FaultDown)
	f.engines.status["a"].Changing = true
	f.now += f.c.cfg.LeaseTTL.D()
	f.runSteps(int(successorWaitTTLs*f.c.cfg.LeaseTTL.D()/controlInterval) + 2)
	is.True(f.isDraining("a"))
	f.engines.status["a"].Changing = false
	memory.SetFault(store.FaultNone)
	is.True(f.rollOut("v2"))
}
