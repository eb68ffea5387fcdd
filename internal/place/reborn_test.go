package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// startedAt returns the target as it is after a start at the time born, in Unix milliseconds.
func startedAt(t *fleet.Target, born int64) *fleet.Target {
	next := *t
	next.Born, next.Run = born, fleet.RunID(t.ID, born)
	return &next
}

// A target that restarts under the same id counts as one with nothing cached, no work in progress
// and no failures. Results and reports of its previous run that arrive late change nothing.
func TestRestartedTargetHasNoState(t *testing.T) {
	is := is.New(t)
	before := startedAt(engine("d", fleet.Decode), 1000)
	after := startedAt(before, 2000)
	now := time.Now()
	p := trainedPlacer(t, place.DefaultConfig("a"), peerWork{before.RunID(): {Running: 9, Prefill: time.Second, Prefills: 9}})
	prefill := func(target *fleet.Target) place.Choice {
		c, ok := p.Prefill([]*fleet.Target{target}, spec, sessionPrompt(7), nil, now)
		is.True(ok)
		return c
	}
	first := prefill(before)
	p.Commit(first, sessionPrompt(7), now)
	first.Ticket.FirstEvent(now)
	is.True(prefill(before).Cached > 0)
	for range 20 {
		prefill(before).Ticket.End(place.Bad, now)
	}

	again := prefill(after)
	is.Equal(again.Cached, 0)
	is.True(again.Expected < 200*time.Millisecond) // 9,000 tokens with no prefills pending
	again.Ticket.End(place.Neutral, now)

	first.Ticket.End(place.Bad, now)
	p.Observe([]place.SendRecord{{Target: before.RunID(), Parts: []uint64{1, 7}, Missing: 6000}, {Target: before.RunID(), Failed: true}}, now)
	late := prefill(after)
	is.Equal(late.Cached, 0)
	is.Equal(late.Expected, again.Expected)
}
