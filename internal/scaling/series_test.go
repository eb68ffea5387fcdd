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

// Load pattern: all spot engines of one data centre are reclaimed, none are available anywhere for
// 9.8 s, and those of a second data centre are reclaimed before the first ones are replaced. The
// test guards against planning spares for only one data centre: then 32 of 84 engines were left
// during a burst of prompts.
const (
	// boot is how long a new engine takes until it serves.
	boot = 4 * time.Second
	// spotOutage is how long no spot engines are available after a reclaim.
	spotOutage = 9800 * time.Millisecond
	// reclaimInterval is the time between the two reclaims.
	reclaimInterval = 10400 * time.Millisecond
	// maxPerDataCentre is the maximum number of engines in a data centre, and perDataCentre the
	// number at the start.
	maxPerDataCentre = 38
	perDataCentre    = 19
)

// simulatedPlatform carries out orders: engines serve after their boot time, and are given back at
// once.
type simulatedPlatform struct {
	keeper *fleet.Keeper
	// serving counts the engines that serve, and booting holds the orders whose engines are still
	// booting.
	serving              map[pool]int
	booting              map[pool]bootingEngines
	spotUnavailableUntil time.Time
}

// bootingEngines is an order whose engines are still booting. From readyAt on, count engines of the
// pool serve.
type bootingEngines struct {
	count   int
	readyAt time.Time
}

// Scale implements Platform.
func (p *simulatedPlatform) Scale(_ context.Context, _ duty.Call, o Order) error {
	key, now := pool{o.Service, o.DataCentre, o.Spot}, clock.Now()
	switch {
	case o.Count <= p.serving[key]:
		p.serving[key] = o.Count
		delete(p.booting, key)
	case now.Before(p.spotUnavailableUntil):
		return duty.ErrRefused
	default:
		p.booting[key] = bootingEngines{o.Count, now.Add(boot)}
	}
	p.updateTargets()
	return nil
}

// reclaim takes away all spot engines of a data centre and makes none available for spotOutage.
func (p *simulatedPlatform) reclaim(dataCentre string) {
	key := pool{"m", dataCentre, true}
	p.serving[key] = 0
	delete(p.booting, key)
	p.spotUnavailableUntil = clock.Now().Add(spotOutage)
	p.updateTargets()
}

// finishBoots puts engines into service once their boot time is over.
func (p *simulatedPlatform) finishBoots() {
	for key, c := range p.booting {
		if !clock.Now().Before(c.readyAt) {
			p.serving[key] = c.count
			delete(p.booting, key)
		}
	}
	p.updateTargets()
}

// updateTargets makes the list of targets hold the engines that serve.
func (p *simulatedPlatform) updateTargets() {
	var changes []fleet.TargetChange
	for key, n := range p.serving {
		for i := range 2 * maxPerDataCentre {
			id := fmt.Sprintf("%s-%t-%d", key.DataCentre, key.Spot, i)
			change := fleet.TargetChange{ID: id}
			if i < n {
				change.Target = &fleet.Target{ID: id, Service: key.Service, DataCentre: key.DataCentre, Spot: key.Spot}
			}
			changes = append(changes, change)
		}
	}
	p.keeper.ApplyTargets(changes, 1)
}

// total returns the number of engines that serve.
func (p *simulatedPlatform) total() int {
	n := 0
	for _, have := range p.serving {
		n += have
	}
	return n
}

// The spot engines of two data centres are reclaimed one after the other. After the first reclaim,
// enough engines for the peak load must remain. After the second one, all engines of the third data
// centre and the on-demand engines of the first two must remain.
func TestReclaimsInARowLeaveOneDataCentreComplete(t *testing.T) {
	is := is.New(t)
	sim := clock.Simulate()
	t.Cleanup(sim.Restore)
	keeper := fleet.NewKeeper()
	keeper.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Scaling: &fleet.Scaling{
		Min: 1, Max: maxPerDataCentre, BootTime: boot, SpotPrice: 0.15, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}}, fleet.Limits{}))
	p := &simulatedPlatform{keeper: keeper, serving: make(map[pool]int), booting: make(map[pool]bootingEngines)}
	for _, dataCentre := range []string{"a", "b", "c"} {
		p.serving[pool{"m", dataCentre, false}], p.serving[pool{"m", dataCentre, true}] = perDataCentre, 0
	}
	p.updateTargets()
	c := New(Config{Busy: func(string) bool { return true }}, keeper, store.NewMemory(), p, &holder{fence: 1},
		telemetry.NewLogger(&bytes.Buffer{}, "test", "vm"))
	run := func(span time.Duration) (least int) {
		least = p.total()
		for range int(span / stepInterval) {
			sim.Suspend(stepInterval)
			p.finishBoots()
			c.step(context.Background())
			least = min(least, p.total())
		}
		return least
	}
	run(20 * time.Second)
	is.True(p.total() <= 3*maxPerDataCentre)
	p.reclaim("a")
	is.True(run(reclaimInterval) >= 3*perDataCentre) // enough for the peak load
	p.reclaim("b")
	is.True(run(spotOutage) >= maxPerDataCentre+2*minOnDemand) // the third data centre is complete
}
