// Package stages keeps the model engines' stages as planned: how many prefill
// and how many decode. One VM at a time orders changes, under a lease; each
// order is journalled in the store first, so that every VM stops using the
// engine and a successor finds what stands open.
package stages

import (
	"math"
	"sort"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Change is one engine that is to change its stage.
type Change struct {
	Target *fleet.Target
	Stage  fleet.Stage
}

// Plan returns the changes that bring each service's engines to the share of
// prefill engines in each data centre. Each data centre with two engines or
// more keeps one of each stage, as it may be cut off. Engines that leave are
// not counted.
func Plan(v *fleet.View, share float64) []Change {
	if v.Config == nil {
		return nil
	}
	var out []Change
	for _, name := range sortedServices(v) {
		s := v.Config.Services[name]
		if s == nil || s.Engine == nil {
			continue
		}
		for _, group := range byDataCentre(v.Targets[name]) {
			out = append(out, planGroup(group, share)...)
		}
	}
	return out
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

// planGroup plans the engines of one data centre; they are in order of id, so
// that every VM plans the same.
func planGroup(group []*fleet.Target, share float64) []Change {
	n := len(group)
	if n < 2 {
		return nil
	}
	want := min(max(int(math.Round(share*float64(n))), 1), n-1)
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
	var out []Change
	for _, t := range group {
		if have == want {
			break
		}
		if t.Stage != from {
			continue
		}
		out = append(out, Change{Target: t, Stage: to})
		if have < want {
			have++
		} else {
			have--
		}
	}
	return out
}
