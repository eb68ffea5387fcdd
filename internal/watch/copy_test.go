package watch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/watch"
)

// copier is a fake Copier. It returns copies in order, the last one again and again, and ErrNone if
// the next one is too old.
type copier struct {
	mu     sync.Mutex
	copies []snapshot.Snapshot
	// keys are the keys of the rows in each copy.
	keys []string
	// fetched holds the revisions that were asked for.
	fetched []uint64
}

// Fetch implements watch.Copier.
func (c *copier) Fetch(_ context.Context, _ string, newest uint64, _ bool) (snapshot.Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetched = append(c.fetched, newest)
	if len(c.copies) == 0 || c.copies[0].Newest < newest {
		return snapshot.Snapshot{}, snapshot.ErrNone
	}
	s := c.copies[0]
	if len(c.copies) > 1 {
		c.copies = c.copies[1:]
	}
	return s, nil
}

// asked returns how often a copy was asked for.
func (c *copier) asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.fetched)
}

// copyAt returns a copy as of a revision.
func copyAt(revision uint64) snapshot.Snapshot {
	return snapshot.Snapshot{Revision: revision, Newest: revision}
}

// withCopier makes a table copy from c, and a record the revisions of the copies.
func withCopier(c *copier, a *recorder) func(*watch.Table) {
	return func(t *watch.Table) {
		t.SetCopier(c, func(s snapshot.Snapshot) ([]string, error) {
			a.apply(store.Rows{Revision: s.Revision}, true)
			return c.keys, nil
		})
	}
}

// An idle VM copies the table from another VM and goes on with the changes that sentinels forward. It
// makes no call to the store.
func TestIdleVMCopiesTheTable(t *testing.T) {
	is := is.New(t)
	f, c, copies := &feed{steps: []step{stepAt(1)}}, &copier{copies: []snapshot.Snapshot{copyAt(5)}}, &recorder{}
	table, a := startTable(t, f, &largeGroup{}, withCopier(c, copies))
	eventually(t, func() bool { return copies.last() == 5 && table.Position().Newest == 5 })
	table.Offer(delta(5, 7))
	eventually(t, func() bool { return a.last() == 7 })
	is.Equal(f.called(), 0)
	is.Equal(c.asked(), 1)
	is.True(table.AsOf().IsZero()) // a copy confirms nothing
}

// A row that does not fit into a datagram is copied too, and the store is asked for it if no other
// VM has it.
func TestNewerRowIsCopied(t *testing.T) {
	is := is.New(t)
	f, c, copies := &feed{steps: []step{stepAt(20)}}, &copier{copies: []snapshot.Snapshot{copyAt(5), copyAt(9)}}, &recorder{}
	table, a := startTable(t, f, &largeGroup{}, withCopier(c, copies), (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return copies.last() == 5 })
	table.NotifyNewer(9)
	eventually(t, func() bool { return copies.last() == 9 })
	is.Equal(f.called(), 0)
	table.NotifyNewer(20)
	eventually(t, func() bool { return a.last() == 20 })
	is.Equal(f.called(), 1)
}

// Sentinels, and VMs that are to confirm their copy, ask the store.
func TestStoreIsAskedWhereACopyIsNotEnough(t *testing.T) {
	is := is.New(t)
	c, copies := &copier{copies: []snapshot.Snapshot{copyAt(5)}}, &recorder{}
	sentinels := &largeGroup{}
	sentinels.sentinel.Store(true)
	f := &feed{steps: []step{stepAt(6)}}
	_, a := startTable(t, f, sentinels, withCopier(c, copies))
	eventually(t, func() bool { return a.last() == 6 })
	is.Equal(c.asked(), 0)

	f = &feed{steps: []step{stepAt(6)}}
	table, a := startTable(t, f, &largeGroup{}, withCopier(c, copies), (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return copies.last() == 5 })
	table.Confirm()
	eventually(t, func() bool { return a.last() == 6 && !table.AsOf().IsZero() })
}

// A copy that is older than what the VM has is not applied.
func TestOlderCopyIsNotApplied(t *testing.T) {
	is := is.New(t)
	f, c, copies := &feed{steps: []step{stepAt(30)}}, &copier{copies: []snapshot.Snapshot{copyAt(10), {Revision: 8, Newest: 25}}}, &recorder{}
	table, a := startTable(t, f, &largeGroup{}, withCopier(c, copies), (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return copies.last() == 10 })
	table.NotifyNewer(25)
	eventually(t, func() bool { return a.last() == 30 })
	is.Equal(copies.last(), uint64(10))
}

