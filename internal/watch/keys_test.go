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

// revokeBound is within what time a removed key serves no request any more.
const revokeBound = 5 * time.Second

// clocked is a store with a clock, which can be set anew and answers nothing while it is away.
type clocked struct {
	zero atomic.Int64
	away atomic.Bool
}

func newClocked() *clocked {
	c := &clocked{}
	c.set(time.Hour)
	return c
}

// set sets the store's clock.
func (c *clocked) set(now time.Duration) { c.zero.Store(clock.Now().Add(-now).UnixNano()) }

func (c *clocked) now() time.Duration { return clock.Since(time.Unix(0, c.zero.Load())) }

func (c *clocked) answer(ctx context.Context) (store.Rows, error) {
	if c.away.Load() {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnavailable
	}
	rows := at(5).rows
	rows.Now = c.now()
	return rows, nil
}

func (c *clocked) ListRows(ctx context.Context, _ string) (store.Rows, error) { return c.answer(ctx) }

func (c *clocked) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Rows, error) {
	return c.answer(ctx)
}

// keyed returns what a VM knows that has read the store once, which is away since.
func keyed(t *testing.T) (*watch.Table, *watch.Knowledge, *clocked, *clock.Simulated) {
	t.Helper()
	sim := clock.Simulate()
	t.Cleanup(sim.Restore)
	c := newClocked()
	config, a := startTable(t, c, &large{}, (*watch.Table).SetWhole)
	eventually(t, func() bool { return a.last() == 5 })
	known := watch.NewKnowledge(config, bound)
	known.SetRevokeBound(revokeBound)
	eventually(t, known.KeysCurrent)
	c.away.Store(true)
	return config, known, c, sim
}

// A VM that loses the store serves keys until it may have missed a removal, or a VM that
// reaches the store vouches for what it knows.
func TestOthersVouchForKeys(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := keyed(t)
	sim.Suspend(4 * time.Second)
	is.True(known.KeysCurrent())
	sim.Suspend(time.Second)
	is.True(!known.KeysCurrent())
	config.Heard(5, clock.Now(), c.now())
	is.True(known.KeysCurrent())
	sim.Suspend(revokeBound)
	config.Heard(6, clock.Now(), c.now()) // another VM knows more than this one
	is.True(!known.KeysCurrent())
}

// A VM stood still for 10 s with a datagram in its socket that said that all keys were known.
// Read after that, and taken for as old as it says, it had removed keys served.
func TestOldWordDoesNotVouchForKeys(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := keyed(t)
	told := c.now()
	sim.Suspend(10 * time.Second)
	config.Heard(5, clock.Now(), told)
	is.True(known.Confirmed(context.Background())) // by the age that the datagram states
	is.True(!known.KeysCurrent())
	config.Heard(5, clock.Now(), 0) // from a VM that knows no clock of the store
	is.True(!known.KeysCurrent())
}

// A store whose clock is set back, or word of a time that has not been, vouches for nothing.
func TestKeysAfterTheStoresClockWasSet(t *testing.T) {
	is := is.New(t)
	config, known, c, sim := keyed(t)
	sim.Suspend(10 * time.Second)
	config.Heard(5, clock.Now(), c.now()+time.Hour)
	is.True(!known.KeysCurrent())
	c.set(time.Minute)
	c.away.Store(false)
	eventually(t, known.KeysCurrent)
	c.away.Store(true)
	sim.Suspend(revokeBound)
	is.True(!known.KeysCurrent())
}
