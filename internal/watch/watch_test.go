package watch_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/watch"
)

// feed is a scripted store: each call returns the next step, and calls after the last step fail.
type feed struct {
	mu sync.Mutex
	// steps are the steps that are left.
	steps []step
	// calls holds "list" for each call of ListRows and "changes" for each call of Changes.
	calls []string
	// waits are the timeouts of the calls of Changes.
	waits []time.Duration
}

// step is the result of one call.
type step struct {
	rows store.Rows
	err  error
}

// next records a call and returns the next step.
func (f *feed) next(call string) (store.Rows, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	if len(f.steps) == 0 {
		time.Sleep(time.Millisecond)
		return store.Rows{}, store.ErrUnavailable
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	return s.rows, s.err
}

// ListRows implements store.Feed.
func (f *feed) ListRows(context.Context, string) (store.Rows, error) { return f.next("list") }

// Changes implements store.Feed.
func (f *feed) Changes(_ context.Context, _ string, _ uint64, wait time.Duration) (store.Rows, error) {
	f.mu.Lock()
	f.waits = append(f.waits, wait)
	f.mu.Unlock()
	return f.next("changes")
}

// left returns the number of steps that are left.
func (f *feed) left() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.steps)
}

// eventually fails the test unless ok returns true within 5 s.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met within 5 s")
}

// joined is the channel that the fake groups return from Joined. It is closed, which means that the
// members of the group are known.
var joined = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// soloGroup is a group of one VM.
type soloGroup struct{}

// Joined implements watch.Group.
func (soloGroup) Joined() <-chan struct{} { return joined }

func (soloGroup) Sentinel() bool        { return true }
func (soloGroup) Size() int             { return 1 }
func (soloGroup) ForwardsChanges() bool { return false }

// Publish implements watch.Group. It does nothing.
func (soloGroup) Publish(string, store.Delta) {}

// row returns a row with the given key whose value is an empty JSON object.
func row(key string) store.Row { return store.Row{Key: key, Value: []byte(`{}`)} }

// follow runs a table through the steps. It returns the rows that the table applied, whether they
// were the whole table, and the calls that it made.
func follow(t *testing.T, steps []step) (applied []store.Rows, full []bool, calls []string) {
	t.Helper()
	f := &feed{steps: steps}
	var mu sync.Mutex
	link := watch.NewLink(telemetry.Discard())
	w := watch.NewTable(f, "t", link, soloGroup{}, func(rows store.Rows, whole bool) {
		mu.Lock()
		defer mu.Unlock()
		applied, full = append(applied, rows), append(full, whole)
	}, telemetry.Discard())
	if err := w.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return f.left() == 0 })
	if err := w.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	return applied, full, f.calls
}

// A table is read whole once, and then its changes are read.
func TestTableIsListedOnceAndThenChangesAreRead(t *testing.T) {
	is := is.New(t)
	applied, full, calls := follow(t, []step{
		{rows: store.Rows{Rows: []store.Row{row("a")}, Revision: 5}},
		{rows: store.Rows{Revision: 6}},
		{rows: store.Rows{Rows: []store.Row{row("b")}, Revision: 8}},
	})
	is.Equal(full, []bool{true, false}) // the response without rows is not applied
	is.Equal(applied[1].Revision, uint64(8))
	is.Equal(calls[:3], []string{"list", "changes", "changes"})
}

// After failed calls the table goes on with changes and is not read whole again.
func TestFailedCallsDoNotCauseAnotherList(t *testing.T) {
	is := is.New(t)
	_, _, calls := follow(t, []step{
		{rows: store.Rows{Revision: 5}},
		{err: store.ErrUnavailable},
		{err: errors.Wrap(store.ErrUnavailable, "429")},
		{rows: store.Rows{Rows: []store.Row{row("b")}, Revision: 8}},
	})
	is.Equal(calls[:4], []string{"list", "changes", "changes", "changes"})
}

