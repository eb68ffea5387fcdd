package order

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
)

const (
	ttl         = 6 * time.Second
	readTimeout = 5 * time.Second
)

// fakeEngine is an engine at the interface. It takes orders and records those
// that had an effect.
type fakeEngine struct {
	checks bool
	fence  uint64
	last   string
	taken  []target.Order
	// lost makes the next order take effect without an answer; dropped makes
	// it vanish.
	lost, dropped bool
	// held keeps the next order on its way, as from a frozen sender.
	hold bool
	held func() error
	// crash forgets the state of an order in progress.
	changing bool
}

func (e *fakeEngine) Status(context.Context, string) (target.Status, error) {
	return target.Status{LastOrder: e.last, Fence: e.fence, Changing: e.changing}, nil
}

func (e *fakeEngine) Order(_ context.Context, _ string, o target.Order, still func() bool) error {
	if !still() {
		return target.ErrFenced
	}
	if e.hold {
		e.hold = false
		e.held = func() error { return e.take(o) }
		return target.ErrUnreachable
	}
	if e.dropped {
		e.dropped = false
		return target.ErrUnreachable
	}
	err := e.take(o)
	if e.lost {
		e.lost = false
		return target.ErrUnreachable
	}
	return err
}

func (e *fakeEngine) take(o target.Order) error {
	if e.checks && o.Fence < e.fence {
		return target.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	if o.ID == e.last {
		return nil
	}
	e.last = o.ID
	e.taken = append(e.taken, o)
	return nil
}

// node is one steward: a candidate and its sender.
type node struct {
	lease  *lease.Lease
	sender *Sender
}

type world struct {
	platform *store.Memory
	now      time.Duration
	engine   *fakeEngine
}

func newWorld(checks bool) *world {
	return &world{platform: store.NewMemory(), engine: &fakeEngine{checks: checks}}
}

func (w *world) clock() time.Duration { return w.now }

func (w *world) node(name string) *node {
	l := lease.New(lease.Config{DataCentre: "kakkanad", Service: "hints", Holder: name, Incarnation: 1, TTL: ttl}, w.platform, w.clock)
	j := NewJournal(w.platform, "kakkanad", "hints")
	return &node{lease: l, sender: NewSender(j, l, w.engine, w.clock, readTimeout)}
}

// pair is a holder and a candidate that has observed it.
func (w *world) pair(t testing.TB) (a, b *node) {
	a, b = w.node("a"), w.node("b")
	a.step(t)
	b.step(t)
	return a, b
}

func (n *node) step(t testing.TB) {
	t.Helper()
	if err := n.lease.Step(context.Background(), true); err != nil {
		t.Fatal(err)
	}
}

func want(version string) target.Want {
	return target.Want{Role: target.RoleBoth, Model: "m", Version: version}
}

func (n *node) give(fencing table.Fencing, version string) error {
	return n.sender.Give(context.Background(), "e1", "addr", fencing, want(version))
}

func (n *node) complete(t testing.TB) bool {
	t.Helper()
	done, err := n.sender.Complete(context.Background(), "e1", "addr")
	if err != nil && !errors.Is(err, target.ErrUnreachable) {
		t.Fatal(err)
	}
	return done
}

func TestOrderAndCompletion(t *testing.T) {
	is := is.New(t)
	w := newWorld(true)
	a := w.node("a")
	a.step(t)
	is.NoErr(a.give(table.FencingChecked, "v1"))
	w.engine.changing = true
	is.True(!a.complete(t)) // the engine is still changing
	is.True(errors.Is(a.give(table.FencingChecked, "v2"), ErrUnfinished))
	w.engine.changing = false
	is.True(a.complete(t))
	is.NoErr(a.give(table.FencingChecked, "v2"))
	is.Equal(len(w.engine.taken), 2)
}

// Whatever happens to an order on its way, it takes effect once.
func TestOrderFaults(t *testing.T) {
	cases := []struct {
		name string
		set  func(*world)
	}{
		{"effect without an answer", func(w *world) { w.engine.lost = true }},
		{"order lost", func(w *world) { w.engine.dropped = true }},
		{"journal write without an answer", func(w *world) { w.platform.SetFault(store.FaultLostAnswers) }},
		{"journal write lost", func(w *world) { w.platform.SetFault(store.FaultLostWrites) }},
		{"platform down", func(w *world) { w.platform.SetFault(store.FaultDown) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(true)
			a := w.node("a")
			a.step(t)
			_, err := a.sender.Begin(context.Background())
			is.NoErr(err)
			c.set(w)
			// The answer is of no interest; the journal decides what to do.
			_ = a.give(table.FencingChecked, "v1")
			w.platform.SetFault(store.FaultNone)
			_, err = a.sender.Begin(context.Background())
			is.NoErr(err)
			for range 3 {
				if _, told := a.sender.Wanted("e1"); !told {
					is.NoErr(a.give(table.FencingChecked, "v1"))
				}
				a.complete(t)
			}
			is.Equal(len(w.engine.taken), 1) // exactly one effect
			is.Equal(w.engine.taken[0].Want.Version, "v1")
		})
	}
}

// With the platform down nothing is sent, as nothing could be journalled.
func TestNoOrderWithoutJournal(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	a := w.node("a")
	a.step(t)
	_, err := a.sender.Begin(context.Background())
	is.NoErr(err)
	w.now += readTimeout
	w.platform.SetFault(store.FaultDown)
	is.True(a.give(table.FencingIgnored, "v1") != nil)
	is.Equal(len(w.engine.taken), 0)
}

// A crash of the holder at any step leaves a row from which a successor goes
// on, with the same order.
func TestSuccessorCompletesTheJournal(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(true)
		a, b := w.pair(t)
		w.engine.dropped = dropped
		// The answer is of no interest: the holder dies here.
		_ = a.give(table.FencingChecked, "v1")
		w.now += 2 * ttl
		b.step(t)
		_, err := b.sender.Begin(context.Background())
		is.NoErr(err)
		is.True(errors.Is(b.give(table.FencingChecked, "v2"), ErrUnfinished)) // first things first
		b.complete(t)
		is.True(b.complete(t))
		is.Equal(len(w.engine.taken), 1)
		is.Equal(w.engine.taken[0].Want.Version, "v1")
	}
}

