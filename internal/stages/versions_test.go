package stages_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/stages"
)

// decodeByVersion returns how many engines of each version decode after changes.
func decodeByVersion(targets []*fleet.Target, changes []stages.Change) map[string]int {
	stage := make(map[*fleet.Target]fleet.Stage)
	for _, t := range targets {
		stage[t] = t.Stage
	}
	for _, c := range changes {
		stage[c.Target] = c.Stage
	}
	out := make(map[string]int)
	for _, t := range targets {
		if stage[t] == fleet.Decode {
			out[t.Version]++
		}
	}
	return out
}

// While versions are replaced, streams go on at their version only. Each version with two or more engines
// keeps one that decodes, also if it has none at first.
func TestEachVersionKeepsADecodeEngine(t *testing.T) {
	is := is.New(t)
	idle := func(string) int { return 0 }
	var targets []*fleet.Target
	for i := range 12 {
		stage, version := fleet.Decode, "v1"
		if i < 6 {
			version = "v2"
		}
		if i == 0 || i == 1 {
			version, stage = "v3", fleet.Prefill
		}
		e := engine(fmt.Sprint("e", i), fmt.Sprint("dc", i%3), stage)
		e.Version = version
		targets = append(targets, e)
	}
	for want := range 13 {
		after := decodeByVersion(targets, stages.Plan(targets, want, idle))
		for _, version := range []string{"v1", "v2", "v3"} {
			is.True(after[version] >= 1)
		}
	}
}
