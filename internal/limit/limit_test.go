package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAdmit(t *testing.T) {
	is := is.New(t)
	is.True(Admit(Estimate{Wait: time.Second, Work: time.Second, Deadline: 4 * time.Second}).Admit)
	v := Admit(Estimate{Wait: 5 * time.Second, Work: time.Second, Deadline: 4 * time.Second})
	is.True(!v.Admit)
	is.Equal(v.RetryAfter, 2600*time.Millisecond)                                                   // when the queue is short enough
	is.True(Admit(Estimate{Wait: time.Minute, Work: 9 * time.Second, Deadline: time.Second}).Admit) // late even on an idle target
}

// The number of buckets stays bounded, and no account gets more than its rate
// and burst.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := NewAccounts(8)
		now := time.Duration(0)
		taken := 0
		for range rapid.IntRange(1, 200).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			// Seven accounts fit, so none is removed.
			account := uint64(rapid.IntRange(0, 6).Draw(rt, "account"))
			if _, ok := a.Take(account, now, 2, 4); ok && account == 0 {
				taken++
			}
			if a.Len() > 8 {
				rt.Fatalf("%d accounts have a bucket, want at most 8", a.Len())
			}
		}
		if most := 4 + 2*now.Seconds() + 1; float64(taken) > most {
			rt.Fatalf("one account took %d tokens in %s", taken, now)
		}
	})
}

// The least recently used account is removed, and a used one keeps its bucket.
func TestAccountsRemoveLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	a := NewAccounts(2)
	for _, account := range []uint64{1, 2, 1, 3} {
		a.Take(account, 0, 0.001, 1)
	}
	is.Equal(a.Len(), 2)
	_, ok := a.Take(1, 0, 0.001, 1)
	is.True(!ok) // not removed, as it was used after account 2
}

func TestRate(t *testing.T) {
	is := is.New(t)
	var r Rate
	_, ok := r.Take(time.Second, 4)
	is.True(ok)
	for range 3 {
		_, ok = r.Take(time.Second, 4)
		is.True(ok)
	}
	wait, ok := r.Take(time.Second, 4)
	is.True(!ok)
	is.Equal(wait, 250*time.Millisecond)
}

// heldGrant is a grant as its entry sees it: the entry's own clock for it starts
// earlier than the holder's.
type heldGrant struct {
	Limits
	until time.Duration
}

// Base parts and unexpired grants of all entries together never exceed the
// limit, even if answers are lost, the lease holder changes and entries are cut
// off.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const ttl = 3 * time.Second
	const margin = ttl / 10
	rapid.Check(t, func(rt *rapid.T) {
		total := Limits{RatePerS: 100, InFlight: 50}
		n := rapid.IntRange(1, 6).Draw(rt, "entries")
		pool := Pool(total, 1)
		book := NewAllocator(0)
		held := make([]heldGrant, n)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0: // the holder crashes; its successor waits until its grants expired
				book = NewAllocator(now + ttl + margin)
			default:
				i := rapid.IntRange(0, n-1).Draw(rt, "entry")
				given := book.Grant(pool, Demand{
					VM: fmt.Sprint(i), TTL: ttl + margin,
					Want: Limits{RatePerS: rapid.Float64Range(0, 80).Draw(rt, "rate"), InFlight: rapid.IntRange(0, 40).Draw(rt, "inflight")},
				}, now)
				if rapid.Bool().Draw(rt, "arrives") {
					held[i] = heldGrant{Limits: given, until: now + ttl}
				}
			}
			base := BasePart(total, 1, n)
			rate, inFlight := float64(n)*base.RatePerS, n*base.InFlight
			for _, h := range held {
				if now < h.until {
					rate += h.RatePerS
					inFlight += h.InFlight
				}
			}
			if rate > total.RatePerS+1e-6 || inFlight > total.InFlight {
				rt.Fatalf("entries may use %g per second and %d in flight together", rate, inFlight)
			}
		}
	})
}

// An unused share moves to an entry with demand within the TTL of a grant.
func TestUnusedShareMoves(t *testing.T) {
	is := is.New(t)
	b := NewAllocator(0)
	pool := Limits{RatePerS: 60}
	ask := func(vm string, want float64, now time.Duration) float64 {
		return b.Grant(pool, Demand{VM: vm, Want: Limits{RatePerS: want}, TTL: 3 * time.Second}, now).RatePerS
	}
	is.Equal(ask("a", 60, 0), 60.0)
	is.Equal(ask("b", 60, time.Second), 0.0) // a may still use all of it
	is.Equal(ask("a", 30, 2*time.Second), 20.0)
	is.Equal(ask("b", 60, 3*time.Second), 40.0) // a's first grant has expired
}

func BenchmarkAccounts(b *testing.B) {
	a := NewAccounts(16000)
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		a.Take(i%16000, time.Duration(i), 1, 2)
	}
}

func TestFits(t *testing.T) {
	cases := []struct {
		name       string
		own, total int
		weight     float64
		want       bool
	}{
		{"below the threshold", 70, 70, 1, true},
		{"above the threshold, over its part", 30, 90, 1, false},
		{"above the threshold, within its part", 10, 90, 1, true},
		{"above the threshold, a larger weight", 30, 90, 3, true},
		{"entry full", 0, 100, 3, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(HasCapacity(c.own, c.total, 100, c.weight, 4), c.want)
		})
	}
}
