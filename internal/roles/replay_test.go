package roles

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// The replay runs a rule over a recorded mix in steps of virtual time. A
// change takes one step, in which the engine serves nobody. The same seed
// gives the same figures.

const (
	stepSeconds = 8.0
	replayFleet = 12
	// maxChanges is how many engines may change at once, by the weight store.
	maxChanges = 2
)

// setting is what differs between tables of the replay.
type setting struct {
	// mixed is the rate of an engine that does both.
	mixed float64
	// busy is the share of the fleet that the work keeps busy.
	busy float64
}

// usual is the setting of the goals.
func usual() setting { return setting{mixed: 0.8, busy: 0.85} }

// trace is a recorded mix.
type trace struct {
	name    string
	mixes   []Mix
	engines func(step int) int
	// lag is how many steps old the observed mix is; every missing-th report
	// does not come.
	lag, missing int
}

func constantFleet(int) int { return replayFleet }

// shareTrace makes a trace from the prefill share of each step.
func (c setting) shareTrace(name string, steps int, share func(i int, rnd *rand.Rand) float64) trace {
	rnd := rand.New(rand.NewPCG(3, 9))
	t := trace{name: name, engines: constantFleet}
	for i := range steps {
		s := min(max(share(i, rnd), 0.05), 0.95)
		total := c.busy * replayFleet * (1 + 0.05*rnd.NormFloat64())
		t.mixes = append(t.mixes, Mix{Prefill: s * total, Decode: (1 - s) * total})
	}
	return t
}

func (c setting) traces() []trace {
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
	lost.engines = func(i int) int {
		if i >= 500 && i < 900 {
			return replayFleet - 1
		}
		return replayFleet
	}
	late := minutes
	late.name, late.lag, late.missing = "late_reports", 2, 3
	return []trace{steady, daily, minutes, burst, alternating, lost, late}
}

// rule is a way to plan. It is asked once a step.
type rule interface {
	observe(m Mix)
	want(current Split) Split
}

type planned struct {
	cfg Config
	p   *Planner
}

func (r *planned) observe(m Mix) { r.p.Observe(m, stepSeconds) }

func (r *planned) want(current Split) Split {
	if current.Engines() != r.cfg.Engines {
		r.cfg.Engines = current.Engines()
		r.p = NewPlanner(r.cfg, current)
	}
	return r.p.Decide(current).Target
}

func (c setting) planner(changeCost float64) func(Split) rule {
	return func(s Split) rule {
		cfg := Config{Engines: s.Engines(), Mixed: c.mixed, Away: stepSeconds, ChangeCost: changeCost}
		return &planned{cfg: cfg, p: NewPlanner(cfg, s)}
	}
}

type static struct{}

func (static) observe(Mix)              {}
func (static) want(current Split) Split { return current }

// greedy goes to the best split for the mix last seen.
type greedy struct {
	setting
	last Mix
}

func (g *greedy) observe(m Mix) { g.last = m }

func (g *greedy) want(current Split) Split {
	best := current
	for _, s := range allSplits(current.Engines(), 1) {
		if s.Served(g.last, g.mixed) > best.Served(g.last, g.mixed)+tolerance {
			best = s
		}
	}
	return best
}

// threshold moves one engine when a phase's load has differed from the other's
// by a margin twice in a row.
type threshold struct {
	last  Mix
	count int
}

func (t *threshold) observe(m Mix) { t.last = m }

