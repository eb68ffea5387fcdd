package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Guards against counting prefills in place as decode load. During a burst of prompts, while few
// engines prefill, prompts are prefilled in place at the decode engines. When each of them counted
// as a running request that fills a seat, more engines seemed to be needed for decoding, and still
// fewer were left to prefill: 21 to 34 of the 57 engines were decode engines with little to decode.
func TestInPlacePrefillsAreNotDecodeLoad(t *testing.T) {
	is := is.New(t)
	targets := []*fleet.Target{engine("d1", fleet.Decode), engine("d2", fleet.Decode)}
	inPlace := place.Work{Running: 40, Prefills: 40, Prefill: time.Second}
	prefillLoad := newPlacer(peerWork{"d1": inPlace, "d2": inPlace}).DecodeLoad(targets, spec, time.Now())
	is.Equal(prefillLoad, 0.0)
	running := place.Work{Running: 40, Streams: 40}
	is.True(newPlacer(peerWork{"d1": running, "d2": running}).DecodeLoad(targets, spec, time.Now()) > 1)
}

// The prefill engines are overloaded if the prompts that queue there or at the VMs take longer than
// the wait at which a request that is late already would still be sent. Prefills in place and
// running requests do not count.
func TestPrefillOverloaded(t *testing.T) {
	targets := []*fleet.Target{engine("p1", fleet.Prefill), engine("p2", fleet.Prefill), engine("d", fleet.Decode)}
	const objective = 250 * time.Millisecond
	for name, tc := range map[string]struct {
		work       peerWork
		overloaded bool
	}{
		"idle":                          {nil, false},
		"one prompt each":               {peerWork{"p1": {Prefill: 36 * time.Millisecond, Prefills: 1}, "p2": {Prefill: 36 * time.Millisecond, Prefills: 1}}, false},
		"queues":                        {peerWork{"p1": {Prefill: 200 * time.Millisecond, Prefills: 6}, "p2": {Prefill: 200 * time.Millisecond, Prefills: 6}}, true},
		"deferred at the VMs":           {peerWork{"queue/m": {Prefill: time.Second, Prefills: 30}}, true},
		"prefills in place and answers": {peerWork{"d": {Prefill: time.Second, Prefills: 30, Running: 40, Streams: 10}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(newPlacer(tc.work).PrefillOverloaded(targets, objective), tc.overloaded)
		})
	}
}
