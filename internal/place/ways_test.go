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

// policy is a rule for choosing an engine based on stale reports.
type policy struct {
	name string
	// spreads is set if the placers are told the true age of the reports, so that they spread their
	// prompts over the engines. Otherwise they choose the cheapest engine.
	spreads bool
	// selectEngines returns the engines to choose from; nil selects all.
	selectEngines engineSelector
}

// policies returns the policies to compare. It must be called anew for each simulation, because a
// selector that sessionEngines returns remembers the targets of one simulation.
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

// sessionEngines returns a selector that chooses n prefill engines for a session by rendezvous
// hashing, so that they are the same on all VMs, and adds the decode engine.
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

// sessionRank returns a number that differs by target and session. The targets with the smallest
// numbers are the engines of the session. The number comes from a random generator: sums of hashes
// of ids that differ only in their last digit would prefer the same targets for all sessions.
func sessionRank(t *fleet.Target, session uint64) uint64 {
	h := fnv.New64a()
	// The Write method of a hash never returns an error.
	_, _ = h.Write([]byte(t.ID))
	return rand.NewPCG(session, h.Sum64()).Uint64()
}

// fleetSizes holds numbers of VMs with the age of their reports on each other's work. The ages
// follow from the intervals at which VMs send reports, summaries and digests.
var fleetSizes = []struct {
	vms int
	age time.Duration
}{{24, 10 * time.Millisecond}, {100, 40 * time.Millisecond}, {295, 60 * time.Millisecond}, {410, 80 * time.Millisecond}}

// BenchmarkFigures prints for each policy and fleet size the fraction of the prompts whose prefill
// ended more than 250 ms after their arrival, and the mean number of a prompt's 6,200 shared tokens
// that were cached. There is one prefill engine for every three VMs. On average an engine is sent
// 45 prompts per second, half of what it can prefill if it has all shared parts cached.
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