func (t *threshold) want(current Split) Split {
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

type result struct {
	goodput float64
	changes int
}

// startSplit suits the mean mix.
func startSplit() Split { return Split{Prefill: 5, Decode: 7} }

// run replays a trace. The rule sees only what was reported.
func (c setting) run(t trace, make func(Split) rule) result {
	current := startSplit()
	r := make(current)
	var out result
	for i, m := range t.mixes {
		if n := t.engines(i); n != current.Engines() {
			current = resize(current, n)
		}
		seen := i - 1 - t.lag
		if seen >= 0 && (t.missing == 0 || i%t.missing != 0) {
			r.observe(t.mixes[seen])
		}
		next := limitChanges(current, r.want(current))
		out.goodput += c.served(current, next, m)
		out.changes += current.Changes(next)
		current = next
	}
	return out
}

// served is the work done in one step on the way from one split to the next:
// the engines that change are away.
func (c setting) served(from, to Split, m Mix) float64 {
	kept := Split{
		Prefill: min(from.Prefill, to.Prefill), Decode: min(from.Decode, to.Decode), Both: min(from.Both, to.Both),
	}
	return kept.Served(m, c.mixed) * m.Total() * stepSeconds
}

// resize takes away or adds one engine, where there are most.
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

func limitChanges(from, to Split) Split {
	for range maxChanges {
		take, give, ok := Step(from, to)
		if !ok {
			return from
		}
		from = from.with(take, -1).with(give, 1)
	}
	return from
}

// hindsight is the best goodput of any plan that knew the whole trace, by
// dynamic programming over the splits under the same limits.
func (c setting) hindsight(t trace) float64 {
	n := t.engines(0)
	splits := allSplits(n, 1)
	best := initial(splits, startSplit())
	for i, m := range t.mixes {
		if t.engines(i) != n {
			n = t.engines(i)
			splits, best = resized(splits, best, n)
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
					next[k] = max(next[k], best[j]+c.served(from, to, m))
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

func initial(splits []Split, start Split) []float64 {
	best := make([]float64, len(splits))
	for i, s := range splits {
		best[i] = math.Inf(-1)
		if s == start {
			best[i] = 0
		}
	}
	return best
}

// resized carries the values over to another number of engines.
func resized(splits []Split, best []float64, n int) ([]Split, []float64) {
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

// The settings of the two organisations: seconds of one engine's goodput that
// one change costs on top.
const (
	malabarChangeCost     = 0
	associationChangeCost = 60
)

type namedRule struct {
	name string
	make func(Split) rule
}

func (c setting) rules() []namedRule {
	return []namedRule{
		{"malabar", c.planner(malabarChangeCost)},
		{"association", c.planner(associationChangeCost)},
		{"static", func(Split) rule { return static{} }},
		{"greedy", func(Split) rule { return &greedy{setting: c} }},
		{"threshold", func(Split) rule { return &threshold{} }},
	}
}

// BenchmarkFigures prints the whole table of the replay for "make bench".
func BenchmarkFigures(b *testing.B) {
	for b.Loop() {
		printTable()
	}
}

func printTable() {
	total, bound := usual().table("roles")
	fmt.Printf("figure malabar_goodput_vs_hindsight %.4f ratio\n", total["malabar"].goodput/bound)
	fmt.Printf("figure association_goodput_vs_hindsight %.4f ratio\n", total["association"].goodput/bound)
	fmt.Printf("figure association_changes_vs_greedy %.4f ratio\n", float64(total["association"].changes)/float64(total["greedy"].changes))
	// How much the result owes to engines that do both well, and to spare
	// capacity.
	setting{mixed: 0.5, busy: 0.85}.table("roles_mixed0.5")
	setting{mixed: 0.8, busy: 0.97}.table("roles_busy0.97")
	setting{mixed: 0.5, busy: 0.97}.table("roles_mixed0.5_busy0.97")
}

// table prints every rule on every trace and returns the sums.
func (c setting) table(prefix string) (map[string]result, float64) {
	total := map[string]result{}
	bound := 0.0
	for _, t := range c.traces() {
		best := c.hindsight(t)
		bound += best
		for _, r := range c.rules() {
			got := c.run(t, r.make)
			sum := total[r.name]
			total[r.name] = result{goodput: sum.goodput + got.goodput, changes: sum.changes + got.changes}
			fmt.Printf("figure %s_%s_%s_goodput %.4f of hindsight, %d changes\n", prefix, t.name, r.name, got.goodput/best, got.changes)
		}
	}
	for _, r := range c.rules() {
		fmt.Printf("figure %s_all_%s_goodput %.4f of hindsight, %d changes\n", prefix, r.name, total[r.name].goodput/bound, total[r.name].changes)
	}
	return total, bound
}
