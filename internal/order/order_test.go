package order

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	ttl         = 6 * time.Second
	readTimeout = 5 * time.Second
)

// fakeEngine implements Engines for a single engine. It records the orders that
// took effect.
type fakeEngine struct {
	// checksFence makes the engine refuse orders with an old fencing number.
	checksFence  bool
	highestFence uint64
	lastOrder    string
	applied      []target.Order
	// loseAnswer makes the next order take effect without an answer; loseOrder
	// makes it have no effect.
	loseAnswer, loseOrder bool
	// delayOrder delays the next order, as if its sender froze; deliverDelayed
	// then delivers it.
	delayOrder     bool
	deliverDelayed func() error
	// changing is the status of an order that is not completed.
	changing bool
}

func (e *fakeEngine) Status(context.Context, string) (target.Status, error) {
	return target.Status{LastOrder: e.lastOrder, Fence: e.highestFence, Changing: e.changing}, nil
}

func (e *fakeEngine) Order(_ context.Context, _ string, o target.Order, stillHeld func() bool) error {
	if !stillHeld() {
		return target.ErrFenced
	}
	if e.delayOrder {
		e.delayOrder = false
		e.deliverDelayed = func() error { return e.apply(o) }
		return target.ErrUnreachable
	}
	if e.loseOrder {
		e.loseOrder = false
		return target.ErrUnreachable
	}
	err := e.apply(o)
	if e.loseAnswer {
		e.loseAnswer = false
		return target.ErrUnreachable
	}
	return err
}

// apply applies an order, unless it is an old or a repeated one.
func (e *fakeEngine) apply(o target.Order) error {
	if e.checksFence && o.Fence < e.highestFence {
		return target.ErrFenced
	}
	e.highestFence = max(e.highestFence, o.Fence)
	if o.ID == e.lastOrder {
		return nil
	}
	e.lastOrder = o.ID
	e.applied = append(e.applied, o)
	return nil
}

// steward is a candidate for the lease with its sender.
type steward struct {
	lease  *lease.Lease
	sender *Sender
}

// testEnv is the platform, the clock and the engine that the stewards share.
type testEnv struct {
	platform *store.Memory
	now      time.Duration
	engine   *fakeEngine
}

// newTestEnv returns an environment whose engine refuses old fencing numbers if
// checks is set.
func newTestEnv(checks bool) *testEnv {
	return &testEnv{platform: store.NewMemory(), engine: &fakeEngine{checksFence: checks}}
}

func (env *testEnv) clock() time.Duration { return env.now }

// newSteward returns a steward that has not tried to take the lease.
func (env *testEnv) newSteward(name string) *steward {
	l := lease.New(lease.Config{DataCentre: "kakkanad", Service: "hints", Holder: name, Incarnation: 1, TTL: ttl}, env.platform, env.clock)
	j := NewJournal(env.platform, "kakkanad", "hints", telemetry.Discard())
	return &steward{lease: l, sender: NewSender(j, l, env.engine, env.clock, readTimeout)}
}

// newHolderAndCandidate returns a holder of the lease and a candidate that has
// observed it.
func (env *testEnv) newHolderAndCandidate(t testing.TB) (a, b *steward) {
	a, b = env.newSteward("a"), env.newSteward("b")
	a.stepLease(t)
	b.stepLease(t)
	return a, b
}

// stepLease takes or renews the lease, or observes its holder.
func (s *steward) stepLease(t testing.TB) {
	t.Helper()
	if err := s.lease.Step(context.Background(), true); err != nil {
		t.Fatal(err)
	}
}

// wantVersion returns the content of an order that differs only in its version.
func wantVersion(version string) target.DesiredState {
	return target.DesiredState{Role: target.RoleBoth, Model: "m", Version: version}
}

// give issues an order for a version to the engine.
func (s *steward) give(fencing table.Fencing, version string) error {
	return s.sender.Issue(context.Background(), "e1", "addr", fencing, wantVersion(version))
}

