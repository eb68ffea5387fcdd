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
// centre may be cut off from the others. Each software version with two or more engines keeps a decode
// engine, as streams go on only at the version that began them. Leaving engines are not counted. The
// engines with the fewest streams change first.
func Plan(targets []*fleet.Target, want int, load Load) []Change {
	return newPlanner(targets, load, func(*fleet.Target) bool { return false }).plan(targets, want)
}

// plan returns the changes that Plan describes.
func (p *planner) plan(targets []*fleet.Target, want int) []Change {
	out := p.restoreDecode(targets)
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
		if n := p.countPrefill(g); enough && abs(n-part) <= 1 {
			// The data centre differs by the remainder of the division only.
			part = n
		}
		out = append(out, p.planDataCentre(g, part)...)
	}
	return out
}

// PlanAll plans every model service of a view. The function want returns how many engines of a service should
// prefill. The function changing reports whether an engine is still to reach the stage that it has in the view.
func PlanAll(v *fleet.View, want func(targets []*fleet.Target) int, load Load, changing func(t *fleet.Target) bool) []Change {
	if v.Config == nil {
		return nil
	}
	var out []Change
	for _, name := range sortedServices(v) {
		s := v.Config.Services[name]
		if s == nil || s.Engine == nil {
			continue
		}
		targets := v.Targets[name]
		out = append(out, newPlanner(targets, load, changing).plan(targets, want(targets))...)
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

// planner plans the changes of one service's engines.
type planner struct {
	load Load
	// decode is the number of engines of each software version that decode as planned so far, and serving the
	// number of those that have reached that stage already.
	decode, serving map[string]int
	// changing reports whether an engine is still to reach its stage.
	changing func(t *fleet.Target) bool
	// restored holds the engines that are to decode because their version has no other engine that does.
	restored map[*fleet.Target]bool
}

// newPlanner returns a planner that has planned nothing.
func newPlanner(targets []*fleet.Target, load Load, changing func(t *fleet.Target) bool) *planner {
	p := &planner{
		load: load, changing: changing,
		decode: make(map[string]int), serving: make(map[string]int), restored: make(map[*fleet.Target]bool),
	}
	for _, t := range targets {
		if t.Leaving || t.Stage != fleet.Decode {
			continue
		}
		p.decode[t.Version]++
		if !changing(t) {
			p.serving[t.Version]++
		}
	}
	return p
}

// stage returns the stage of an engine after restoreDecode.
func (p *planner) stage(t *fleet.Target) fleet.Stage {
	if p.restored[t] {
		return fleet.Decode
	}
	return t.Stage
}

// countPrefill returns how many of the engines prefill. None of them is leaving.
func (p *planner) countPrefill(group []*fleet.Target) int {
	n := 0
	for _, t := range group {
		if p.stage(t) == fleet.Prefill {
			n++
		}
	}
	return n
}

// restoreDecode returns the changes after which each version with two or more engines has a decode engine.
func (p *planner) restoreDecode(targets []*fleet.Target) []Change {
	prefill := make(map[string][]*fleet.Target)
	for _, t := range targets {
		if !t.Leaving && t.Stage == fleet.Prefill && p.decode[t.Version] == 0 {
			prefill[t.Version] = append(prefill[t.Version], t)
		}
	}
	var out []Change
	for version, engines := range prefill {
		if len(engines) < 2 {
			continue
		}
		t := p.byLoad(engines)[0]
		p.restored[t] = true
		p.decode[version]++
		out = append(out, Change{Target: t, Stage: fleet.Decode})
	}
	return out
}

// byLoad sorts engines by their streams, the fewest first.
func (p *planner) byLoad(engines []*fleet.Target) []*fleet.Target {
	loads := make(map[*fleet.Target]int, len(engines))
	for _, t := range engines {
		loads[t] = p.load(t.RunID())
	}
	sort.SliceStable(engines, func(i, j int) bool { return loads[engines[i]] < loads[engines[j]] })
	return engines
}

// planDataCentre returns the changes after which one data centre has want prefill engines, within
// the limits of minPerStage and of what the versions need. A single engine is never changed.
func (p *planner) planDataCentre(group []*fleet.Target, want int) []Change {
	n := len(group)
	if n < 2 {
		return nil
	}
	want = min(max(want, minPerStage(n)), n-minPerStage(n))
	prefill := p.countPrefill(group)
	from, to := fleet.Decode, fleet.Prefill
	if prefill > want {
		from, to = to, from
	}
	var eligible []*fleet.Target
	for _, t := range group {
		if p.stage(t) == from {
			eligible = append(eligible, t)
		}
	}
	var out []Change
	for _, t := range p.byLoad(eligible) {
		if len(out) == abs(want-prefill) {
			break
		}
		if to == fleet.Prefill && !p.takeDecode(t) {
			continue
		}
		out = append(out, Change{Target: t, Stage: to})
	}
	return out
}

// takeDecode counts a decode engine as one that is to prefill, unless its version needs it: while other versions
// decode, a version keeps an engine that has reached the stage.
func (p *planner) takeDecode(t *fleet.Target) bool {
	serves := !p.restored[t] && !p.changing(t)
	if len(p.decode) > 1 && (p.decode[t.Version] == 1 || serves && p.serving[t.Version] == 1) {
		return false
	}
	p.decode[t.Version]--
	if serves {
		p.serving[t.Version]--
	}
	return true
}

// abs returns the absolute value of n.
func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
