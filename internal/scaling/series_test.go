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
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Load pattern: all reclaimable engines of one data centre leave, none are to be had anywhere for
// 9.8 s, and those of a second data centre leave before the first ones are back. With spares for
// one data centre 32 of 84 engines were left, in a burst of prompts.
const (
	boot     = 4 * time.Second
	dryTime  = 9800 * time.Millisecond
	between  = 10400 * time.Millisecond
	most     = 38
	perPlace = 19
)

// market carries orders out: engines serve after their boot, and are given back at once.
type market struct {
	keeper *fleet.Keeper
	// have is the engines that serve, and coming when an order's engines do.
	have   map[subject]int
	coming map[subject]coming
	dry    time.Time
}

type coming struct {
	count int
	at    time.Time
}

func (m *market) Scale(_ context.Context, _ duty.Call, o Order) error {
	s, now := subject{o.Service, o.DataCentre, o.Spot}, clock.Now()
	switch {
	case o.Count <= m.have[s]:
		m.have[s] = o.Count
		delete(m.coming, s)
	case now.Before(m.dry):
		return duty.ErrRefused
	default:
		m.coming[s] = coming{o.Count, now.Add(boot)}
	}
	m.list()
	return nil
}

// reclaim takes a data centre's reclaimable engines away.
func (m *market) reclaim(dataCentre string) {
	s := subject{"m", dataCentre, true}
	m.have[s] = 0
	delete(m.coming, s)
	m.dry = clock.Now().Add(dryTime)
	m.list()
}

// arrive lists the engines whose boot is over.
func (m *market) arrive() {
	for s, c := range m.coming {
		if !clock.Now().Before(c.at) {
			m.have[s] = c.count
			delete(m.coming, s)
		}
	}
	m.list()
}

func (m *market) list() {
	var changes []fleet.TargetChange
	for s, n := range m.have {
		for i := range 2 * most {
			id := fmt.Sprintf("%s-%t-%d", s.DataCentre, s.Spot, i)
			change := fleet.TargetChange{ID: id}
			if i < n {
				change.Target = &fleet.Target{ID: id, Service: s.Service, DataCentre: s.DataCentre, Spot: s.Spot}
			}
			changes = append(changes, change)
		}
	}
	m.keeper.ApplyTargets(changes, 1)
}

func (m *market) total() int {
	n := 0
	for _, have := range m.have {
		n += have
	}
	return n
}

func TestReclaimsInSeriesLeaveADataCentreFull(t *testing.T) {
	is := is.New(t)
	sim := clock.Simulate()
	t.Cleanup(sim.Restore)
	keeper := fleet.NewKeeper()
	keeper.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Scaling: &fleet.Scaling{
		Min: 1, Max: most, Boot: boot, SpotPrice: 0.15, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}}, fleet.Limits{}))
	m := &market{keeper: keeper, have: make(map[subject]int), coming: make(map[subject]coming)}
	for _, dataCentre := range []string{"a", "b", "c"} {
		m.have[subject{"m", dataCentre, false}], m.have[subject{"m", dataCentre, true}] = perPlace, 0
	}
	m.list()
	c := New(Config{Busy: func(string) bool { return true }}, keeper, store.NewMemory(), m, &holder{fence: 1},
		telemetry.NewLogger(&bytes.Buffer{}, "test", "vm"))
	run := func(span time.Duration) (least int) {
		least = m.total()
		for range int(span / tick) {
			sim.Suspend(tick)
			m.arrive()
			c.step(context.Background())
			least = min(least, m.total())
		}
		return least
	}
	run(20 * time.Second)
	is.True(m.total() <= 3*most)
	m.reclaim("a")
	is.True(run(between) >= 3*perPlace) // one data centre's loss leaves what the load needs
	m.reclaim("b")
	is.True(run(dryTime) >= most+2*keptFull) // a second one's leaves the third full
}
