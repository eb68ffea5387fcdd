package roles

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// The replay runs a policy over a trace of mixes in steps of virtual time. A role
// change takes one step, in which the engine serves no requests. The same seed
// gives the same results.

const (
	stepSeconds = 8.0
	fleetSize   = 12
	// maxChanges is how many engines may change their role in one step. The
	// weight store limits it.
	maxChanges = 2
)

// scenario is what differs between the tables that the replay prints.
type scenario struct {
	// mixedRate is the rate of an engine that does both prefill and decode,
	// relative to a dedicated one.
	mixedRate float64
	// load is the share of the fleet that the work keeps busy.
	load float64
}

// defaultScenario returns the scenario that the goals are set for.
func defaultScenario() scenario { return scenario{mixedRate: 0.8, load: 0.85} }

// trace is a sequence of mixes, one for each step.
type trace struct {
	name        string
	mixes       []Mix
	engineCount func(step int) int
	// reportDelay is how many steps old the observed mix is. Of the reports,
	// each lostEvery-th is lost; zero for none.
	reportDelay, lostEvery int
}

// fullFleet returns the number of engines of a trace in which none is lost.
func fullFleet(int) int { return fleetSize }

// shareTrace makes a trace from the prefill share of each step.
func (c scenario) shareTrace(name string, steps int, share func(i int, rnd *rand.Rand) float64) trace {
	rnd := rand.New(rand.NewPCG(3, 9))
	t := trace{name: name, engineCount: fullFleet}
	for i := range steps {
		s := min(max(share(i, rnd), 0.05), 0.95)
		total := c.load * fleetSize * (1 + 0.05*rnd.NormFloat64())
		t.mixes = append(t.mixes, Mix{Prefill: s * total, Decode: (1 - s) * total})
	}
	return t
}

// traces returns the traces of the replay.
func (c scenario) traces() []trace {
	noise := func(rnd *rand.Rand) float64 { return 0.03 * rnd.NormFloat64() }
	steady := c.shareTrace("steady", 1500, func(_ int, r *rand.Rand) float64 { return 0.39 + noise(r) })
	daily := c.shareTrace("daily_swing", 10800, func(i int, r *rand.Rand) float64 {
		return 0.39*(1+0.5*math.Sin(2*math.Pi*float64(i)/10800)) + noise(r)
	})
	minutes := c.shareTrace("minutes_swing", 1500, func(i int, r *rand.Rand) float64 {
		return 0.39 + 0.2*math.Sin(2*math.Pi*float64(i)/60) + noise(r)
	})
	burst := c.shareTrace("burst", 1500, func(i int, r *rand.Rand) float64 {
		if i >= 700 && i < 760 {
			return 0.75 + noise(r)
		}
		return 0.39 + noise(r)
	})
	alternating := c.shareTrace("alternating", 1500, func(i int, r *rand.Rand) float64 {
		if i/2%2 == 0 {
			return 0.25 + noise(r)
		}
		return 0.55 + noise(r)
	})
	lost := minutes
	lost.name = "engine_lost"
	lost.engineCount = func(i int) int {
		if i >= 500 && i < 900 {
			return fleetSize - 1
		}
		return fleetSize
	}
	late := minutes
	late.name, late.reportDelay, late.lostEvery = "late_reports", 2, 3
	return []trace{steady, daily, minutes, burst, alternating, lost, late}
}

// policy is a way to plan the split.
type policy interface {
	// observe records a mix that was reported.
	observe(m Mix)
	// want returns the split to be in. It is called once each step.
	want(current Split) Split
}

// plannerPolicy is the Planner of this package, recreated when an engine is lost
// or comes back.
type plannerPolicy struct {
	cfg     Config
	planner *Planner
}

func (r *plannerPolicy) observe(m Mix) { r.planner.Observe(m, stepSeconds) }

func (r *plannerPolicy) want(current Split) Split {
	if current.Engines() != r.cfg.Engines {
		r.cfg.Engines = current.Engines()
		r.planner = NewPlanner(r.cfg, current)
	}
	return r.planner.Decide(current).Target
}