// The call after a failed one is a poll, so that the end of an outage is noticed at once and not
// after a long poll.
func TestCallAfterAFailureIsAPoll(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{
		{rows: store.Rows{Revision: 5}}, {rows: store.Rows{Revision: 5}},
		{err: store.ErrUnavailable}, {err: store.ErrUnavailable},
		{rows: store.Rows{Revision: 5}}, {rows: store.Rows{Revision: 5}},
	}}
	w := watch.NewTable(f, "t", watch.NewLink(telemetry.Discard()), soloGroup{},
		func(store.Rows, bool) {}, telemetry.Discard())
	is.NoErr(w.Start(context.Background()))
	eventually(t, func() bool { return f.left() == 0 })
	is.NoErr(w.Stop(context.Background()))
	const soon = 10 * time.Millisecond
	is.True(f.waits[0] > soon) // no call has failed
	is.True(f.waits[1] > soon) // this call fails
	is.True(f.waits[2] < soon)
	is.True(f.waits[3] < soon) // this call succeeds
	is.True(f.waits[4] > soon)
}

// If the store no longer has the changes, the table is read whole again. A response with an older
// revision than the one already applied is not applied.
func TestTableIsListedAgainWhenHistoryIsGone(t *testing.T) {
	is := is.New(t)
	applied, full, _ := follow(t, []step{
		{rows: store.Rows{Rows: []store.Row{row("a")}, Revision: 9}},
		{err: store.ErrHistoryGone},
		{rows: store.Rows{Rows: []store.Row{row("old")}, Revision: 4}}, // a stale read
		{rows: store.Rows{Rows: []store.Row{row("new")}, Revision: 12}},
	})
	is.Equal(full, []bool{true, true})
	is.Equal(applied[1].Rows[0].Key, "new")
}

// fleetFixture is a fleet of two targets, i-a and i-b, with the link that it uses.
type fleetFixture struct {
	keeper *fleet.Keeper
	link   *watch.Link
	fleet  *watch.Fleet
}

// newFleetFixture returns a fleet of two targets on a link without an outage.
func newFleetFixture() *fleetFixture {
	w := &fleetFixture{keeper: fleet.NewKeeper(), link: watch.NewLink(telemetry.Discard())}
	d := watch.Decoder{
		ConfigKey: "config",
		Config: func(value []byte) (*fleet.Config, error) {
			var c struct{ Version uint64 }
			err := json.Unmarshal(value, &c)
			return fleet.NewConfig(c.Version, nil, nil, fleet.Limits{}), err
		},
		Target: func(id string, _ []byte) (*fleet.Target, error) { return &fleet.Target{ID: id, Service: "s"}, nil },
	}
	w.fleet = watch.NewFleet(w.keeper, d, w.link, telemetry.Discard())
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{row("i-a"), row("i-b")}, Revision: 1}, true)
	return w
}

// has returns whether the fleet has the target.
func (w *fleetFixture) has(id string) bool {
	return w.keeper.View().Has(&fleet.Target{ID: id, Service: "s"})
}

// reconnect makes a call on the link fail and the next one succeed, as after a short outage of the
// store.
func (w *fleetFixture) reconnect(t *testing.T) {
	t.Helper()
	f := &feed{steps: []step{{err: store.ErrUnavailable}, {rows: store.Rows{Revision: 1}}}}
	table := watch.NewTable(f, "t", w.link, soloGroup{}, func(store.Rows, bool) {}, telemetry.Discard())
	if err := table.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return f.left() == 0 })
	if err := table.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Without an outage of the store, a target whose entry is removed is removed at once.
func TestTargetIsRemovedAtOnceWithoutAnOutage(t *testing.T) {
	is := is.New(t)
	w := newFleetFixture()
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{{Key: "i-a", Removed: true}}, Revision: 2}, false)
	is.True(!w.has("i-a"))
	is.True(w.has("i-b"))
}

