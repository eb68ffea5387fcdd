package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newState() *State { return &State{Caches: NewCaches(1<<14, 300), Rates: NewRates(1<<12, 10)} }

// newTargets returns n idle targets.
func newTargets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{Hash: mix(uint64(i) + 1), Roles: EndToEnd, Slots: 32}
	}
	return out
}

// newRequest returns a request of a prefix, half of whose prefill a cache saves.
func newRequest(prefix uint64) Request {
	return Request{Now: 1, Role: EndToEnd, Prefix: prefix, Entries: 8, Seconds: 0.1, CachedSeconds: 0.05, Random: 42}
}

// Pick never chooses a blocked target, one of another role, or a remote one
// while a local one is eligible; and it chooses one whenever any is eligible.
func TestPickChoosesEligible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := newTargets(rapid.IntRange(1, 30).Draw(rt, "n"))
		m := newState()
		local, remote := 0, 0
		for i := range targets {
			targets[i].Blocked = rapid.Bool().Draw(rt, "blocked")
			targets[i].Remote = rapid.Bool().Draw(rt, "remote")
			targets[i].Roles = Roles(rapid.IntRange(1, 7).Draw(rt, "roles"))
			targets[i].BusyUntil = rapid.Float64Range(0, 9).Draw(rt, "until")
			if targets[i].Blocked || targets[i].Roles&Decode == 0 {
				continue
			}
			if targets[i].Remote {
				remote++
			} else {
				local++
			}
		}
		r := newRequest(rapid.Uint64().Draw(rt, "prefix"))
		r.Role, r.Random = Decode, rapid.Uint64().Draw(rt, "random")
		for range rapid.IntRange(0, 50).Draw(rt, "arrivals") {
			m.Rates.Add(r.Prefix, 1)
		}
		c := Pick(targets, r, m)
		if c.Index < 0 {
			if local+remote > 0 {
				rt.Fatal("no target chosen although one is eligible")
			}
			return
		}
		got := targets[c.Index]
		if got.Blocked || got.Roles&Decode == 0 || (got.Remote && local > 0) {
			rt.Fatalf("chose %+v", got)
		}
	})
}

// All entries send a prefix to the same home while its wait is short, and to the
// same second home otherwise.
func TestSamePrefixSameHome(t *testing.T) {
	is := is.New(t)
	targets := newTargets(12)
	first := Pick(targets, newRequest(77), newState())
	is.Equal(first.Reason, ReasonPrefix)
	other := newRequest(77)
	other.Random = 4711
	is.Equal(Pick(targets, other, newState()).Index, first.Index) // another entry's choice
	targets[first.Index].Blocked = true
	second := Pick(targets, newRequest(77), newState())
	is.True(second.Index != first.Index)
	targets[first.Index].Blocked = false
	targets[first.Index].BusyUntil = 1.1 // a short queue costs less than a cache miss
	is.Equal(Pick(targets, newRequest(77), newState()).Index, first.Index)
	targets[first.Index].BusyUntil = 60
	is.Equal(Pick(targets, newRequest(77), newState()).Index, second.Index) // a long one costs more
}

// A hot prefix is spread over many targets without any report.
func TestHotPrefixIsSpread(t *testing.T) {
	is := is.New(t)
	targets, m := newTargets(12), newState()
	used := map[int]int{}
	for i := range 200 {
		r := newRequest(77)
		r.Now, r.Random = float64(i)*0.05, mix(uint64(i))
		m.Rates.Add(77, r.Now)
		used[Pick(targets, r, m).Index]++
	}
	is.True(len(used) > 6)
	for _, n := range used {
		is.True(n < 60)
	}
}

// A report replaces the sent work that it includes; later sent work is added.
func TestLoadAddsWorkSentSinceReport(t *testing.T) {
	is := is.New(t)
	var l Load
	l.Report(10, 12)
	l.Sent(11, 0.5)
	is.Equal(l.BusyUntil(), 12.5)
	l.Report(10.5, 11.5) // made before the work was sent: both count
	is.Equal(l.BusyUntil(), 12.0)
	l.Report(11.2, 11.9) // made after the work was sent: it includes it
	is.Equal(l.BusyUntil(), 11.9)
	l.Report(10.8, 99) // arrives out of order and is ignored
	is.Equal(l.BusyUntil(), 11.9)
}

// A target is set aside after two failures, for a time that doubles, and then gets
// one probe at a time until one succeeds.
func TestHealth(t *testing.T) {
	is := is.New(t)
	var h Health
	is.Equal(h.Failed(0), time.Duration(0)) // one failure does not set it aside
	is.True(h.Available(0))
	is.Equal(h.Failed(0), time.Second)
	is.True(!h.Available(999 * time.Millisecond))
	is.True(h.Available(time.Second))
	h.Sent()
	is.True(!h.Available(time.Second)) // only one probe at a time
	is.Equal(h.Failed(time.Second), 2*time.Second)
	is.True(h.Available(3 * time.Second))
	h.Sent()
	h.OK()
	is.True(h.Available(3 * time.Second))
}

// The replay gives the same result for the same seed.
func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	s := newScenario(8, 12)
	s.reportAge, s.requests = 2, 4000
	is.Equal(replay(s, pick), replay(s, pick))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 217} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets, m := newTargets(n), newState()
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				r := newRequest(mix(i))
				r.Random = i
				Pick(targets, r, m)
			}
		})
	}
}

func TestBusyShare(t *testing.T) {
	is := is.New(t)
	var b WorkRate
	is.Equal(b.PerSecond(), 0.0)
	for i := range 200 { // half busy, then idle
		at := float64(i)
		b.Report(at, min(at, 100)/2)
		is.True(len(b.samples) <= maxWorkSamples+2)
		if i == 90 {
			is.True(b.PerSecond() > 0.49 && b.PerSecond() < 0.51)
		}
	}
	is.True(b.PerSecond() < 0.01) // the busy time has left the window
	b.Report(150, 20)             // out of order: ignored
	is.True(len(b.samples) > 2)
	b.Report(300, 0) // the target restarted: the samples are discarded
	is.Equal(b.PerSecond(), 0.0)
	b.Report(299, 7) // out of order: ignored
	is.Equal(b.PerSecond(), 0.0)
}

// Of two homes with equal waits the less busy one is chosen once the prefix is
// cached at both.
func TestLessBusyHomeIsChosen(t *testing.T) {
	is := is.New(t)
	targets, m := newTargets(12), newState()
	first := Pick(targets, newRequest(77), m).Index
	targets[first].Blocked = true
	second := Pick(targets, newRequest(77), m).Index
	targets[first].Blocked = false
	m.Caches.Set(77, targets[second].Hash, 1)
	is.Equal(Pick(targets, newRequest(77), m).Index, first)
	targets[first].Busy = 0.9
	is.Equal(Pick(targets, newRequest(77), m).Index, second)
}
