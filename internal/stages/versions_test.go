package stages_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/stages"
)

// decodeByVersion returns how many engines of each version decode after changes.
func decodeByVersion(targets []*fleet.Target, changes []stages.Change) map[string]int {
	stage := make(map[*fleet.Target]fleet.Stage)
	for _, t := range targets {
		stage[t] = t.Stage
	}
	for _, c := range changes {
		stage[c.Target] = c.Stage
	}
	out := make(map[string]int)
	for _, t := range targets {
		if stage[t] == fleet.Decode {
			out[t.Version]++
		}
	}
	return out
}

// While versions are replaced, streams go on at their version only. Each version with two or more engines
// keeps one that decodes, also if it has none at first.
func TestEachVersionKeepsADecodeEngine(t *testing.T) {
	is := is.New(t)
	idle := func(string) int { return 0 }
	var targets []*fleet.Target
	for i := range 12 {
		stage, version := fleet.Decode, "v1"
		if i < 6 {
			version = "v2"
		}
		if i == 0 || i == 1 {
			version, stage = "v3", fleet.Prefill
		}
		e := engine(fmt.Sprint("e", i), fmt.Sprint("dc", i%3), stage)
		e.Version = version
		targets = append(targets, e)
	}
	for want := range 13 {
		after := decodeByVersion(targets, stages.Plan(targets, want, idle))
		for _, version := range []string{"v1", "v2", "v3"} {
			is.True(after[version] >= 1)
		}
	}
}

// settled is the function changing of a fleet without open orders.
func settled(*fleet.Target) bool { return false }

// changingFleet is a fleet whose engines take some time to carry out orders, or never do.
type changingFleet struct {
	r       *rand.Rand
	targets []*fleet.Target
	// orders holds the open orders, and how many plans it takes until each is carried out.
	orders map[*fleet.Target]*openOrder
	// replaced numbers the engines that replaced others.
	replaced int
}

type openOrder struct {
	stage fleet.Stage
	plans int
	lost  bool
}

// planned returns the engines at the stages that they have been ordered to, and those that are changing.
func (f *changingFleet) planned() (targets []*fleet.Target, changing map[string]bool) {
	changing = make(map[string]bool)
	for _, t := range f.targets {
		if o := f.orders[t]; o != nil {
			ordered := *t
			ordered.Stage, t = o.stage, &ordered
			changing[t.RunID()] = true
		}
		targets = append(targets, t)
	}
	return targets, changing
}

// serving returns the number of engines of each version, and of those that decode and have no open order.
func (f *changingFleet) serving() (engines, decode map[string]int) {
	engines, decode = make(map[string]int), make(map[string]int)
	for _, t := range f.targets {
		engines[t.Version]++
		if t.Stage == fleet.Decode && f.orders[t] == nil {
			decode[t.Version]++
		}
	}
	return engines, decode
}

// step carries out orders, plans with the given want and orders the changes. It returns their number.
func (f *changingFleet) step(want int) int {
	for t, o := range f.orders {
		if o.plans--; o.plans > 0 {
			continue
		}
		if !o.lost {
			t.Stage = o.stage
		}
		delete(f.orders, t)
	}
	targets, changing := f.planned()
	v := &fleet.View{
		Config:  &fleet.Config{Services: map[string]*fleet.Service{"model": {Engine: &fleet.EngineSpec{}}}},
		Targets: map[string][]*fleet.Target{"model": targets},
	}
	n := 0
	changes := stages.PlanAll(v, func([]*fleet.Target) int { return want }, func(string) int { return f.r.IntN(9) },
		func(t *fleet.Target) bool { return changing[t.RunID()] })
	for _, c := range changes {
		for _, t := range f.targets {
			if t.ID == c.Target.ID && f.orders[t] == nil {
				f.orders[t] = &openOrder{stage: c.Stage, plans: 1 + f.r.IntN(4), lost: f.r.IntN(8) == 0}
				n++
			}
		}
	}
	return n
}

// replace puts an engine of another version in the place of one.
func (f *changingFleet) replace(version string) {
	i := f.r.IntN(len(f.targets))
	old := f.targets[i]
	delete(f.orders, old)
	f.replaced++
	next := engine(fmt.Sprint("next", f.replaced), old.DataCentre, fleet.Decode)
	next.Version = version
	f.targets[i] = next
}

// While engines are replaced by those of other versions and orders take long or get lost, no order takes the
// last serving decode engine of a version, not all engines are ordered to prefill, and orders end once nothing
// changes. Guards against versions whose streams have nowhere to go on.
func TestVersionsKeepADecodeEngineWhileOrdersAreOpen(t *testing.T) {
	for _, size := range []int{4, 6, 60, 120} {
		for seed := range uint64(60) {
			is := is.New(t)
			f := &changingFleet{r: rand.New(rand.NewPCG(seed, 1)), orders: make(map[*fleet.Target]*openOrder)}
			versions := 1 + int(seed%4)
			for i := range size {
				e := engine(fmt.Sprint("e", i), fmt.Sprint("dc", i%3), fleet.Decode)
				e.Version = fmt.Sprint("v", i%versions)
				f.targets = append(f.targets, e)
			}
			want := size / 2
			for step := range 80 {
				if step < 40 && f.r.IntN(3) == 0 {
					f.replace(fmt.Sprint("v", f.r.IntN(versions+1)))
				}
				if step < 40 && f.r.IntN(10) == 0 {
					want = f.r.IntN(size + 1)
				}
				_, before := f.serving()
				n := f.step(want)
				engines, after := f.serving()
				decode := 0
				for version := range engines {
					decode += after[version]
					if before[version] > 0 && engines[version] > 1 {
						is.True(after[version] > 0) // a version keeps a decode engine
					}
					if step == 79 && engines[version] > 1 {
						is.True(after[version] > 0) // and one without gets one back
					}
				}
				is.True(decode > 0) // not all prefill
				if step >= 75 {
					is.Equal(n, 0) // orders end
				}
			}
		}
	}
}
