package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Load pattern: a burst of prompts while few engines prefill. Prompts were read in place at the
// decode engines, each as a run that fills a seat, so that the more engines were thought to be
// needed for decoding the fewer there were for reading: 21 to 34 of 57 decoded for few answers.
func TestPromptsReadInPlaceNeedNoDecodeEngine(t *testing.T) {
	is := is.New(t)
	targets := []*fleet.Target{engine("d1", fleet.Decode), engine("d2", fleet.Decode)}
	inPlace := place.Work{Running: 40, Prefills: 40, Prefill: time.Second}
	reads := newPlacer(others{"d1": inPlace, "d2": inPlace}).Decoding(targets, spec, time.Now())
	is.Equal(reads, 0.0)
	runs := place.Work{Running: 40, Streams: 40}
	is.True(newPlacer(others{"d1": runs, "d2": runs}).Decoding(targets, spec, time.Now()) > 1)
}

// Prompts press where they queue at the engines that prefill, or at the VMs, for longer than one
// that is late would be sent for; prompts in place and answers do not.
func TestPromptsPress(t *testing.T) {
	targets := []*fleet.Target{engine("p1", fleet.Prefill), engine("p2", fleet.Prefill), engine("d", fleet.Decode)}
	const objective = 250 * time.Millisecond
	for name, tc := range map[string]struct {
		work    others
		pressed bool
	}{
		"idle":                  {nil, false},
		"one each":              {others{"p1": {Prefill: 36 * time.Millisecond, Prefills: 1}, "p2": {Prefill: 36 * time.Millisecond, Prefills: 1}}, false},
		"queues":                {others{"p1": {Prefill: 200 * time.Millisecond, Prefills: 6}, "p2": {Prefill: 200 * time.Millisecond, Prefills: 6}}, true},
		"deferred at the VMs":   {others{"queue/m": {Prefill: time.Second, Prefills: 30}}, true},
		"read in place, answer": {others{"d": {Prefill: time.Second, Prefills: 30, Running: 40, Streams: 10}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(newPlacer(tc.work).Pressed(targets, objective), tc.pressed)
		})
	}
}
