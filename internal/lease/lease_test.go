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

const ttl = 6 * time.Second

// fakeClock is set by hand.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *fakeClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

func candidate(p store.Table, name string, clock Clock) *Lease {
	return New(Config{DataCentre: "kakkanad", Service: "hints", Holder: name, Incarnation: 1, TTL: ttl}, p, clock)
}

func step(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Step(context.Background(), true); err != nil {
		t.Fatal(err)
	}
}

func held(l *Lease) bool {
	_, ok := l.Held()
	return ok
}

func TestOneHolderAndSuccession(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
	step(t, a)
	step(t, b)
	is.True(held(a))
	is.True(!held(b))
	first, _ := a.Held()

	clock.add(ttl / 2)
	step(t, a) // renews
	step(t, b)
	clock.add(ttl * 3 / 4)
	is.True(held(a)) // renewed in time
	step(t, b)
	is.True(!held(b))

	clock.add(ttl)
	is.True(!held(a)) // stops by itself, without asking anyone
	step(t, b)
	second, ok := b.Held()
	is.True(ok)
	is.True(second.Fence > first.Fence)
}

// A frozen holder that wakes after its lease lapsed must not act, whether or
// not anyone has taken over, and must not go on with its old tenure.
func TestFrozenHolder(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	step(t, a)
	first, _ := a.Held()
	clock.add(time.Hour)
	is.True(!held(a))
	step(t, a) // observes its own unchanged record: a new tenure is needed
	clock.add(ttl + ttl/2)
	step(t, a)
	second, ok := a.Held()
	is.True(ok)
	is.True(second.Fence > first.Fence)
}

// An observer that has just begun must wait a whole TTL by its own clock,
// however old the record is.
func TestObserverStartsItsOwnClock(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	step(t, a)
	other := &fakeClock{now: 1000 * time.Hour}
	b := candidate(p, "b", other.read)
	step(t, b)
	is.True(!held(b))
	other.add(ttl)
	step(t, b)
	is.True(!held(b)) // the holder may still believe in it
	other.add(ttl / 10)
	step(t, b)
	is.True(held(b))
}

func TestReleaseIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
	step(t, a)
	is.NoErr(a.Release(context.Background()))
	is.True(!held(a))
	step(t, b)
	is.True(held(b))
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
		// heldAfter is whether the holder still holds right after a renewal
		// under the fault, within the old TTL.
		heldAfter bool
	}{
		{"down", store.FaultDown, true},
		{"renewal without effect", store.FaultLostWrites, true},
		{"renewal without an answer", store.FaultLostAnswers, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, clock := store.NewMemory(), &fakeClock{}
			a, b := candidate(p, "a", clock.read), candidate(p, "b", clock.read)
			step(t, a)
			p.SetFault(c.fault)
			clock.add(ttl / 2)
			is.True(a.Step(context.Background(), true) != nil)
			is.Equal(held(a), c.heldAfter)
			clock.add(ttl * 3 / 4)
			is.True(!held(a)) // an unconfirmed renewal does not count
			p.SetFault(store.FaultNone)
			step(t, b)
			clock.add(2 * ttl)
			step(t, b)
			is.True(held(b) && !held(a))
		})
	}
}

// An acquisition whose answer was lost is found out and used.
func TestAcquisitionWithoutAnswer(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	a := candidate(p, "a", clock.read)
	p.SetFault(store.FaultLostAnswers)
	is.True(errors.Is(a.Step(context.Background(), true), store.ErrUnknown))
	is.True(!held(a))
	p.SetFault(store.FaultNone)
	step(t, a)
	is.True(held(a))
}

// A restarted process on the same VM is not taken for the old one.
func TestRestartedHolder(t *testing.T) {
	is := is.New(t)
	p, clock := store.NewMemory(), &fakeClock{}
	old := candidate(p, "a", clock.read)
	step(t, old)
	next := New(Config{DataCentre: "kakkanad", Service: "hints", Holder: "a", Incarnation: 2, TTL: ttl}, p, clock.read)
	step(t, next)
	is.True(!held(next))
}

// Any schedule of steps, pauses, clock rates and faults: never two holders at
// one moment, and fencing numbers only rise. Each candidate has a clock of its
// own with its own zero; true time moves all of them, some a little faster.
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
		faults := []store.Fault{store.FaultNone, store.FaultNone, store.FaultDown, store.FaultLostWrites, store.FaultLostAnswers}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			i := rapid.IntRange(0, n-1).Draw(rt, "who")
			p.SetFault(rapid.SampledFrom(faults).Draw(rt, "fault"))
			// An error leaves the outcome open, which is what is tested.
			_ = leases[i].Step(context.Background(), true)
			d := time.Duration(rapid.IntRange(0, int(ttl/time.Millisecond)).Draw(rt, "ms")) * time.Millisecond
			for j := range n {
				clocks[j].add(d + d*time.Duration(j)/50)
			}
			holders := 0
			for _, l := range leases {
				if ten, ok := l.Held(); ok {
					holders++
					if ten.Fence < highest {
						rt.Fatalf("fence %d after %d", ten.Fence, highest)
					}
					highest = max(highest, ten.Fence)
				}
			}
			if holders > 1 {
				rt.Fatalf("%d holders at one moment", holders)
			}
		}
	})
}