// complete takes the engine's order one step further and reports whether it is done.
func (s *steward) complete(t testing.TB) bool {
	t.Helper()
	done, err := s.sender.Complete(context.Background(), "e1", "addr")
	if err != nil && !errors.Is(err, target.ErrUnreachable) {
		t.Fatal(err)
	}
	return done
}

// A new order is refused until the engine has completed the earlier one.
func TestOrderAndCompletion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(true)
	a := env.newSteward("a")
	a.stepLease(t)
	is.NoErr(a.give(table.FencingChecked, "v1"))
	env.engine.changing = true
	is.True(!a.complete(t)) // the engine is still changing
	is.True(errors.Is(a.give(table.FencingChecked, "v2"), ErrUnfinished))
	env.engine.changing = false
	is.True(a.complete(t))
	is.NoErr(a.give(table.FencingChecked, "v2"))
	is.Equal(len(env.engine.applied), 2)
}

// An order takes effect exactly once, whatever fault occurs.
func TestOrderFaults(t *testing.T) {
	cases := []struct {
		name string
		set  func(*testEnv)
	}{
		{"effect without an answer", func(env *testEnv) { env.engine.loseAnswer = true }},
		{"order lost", func(env *testEnv) { env.engine.loseOrder = true }},
		{"journal write without an answer", func(env *testEnv) { env.platform.SetFault(store.FaultLostResponses) }},
		{"journal write lost", func(env *testEnv) { env.platform.SetFault(store.FaultLostWrites) }},
		{"platform down", func(env *testEnv) { env.platform.SetFault(store.FaultDown) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(true)
			a := env.newSteward("a")
			a.stepLease(t)
			_, err := a.sender.Begin(context.Background())
			is.NoErr(err)
			c.set(env)
			// The error does not matter; the journal decides what to do next.
			_ = a.give(table.FencingChecked, "v1")
			env.platform.SetFault(store.FaultNone)
			_, err = a.sender.Begin(context.Background())
			is.NoErr(err)
			for range 3 {
				if _, ordered := a.sender.LastWant("e1"); !ordered {
					is.NoErr(a.give(table.FencingChecked, "v1"))
				}
				a.complete(t)
			}
			is.Equal(len(env.engine.applied), 1) // exactly one effect
			is.Equal(env.engine.applied[0].Want.Version, "v1")
		})
	}
}

// No order is sent while the platform is down and the journal cannot be written.
func TestNoOrderWithoutJournal(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(false)
	a := env.newSteward("a")
	a.stepLease(t)
	_, err := a.sender.Begin(context.Background())
	is.NoErr(err)
	env.now += readTimeout
	env.platform.SetFault(store.FaultDown)
	is.True(a.give(table.FencingIgnored, "v1") != nil)
	is.Equal(len(env.engine.applied), 0)
}

// After a crash of the holder the next holder completes the order in the journal,
// whether the engine got it or not, before it issues another.
func TestSuccessorCompletesTheJournal(t *testing.T) {
	for _, loseOrder := range []bool{false, true} {
		is := is.New(t)
		env := newTestEnv(true)
		a, b := env.newHolderAndCandidate(t)
		env.engine.loseOrder = loseOrder
		// The error does not matter: the holder crashes here.
		_ = a.give(table.FencingChecked, "v1")
		env.now += 2 * ttl
		b.stepLease(t)
		_, err := b.sender.Begin(context.Background())
		is.NoErr(err)
		is.True(errors.Is(b.give(table.FencingChecked, "v2"), ErrUnfinished)) // the order in the journal comes first
		b.complete(t)
		is.True(b.complete(t))
		is.Equal(len(env.engine.applied), 1)
		is.Equal(env.engine.applied[0].Want.Version, "v1")
	}
}

