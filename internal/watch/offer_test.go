package watch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/watch"
)

// largeGroup is a fake group whose sentinels forward the changes that they read.
type largeGroup struct {
	// sentinel says whether this VM is a sentinel.
	sentinel atomic.Bool
	mu       sync.Mutex
	// published holds the changes that this VM forwarded.
	published []store.Delta
}

// Joined implements watch.Group.
func (*largeGroup) Joined() <-chan struct{} { return joined }

func (g *largeGroup) Sentinel() bool        { return g.sentinel.Load() }
func (g *largeGroup) Size() int             { return 1 }
func (g *largeGroup) ForwardsChanges() bool { return true }

// Publish implements watch.Group. It records the changes in published.
func (g *largeGroup) Publish(_ string, d store.Delta) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.published = append(g.published, d)
}

// recorder records the revisions that a table applied.
type recorder struct {
	mu        sync.Mutex
	revisions []uint64
}

// apply records the revision of the rows. It is the apply argument of watch.NewTable.
func (a *recorder) apply(rows store.Rows, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revisions = append(a.revisions, rows.Revision)
}

// last returns the last revision that was applied, or 0 if none was.
func (a *recorder) last() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.revisions) == 0 {
		return 0
	}
	return a.revisions[len(a.revisions)-1]
}

// stepAt returns a response with one row, written at the given revision.
func stepAt(revision uint64) step {
	return step{rows: store.Rows{Revision: revision,
		Rows: []store.Row{{Key: "k", Value: []byte(`{}`), Version: revision}}}}
}

// delta returns forwarded changes after revision from, with one row, written at revision to.
func delta(from, to uint64) store.Delta { return store.Delta{From: from, Rows: stepAt(to).rows} }

// startTable starts a table that follows the feed f, in the group g, until the test ends, and
// returns the table with a recorder of the revisions that the table applies. The options are called
// on the table before it starts.
func startTable(t *testing.T, f store.Feed, g watch.Group,
	options ...func(*watch.Table)) (*watch.Table, *recorder) {
	t.Helper()
	a := &recorder{}
	table := watch.NewTable(f, "t", watch.NewLink(telemetry.Discard()), g, a.apply, telemetry.Discard())
	for _, option := range options {
		option(table)
	}
	if err := table.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := table.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return table, a
}

// called returns the number of calls so far.
func (f *feed) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// A VM that receives all changes from sentinels makes no call after its first read of the table.
func TestForwardedChangesNeedNoCall(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{stepAt(5)}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(5, 7))
	eventually(t, func() bool { return a.last() == 7 })
	table.Offer(delta(4, 6)) // late: already applied
	table.Offer(delta(6, 9)) // overlaps with changes already applied
	eventually(t, func() bool { return a.last() == 9 })
	time.Sleep(300 * time.Millisecond)
	is.Equal(f.called(), 1)
	is.Equal(a.revisions, []uint64{5, 7, 9})
}

// If forwarded changes are lost, the store is polled for them, and the table never goes back to
// an older revision.
func TestMissingChangesArePolled(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{stepAt(5), stepAt(9)}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(8, 9)) // the change to 8 was lost
	eventually(t, func() bool { return a.last() == 9 })
	is.Equal(f.called(), 2)
	table.Offer(delta(5, 8))
	table.Offer(delta(9, 10))
	eventually(t, func() bool { return a.last() == 10 })
	is.Equal(a.revisions, []uint64{5, 9, 10})
}

// An idle VM polls when NotifyNewer reports a newer version. Once it is a sentinel, it watches the
// store itself and publishes changes.
func TestIdleVMPollsWhenNotified(t *testing.T) {
	g := &largeGroup{}
	f := &feed{steps: []step{stepAt(5), stepAt(6), stepAt(7)}}
	table, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 5 })
	table.NotifyNewer(6)
	eventually(t, func() bool { return a.last() == 6 })
	g.sentinel.Store(true)
	eventually(t, func() bool { return a.last() == 7 })
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.published[len(g.published)-1]
	is.New(t).Equal(last.From, uint64(6))
	is.New(t).Equal(last.Rows.Revision, uint64(7))
}

