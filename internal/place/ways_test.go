package place_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// policy is a rule for choosing an engine on stale reports.
type policy struct {
	name string
	// spreads uses the rule of this package with the true age of the reports. Otherwise the
	// cheapest of the selected engines is chosen.
	spreads       bool
	selectEngines engineSelector
}

// policies returns the policies to compare. Each call returns policies that work out the session
// engines anew.
func policies() []policy {
	return []policy{
		{name: "cheapest"},
		{name: "cheapest_of_two", selectEngines: twoAtRandom},
		{name: "cheapest_of_two_homes", selectEngines: sessionEngines(2)},
		{name: "cheapest_of_four_homes", selectEngines: sessionEngines(4)},
		{name: "levels", spreads: true},
	}
}

// twoAtRandom selects two random prefill engines and the decode engine.
func twoAtRandom(f *fleetSim, _ uint64) []*fleet.Target {
	last := len(f.engines) - 1
	return []*fleet.Target{f.engines[f.random.IntN(last)], f.engines[f.random.IntN(last)], f.engines[last]}
}

// sessionEngines selects the first n prefill engines for a session by rendezvous hashing, the same
// on all VMs, and the decode engine.
func sessionEngines(n int) engineSelector {
	bySession := make(map[uint64][]*fleet.Target)
	return func(f *fleetSim, session uint64) []*fleet.Target {
		if bySession[session] == nil {
			last := len(f.engines) - 1
			engines := slices.Clone(f.engines[:last])
			slices.SortFunc(engines, func(a, b *fleet.Target) int { return cmp.Compare(sessionRank(a, session), sessionRank(b, session)) })
			bySession[session] = append(engines[:n:n], f.engines[last])
		}
		return bySession[session]
	}
}

// sessionRank is the rank of a target among the engines of a session. It comes from a random
// generator: plain sums of ids that differ in their last digit would prefer the same targets for
// all sessions.
func sessionRank(t *fleet.Target, session uint64) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(t.ID))
	return rand.NewPCG(session, h.Sum64()).Uint64()
}

// fleetSizes are numbers of VMs, with the age of what they know of each other. The ages follow from
// the intervals of reports, summaries and digests.
var fleetSizes = []struct {
	vms int
	age time.Duration
}{{24, 10 * time.Millisecond}, {100, 40 * time.Millisecond}, {295, 60 * time.Millisecond}, {410, 80 * time.Millisecond}}

// BenchmarkFigures prints for each policy and size the share of the prompts that were prefilled
// after 250 ms, and the cached tokens of each prompt, of 6,200 shared ones. There is one engine for
// every three VMs. Each engine is sent 45 prompts per second, 0.5 of what it can prefill if it has
// all shared parts cached.
func BenchmarkFigures(b *testing.B) {
	const steps, perSecond = 300, 45
	for _, size := range fleetSizes {
		for _, p := range policies() {
			engines := size.vms / 3
			assumedAge := time.Duration(0)
			if p.spreads {
				assumedAge = size.age
			}
			f := newFleetSimOf(b, size.vms, engines, size.age, assumedAge)
			f.selectEngines = p.selectEngines
			f.run(steps, int(perSecond*float64(engines)*simStep.Seconds()))
			fmt.Printf("figure placement_%d_vms_%s_late %.3f share\n", size.vms, p.name, f.lateShare(simObjective))
			fmt.Printf("figure placement_%d_vms_%s_cached %d tokens\n", size.vms, p.name, f.cachedTokens/len(f.waits))
		}
	}
}
