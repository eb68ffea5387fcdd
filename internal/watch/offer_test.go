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

// large is a group whose sentinels pass on what they read.
type large struct {
	sentinel atomic.Bool
	mu       sync.Mutex
	passed   []store.Delta
}

func (*large) Joined() <-chan struct{} { return joined }

func (g *large) Sentinel() bool { return g.sentinel.Load() }
func (g *large) Size() int      { return 1 }
func (g *large) PassesOn() bool { return true }

func (g *large) Publish(_ string, d store.Delta) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passed = append(g.passed, d)
}

// applied keeps the revisions that a follower took in.
type applied struct {
	mu        sync.Mutex
	revisions []uint64
}

func (a *applied) apply(rows store.Rows, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revisions = append(a.revisions, rows.Revision)
}

func (a *applied) last() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.revisions) == 0 {
		return 0
	}
	return a.revisions[len(a.revisions)-1]
}

func at(revision uint64) step {
	return step{rows: store.Rows{Revision: revision, Rows: []store.Row{{Key: "k", Value: []byte(`{}`), Version: revision}}}}
}

func delta(from, to uint64) store.Delta { return store.Delta{From: from, Rows: at(to).rows} }

func startTable(t *testing.T, f store.Feed, g watch.Group, options ...func(*watch.Table)) (*watch.Table, *applied) {
	t.Helper()
	a := &applied{}
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

func (f *feed) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// A VM to which changes are passed on makes no call while none is missing.
func TestPassedOnChangesNeedNoCall(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{at(5)}}
	table, a := startTable(t, f, &large{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(5, 7))
	eventually(t, func() bool { return a.last() == 7 })
	table.Offer(delta(4, 6)) // late: known already
	table.Offer(delta(6, 9)) // overlaps: what is known comes again
	eventually(t, func() bool { return a.last() == 9 })
	time.Sleep(300 * time.Millisecond)
	is.Equal(f.called(), 1)
	is.Equal(a.revisions, []uint64{5, 7, 9})
}

// Changes that are missing between are asked for, and nothing goes back.
func TestMissingChangesAreAskedFor(t *testing.T) {
	is := is.New(t)
	f := &feed{steps: []step{at(5), at(9)}}
	table, a := startTable(t, f, &large{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(8, 9)) // 6 to 8 were lost on the way
	eventually(t, func() bool { return a.last() == 9 })
	is.Equal(f.called(), 2)
	table.Offer(delta(5, 8))
	table.Offer(delta(9, 10))
	eventually(t, func() bool { return a.last() == 10 })
	is.Equal(a.revisions, []uint64{5, 9, 10})
}

// Word of a newer row makes a resting VM ask, and a VM that becomes a sentinel
// watches itself.
func TestRestingVMAsksWhenTold(t *testing.T) {
	g := &large{}
	f := &feed{steps: []step{at(5), at(6), at(7)}}
	table, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 5 })
	table.Newer(6)
	eventually(t, func() bool { return a.last() == 6 })
	g.sentinel.Store(true)
	eventually(t, func() bool { return a.last() == 7 })
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.passed[len(g.passed)-1]
	is.New(t).Equal(last.From, uint64(6))
	is.New(t).Equal(last.Rows.Revision, uint64(7))
}

// A store that cannot be reached when a resting VM asks is asked again.
func TestRestingVMAsksUntilAnswered(t *testing.T) {
	f := &feed{steps: []step{at(5), {err: store.ErrUnavailable}, {err: store.ErrUnavailable}, at(8)}}
	table, a := startTable(t, f, &large{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Newer(8)
	eventually(t, func() bool { return a.last() == 8 })
}

// Revisions without a change of the table leave no gap: a VM that rests has not
// heard of them.
func TestPassedOnChangesFollowTheLastChange(t *testing.T) {
	is := is.New(t)
	g := &large{}
	g.sentinel.Store(true)
	f := &feed{steps: []step{at(5), {rows: store.Rows{Revision: 8}}, at(9)}}
	_, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 9 })
	eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.passed) > 0
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(g.passed[0].From, uint64(5))
}

// narrow is a feed whose answers take a while, as over a narrow link.
type narrow struct {
	feed
	takes time.Duration
}

func (n *narrow) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	select {
	case <-ctx.Done():
		return store.Rows{}, ctx.Err()
	case <-time.After(n.takes):
		return n.feed.Changes(ctx, table, after, wait)
	}
}

// More word of newer rows does not end a call that is made for them: it would
// never be answered where an answer takes longer than word takes to come again.
func TestCallForNewsIsNotEndedByMoreNews(t *testing.T) {
	f := &narrow{feed: feed{steps: []step{at(5), at(6)}}, takes: 200 * time.Millisecond}
	table, a := startTable(t, f, &large{})
	eventually(t, func() bool { return a.last() == 5 })
	table.Newer(6)
	end := time.Now().Add(2 * time.Second)
	for a.last() != 6 && time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		table.Newer(6)
	}
	is.New(t).Equal(a.last(), uint64(6))
}

// behind is a store whose reads are older than what others have read.
type behind struct{ calls atomic.Int64 }

func (b *behind) ListRows(context.Context, string) (store.Rows, error) { return at(5).rows, nil }

func (b *behind) Changes(context.Context, string, uint64, time.Duration) (store.Rows, error) {
	b.calls.Add(1)
	return store.Rows{Revision: 5}, nil
}

// A store that does not show yet what others have read is asked again, but not
// without pause: calls are priced, and all VMs would make them at once.
func TestNewsThatDoesNotComeIsAskedForSeldom(t *testing.T) {
	is := is.New(t)
	f := &behind{}
	table, a := startTable(t, f, &large{})
	eventually(t, func() bool { return a.last() == 5 })
	for range 40 {
		table.Newer(9)
		time.Sleep(50 * time.Millisecond)
	}
	n := f.calls.Load()
	is.True(n >= 2) // asked again
	is.True(n <= 4) // one in 800 ms
}

// A table of few, large rows is listed where news is missing: its changes would
// hold each version.
func TestTableOfFewRowsIsListedForNews(t *testing.T) {
	is := is.New(t)
	g := &large{}
	f := &feed{steps: []step{at(5), at(9), at(10)}}
	table, a := startTable(t, f, g, (*watch.Table).SetWhole)
	eventually(t, func() bool { return a.last() == 5 })
	table.Newer(8)
	eventually(t, func() bool { return a.last() == 9 })
	g.sentinel.Store(true) // watches for changes itself
	eventually(t, func() bool { return a.last() == 10 })
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.calls[:3], []string{"list", "list", "changes"})
}

// A sentinel whose calls fail takes in what another one passes on.
func TestCutOffSentinelTakesWhatIsPassedOn(t *testing.T) {
	g := &large{}
	g.sentinel.Store(true)
	f := &feed{steps: []step{at(5)}} // all calls after it fail
	table, a := startTable(t, f, g)
	eventually(t, func() bool { return a.last() == 5 })
	table.Offer(delta(5, 7))
	eventually(t, func() bool { return a.last() == 7 })
}