// An idle VM whose poll fails polls again until the store responds.
func TestIdleVMRetriesFailedPoll(t *testing.T) {
	f := &feed{steps: []step{stepAt(5), {err: store.ErrUnavailable}, {err: store.ErrUnavailable},
		stepAt(8)}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	table.NotifyNewer(8)
	eventually(t, func() bool { return a.last() == 8 })
}

// The field From of published changes is the revision of the last change before them, even if the
// publishing VM has since read later revisions without a change. Idle VMs have not read those, and
// would take a later From for a gap.
func TestPublishedChangesFollowTheLastChange(t *testing.T) {
	is := is.New(t)
	g := &largeGroup{}
	g.sentinel.Store(true)
	f := &feed{steps: []step{stepAt(5), {rows: store.Rows{Revision: 8}}, stepAt(9)}}
	_, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 9 })
	eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.published) > 0
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(g.published[0].From, uint64(5))
}

// slowFeed is a feed whose responses to calls of Changes take a while, as on a narrow link.
type slowFeed struct {
	feed
	takes time.Duration
}

// Changes implements store.Feed.
func (n *slowFeed) Changes(ctx context.Context, table string, after uint64,
	wait time.Duration) (store.Rows, error) {
	select {
	case <-ctx.Done():
		return store.Rows{}, ctx.Err()
	case <-time.After(n.takes):
		return n.feed.Changes(ctx, table, after, wait)
	}
}

// Calling NotifyNewer again does not cancel the poll that is in progress for the newer version.
// Otherwise no poll would succeed if a response takes longer than the time between reports.
func TestNotifyNewerDoesNotCancelPoll(t *testing.T) {
	f := &slowFeed{feed: feed{steps: []step{stepAt(5), stepAt(6)}}, takes: 200 * time.Millisecond}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	table.NotifyNewer(6)
	end := time.Now().Add(2 * time.Second)
	for a.last() != 6 && time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		table.NotifyNewer(6)
	}
	is.New(t).Equal(a.last(), uint64(6))
}

// lagStore is a store that returns older rows than other VMs have read. calls counts the calls of
// Changes.
type lagStore struct{ calls atomic.Int64 }

// ListRows implements store.Feed.
func (b *lagStore) ListRows(context.Context, string) (store.Rows, error) { return stepAt(5).rows, nil }

// Changes implements store.Feed.
func (b *lagStore) Changes(context.Context, string, uint64, time.Duration) (store.Rows, error) {
	b.calls.Add(1)
	return store.Rows{Revision: 5}, nil
}

// A store that does not yet return rows that other VMs have read is polled again, but not without
// pause: calls cost money, and all VMs would make them at the same time.
func TestPollsForMissingRowsAreRateLimited(t *testing.T) {
	is := is.New(t)
	f := &lagStore{}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	for range 40 {
		table.NotifyNewer(9)
		time.Sleep(50 * time.Millisecond)
	}
	n := f.calls.Load()
	is.True(n >= 2) // polled again
	is.True(n <= 4) // one poll per 800 ms
}

// With SetListOnPoll, which is meant for tables of few, large rows, a poll reads the whole table,
// because the changes would contain every version of a row.
func TestTableIsListedOnPoll(t *testing.T) {
	is := is.New(t)
	g := &largeGroup{}
	f := &feed{steps: []step{stepAt(5), stepAt(9), stepAt(10)}}
	table, a := startTable(t, f, g, (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return a.last() == 5 })
	table.NotifyNewer(8)
	eventually(t, func() bool { return a.last() == 9 })
	g.sentinel.Store(true) // a sentinel long-polls for changes
	eventually(t, func() bool { return a.last() == 10 })
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.calls[:3], []string{"list", "list", "changes"})
}

// A sentinel whose own calls fail still applies changes that another sentinel forwards.
func TestCutOffSentinelAppliesForwardedChanges(t *testing.T) {
	g := &largeGroup{}
	g.sentinel.Store(true)
	f := &feed{steps: []step{stepAt(5)}} // all later calls fail
	table, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(5, 7))
	eventually(t, func() bool { return a.last() == 7 })
}
