package watch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/watch"
)

// listOf returns a response with the whole table as of a revision, whose rows were written at the given
// versions.
func listOf(revision uint64, versions map[string]uint64) step {
	s := step{rows: store.Rows{Revision: revision}}
	for key, version := range versions {
		s.rows.Rows = append(s.rows.Rows, store.Row{Key: key, Value: []byte(`{}`), Version: version})
	}
	return s
}

// positionOf returns the position of a VM that has read the table whole, as the given response.
func positionOf(t *testing.T, s step) store.Position {
	t.Helper()
	table, a := startTable(t, &feed{steps: []step{s}}, &largeGroup{})
	eventually(t, func() bool { return a.last() == s.rows.Revision && table.Position().Revision == a.last() })
	return table.Position()
}

// Guards against removals that only the sentinel learns which reads the table whole as its history is gone:
// no later read of changes states them to the other VMs.
func TestListAfterALostHistoryForwardsRemovals(t *testing.T) {
	is := is.New(t)
	g := &largeGroup{}
	g.sentinel.Store(true)
	_, a := startTable(t, &feed{steps: []step{listOf(5, map[string]uint64{"a": 2, "b": 5}), {err: store.ErrHistoryGone},
		listOf(9, map[string]uint64{"b": 5, "c": 8}), {err: store.ErrHistoryGone}, listOf(12, map[string]uint64{"b": 5, "c": 8})}}, g)
	eventually(t, func() bool { return a.last() == 12 })
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(len(g.published), 1) // the second list holds nothing new
	d := g.published[0]
	is.Equal([]uint64{d.From, d.Until, d.Rows.Revision}, []uint64{5, 5, 9})
	is.Equal([]any{d.Rows.Rows[0].Key, d.Rows.Rows[0].Version, len(d.Rows.Rows)}, []any{"c", uint64(8), 2})
	is.Equal(d.Rows.Rows[1], store.Row{Key: "a", Version: 9, Removed: true})
}

// Guards against a copy that counts as confirmed by another VM's whole read, and is never read again,
// although a row that it holds was removed before that read.
func TestWholeReadOfAnotherVMShowsRemovals(t *testing.T) {
	is := is.New(t)
	peer := positionOf(t, listOf(9, map[string]uint64{"b": 5}))
	f := &feed{steps: []step{listOf(6, map[string]uint64{"a": 2, "b": 5}),
		{rows: store.Rows{Revision: 9, Rows: []store.Row{{Key: "a", Version: 8, Removed: true}}}}}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 6 && !table.AsOf().IsZero() })
	confirmed, heard := table.AsOf(), time.Now().Add(time.Second)
	is.True(table.ObservePeer(peer, heard, 0))
	is.Equal(table.AsOf(), confirmed)
	table.NotifyNewer(peer.Revision)
	eventually(t, func() bool { return a.last() == 9 })
	is.True(!table.ObservePeer(peer, heard, 0))
	is.Equal(table.AsOf(), heard)
}

// A whole read that holds the same rows costs no call, and changes that follow it are no gap. Only the same
// rows count: one that is written again, is added, or of which nothing is known does not.
func TestWholeReadOfTheSameRowsCostsNoCall(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{listOf(6, map[string]uint64{"a": 2, "b": 5})}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 6 && table.Position().Revision == 6 })
	for _, other := range []store.Position{
		positionOf(t, listOf(9, map[string]uint64{"a": 7, "b": 5})),
		positionOf(t, listOf(9, map[string]uint64{"a": 2, "b": 5, "c": 3})),
		positionOf(t, listOf(9, nil)),
		{Revision: 9},
	} {
		is.True(table.ObservePeer(other, time.Now(), 0))
	}
	heard := time.Now().Add(time.Second)
	is.True(!table.ObservePeer(positionOf(t, listOf(9, map[string]uint64{"a": 2, "b": 5})), heard, 0))
	is.Equal(table.AsOf(), heard)
	eventually(t, func() bool { return a.last() == 9 })
	table.Offer(delta(9, 11))
	eventually(t, func() bool { return a.last() == 11 })
	is.Equal(f.called(), 1)
}

// Load pattern: the sentinels of a large group restart, a row is removed meanwhile, and the history of the
// store does not reach back to the last change before. The other VMs copy the table from each other and do
// not all list it.
func TestTableIsCopiedWhenHistoryIsGone(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{{err: store.ErrHistoryGone}, {err: store.ErrHistoryGone}, stepAt(20)}}
	c, copies := &copier{copies: []snapshot.Snapshot{copyAt(5), copyAt(9)}}, &recorder{}
	table, a := startTable(t, f, &largeGroup{}, withCopier(c, copies))
	eventually(t, func() bool { return copies.last() == 5 })
	table.NotifyNewer(9)
	eventually(t, func() bool { return copies.last() == 9 })
	is.Equal(f.called(), 1)
	is.True(table.AsOf().IsZero())
	table.NotifyNewer(20) // no VM has a copy that is new enough
	eventually(t, func() bool { return a.last() == 20 })
}

// The other VMs are told of a table with SetListOnPoll too, which a sentinel reads whole in each poll.
func TestPolledListForwardsChanges(t *testing.T) {
	is := is.New(t)
	g := &largeGroup{}
	g.sentinel.Store(true)
	table, a := startTable(t, &slowFeed{feed: feed{steps: []step{stepAt(5), stepAt(9)}}, takes: time.Hour}, g, (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return a.last() == 5 })
	table.Confirm()
	eventually(t, func() bool { return a.last() == 9 })
	eventually(t, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.published) == 1 })
	is.Equal(g.published[0].From, uint64(5))
}

// A row that cannot be used, which is not in copies, makes no VM that has copied the table read it again.
func TestUnusableRowCostsNoCall(t *testing.T) {
	is := is.New(t)
	usable := func(table *watch.Table) { table.SetUsable(func(key string) bool { return key != "odd" }) }
	lists := []step{listOf(9, map[string]uint64{"k": 5, "odd": 7}), {err: store.ErrHistoryGone}, listOf(12, map[string]uint64{"k": 5, "odd": 7})}
	sentinels := &largeGroup{}
	sentinels.sentinel.Store(true)
	from, a := startTable(t, &feed{steps: lists}, sentinels, usable)
	eventually(t, func() bool { return a.last() == 12 && from.Position().Revision == 12 })

	f := &feed{}
	c, copies := &copier{copies: []snapshot.Snapshot{{Revision: 8, Newest: 7}}, keys: []string{"k"}}, &recorder{}
	to, _ := startTable(t, f, &largeGroup{}, withCopier(c, copies), usable)
	eventually(t, func() bool { return copies.last() == 8 && to.Position().Revision == 8 })
	is.True(!to.ObservePeer(from.Position(), time.Now(), 0))
	is.Equal(f.called(), 0)
}

// A difference between two reads of the whole table is not applied by a copy that is later than the first one: it may hold
// rows that were written and removed in between.
func TestDifferenceIsNotAppliedByALaterCopy(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{stepAt(6), stepAt(9)}}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 6 })
	d := delta(4, 8)
	d.Until = 5
	table.Offer(d)
	eventually(t, func() bool { return a.last() == 9 })
	is.Equal(a.revisions, []uint64{6, 9})
	is.Equal(f.called(), 2)
	d = delta(9, 12)
	d.Until = 9
	table.Offer(d)
	eventually(t, func() bool { return a.last() == 12 })
	is.Equal(f.called(), 2)
}
