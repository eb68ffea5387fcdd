package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// left returns the targets that are still to be asked.
func left(targets []*fleet.Target, tried place.Tried) []string {
	var ids []string
	for _, t := range targets {
		if !tried[t.ID] {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// Each key has one target that runs requests, the same each time, and keys are spread over all;
// targets that were tried, leave, only read prompts or cannot be reached are none.
func TestEachSuspectHasATargetOfItsOwn(t *testing.T) {
	is := is.New(t)
	p := newPlacer(others{})
	targets := []*fleet.Target{engine("read", fleet.Prefill), engine("tried", fleet.Decode), engine("down", fleet.Decode)}
	leaving := engine("leaving", fleet.Decode)
	leaving.Leaving = true
	targets = append(targets, leaving)
	for i := range 6 {
		targets = append(targets, engine(fmt.Sprint("d", i), fleet.Decode))
	}
	p.Unreachable("down", time.Now())
	tried := place.Tried{"tried": true}
	chosen := make(map[string]int)
	for i := range 300 {
		key := []byte(fmt.Sprint("key", i))
		ids := left(targets, p.AllButOne(targets, tried, key))
		is.Equal(len(ids), 1)
		is.Equal(left(targets, p.AllButOne(targets, tried, key)), ids)
		chosen[ids[0]]++
	}
	is.Equal(len(chosen), 6)
	is.Equal(len(tried), 1) // it is left as it was
	unsuited := targets[:4]
	is.Equal(len(left(unsuited, p.AllButOne(unsuited, tried, []byte("key")))), 0)
}
