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

// way chooses an engine on old knowledge.
type way struct {
	name string
	// levels has the product's rule, with the age of what is known; else the cheapest of
	// the candidates is chosen.
	levels bool
	among  candidates
}

// ways are compared; homes are worked out for each crowd anew.
func ways() []way {
	return []way{
		{name: "cheapest"},
		{name: "cheapest_of_two", among: twoAtRandom},
		{name: "cheapest_of_two_homes", among: homesOf(2)},
		{name: "cheapest_of_four_homes", among: homesOf(4)},
		{name: "levels", levels: true},
	}
}

// twoAtRandom returns two engines that read, and the one that goes on.
func twoAtRandom(c *crowd, _ uint64) []*fleet.Target {
	readers := len(c.engines) - 1
	return []*fleet.Target{c.engines[c.random.IntN(readers)], c.engines[c.random.IntN(readers)], c.engines[readers]}
}

// homesOf returns the engines that come first for a session by rendezvous hashing, the same
// on all VMs, and the one that goes on.
func homesOf(n int) candidates {
	homes := make(map[uint64][]*fleet.Target)
	return func(c *crowd, session uint64) []*fleet.Target {
		if homes[session] == nil {
			last := len(c.engines) - 1
			readers := slices.Clone(c.engines[:last])
			slices.SortFunc(readers, func(a, b *fleet.Target) int { return cmp.Compare(weight(a, session), weight(b, session)) })
			homes[session] = append(readers[:n:n], c.engines[last])
		}
		return homes[session]
	}
}

// weight is a target's place among a session's homes. A generator spreads it: plain sums of
// ids that differ in their last digit would favour the same targets for all sessions.
func weight(t *fleet.Target, session uint64) uint64 {
	h := fnv.New64a()
	// A hash's Write returns no error.
	_, _ = h.Write([]byte(t.ID))
	return rand.NewPCG(session, h.Sum64()).Uint64()
}

// sizes are groups of VMs, with the age of what they know of each other, worked out from the
// intervals of reports, summaries and digests.
var sizes = []struct {
	vms int
	age time.Duration
}{{24, 10 * time.Millisecond}, {100, 40 * time.Millisecond}, {295, 60 * time.Millisecond}, {410, 80 * time.Millisecond}}

// BenchmarkFigures prints, for each way and size, the part of the prompts that were read
// after 250 ms, and the tokens found cached of each prompt's 6,200 shared ones. There is an
// engine for three VMs; prompts come 45 a second and engine, 0.5 of what it reads where it
// holds all shared parts.
func BenchmarkFigures(b *testing.B) {
	const steps, perSecond = 300, 45
	for _, size := range sizes {
		for _, w := range ways() {
			engines := size.vms / 3
			told := time.Duration(0)
			if w.levels {
				told = size.age
			}
			c := newCrowdOf(b, size.vms, engines, size.age, told)
			c.among = w.among
			c.run(steps, int(perSecond*float64(engines)*crowdStep.Seconds()))
			fmt.Printf("figure placement_%d_vms_%s_late %.3f share\n", size.vms, w.name, c.late(crowdObjective))
			fmt.Printf("figure placement_%d_vms_%s_cached %d tokens\n", size.vms, w.name, c.cached/len(c.waits))
		}
	}
}