// planner returns a function that makes a plannerPolicy for a start split.
func (c scenario) planner(changeCost float64) func(Split) policy {
	return func(s Split) policy {
		cfg := Config{Engines: s.Engines(), Mixed: c.mixedRate, Away: stepSeconds, ChangeCost: changeCost}
		return &plannerPolicy{cfg: cfg, planner: NewPlanner(cfg, s)}
	}
}

// staticPolicy never changes the split.
type staticPolicy struct{}

func (staticPolicy) observe(Mix)              {}
func (staticPolicy) want(current Split) Split { return current }

// greedyPolicy changes to the best split for the last observed mix.
type greedyPolicy struct {
	scenario
	last Mix
}

func (g *greedyPolicy) observe(m Mix) { g.last = m }

func (g *greedyPolicy) want(current Split) Split {
	best := current
	for _, s := range allSplits(current.Engines(), 1) {
		if s.Served(g.last, g.mixedRate) > best.Served(g.last, g.mixedRate)+tolerance {
			best = s
		}
	}
	return best
}

// thresholdPolicy changes the role of one engine when the load of one phase has
// exceeded that of the other by a margin twice in a row.
type thresholdPolicy struct {
	last  Mix
	count int
}

func (t *thresholdPolicy) observe(m Mix) { t.last = m }

func (t *thresholdPolicy) want(current Split) Split {
	const margin = 0.15
	pre := t.last.Prefill / float64(max(current.Prefill, 1))
	dec := t.last.Decode / float64(max(current.Decode, 1))
	dir := 0
	switch {
	case pre > dec*(1+margin) && current.Decode > 1:
		dir = 1
	case dec > pre*(1+margin) && current.Prefill > 1:
		dir = -1
	}
	if dir == 0 || (t.count != 0 && (t.count > 0) != (dir > 0)) {
		t.count = dir
		return current
	}
	t.count += dir
	if t.count < 2 && t.count > -2 {
		return current
	}
	t.count = 0
	return Split{Prefill: current.Prefill + dir, Decode: current.Decode - dir}
}

// replayResult is the work served in engine-seconds and the number of role
// changes of one policy.
type replayResult struct {
	goodput float64
	changes int
}

// startSplit returns a split that suits the mean mix.
func startSplit() Split { return Split{Prefill: 5, Decode: 7} }

// replay runs a policy over a trace. The policy observes only the reported mixes.
func (c scenario) replay(t trace, make func(Split) policy) replayResult {
	current := startSplit()
	r := make(current)
	var out replayResult
	for i, m := range t.mixes {
		if n := t.engineCount(i); n != current.Engines() {
			current = resize(current, n)
		}
		seen := i - 1 - t.reportDelay
		if seen >= 0 && (t.lostEvery == 0 || i%t.lostEvery != 0) {
			r.observe(t.mixes[seen])
		}
		next := limitChanges(current, r.want(current))
		out.goodput += c.servedDuring(current, next, m)
		out.changes += current.Changes(next)
		current = next
	}
	return out
}

// servedDuring returns the work served in one step, in engine-seconds, while the
// engines change from one split to another. Those that change serve nothing.
func (c scenario) servedDuring(from, to Split, m Mix) float64 {
	kept := Split{
		Prefill: min(from.Prefill, to.Prefill), Decode: min(from.Decode, to.Decode), Both: min(from.Both, to.Both),
	}
	return kept.Served(m, c.mixedRate) * m.Total() * stepSeconds
}

// resize returns the split with n engines. It removes engines from the larger of
// the two roles, or adds engines that decode.
func resize(s Split, n int) Split {
	for s.Engines() > n {
		if s.Decode >= s.Prefill {
			s.Decode--
		} else {
			s.Prefill--
		}
	}
	for s.Engines() < n {
		s.Decode++
	}
	return s
}

// limitChanges returns the split after at most maxChanges changes from one split
// towards another.
func limitChanges(from, to Split) Split {
	for range maxChanges {
		take, give, ok := NextChange(from, to)
		if !ok {
			return from
		}
		from = from.add(take, -1).add(give, 1)
	}
	return from
}