// A holder freezes after it has sent an order. An engine that checks fencing
// numbers refuses the order when it arrives after those of the next holder.
func TestFrozenHolderCheckedEngine(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(true)
	a, b := env.newHolderAndCandidate(t)
	env.engine.delayOrder = true
	_ = a.give(table.FencingChecked, "v1") // in transit when the holder freezes
	env.now += 2 * ttl
	b.stepLease(t)
	b.complete(t)
	is.True(b.complete(t))
	is.NoErr(b.give(table.FencingChecked, "v2"))
	is.True(errors.Is(env.engine.deliverDelayed(), target.ErrFenced)) // the delayed order
	is.Equal(env.engine.applied[len(env.engine.applied)-1].Want.Version, "v2")
	is.True(a.give(table.FencingChecked, "v3") != nil) // the old holder issues no more orders
}

// An engine ignores fencing numbers. Until the delayed order of the frozen holder
// can no longer arrive, the next holder only repeats that order, so that the
// delayed one does not undo another.
func TestFrozenHolderUncheckedEngine(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(false)
	a, b := env.newHolderAndCandidate(t)
	env.now += readTimeout
	a.stepLease(t)
	env.engine.delayOrder = true
	is.True(errors.Is(a.give(table.FencingIgnored, "v1"), target.ErrUnreachable))
	b.stepLease(t)
	env.now += 2 * ttl
	b.stepLease(t)
	b.complete(t)
	is.True(b.complete(t))
	is.True(errors.Is(b.give(table.FencingIgnored, "v2"), ErrTooEarly))
	is.NoErr(env.engine.deliverDelayed()) // the delayed order arrives, and is the same one
	is.Equal(len(env.engine.applied), 1)
	env.now += readTimeout // after this the engine has closed the old connection
	b.stepLease(t)
	is.NoErr(b.give(table.FencingIgnored, "v2"))
	is.Equal(len(env.engine.applied), 2)
}

// An engine that moves between services gets orders only with a fencing number
// above all those that it has seen.
func TestEngineMovesBetweenServices(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(true)
	a := env.newSteward("a")
	a.stepLease(t)
	other := lease.New(lease.Config{DataCentre: "kakkanad", Service: "judge", Holder: "b", Incarnation: 1, TTL: ttl}, env.platform, env.clock)
	is.NoErr(other.Step(context.Background(), true))
	sender := NewSender(NewJournal(env.platform, "kakkanad", "judge", telemetry.Discard()), other, env.engine, env.clock, readTimeout)
	ctx := context.Background()
	is.NoErr(sender.Issue(ctx, "e1", "addr", table.FencingChecked, wantVersion("judge")))
	_, err := sender.Complete(ctx, "e1", "addr")
	is.NoErr(err)
	is.True(errors.Is(a.give(table.FencingChecked, "hints"), ErrFenceBehind))
	is.NoErr(a.lease.Release(ctx))
	a.stepLease(t)
	is.NoErr(a.give(table.FencingChecked, "hints"))
	is.Equal(env.engine.lastOrder, env.engine.applied[1].ID)
}