// A frozen holder wakes with an order in hand. An engine that checks refuses
// it.
func TestFrozenHolderCheckedEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(true)
	a, b := w.pair(t)
	w.engine.hold = true
	_ = a.give(table.FencingChecked, "v1") // on its way when the holder freezes
	w.now += 2 * ttl
	b.step(t)
	b.complete(t)
	is.True(b.complete(t))
	is.NoErr(b.give(table.FencingChecked, "v2"))
	is.True(errors.Is(w.engine.held(), target.ErrFenced)) // the late order
	is.Equal(w.engine.taken[len(w.engine.taken)-1].Want.Version, "v2")
	is.True(a.give(table.FencingChecked, "v3") != nil) // and it gives no new ones
}

// An engine that ignores the number: until the late order can no longer
// arrive, the successor gives only the same order again, so the late one has
// nothing to contradict.
func TestFrozenHolderIgnoringEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	a, b := w.pair(t)
	w.now += readTimeout
	a.step(t)
	w.engine.hold = true
	is.True(errors.Is(a.give(table.FencingIgnored, "v1"), target.ErrUnreachable))
	b.step(t)
	w.now += 2 * ttl
	b.step(t)
	b.complete(t)
	is.True(b.complete(t))
	is.True(errors.Is(b.give(table.FencingIgnored, "v2"), ErrTooEarly))
	is.NoErr(w.engine.held()) // the late order arrives, and is the same one
	is.Equal(len(w.engine.taken), 1)
	w.now += readTimeout // after this the engine has closed the old connection
	b.step(t)
	is.NoErr(b.give(table.FencingIgnored, "v2"))
	is.Equal(len(w.engine.taken), 2)
}

