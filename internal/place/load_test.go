package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// While streams run at every decode engine and prompts queue at the prefill engine, a long prompt
// is not prefilled in place, as this would exceed the maximum gap of the streams. With the limit on
// gaps disabled, it is prefilled in place.
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

// If the only engine left is a decode engine with streams, it prefills the prompt, although this
// delays the streams.
func TestStreamsWaitIfNoOtherTargetIsLeft(t *testing.T) {
	is := is.New(t)
	p := trainedPlacer(t, place.DefaultConfig("a"), peerWork{"d": {Running: 8, Streams: 8, Prefill: 60 * time.Millisecond, Prefills: 2}})
	c, ok := p.Prefill([]*fleet.Target{engine("d", fleet.Decode)}, spec, sessionPrompt(5), nil, time.Now())
	is.True(ok)
	is.True(c.InPlace)
}

// In a burst, a session goes back to the engine that has it cached even if prompts wait there and
// another engine is idle: to prefill the whole prompt at the other engine would delay more of the
// prompts that come next. With Off.Stay the session goes to the idle engine.
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