// newCopiedFleet returns a Fleet, and a keeper with what it has applied.
func newCopiedFleet() (*watch.Fleet, *fleet.Keeper) {
	k := fleet.NewKeeper()
	decode := watch.Decoder{ConfigKey: "config",
		Config: func(value []byte) (*fleet.Config, error) {
			return fleet.NewConfig(uint64(len(value)), nil, nil, fleet.Limits{}), nil
		},
		Target: func(id string, value []byte) (*fleet.Target, error) {
			return &fleet.Target{ID: id, Run: id, Service: string(value), Address: "10.1.2.3:80", DataCentre: "a", Slots: 4, Stage: fleet.Decode}, nil
		}}
	return watch.NewFleet(k, decode, watch.NewLink(telemetry.Discard()), telemetry.Discard()), k
}

// A copy of the tables gives another VM the same view, without what the first one has not, and
// removes what is not in it.
func TestCopiesHoldTheWholeView(t *testing.T) {
	is := is.New(t)
	from, fromKeeper := newCopiedFleet()
	to, toKeeper := newCopiedFleet()
	_, ok := from.TargetCopies().Snapshot()
	is.True(!ok)
	_, ok = from.ConfigCopies().Snapshot()
	is.True(!ok)
	rows := store.Rows{Revision: 12}
	for i := range 300 {
		rows.Rows = append(rows.Rows, store.Row{Key: fmt.Sprintf("t%03d", i), Value: []byte(fmt.Sprint("s", i%3)), Version: uint64(i / 30)})
	}
	from.ApplyTargets(rows, true)
	from.ApplyConfig(store.Rows{Revision: 14, Rows: []store.Row{{Key: "config", Value: []byte("12345"), Version: 13}}}, true)
	to.ApplyTargets(store.Rows{Revision: 3, Rows: []store.Row{{Key: "gone", Value: []byte("s0"), Version: 3}}}, true)

	for range 2 {
		s, ok := from.TargetCopies().Snapshot()
		is.True(ok)
		is.Equal([]uint64{s.Revision, s.Newest}, []uint64{12, 9})
		keys, err := to.ApplyTargetCopy(s)
		is.NoErr(err)
		is.Equal(len(keys), len(rows.Rows))
	}
	c, ok := from.ConfigCopies().Snapshot()
	is.True(ok)
	is.Equal([]uint64{c.Revision, c.Newest}, []uint64{14, 13})
	keys, err := to.ApplyConfigCopy(c)
	is.NoErr(err)
	is.Equal(keys, []string{"config"})
	is.Equal(toKeeper.View().Config.Version, uint64(5))
	is.Equal(toKeeper.View().TargetsRevision, uint64(12))
	is.Equal(toKeeper.View().Targets, fromKeeper.View().Targets)
	again, ok := to.TargetCopies().Snapshot() // a copy can be passed on
	is.True(ok)
	is.Equal([]uint64{again.Revision, again.Newest}, []uint64{12, 9})

	_, err = to.ApplyTargetCopy(snapshot.Snapshot{Revision: 20, Data: []byte("x")})
	is.True(err != nil)
	is.Equal(toKeeper.View().TargetsRevision, uint64(12))
}

// A copy of ten thousand targets fits a narrow link: 0.4 s at 10 Mbit/s.
func TestSizeOfACopy(t *testing.T) {
	is := is.New(t)
	f, _ := newCopiedFleet()
	rows := store.Rows{Revision: 1}
	for i := range 10000 {
		rows.Rows = append(rows.Rows, store.Row{Key: fmt.Sprintf("i-%010x", uint64(i)*2654435761), Value: []byte("s"), Version: 1})
	}
	f.ApplyTargets(rows, true)
	began := time.Now()
	s, ok := f.TargetCopies().Snapshot()
	is.True(ok)
	t.Logf("10,000 targets: %d bytes, encoded in %s", len(s.Data), time.Since(began))
	is.True(len(s.Data) < 500_000)
}

// If a response does not hold all changes, the next ones are read at once, and only the last response
// confirms the copy.
func TestChangesThatDoNotFitAreReadAtOnce(t *testing.T) {
	is := is.New(t)
	var steps []step
	const responses = 8
	for i := range responses {
		s := stepAt(uint64(10 + i))
		s.rows.More = i > 0 && i < responses-1
		steps = append(steps, s)
	}
	g := &slowGroup{}
	g.sentinel.Store(true)
	began := time.Now()
	table, a := startTable(t, &feed{steps: steps}, g)
	eventually(t, func() bool { return a.last() == 10 })
	first := table.AsOf()
	eventually(t, func() bool { return a.last() == 10+responses-1 && table.AsOf().After(first) })
	is.True(time.Since(began) < 4*400*time.Millisecond) // one pause of maxCallGap, not seven
}

// slowGroup is a largeGroup of so many VMs that the time between two calls is the longest.
type slowGroup struct{ largeGroup }

// Size implements watch.Group.
func (g *slowGroup) Size() int { return 1000 }
