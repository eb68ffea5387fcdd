// Package stages controls how many model engines prefill and how many decode. One VM at a time
// orders stage changes, under a lease. A tenure is one uninterrupted period in which a VM holds
// the lease, and has a fencing number higher than those of all earlier tenures.
//
// Each order is first written to the journal, which is a set of rows in the store, so that every
// VM stops using the engine and the next lease holder finds the open orders. An order is open
// until the engine shows the ordered stage or is gone, or a timeout has passed.
package stages

import (
	"sort"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Change is one engine's planned change to another stage.
type Change struct {
	Target *fleet.Target
	Stage  fleet.Stage
}

// Load returns how many streams an engine runs, as far as this VM knows. The argument is the run
// id of the engine, as returned by fleet.Target.RunID.
type Load func(engine string) int

// Plan returns the changes after which a service has want prefill engines, spread over the data
// centres in proportion to the number of engines in each. Each data centre with two or more engines
// keeps one engine of each stage, and one with twoPerStageSize or more keeps two of each, as a data
// centre may be cut off from the others. Leaving engines are not counted. The engines with the
// fewest streams change first.
func Plan(targets []*fleet.Target, want int, load Load) []Change {
	var out []Change
	groups := byDataCentre(targets)
	total, prefill := countEngines(targets)
	enough := prefill == want
	for _, g := range groups {
		if total == 0 {
			break
		}
		// Later data centres receive the remainder of the division.
		part := want * len(g) / total
		want, total = want-part, total-len(g)
		if _, n := countEngines(g); enough && abs(n-part) <= 1 {
			// The data centre differs by the remainder of the division only.
			part = n
		}
		out = append(out, planDataCentre(g, part, load)...)
	}
	return out
}

// PlanAll plans every model service of a view. The function want returns how many engines of a
// service should prefill.
func PlanAll(v *fleet.View, want func(targets []*fleet.Target) int, load Load) []Change {
	if v.Config == nil {
		return nil
	}
	var out []Change
	for _, name := range sortedServices(v) {
		s := v.Config.Services[name]
		if s == nil || s.Engine == nil {
			continue
		}
		out = append(out, Plan(v.Targets[name], want(v.Targets[name]), load)...)
	}
	return out
}

// countEngines returns how many engines are not leaving, and how many of these prefill.
func countEngines(targets []*fleet.Target) (staying, prefill int) {
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		staying++
		if t.Stage == fleet.Prefill {
			prefill++
		}
	}
	return staying, prefill
}

// sortedServices returns the names of the services that have targets, in order.
func sortedServices(v *fleet.View) []string {
	names := make([]string, 0, len(v.Targets))
	for name := range v.Targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// byDataCentre groups the engines that are not leaving by data centre, in the order of the data
// centres' names.
func byDataCentre(targets []*fleet.Target) [][]*fleet.Target {
	groups := make(map[string][]*fleet.Target)
	var names []string
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		if groups[t.DataCentre] == nil {
			names = append(names, t.DataCentre)
		}
		groups[t.DataCentre] = append(groups[t.DataCentre], t)
	}
	sort.Strings(names)
	out := make([][]*fleet.Target, 0, len(names))
	for _, name := range names {
		out = append(out, groups[name])
	}
	return out
}

// twoPerStageSize is the minimum number of engines at which a data centre keeps two of each stage:
// one may be lost, or leave, without the data centre losing the stage.
const twoPerStageSize = 4

// minPerStage returns how many engines of each stage a data centre with n engines keeps.
func minPerStage(n int) int {
	if n < twoPerStageSize {
		return 1
	}
	return 2
}

// planDataCentre returns the changes after which one data centre has want prefill engines, within
// the limits of minPerStage. A single engine is never changed.
func planDataCentre(group []*fleet.Target, want int, load Load) []Change {
	n := len(group)
	if n < 2 {
		return nil
	}
	want = min(max(want, minPerStage(n)), n-minPerStage(n))
	prefill := 0
	for _, t := range group {
		if t.Stage == fleet.Prefill {
			prefill++
		}
	}
	from, to := fleet.Decode, fleet.Prefill
	if prefill > want {
		from, to = to, from
	}
	if prefill == want {
		return nil
	}
	type loadedEngine struct {
		target *fleet.Target
		load   int
	}
	var eligible []loadedEngine
	for _, t := range group {
		if t.Stage == from {
			eligible = append(eligible, loadedEngine{t, load(t.RunID())})
		}
	}
	sort.SliceStable(eligible, func(i, j int) bool { return eligible[i].load < eligible[j].load })
	var out []Change
	for _, e := range eligible[:min(abs(want-prefill), len(eligible))] {
		out = append(out, Change{Target: e.target, Stage: to})
	}
	return out
}

// abs returns the absolute value of n.
func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