// On an engine that checks fencing numbers, and with any interleaving of two
// stewards, delayed orders and faults, each order takes effect at most once and
// the fencing numbers of the applied orders never decrease.
func TestOrdersNeverConflict(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		env := newTestEnv(true)
		stewards := []*steward{env.newSteward("a"), env.newSteward("b")}
		versions := []string{"v1", "v2", "v3"}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			s := rapid.SampledFrom(stewards).Draw(rt, "steward")
			env.engine.loseAnswer = rapid.Bool().Draw(rt, "lost")
			env.engine.loseOrder = rapid.Bool().Draw(rt, "dropped")
			if env.engine.deliverDelayed == nil {
				env.engine.delayOrder = rapid.Bool().Draw(rt, "hold")
			}
			env.platform.SetFault(rapid.SampledFrom([]store.Fault{
				store.FaultNone, store.FaultNone, store.FaultLostResponses, store.FaultLostWrites, store.FaultLateWrites, store.FaultDown,
			}).Draw(rt, "fault"))
			if rapid.IntRange(0, 3).Draw(rt, "late writes are executed") == 0 {
				env.platform.RunLate()
			}
			// Errors are ignored: the test is about unknown outcomes.
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				_ = s.lease.Step(context.Background(), true)
			case 1:
				_ = s.give(table.FencingChecked, rapid.SampledFrom(versions).Draw(rt, "version"))
			case 2:
				_, _ = s.sender.Complete(context.Background(), "e1", "addr")
			case 3:
				env.now += time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond
			case 4:
				if env.engine.deliverDelayed != nil {
					_ = env.engine.deliverDelayed()
					env.engine.deliverDelayed = nil
				}
			}
		}
		seen := map[string]bool{}
		fence := uint64(0)
		for _, o := range env.engine.applied {
			if seen[o.ID] {
				rt.Fatalf("order %s took effect twice", o.ID)
			}
			if o.Fence < fence {
				rt.Fatalf("order %s with fencing number %d took effect after %d", o.ID, o.Fence, fence)
			}
			seen[o.ID], fence = true, o.Fence
		}
	})
}

// A holder that is replaced after it has checked the lease, but before it writes
// the journal, cannot write it any more.
func TestReplacedHolderCannotJournal(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(true)
	a, b := env.newHolderAndCandidate(t)
	old, ok := a.lease.Held()
	is.True(ok)
	env.now += 2 * ttl
	b.stepLease(t)
	_, ok = b.lease.Held()
	is.True(ok)
	late := Entry{Engine: "e1", Order: target.Order{ID: "late", Fence: old.Fence, Want: wantVersion("v0")}}
	_, err := NewJournal(env.platform, "kakkanad", "hints", telemetry.Discard()).Write(context.Background(), old, late)
	is.True(errors.Is(err, store.ErrConflict))
	is.NoErr(b.give(table.FencingChecked, "v1")) // the row is unchanged
}

// A delayed order arrives after a later one of the same tenure. It must not undo
// the later one.
func TestLateOrderOfTheSameTenure(t *testing.T) {
	for _, fencing := range []table.Fencing{table.FencingChecked, table.FencingIgnored} {
		is := is.New(t)
		env := newTestEnv(fencing == table.FencingChecked)
		a := env.newSteward("a")
		a.stepLease(t)
		env.now += readTimeout
		a.stepLease(t)
		env.engine.delayOrder = true
		_ = a.give(fencing, "v1") // in transit
		a.complete(t)             // sends it again
		is.True(a.complete(t))
		if fencing == table.FencingIgnored {
			is.True(errors.Is(a.give(fencing, "v2"), ErrTooEarly)) // the first order may still arrive
			continue
		}
		is.NoErr(a.give(fencing, "v2"))
		is.True(errors.Is(env.engine.deliverDelayed(), target.ErrFenced))
		is.Equal(env.engine.applied[len(env.engine.applied)-1].Want.Version, "v2")
	}
}

// Guards against one malformed row of the journal ending the orders to all engines of the data centre.
func TestMalformedRowHidesNoOther(t *testing.T) {
	for _, row := range []string{
		"[", `{"engine":"e1","order":{"fence":1e30}}`, `{"engine":"e9"}`, strings.Repeat("[", 20000),
	} {
		is := is.New(t)
		env := newTestEnv(true)
		a, b := env.newHolderAndCandidate(t)
		is.NoErr(a.give(table.FencingChecked, "v1"))
		for _, engine := range []string{"e1", "e2"} {
			_, err := env.platform.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: keyPrefix + "kakkanad/" + engine, Value: []byte(row)}}})
			is.NoErr(err)
		}
		env.now += 2 * ttl
		b.stepLease(t)
		is.NoErr(b.give(table.FencingChecked, "v2"))
		is.True(b.complete(t))
		is.Equal(env.engine.lastOrder, env.engine.applied[1].ID)
		is.NoErr(b.give(table.FencingChecked, "v3"))
	}
}