// hindsightGoodput returns the best goodput of any plan that knows the whole
// trace, by dynamic programming over the splits with the same limit on changes.
func (c scenario) hindsightGoodput(t trace) float64 {
	n := t.engineCount(0)
	splits := allSplits(n, 1)
	best := initialValues(splits, startSplit())
	for i, m := range t.mixes {
		if t.engineCount(i) != n {
			n = t.engineCount(i)
			splits, best = resizeValues(splits, best, n)
		}
		next := make([]float64, len(splits))
		for k := range next {
			next[k] = math.Inf(-1)
		}
		for j, from := range splits {
			if math.IsInf(best[j], -1) {
				continue
			}
			for k, to := range splits {
				if from.Changes(to) <= maxChanges {
					next[k] = max(next[k], best[j]+c.servedDuring(from, to, m))
				}
			}
		}
		best = next
	}
	most := math.Inf(-1)
	for _, v := range best {
		most = max(most, v)
	}
	return most
}

// initialValues returns the value of each split before the first step: zero for
// the start and minus infinity for the others.
func initialValues(splits []Split, start Split) []float64 {
	best := make([]float64, len(splits))
	for i, s := range splits {
		best[i] = math.Inf(-1)
		if s == start {
			best[i] = 0
		}
	}
	return best
}

// resizeValues returns the splits of n engines, and their values carried over
// from the splits of another number of engines.
func resizeValues(splits []Split, best []float64, n int) ([]Split, []float64) {
	out := allSplits(n, 1)
	values := make([]float64, len(out))
	for k := range values {
		values[k] = math.Inf(-1)
	}
	for j, s := range splits {
		to := resize(s, n)
		for k, o := range out {
			if o == to {
				values[k] = max(values[k], best[j])
			}
		}
	}
	return out, values
}

// The additional cost of one role change that each of the two organisations sets,
// in seconds of one engine's goodput.
const (
	malabarChangeCost     = 0
	associationChangeCost = 60
)

// namedPolicy makes a policy for a start split; name appears in the figures.
type namedPolicy struct {
	name string
	make func(Split) policy
}

// policies returns the planner of the two organisations and the baselines.
func (c scenario) policies() []namedPolicy {
	return []namedPolicy{
		{"malabar", c.planner(malabarChangeCost)},
		{"association", c.planner(associationChangeCost)},
		{"static", func(Split) policy { return staticPolicy{} }},
		{"greedy", func(Split) policy { return &greedyPolicy{scenario: c} }},
		{"threshold", func(Split) policy { return &thresholdPolicy{} }},
	}
}

// BenchmarkFigures prints the results of all replays for "make bench".
func BenchmarkFigures(b *testing.B) {
	for b.Loop() {
		printTable()
	}
}

// printTable prints the default scenario, the goals and three other scenarios.
func printTable() {
	total, bound := defaultScenario().table("roles")
	fmt.Printf("figure malabar_goodput_vs_hindsight %.4f ratio\n", total["malabar"].goodput/bound)
	fmt.Printf("figure association_goodput_vs_hindsight %.4f ratio\n", total["association"].goodput/bound)
	fmt.Printf("figure association_changes_vs_greedy %.4f ratio\n", float64(total["association"].changes)/float64(total["greedy"].changes))
	// These scenarios show how much of the result is due to engines that do both
	// well, and how much to spare capacity.
	scenario{mixedRate: 0.5, load: 0.85}.table("roles_mixed0.5")
	scenario{mixedRate: 0.8, load: 0.97}.table("roles_busy0.97")
	scenario{mixedRate: 0.5, load: 0.97}.table("roles_mixed0.5_busy0.97")
}

// table prints the result of every policy on every trace. It returns each
// policy's sums over the traces and the sum of the goodput in hindsight.
func (c scenario) table(prefix string) (map[string]replayResult, float64) {
	total := map[string]replayResult{}
	bound := 0.0
	for _, t := range c.traces() {
		best := c.hindsightGoodput(t)
		bound += best
		for _, r := range c.policies() {
			got := c.replay(t, r.make)
			sum := total[r.name]
			total[r.name] = replayResult{goodput: sum.goodput + got.goodput, changes: sum.changes + got.changes}
			fmt.Printf("figure %s_%s_%s_goodput %.4f of hindsight, %d changes\n", prefix, t.name, r.name, got.goodput/best, got.changes)
		}
	}
	for _, r := range c.policies() {
		fmt.Printf("figure %s_all_%s_goodput %.4f of hindsight, %d changes\n", prefix, r.name, total[r.name].goodput/bound, total[r.name].changes)
	}
	return total, bound
}
