package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// remaining returns the ids of the targets that have not been tried.
func remaining(targets []*fleet.Target, tried place.Tried) []string {
	var ids []string
	for _, t := range targets {
		if !tried[t.ID] {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// Requests that are suspected of crashing their targets are sent to different ones: each key
// selects one target that runs requests, always the same, and the keys are spread over all such
// targets. Targets that were tried, are leaving, only prefill or cannot be reached are never
// selected.
func TestSuspectRequestsGetDifferentTargets(t *testing.T) {
	is := is.New(t)
	p := newPlacer(peerWork{})
	targets := []*fleet.Target{engine("prefill", fleet.Prefill), engine("tried", fleet.Decode), engine("down", fleet.Decode)}
	leaving := engine("leaving", fleet.Decode)
	leaving.Leaving = true
	targets = append(targets, leaving)
	for i := range 6 {
		targets = append(targets, engine(fmt.Sprint("d", i), fleet.Decode))
	}
	p.NoteUnreachable("down", time.Now())
	tried := place.Tried{"tried": true}
	chosen := make(map[string]int)
	for i := range 300 {
		key := []byte(fmt.Sprint("key", i))
		ids := remaining(targets, p.AllButOne(targets, tried, key))
		is.Equal(len(ids), 1)
		is.Equal(remaining(targets, p.AllButOne(targets, tried, key)), ids)
		chosen[ids[0]]++
	}
	is.Equal(len(chosen), 6)
	is.Equal(len(tried), 1) // AllButOne does not change its argument
	unusable := targets[:4]
	is.Equal(len(remaining(unusable, p.AllButOne(unusable, tried, []byte("key")))), 0)
}