// A target whose entry disappears just after an outage of the store is kept for removalGrace, and
// stays if it registers again in that time. Once removalGrace has passed since the outage, targets
// are removed at once, as without an outage.
func TestTargetIsKeptForAWhileAfterAnOutage(t *testing.T) {
	is := is.New(t)
	w := newFleetFixture()
	w.reconnect(t)
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{row("i-b")}, Revision: 2}, true)
	is.True(w.has("i-a")) // the entry may have expired only because of the outage
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{row("i-a")}, Revision: 3}, false)
	time.Sleep(2 * time.Second)
	is.True(w.has("i-a")) // the target has registered again
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{{Key: "i-b", Removed: true}}, Revision: 4}, false)
	is.True(!w.has("i-b")) // the outage ended more than removalGrace ago
}

// A target whose entry disappears just after an outage and that does not register again is removed.
func TestTargetThatDoesNotRegisterAgainIsRemoved(t *testing.T) {
	is := is.New(t)
	w := newFleetFixture()
	w.reconnect(t)
	w.fleet.ApplyTargets(store.Rows{Rows: []store.Row{row("i-b")}, Revision: 2}, true)
	is.True(w.has("i-a"))
	eventually(t, func() bool { return !w.has("i-a") })
}

// failingStore is a store whose first call of Changes fails after a while, as in a network outage.
// The next call returns the removal of a target.
type failingStore struct {
	// takes is how long the first call of Changes takes.
	takes time.Duration
	// began is when the first call of Changes began, or nil before that.
	began atomic.Pointer[time.Time]
}

// ListRows implements store.Feed.
func (s *failingStore) ListRows(context.Context, string) (store.Rows, error) {
	return store.Rows{Rows: []store.Row{row("i-a"), row("i-b")}, Revision: 1}, nil
}

// Changes implements store.Feed.
func (s *failingStore) Changes(ctx context.Context, _ string, after uint64,
	_ time.Duration) (store.Rows, error) {
	now := time.Now()
	switch {
	case s.began.CompareAndSwap(nil, &now):
		time.Sleep(s.takes)
		return store.Rows{}, store.ErrUnavailable
	case after < 2:
		return store.Rows{Rows: []store.Row{{Key: "i-a", Version: 2, Removed: true}}, Revision: 2}, nil
	}
	<-ctx.Done()
	return store.Rows{}, ctx.Err()
}

// Guards against sending requests to a target 3.4 s after the target's entry disappeared. By then
// the VM has been able to reach the store again for 3 s and must no longer use the target. A
// network outage separates a VM from the store, the target's entry disappears, and the outage ends
// during a call that must still time out. The VM learns of the removal only after the timeout and a
// pause, and keeps the target for 1.7 s (removalGrace), because the entry may have expired only for
// lack of renewals. The failure occurs if removalGrace counts from the first response that the VM
// receives, up to 1.5 s after the end of the outage. The logs then show store_call_failed with
// ms=700, store_regained 1.5 s after the end of the outage, and gone=true with lapsed=true, which
// marks a delayed removal, another 1.7 s later.
func TestRemovalGraceCountsFromTheEndOfTheOutage(t *testing.T) {
	is := is.New(t)
	w := newFleetFixture()
	f := &failingStore{takes: 1300 * time.Millisecond}
	table := watch.NewTable(f, "t", w.link, soloGroup{}, w.fleet.ApplyTargets, telemetry.Discard())
	is.NoErr(table.Start(context.Background()))
	eventually(t, func() bool { return f.began.Load() != nil })
	began := *f.began.Load()
	time.Sleep(time.Until(began.Add(2 * time.Second)))
	is.True(w.has("i-a")) // the entry may have expired only because of the outage
	time.Sleep(time.Until(began.Add(2900 * time.Millisecond)))
	is.True(!w.has("i-a"))
	is.NoErr(table.Stop(context.Background()))
}
