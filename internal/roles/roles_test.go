package roles

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestServed(t *testing.T) {
	cases := []struct {
		name  string
		split Split
		mix   Mix
		want  float64
	}{
		{"enough of each", Split{Prefill: 4, Decode: 8}, Mix{3, 7}, 1},
		{"too little prefill", Split{Prefill: 2, Decode: 8}, Mix{4, 4}, 0.5},
		{"too little decode", Split{Prefill: 4, Decode: 2}, Mix{2, 4}, 0.5},
		{"both help where needed", Split{Prefill: 2, Decode: 8, Both: 2}, Mix{3.5, 4}, 1},
		{"both at their lower rate", Split{Both: 10}, Mix{5, 5}, 0.8},
		{"no work", Split{Both: 1}, Mix{}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := c.split.Served(c.mix, 0.8)
			is.True(got > c.want-1e-9 && got < c.want+1e-9)
		})
	}
}

func TestStepNeverTakesTheLastEngine(t *testing.T) {
	is := is.New(t)
	_, _, ok := NextChange(Split{Prefill: 1, Decode: 3}, Split{Prefill: 0, Decode: 3, Both: 1})
	is.True(!ok) // no engine would do prefill during the change
	take, give, ok := NextChange(Split{Prefill: 2, Decode: 3}, Split{Prefill: 1, Decode: 4})
	is.True(ok)
	is.Equal(take, RolePrefill)
	is.Equal(give, RoleDecode)
	_, _, ok = NextChange(Split{Both: 1}, Split{Prefill: 1})
	is.True(!ok)
}

// Single steps lead from any split to any other, unless one is refused, and
// during each step at least one engine does prefill and one does decode.
func TestStepsReachTheTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := allSplits(rapid.IntRange(3, 12).Draw(rt, "n"), 1)
		from := rapid.SampledFrom(all).Draw(rt, "from")
		to := rapid.SampledFrom(all).Draw(rt, "to")
		want := from.Changes(to)
		for i := range want {
			take, give, ok := NextChange(from, to)
			if !ok {
				return
			}
			if !from.add(take, -1).Usable() {
				rt.Fatalf("step %d from %+v leaves no engine for prefill or decode", i, from)
			}
			from = from.add(take, -1).add(give, 1)
		}
		if from != to {
			rt.Fatalf("%d steps lead to %+v, not %+v", want, from, to)
		}
	})
}

// Noise around a mix that the split serves causes no role change.
func TestNoiseCausesNoChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := Split{Prefill: 5, Decode: 7}
		p := NewPlanner(Config{Engines: 12, Mixed: 0.8, Away: 8, ChangeCost: 0}, s)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			pre := rapid.Float64Range(3.5, 4.9).Draw(rt, "prefill")
			p.Observe(Mix{Prefill: pre, Decode: 10 - pre}, 8)
			if d := p.Decide(s); d.Target != s {
				rt.Fatalf("changed to %+v with regret %g", d.Target, d.Regret)
			}
		}
	})
}

// A lasting shift of the mix changes the split once the regret has reached the
// cost of the change, sooner if a change costs less.
func TestLastingShiftChangesSplit(t *testing.T) {
	is := is.New(t)
	steps := func(changeCost float64) int {
		s := Split{Prefill: 5, Decode: 7}
		p := NewPlanner(Config{Engines: 12, Mixed: 0.8, Away: 8, ChangeCost: changeCost}, s)
		for i := 1; i < 1000; i++ {
			p.Observe(Mix{Prefill: 7, Decode: 3}, 1)
			if d := p.Decide(s); d.Target != s {
				is.True(d.Target.Prefill+d.Target.Both > 5)
				is.True(d.Regret >= d.Cost-tolerance)
				is.True(len(d.Options) > 1)
				return i
			}
		}
		return -1
	}
	quick, slow := steps(0), steps(60)
	is.True(quick > 0 && slow > quick)
}

// A large fleet is planned in groups, which bounds the number of splits.
func TestLargeFleet(t *testing.T) {
	is := is.New(t)
	s := Split{Prefill: 80, Decode: 137}
	p := NewPlanner(Config{Engines: 217, Mixed: 0.8, Away: 8}, s)
	is.True(len(p.splits) <= (maxGroups+2)*(maxGroups+2)/2)
	for range 50 {
		p.Observe(Mix{Prefill: 120, Decode: 60}, 8)
	}
	is.True(p.Decide(s).Target.Prefill > 80)
}

func BenchmarkObserve(b *testing.B) {
	p := NewPlanner(Config{Engines: 217, Mixed: 0.8, Away: 8}, Split{Prefill: 80, Decode: 137})
	for b.Loop() {
		p.Observe(Mix{Prefill: 120, Decode: 60}, 8)
	}
}

// The goals of the two organisations are met on three of the traces, and the same
// seed gives the same results.
func TestReplayGoals(t *testing.T) {
	is := is.New(t)
	c := defaultScenario()
	bound, sums := 0.0, map[string]replayResult{}
	for _, tr := range c.traces()[2:5] { // only three, as the others take long
		bound += c.hindsightGoodput(tr)
		for _, r := range c.policies() {
			got := c.replay(tr, r.make)
			is.Equal(got, c.replay(tr, r.make))
			sum := sums[r.name]
			sums[r.name] = replayResult{sum.goodput + got.goodput, sum.changes + got.changes}
		}
	}
	is.True(sums["malabar"].goodput >= 0.95*bound)
	for _, baseline := range []string{"static", "greedy", "threshold"} {
		is.True(sums["malabar"].goodput > sums[baseline].goodput)
	}
	is.True(sums["association"].goodput >= 0.9*bound)
	is.True(3*sums["association"].changes <= sums["greedy"].changes)
}
