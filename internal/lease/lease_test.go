package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/store"
)

// ttl is the TTL of the lease in all tests.
const ttl = 6 * time.Second

// fakeClock is a Clock that the test sets.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration
}

// read returns the time that the test has set. It is the Clock of a candidate.
func (c *fakeClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// add advances the clock by d.
func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// candidate returns a candidate for one lease, which is the same in all tests.
func candidate(table store.Table, name string, clock Clock) *Lease {
	return New(Config{DataCentre: "kakkanad", Service: "hints", Holder: name, Incarnation: 1, TTL: ttl}, table, clock)
}

// mustStep calls Step with contend set and fails the test if it returns an error.
func mustStep(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Step(context.Background(), true); err != nil {
		t.Fatal(err)
	}
}

// held reports whether l holds the lease.
func held(l *Lease) bool {
	_, ok := l.Held()
	return ok
}

// While the holder renews the lease, no other candidate acquires it. Once the lease has lapsed,
// another candidate acquires it, with a higher fencing number.
func TestOneHolderAndSuccession(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
	mustStep(t, a)
	mustStep(t, b)
	is.True(held(a))
	is.True(!held(b))
	first, _ := a.Held()

	clock.add(ttl / 2)
	mustStep(t, a) // renews
	mustStep(t, b)
	clock.add(ttl * 3 / 4)
	is.True(held(a)) // renewed in time
	mustStep(t, b)
	is.True(!held(b))

	clock.add(ttl)
	is.True(!held(a)) // stops by its own clock, without reading the store
	mustStep(t, b)
	second, ok := b.Held()
	is.True(ok)
	is.True(second.Fence > first.Fence)
}

// A frozen holder that resumes after its lease has lapsed must not act, even if no other VM has
// taken over, and must not continue its old tenure.
func TestFrozenHolder(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	mustStep(t, a)
	first, _ := a.Held()
	clock.add(time.Hour)
	is.True(!held(a))
	mustStep(t, a) // its lease has lapsed, so it begins a new tenure
	clock.add(ttl + ttl/2)
	mustStep(t, a)
	second, ok := a.Held()
	is.True(ok)
	is.True(second.Fence > first.Fence)
}

// A new observer must wait a whole TTL by its own clock, however old the record is.
func TestObserverStartsItsOwnClock(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	mustStep(t, a)
	other := &fakeClock{now: 1000 * time.Hour}
	b := candidate(p, "b", other.read)
	mustStep(t, b)
	is.True(!held(b))
	other.add(ttl)
	mustStep(t, b)
	is.True(!held(b)) // the holder may still consider the lease valid
	other.add(ttl / 10)
	mustStep(t, b)
	is.True(held(b))
}

// Another candidate need not wait for a released lease to lapse.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
	mustStep(t, a)
	is.NoErr(a.Release(context.Background()))
	is.True(!held(a))
	mustStep(t, b)
	is.True(held(b))
}

// A renewal that fails does not end the tenure at once, nor does it extend the lease: another
// candidate acquires the lease after it has lapsed.
func TestFailedRenewal(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
		// heldAfter is whether the lease is still held after a renewal under the fault, within the
		// TTL of the previous renewal.
		heldAfter bool
	}{
		{"store is down", store.FaultDown, true},
		{"renewal is lost", store.FaultLostWrites, true},
		{"response to the renewal is lost", store.FaultLostResponses, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, clock := store.NewMemory(), &fakeClock{}
			a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
			mustStep(t, a)
			p.SetFault(c.fault)
			clock.add(ttl / 2)
			is.True(a.Step(context.Background(), true) != nil)
			is.Equal(held(a), c.heldAfter)
			clock.add(ttl * 3 / 4)
			is.True(!held(a)) // an unconfirmed renewal does not count
			p.SetFault(store.FaultNone)
			mustStep(t, b)
			clock.add(2 * ttl)
			mustStep(t, b)
			is.True(held(b) && !held(a))
		})
	}
}

// An acquisition whose response was lost is found by the next Step, which begins the tenure.
func TestAcquisitionWithoutResponse(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	p.SetFault(store.FaultLostResponses)
	is.True(errors.Is(a.Step(context.Background(), true), store.ErrUnknown))
	is.True(!held(a))
	p.SetFault(store.FaultNone)
	mustStep(t, a)
	is.True(held(a))
}

// A restarted process on the same VM does not take over the lease of the old process.
func TestRestartedHolder(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	old := candidate(p, "a", clock.read)
	mustStep(t, old)
	next := New(Config{DataCentre: "kakkanad", Service: "hints", Holder: "a", Incarnation: 2, TTL: ttl}, p, clock.read)
	mustStep(t, next)
	is.True(!held(next))
}

// In any schedule of steps, pauses, clock rates and faults there are never two holders at the same
// time, and fencing numbers only increase. Each candidate has its own clock with its own zero. All
// clocks advance with the simulated time, some slightly faster than others.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := store.NewMemory()
		const n = 3
		clocks := make([]*fakeClock, n)
		leases := make([]*Lease, n)
		for i := range n {
			clocks[i] = &fakeClock{now: time.Duration(i) * time.Hour}
			leases[i] = candidate(p, fmt.Sprint(i), clocks[i].read)
		}
		highest := uint64(0)
		faults := []store.Fault{store.FaultNone, store.FaultNone, store.FaultDown, store.FaultLostWrites, store.FaultLostResponses, store.FaultLateWrites}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			i := rapid.IntRange(0, n-1).Draw(rt, "who")
			p.SetFault(rapid.SampledFrom(faults).Draw(rt, "fault"))
			// Both may fail because of the fault; only their effects are checked below.
			if rapid.IntRange(0, 4).Draw(rt, "release") == 0 {
				_ = leases[i].Release(context.Background())
			} else {
				_ = leases[i].Step(context.Background(), true)
			}
			if rapid.IntRange(0, 3).Draw(rt, "late writes are executed") == 0 {
				p.RunLate()
			}
			d := time.Duration(rapid.IntRange(0, int(ttl/time.Millisecond)).Draw(rt, "ms")) * time.Millisecond
			for j := range n {
				clocks[j].add(d + d*time.Duration(j)/50)
			}
			holders := 0
			for _, l := range leases {
				if tenure, ok := l.Held(); ok {
					holders++
					if tenure.Fence < highest {
						rt.Fatalf("holder has fencing number %d after %d was seen", tenure.Fence, highest)
					}
					highest = max(highest, tenure.Fence)
				}
			}
			if holders > 1 {
				rt.Fatalf("%d holders at the same time", holders)
			}
		}
	})
}
