package scaling

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// holder is a fake Holder that holds the duty while fence is not 0.
type holder struct{ fence uint64 }

// Held implements Holder.
func (h *holder) Held() (duty.Tenure, bool) {
	return duty.Tenure{Tenure: lease.Tenure{Fence: h.fence}, Condition: store.Cond{Key: "fence"}}, h.fence != 0
}

// Call implements Holder.
func (h *holder) Call(t duty.Tenure) duty.Call { return duty.Call{Holder: "vm", Fence: t.Fence} }

// fakePlatform carries out orders at once and records them. It refuses orders for spot engines
// while noSpot is set, and returns err for the others although it has carried them out.
type fakePlatform struct {
	keeper *fleet.Keeper
	orders []Order
	noSpot bool
	err    error
}

// Scale implements Platform.
func (p *fakePlatform) Scale(_ context.Context, _ duty.Call, o Order) error {
	p.orders = append(p.orders, o)
	if p.noSpot && o.Spot {
		return duty.ErrRefused
	}
	p.setCount(o.DataCentre, o.Spot, o.Count)
	return p.err
}

// setCount makes the list of targets hold n engines of one kind in a data centre.
func (p *fakePlatform) setCount(dataCentre string, spot bool, n int) {
	var changes []fleet.TargetChange
	for i := range 40 {
		id := fmt.Sprintf("%s-%t-%d", dataCentre, spot, i)
		change := fleet.TargetChange{ID: id}
		if i < n {
			change.Target = &fleet.Target{ID: id, Service: "m", DataCentre: dataCentre, Spot: spot}
		}
		changes = append(changes, change)
	}
	p.keeper.ApplyTargets(changes, 1)
}

// fixture is a controller whose platform has two data centres with ten on-demand engines each.
// The service has work while busy is set.
type fixture struct {
	*Controller
	platform *fakePlatform
	holder   *holder
	table    *store.Memory
	busy     bool
	time     *clock.Simulated
}

// newFixture returns a fixture with simulated time.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{holder: &holder{fence: 1}, table: store.NewMemory(), time: clock.Simulate()}
	t.Cleanup(s.time.Restore)
	keeper := fleet.NewKeeper()
	keeper.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Scaling: &fleet.Scaling{
		Min: 1, Max: 20, BootTime: time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1},
	}}}, fleet.Limits{}))
	s.platform = &fakePlatform{keeper: keeper}
	s.platform.setCount("a", false, 10)
	s.platform.setCount("b", false, 10)
	s.Controller = s.successor()
	return s
}

// successor returns the controller of another VM, which has the same store and platform.
func (s *fixture) successor() *Controller {
	return New(Config{Busy: func(string) bool { return s.busy }}, s.platform.keeper, s.table, s.platform, s.holder,
		telemetry.NewLogger(&bytes.Buffer{}, "test", "vm"))
}

// run advances the simulated time by a span and calls step after each quarter of it.
func (s *fixture) run(span time.Duration) {
	for range 4 {
		s.time.Suspend(span / 4)
		s.step(context.Background())
	}
}

// Orders that the platform has carried out are not sent again.
func TestEnginesAreOrderedOnce(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.run(8 * time.Second)
	is.Equal(s.platform.orders, []Order{{"m", "a", 16, true}, {"m", "b", 16, true}, {"m", "a", 2, false}, {"m", "b", 2, false}})
	s.run(time.Minute)
	is.Equal(len(s.platform.orders), 4) // all orders have been carried out
}

// A VM that does not hold the duty sends no orders.
func TestOnlyTheHolderSendsOrders(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.holder.fence = 0
	s.run(time.Minute)
	is.Equal(len(s.platform.orders), 0)
}

// Spot engines that are reclaimed while there is work are ordered again until they are available,
// but not in every step.
func TestReclaimedEnginesAreOrderedAgain(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.busy = true
	s.run(8 * time.Second)
	s.run(8 * time.Second)
	s.platform.noSpot = true
	s.platform.setCount("a", true, 0)
	s.platform.orders = nil
	s.run(20 * time.Second)
	is.True(len(s.platform.orders) > 0 && len(s.platform.orders) < 20) // not in every step
	s.platform.noSpot = false
	s.run(20 * time.Second)
	n := 0
	for _, t := range s.platform.keeper.View().Targets["m"] {
		if t.DataCentre == "a" && t.Spot {
			n++
		}
	}
	is.Equal(n, 16)
}

// A new holder reads the number of engines that the service needs from the journal. It must not
// derive it from the present engines, which are those that were ordered, spares included.
func TestSuccessorKeepsTheNeed(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.run(8 * time.Second)
	next := s.successor()
	s.holder.fence = 2
	s.Controller = next
	s.platform.orders = nil
	s.run(10 * time.Second)
	is.Equal(len(s.platform.orders), 0)
	is.Equal(next.needs["m"], 20)
}

// Orders whose outcome is unknown are sent again unchanged.
func TestUnknownOrdersAreRepeated(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.platform.err = duty.ErrUnknown
	s.run(10 * time.Second)
	s.platform.err = nil
	s.run(20 * time.Second)
	for _, o := range s.platform.orders {
		is.True(o == Order{"m", o.DataCentre, 16, true} || o == Order{"m", o.DataCentre, 2, false})
	}
	is.Equal(len(s.platform.keeper.View().Targets["m"]), 36)
}

// A write of the journal that is executed late must not replace what was written since: the next holder
// would plan for the number of engines that was known before more of them were listed.
func TestLateJournalWriteBringsBackAnEarlierNeed(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.busy = true
	s.table.SetFault(store.FaultLateWrites)
	s.run(8 * time.Second)
	is.Equal(len(s.platform.orders), 0) // the journal could not be written
	s.platform.setCount("a", false, 14)
	s.table.SetFault(store.FaultNone)
	s.run(8 * time.Second)
	is.Equal(s.needs["m"], 24)
	s.table.RunLate()
	s.holder.fence = 2
	next := s.successor()
	next.step(context.Background())
	is.Equal(next.needs["m"], 24)
}
