// Package stages keeps the model engines' stages as planned: how many prefill
// and how many decode. One VM at a time orders changes, under a lease; each
// order is journalled in the store first, so that every VM stops using the
// engine and a successor finds what stands open.
package stages

import (
	"sort"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Change is one engine that is to change its stage.
type Change struct {
	Target *fleet.Target
	Stage  fleet.Stage
}

// Load says how many long answers an engine runs, as far as this VM knows.
type Load func(engine string) int

// Plan returns the changes that bring the engines of a service to the number of
// prefill engines wanted, dealt to the data centres by their size. Each data
// centre with two engines or more keeps one of each stage, and one with four or more
// keeps two, as it may be cut off. Engines that leave are not counted; those with the fewest streams are
// changed first.
func Plan(targets []*fleet.Target, want int, load Load) []Change {
	var out []Change
	groups := byDataCentre(targets)
	total := 0
	for _, g := range groups {
		total += len(g)
	}
	for _, g := range groups {
		if total == 0 {
			break
		}
		// The rest of the division goes to the data centres dealt last.
		part := want * len(g) / total
		want, total = want-part, total-len(g)
		out = append(out, planGroup(g, part, load)...)
	}
	return out
}

// PlanAll plans each model service of a view; want says how many of a service's
// engines are to prefill.
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

// count returns how many engines stay, and how many of them prefill.
func count(targets []*fleet.Target) (staying, prefill int) {
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

func sortedServices(v *fleet.View) []string {
	names := make([]string, 0, len(v.Targets))
	for name := range v.Targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

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

// keepTwoFrom is the size of a data centre from which two engines of each stage stay:
// one may be lost, or leave, without the data centre losing the stage.
const keepTwoFrom = 4

// kept is how many engines of each stage stay of a data centre's n.
func kept(n int) int {
	if n < keepTwoFrom {
		return 1
	}
	return 2
}

// planGroup plans the engines of one data centre.
func planGroup(group []*fleet.Target, want int, load Load) []Change {
	n := len(group)
	if n < 2 {
		return nil
	}
	want = min(max(want, kept(n)), n-kept(n))
	have := 0
	for _, t := range group {
		if t.Stage == fleet.Prefill {
			have++
		}
	}
	from, to := fleet.Decode, fleet.Prefill
	if have > want {
		from, to = to, from
	}
	var candidates []*fleet.Target
	for _, t := range group {
		if t.Stage == from {
			candidates = append(candidates, t)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return load(candidates[i].RunID()) < load(candidates[j].RunID()) })
	var out []Change
	for _, t := range candidates[:min(abs(want-have), len(candidates))] {
		out = append(out, Change{Target: t, Stage: to})
	}
	return out
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
