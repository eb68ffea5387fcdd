package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// bornAt is a target as it is after a start.
func bornAt(t *fleet.Target, born int64) *fleet.Target {
	next := *t
	next.Born, next.Run = born, fleet.RunID(t.ID, born)
	return &next
}

// A target that starts again under its id holds nothing, has nothing in hand and has not
// failed; what ends late, or is told late, of the run before changes nothing.
func TestTargetBornAgainBeginsAnew(t *testing.T) {
	is := is.New(t)
	before := bornAt(engine("d", fleet.Decode), 1000)
	after := bornAt(before, 2000)
	now := time.Now()
	p := taught(t, place.DefaultConfig("a"), others{before.RunID(): {Running: 9, Prefill: time.Second, Prefills: 9}})
	read := func(target *fleet.Target) place.Choice {
		c, ok := p.Read([]*fleet.Target{target}, spec, session(7), nil, now)
		is.True(ok)
		return c
	}
	first := read(before)
	p.Commit(first, session(7), now)
	first.Ticket.First(now)
	is.True(read(before).Cached > 0)
	for range 20 {
		read(before).Ticket.End(place.Bad, now)
	}

	again := read(after)
	is.Equal(again.Cached, 0)
	is.True(again.Expected < 200*time.Millisecond) // 9,000 tokens, nothing ahead
	again.Ticket.End(place.Neutral, now)

	first.Ticket.End(place.Bad, now)
	p.Observe([]place.Use{{Target: before.RunID(), Parts: []uint64{1, 7}, Missing: 6000}, {Target: before.RunID(), Failed: true}}, now)
	late := read(after)
	is.Equal(late.Cached, 0)
	is.Equal(late.Expected, again.Expected)
}
