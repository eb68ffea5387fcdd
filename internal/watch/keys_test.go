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

// revokeBound is the time after which no request with a removed key may be served.
const revokeBound = 5 * time.Second

// timeStore is a store that states its clock. The clock can be set, and the store does not
// answer while down.
type timeStore struct {
	zero atomic.Int64
	down atomic.Bool
}

func newTimeStore() *timeStore {
	c := &timeStore{}
	c.set(time.Hour)
	return c
}

// set sets the store's clock.
func (c *timeStore) set(now time.Duration) { c.zero.Store(clock.Now().Add(-now).UnixNano()) }

func (c *timeStore) now() time.Duration { return clock.Since(time.Unix(0, c.zero.Load())) }

func (c *timeStore) answer(ctx context.Context) (store.Rows, error) {
	if c.down.Load() {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnavailable
	}
	rows := stepAt(5).rows
	rows.StoreTime = c.now()
	return rows, nil
}

func (c *timeStore) ListRows(ctx context.Context, _ string) (store.Rows, error) { return c.answer(ctx) }

func (c *timeStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Rows, error) {
	return c.answer(ctx)
}

// startCutOff returns the state of a VM that has read the store once, before the store went down.
func startCutOff(t *testing.T) (*watch.Table, *watch.Freshness, *timeStore, *clock.Simulated) {
	t.Helper()
	sim := clock.Simulate()
	t.Cleanup(sim.Restore)
	c := newTimeStore()
	config, a := startTable(t, c, &largeGroup{}, (*watch.Table).SetListOnPoll)
	eventually(t, func() bool { return a.last() == 5 })
	known := watch.NewFreshness(config, bound)
	known.SetRevokeBound(revokeBound)
	eventually(t, known.KeysCurrent)
	c.down.Store(true)
	return config, known, c, sim
}

// A VM that loses the store serves keys until it may have missed a removal, or for longer if a VM
// that reaches the store reports that this VM's configuration is the newest.
func TestOthersConfirmKeys(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := startCutOff(t)
	sim.Suspend(4 * time.Second)
	is.True(known.KeysCurrent())
	sim.Suspend(time.Second)
	is.True(!known.KeysCurrent())
	config.ObservePeer(5, clock.Now(), c.now())
	is.True(known.KeysCurrent())
	sim.Suspend(revokeBound)
	config.ObservePeer(6, clock.Now(), c.now()) // another VM has a newer configuration
	is.True(!known.KeysCurrent())
}

// Guards against serving removed keys after a pause. A VM is stopped for 10 s while a datagram in
// its socket says that its configuration is the newest. It reads the datagram after the pause and
// takes it to be as young as it states.
func TestOldReportDoesNotConfirmKeys(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := startCutOff(t)
	reported := c.now()
	sim.Suspend(10 * time.Second)
	config.ObservePeer(5, clock.Now(), reported)
	is.True(known.Confirmed(context.Background())) // by the age that the datagram states
	is.True(!known.KeysCurrent())
	config.ObservePeer(5, clock.Now(), 0) // from a VM that does not know the store's clock
	is.True(!known.KeysCurrent())
}

// After the store's clock is set back, or on a report with a clock reading in the future, keys
// are served only for as long as the store's own answers allow.
func TestKeysAfterTheStoresClockWasSet(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := startCutOff(t)
	sim.Suspend(10 * time.Second)
	config.ObservePeer(5, clock.Now(), c.now()+time.Hour)
	is.True(!known.KeysCurrent())
	c.set(time.Minute)
	c.down.Store(false)
	eventually(t, known.KeysCurrent)
	c.down.Store(true)
	sim.Suspend(revokeBound)
	is.True(!known.KeysCurrent())
}
