package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// fullPool is one idle decode engine, "dead", and three that are full.
func fullPool() ([]*fleet.Target, peerWork) {
	full := place.Work{Prefill: 20 * time.Second, Prefills: 90, Running: 90, Streams: 90}
	targets := []*fleet.Target{engine("dead", fleet.Decode), engine("b", fleet.Decode), engine("c", fleet.Decode), engine("d", fleet.Decode)}
	return targets, peerWork{"b": full, "c": full, "d": full}
}

// sendFor places a prompt each 10 ms for the given time. Those that are sent to "dead" end with the given
// result. It returns their number, and the number sent in all.
func sendFor(t *testing.T, p *place.Placer, targets []*fleet.Target, began time.Time, length time.Duration, repeatable bool, r place.Result) (dead, all int) {
	t.Helper()
	for now := began; now.Before(began.Add(length)); now = now.Add(10 * time.Millisecond) {
		q := sessionPrompt(uint64(now.UnixNano()))
		q.Repeatable = repeatable
		c, ok := p.Prefill(targets, spec, q, place.Tried{}, now)
		if !ok {
			t.Fatal("no target can be used")
		}
		all++
		if c.Target.ID != "dead" {
			c.Ticket.End(place.Neutral, now)
			continue
		}
		p.Commit(c, q, now)
		c.Ticket.End(r, now)
		dead++
	}
	return dead, all
}

// Guards against a dead engine getting all requests because it is the only one with room: it resets each
// request at once, and a penalty weighs less than the queues at the other engines.
func TestDeadTargetIsOnlyTriedWhileOthersAreFull(t *testing.T) {
	for name, r := range map[string]place.Result{"resets": place.Bad, "is cut off": place.Lost} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			targets, others := fullPool()
			p := trainedPlacer(t, place.DefaultConfig("a"), others)
			now := time.Now()
			sendFor(t, p, targets, now, 300*time.Millisecond, true, r)
			dead, all := sendFor(t, p, targets, now.Add(300*time.Millisecond), 3*time.Second, true, r)
			t.Logf("%d of %d requests went to the dead target", dead, all)
			is.True(dead >= 2 && dead <= 6)
		})
	}
}

// Requests that must not be repeated leave trials of a failing target to others for a while.
func TestTrialsPreferRepeatableRequests(t *testing.T) {
	is := is.New(t)
	targets, others := fullPool()
	p := trainedPlacer(t, place.DefaultConfig("a"), others)
	now := time.Now()
	sendFor(t, p, targets, now, 50*time.Millisecond, true, place.Bad)
	tried := func(repeatable bool, at time.Time) bool {
		q := sessionPrompt(1)
		q.Repeatable = repeatable
		c, _ := p.Prefill(targets, spec, q, place.Tried{}, at)
		c.Ticket.End(place.Neutral, at)
		return c.Target.ID == "dead"
	}
	is.True(!tried(true, now.Add(60*time.Millisecond)))
	is.True(tried(true, now.Add(150*time.Millisecond)))
	is.True(!tried(false, now.Add(150*time.Millisecond)))
	is.True(tried(false, now.Add(300*time.Millisecond)))
}

// A target that answers a trial is in full use again at once.
func TestTargetIsInFullUseAfterATrialSucceeds(t *testing.T) {
	is := is.New(t)
	targets, others := fullPool()
	p := trainedPlacer(t, place.DefaultConfig("a"), others)
	now := time.Now()
	sendFor(t, p, targets, now, 2*time.Second, true, place.Bad)
	sendFor(t, p, targets, now.Add(2*time.Second), time.Second, true, place.Good)
	dead, all := sendFor(t, p, targets, now.Add(3*time.Second), time.Second, true, place.Good)
	is.Equal(dead, all)
}

// A target that fails one request in ten stays in use.
func TestTargetThatFailsSomeRequestsStaysInUse(t *testing.T) {
	is := is.New(t)
	targets, others := fullPool()
	p := trainedPlacer(t, place.DefaultConfig("a"), others)
	now, used := time.Now(), 0
	for n := range 300 {
		r := place.Good
		if n%10 == 0 {
			r = place.Bad
		}
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		dead, _ := sendFor(t, p, targets, at, 10*time.Millisecond, true, r)
		used += dead
	}
	is.Equal(used, 300)
}

// If most targets fail at once, half of them stay in use.
func TestHalfOfTheTargetsStayInUse(t *testing.T) {
	is := is.New(t)
	targets := []*fleet.Target{engine("a", fleet.Decode), engine("b", fleet.Decode), engine("c", fleet.Decode), engine("d", fleet.Decode)}
	p := trainedPlacer(t, place.DefaultConfig("a"), peerWork{})
	now := time.Now()
	last := map[string]bool{}
	for n := range 80 {
		c, ok := p.Prefill(targets, spec, sessionPrompt(uint64(n)), place.Tried{}, now)
		is.True(ok)
		p.Commit(c, sessionPrompt(uint64(n)), now)
		c.Ticket.End(place.Bad, now)
		if n >= 60 {
			last[c.Target.ID] = true
		}
	}
	is.Equal(len(last), 2)
}