// An engine that moves between services is ordered only with a number above
// all that it has seen.
func TestEngineMovesBetweenServices(t *testing.T) {
	is := is.New(t)
	w := newWorld(true)
	a := w.node("a")
	a.step(t)
	other := lease.New(lease.Config{DataCentre: "kakkanad", Service: "judge", Holder: "b", Incarnation: 1, TTL: ttl}, w.platform, w.clock)
	is.NoErr(other.Step(context.Background(), true))
	sender := NewSender(NewJournal(w.platform, "kakkanad", "judge"), other, w.engine, w.clock, readTimeout)
	ctx := context.Background()
	is.NoErr(sender.Give(ctx, "e1", "addr", table.FencingChecked, want("judge")))
	_, err := sender.Complete(ctx, "e1", "addr")
	is.NoErr(err)
	is.True(errors.Is(a.give(table.FencingChecked, "hints"), ErrFenceBehind))
	is.NoErr(a.lease.Release(ctx))
	a.step(t)
	is.NoErr(a.give(table.FencingChecked, "hints"))
	is.Equal(w.engine.last, w.engine.taken[1].ID)
}

// Any interleaving of two stewards, freezes and lost answers, on an engine that
// checks: the numbers of the orders in effect never fall, and each order has
// its effect once.
func TestOrdersNeverConflict(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(true)
		nodes := []*node{w.node("a"), w.node("b")}
		versions := []string{"v1", "v2", "v3"}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			n := rapid.SampledFrom(nodes).Draw(rt, "who")
			w.engine.lost = rapid.Bool().Draw(rt, "lost")
			w.engine.dropped = rapid.Bool().Draw(rt, "dropped")
			if w.engine.held == nil {
				w.engine.hold = rapid.Bool().Draw(rt, "hold")
			}
			w.platform.SetFault(rapid.SampledFrom([]store.Fault{
				store.FaultNone, store.FaultNone, store.FaultLostAnswers, store.FaultLostWrites, store.FaultDown,
			}).Draw(rt, "fault"))
			// Errors leave outcomes open, which is what is tested.
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				_ = n.lease.Step(context.Background(), true)
			case 1:
				_ = n.give(table.FencingChecked, rapid.SampledFrom(versions).Draw(rt, "version"))
			case 2:
				_, _ = n.sender.Complete(context.Background(), "e1", "addr")
			case 3:
				w.now += time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond
			case 4:
				if w.engine.held != nil {
					_ = w.engine.held()
					w.engine.held = nil
				}
			}
		}
		seen := map[string]bool{}
		fence := uint64(0)
		for _, o := range w.engine.taken {
			if seen[o.ID] {
				rt.Fatalf("order %s took effect twice", o.ID)
			}
			if o.Fence < fence {
				rt.Fatalf("order %s of fence %d after %d", o.ID, o.Fence, fence)
			}
			seen[o.ID], fence = true, o.Fence
		}
	})
}

// A holder that was replaced while it stood between its last look at the lease
// and the journal cannot write the journal any more.
func TestReplacedHolderCannotJournal(t *testing.T) {
	is := is.New(t)
	w := newWorld(true)
	a, b := w.pair(t)
	old, ok := a.lease.Held()
	is.True(ok)
	w.now += 2 * ttl
	b.step(t)
	_, ok = b.lease.Held()
	is.True(ok)
	late := Entry{Engine: "e1", Order: target.Order{ID: "late", Fence: old.Fence, Want: want("v0")}}
	_, err := NewJournal(w.platform, "kakkanad", "hints").Write(context.Background(), old, late)
	is.True(errors.Is(err, store.ErrConflict))
	is.NoErr(b.give(table.FencingChecked, "v1")) // the row is still free
}

// An order of one's own that was delayed arrives after the one that followed
// it in the same tenure: it must not undo that.
func TestLateOrderOfTheSameTenure(t *testing.T) {
	for _, fencing := range []table.Fencing{table.FencingChecked, table.FencingIgnored} {
		is := is.New(t)
		w := newWorld(fencing == table.FencingChecked)
		a := w.node("a")
		a.step(t)
		w.now += readTimeout
		a.step(t)
		w.engine.hold = true
		_ = a.give(fencing, "v1") // on its way
		a.complete(t)             // sent again
		is.True(a.complete(t))
		if fencing == table.FencingIgnored {
			is.True(errors.Is(a.give(fencing, "v2"), ErrTooEarly)) // the first may still come
			continue
		}
		is.NoErr(a.give(fencing, "v2"))
		is.True(errors.Is(w.engine.held(), target.ErrFenced))
		is.Equal(w.engine.taken[len(w.engine.taken)-1].Want.Version, "v2")
	}
}
