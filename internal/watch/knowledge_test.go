package watch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/watch"
)

// bound is the time within which changes must take effect. A copy that was confirmed more than
// bound - 500 ms ago does not count as the newest.
const bound = 1500 * time.Millisecond

// fakeStore is a store that responds to all calls at once or, while down is true, to none. calls
// counts the calls.
type fakeStore struct {
	down  atomic.Bool
	calls atomic.Int64
}

// serve responds to any call with the table at revision 5.
func (s *fakeStore) serve(ctx context.Context) (store.Rows, error) {
	s.calls.Add(1)
	if s.down.Load() {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnavailable
	}
	return stepAt(5).rows, nil
}

// ListRows implements store.Feed.
func (s *fakeStore) ListRows(ctx context.Context, _ string) (store.Rows, error) { return s.serve(ctx) }

// Changes implements store.Feed.
func (s *fakeStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Rows, error) {
	return s.serve(ctx)
}

// startIdle starts a VM that has read the store once and calls it only for polls. It returns the
// VM's configuration table with its Freshness, and the store.
func startIdle(t *testing.T) (*watch.Table, *watch.Freshness, *fakeStore) {
	t.Helper()
	f := &fakeStore{}
	config, a := startTable(t, f, &largeGroup{}, (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return a.last() == 5 })
	return config, watch.NewFreshness(config, bound), f
}

// If a copy was last confirmed long ago, a request makes one call to the store, which confirms the
// copy. Requests that follow in quick succession need no further call. While the store is
// unreachable, the copy is not confirmed.
func TestStoreConfirmsOldCopy(t *testing.T) {
	is := is.New(t)
	_, fresh, f := startIdle(t)
	is.True(fresh.Confirmed(context.Background()))
	is.Equal(f.calls.Load(), int64(1))
	time.Sleep(bound)
	for range 3 {
		is.True(fresh.Confirmed(context.Background()))
	}
	is.Equal(f.calls.Load(), int64(2))
	f.down.Store(true)
	time.Sleep(bound)
	is.True(!fresh.Confirmed(context.Background()))
}

// Reports of other VMs confirm a copy that was last confirmed long ago, without a call to the
// store, if the copy has reached their version.
func TestOtherVMsConfirmOldCopy(t *testing.T) {
	is := is.New(t)
	config, fresh, f := startIdle(t)
	f.down.Store(true)
	time.Sleep(bound)
	config.ObservePeer(store.Position{Revision: 4}, time.Now(), 0)
	is.True(fresh.Confirmed(context.Background()))
	time.Sleep(bound)
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0) // newer than this VM's copy
	is.True(!fresh.Confirmed(context.Background()))
}

// A VM is behind if other VMs that reach the store have had a newer version for longer than a
// change may take, but not while the store is unreachable for them too.
func TestVMIsBehindIfOthersHaveNewerRows(t *testing.T) {
	is := is.New(t)
	config, fresh, f := startIdle(t)
	f.down.Store(true)
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0)
	is.True(!fresh.Behind()) // the change is recent
	time.Sleep(bound)
	is.True(!fresh.Behind()) // no VM has reached the store recently
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0)
	is.True(fresh.Behind())
	config.Offer(delta(5, 6))
	eventually(t, func() bool { return !fresh.Behind() })
	time.Sleep(bound)
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0)
	is.True(!fresh.Behind())
}

// A VM whose copy was last confirmed long ago is not behind at once when it first learns of a newer
// version: the VM has as much time to read that version as any other VM.
func TestVMIsNotBehindAtTheFirstReport(t *testing.T) {
	is := is.New(t)
	config, fresh, f := startIdle(t)
	f.down.Store(true)
	time.Sleep(bound)
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0)
	is.True(!fresh.Behind())
	time.Sleep(bound)
	config.ObservePeer(store.Position{Revision: 6}, time.Now(), 0)
	is.True(fresh.Behind())
}

// delayedStore is a store whose responses to calls of Changes are in transit for delay.
type delayedStore struct {
	// started is when the store's clock was zero.
	started time.Time
	delay   time.Duration
	// made is the store's clock reading when the store made its last response to a call of Changes,
	// in ns.
	made atomic.Int64
}

// ListRows implements store.Feed.
func (l *delayedStore) ListRows(context.Context, string) (store.Rows, error) {
	rows := stepAt(5).rows
	rows.StoreTime = time.Since(l.started)
	return rows, nil
}

// Changes implements store.Feed.
func (l *delayedStore) Changes(context.Context, string, uint64, time.Duration) (store.Rows, error) {
	rows := stepAt(6).rows
	rows.StoreTime = time.Since(l.started)
	l.made.Store(int64(rows.StoreTime))
	time.Sleep(l.delay)
	return rows, nil
}

// The age of a copy counts from when the store made its response, even if the response was in
// transit for long.
func TestAgeIncludesTransitOfTheResponse(t *testing.T) {
	is := is.New(t)
	f := &delayedStore{started: time.Now().Add(-time.Hour), delay: 400 * time.Millisecond}
	table, a := startTable(t, f, &largeGroup{})
	eventually(t, func() bool { return a.last() == 5 })
	table.NotifyNewer(6)
	eventually(t, func() bool { return a.last() == 6 })
	made := f.started.Add(time.Duration(f.made.Load()))
	eventually(t, func() bool { return table.AsOf().Sub(made).Abs() < 50*time.Millisecond })
	is.True(time.Since(table.AsOf()) >= f.delay-50*time.Millisecond)
}

// The time that is reported to other VMs comes only from the store's responses to this VM. If VMs
// passed on the times in each other's reports, such a time would advance at each pass and never
// grow old.
func TestReportedTimesAreNotReportedAgain(t *testing.T) {
	is := is.New(t)
	config, _, _ := startIdle(t)
	read := config.ReadAt()
	heard := time.Now().Add(time.Second)
	config.ObservePeer(store.Position{Revision: 5}, heard, 0)
	is.Equal(config.AsOf(), heard)
	is.Equal(config.ReadAt(), read)
}
