package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// While streams run at every decode engine and prompts queue at the prefill engine, a long prompt
// is not prefilled beside the streams, as this would exceed their maximum gap between events. With
// the limit on gaps disabled, it is.
func TestPromptsKeepMaxGapOfStreams(t *testing.T) {
	load := peerWork{
		"p": {Prefill: 600 * time.Millisecond, Prefills: 20},
		"d": {Running: 8, Streams: 8, Prefill: 90 * time.Millisecond, Prefills: 1},
	}
	targets := []*fleet.Target{engine("p", fleet.Prefill), engine("d", fleet.Decode)}
	for _, off := range []bool{false, true} {
		is := is.New(t)
		cfg := place.DefaultConfig("a")
		cfg.Off.Pauses = off
		c, ok := trainedPlacer(t, cfg, load).Prefill(targets, spec, sessionPrompt(5), nil, time.Now())
		is.True(ok)
		is.Equal(c.InPlace, off)
	}
}

// If a decode engine with streams is the only one left, it prefills the prompt nevertheless.
func TestStreamsWaitIfNoOtherTargetIsLeft(t *testing.T) {
	is := is.New(t)
	p := trainedPlacer(t, place.DefaultConfig("a"), peerWork{"d": {Running: 8, Streams: 8, Prefill: 60 * time.Millisecond, Prefills: 2}})
	c, ok := p.Prefill([]*fleet.Target{engine("d", fleet.Decode)}, spec, sessionPrompt(5), nil, time.Now())
	is.True(ok)
	is.True(c.InPlace)
}

// In a burst, a session goes back to the engine that has it cached even if prompts wait there and
// another engine is idle: a new prefill elsewhere would delay more of the prompts that come next.
func TestSessionStaysAtBusyTarget(t *testing.T) {
	for _, off := range []bool{false, true} {
		is := is.New(t)
		cfg := place.DefaultConfig("a")
		cfg.Off.Stay = off
		load := peerWork{"p1": {Prefill: 60 * time.Millisecond, Prefills: 100}, "d": busy}
		p := trainedPlacer(t, cfg, load)
		targets := []*fleet.Target{engine("p1", fleet.Prefill), engine("p2", fleet.Prefill), engine("d", fleet.Decode)}
		now := time.Now()
		first, ok := p.Prefill([]*fleet.Target{targets[0], targets[2]}, spec, sessionPrompt(5), nil, now)
		is.True(ok)
		is.Equal(first.Target.ID, "p1")
		p.Commit(first, sessionPrompt(5), now)
		first.Ticket.End(place.Neutral, now)
		again, _ := p.Prefill(targets, spec, sessionPrompt(5), nil, now)
		want := "p1"
		if off {
			want = "p2"
		}
		is.Equal(again.Target.ID, want)
	}
}
