package watch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/watch"
)

// revokeBound is the maximum time after the removal of an API key for which requests with that key
// may still be served.
const revokeBound = 5 * time.Second

// timeStore is a store whose responses state its clock reading. The clock can be set, and the store
// does not respond while down is true.
type timeStore struct {
	// zero is the local time at which the store's clock was zero, in ns since the Unix epoch.
	zero atomic.Int64
	down atomic.Bool
}

// newTimeStore returns a store whose clock reads one hour.
func newTimeStore() *timeStore {
	c := &timeStore{}
	c.set(time.Hour)
	return c
}

// set sets the store's clock to the reading now.
func (c *timeStore) set(now time.Duration) { c.zero.Store(clock.Now().Add(-now).UnixNano()) }

// now returns the reading of the store's clock.
func (c *timeStore) now() time.Duration { return clock.Since(time.Unix(0, c.zero.Load())) }

// serve responds to any call with the table at revision 5.
func (c *timeStore) serve(ctx context.Context) (store.Rows, error) {
	if c.down.Load() {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnavailable
	}
	rows := stepAt(5).rows
	rows.StoreTime = c.now()
	return rows, nil
}

// ListRows implements store.Feed.
func (c *timeStore) ListRows(ctx context.Context, _ string) (store.Rows, error) { return c.serve(ctx) }

// Changes implements store.Feed.
func (c *timeStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Rows, error) {
	return c.serve(ctx)
}

// startCutOff starts a VM that has read the store once, before the store went down. It returns the
// VM's configuration table with its Freshness, and the store and the clock, which the test
// controls.
func startCutOff(t *testing.T) (*watch.Table, *watch.Freshness, *timeStore, *clock.Simulated) {
	t.Helper()
	sim := clock.Simulate()
	t.Cleanup(sim.Restore)
	c := newTimeStore()
	config, a := startTable(t, c, &largeGroup{}, (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return a.last() == 5 })
	fresh := watch.NewFreshness(config, bound)
	fresh.SetRevokeBound(revokeBound)
	eventually(t, fresh.KeysCurrent)
	c.down.Store(true)
	return config, fresh, c, sim
}

// A VM that can no longer reach the store serves requests with the API keys that it knows until it
// may have missed the removal of a key. It serves them for longer if a VM that reaches the store
// reports that this VM's configuration is the newest.
func TestOtherVMsConfirmKeys(t *testing.T) {
	is := is.New(t)
	config, fresh, c, sim := startCutOff(t)
	sim.Suspend(4 * time.Second)
	is.True(fresh.KeysCurrent())
	sim.Suspend(time.Second)
	is.True(!fresh.KeysCurrent())
	config.ObservePeer(store.Position{Revision: 5}, clock.Now(), c.now())
	is.True(fresh.KeysCurrent())
	sim.Suspend(revokeBound)
	config.ObservePeer(store.Position{Revision: 6}, clock.Now(), c.now()) // another VM has a newer configuration
	is.True(!fresh.KeysCurrent())
}

// Guards against serving removed keys after a pause. A VM is stopped for 10 s. Meanwhile a datagram
// that confirms the VM's configuration as the newest waits in the VM's socket. The VM reads the
// datagram after the pause, and the age that the datagram states does not include the pause.
func TestOldReportDoesNotConfirmKeys(t *testing.T) {
	is := is.New(t)
	config, fresh, c, sim := startCutOff(t)
	reported := c.now()
	sim.Suspend(10 * time.Second)
	config.ObservePeer(store.Position{Revision: 5}, clock.Now(), reported)
	is.True(fresh.Confirmed(context.Background())) // goes by the age that the datagram states
	is.True(!fresh.KeysCurrent())
	config.ObservePeer(store.Position{Revision: 5}, clock.Now(), 0) // from a VM that does not know the store's clock
	is.True(!fresh.KeysCurrent())
}

// After the store's clock is set back, or on a report with a clock reading in the future, keys
// are served only for as long as the store's own responses allow.
func TestKeysAfterTheStoresClockWasSet(t *testing.T) {
	is := is.New(t)
	config, fresh, c, sim := startCutOff(t)
	sim.Suspend(10 * time.Second)
	config.ObservePeer(store.Position{Revision: 5}, clock.Now(), c.now()+time.Hour)
	is.True(!fresh.KeysCurrent())
	c.set(time.Minute)
	c.down.Store(false)
	eventually(t, fresh.KeysCurrent)
	c.down.Store(true)
	sim.Suspend(revokeBound)
	is.True(!fresh.KeysCurrent())
}
