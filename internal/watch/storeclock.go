package watch

import (
	"sync"
	"time"
)

// clockPeriod is the period over which the minimum delay of answers is taken; the previous period
// counts too. Two clocks that drift by 100 parts per million differ by 60 ms after two periods.
const clockPeriod = 5 * time.Minute

// storeClock maps readings of the store's clock to local times. An answer may be delayed for
// seconds, in the network or while this process is stopped.
type storeClock struct {
	mu sync.Mutex
	// zero is the estimated local time at which the store's clock was zero. It is too late by the
	// minimum delay of the answers in this period. prevZero is the same for the previous period.
	zero, prevZero time.Time
	// floor is a lower bound of the local time at which the store's clock was zero: an answer is
	// made after its call began. It is the latest bound of this period, and prevFloor that of the
	// previous one.
	floor, prevFloor time.Time
	// periodEnd is when the period ends.
	periodEnd time.Time
}

// driftSlack exceeds the drift between two clocks in two periods.
const driftSlack = 100 * time.Millisecond

// observe returns the local time at which an answer was made. now is the store's clock reading in
// it, began when the call began and received when the answer arrived.
func (c *storeClock) observe(now time.Duration, began, received time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	zero, floor := received.Add(-now), began.Add(-now)
	if zero.Add(driftSlack).Before(later(c.floor, c.prevFloor)) {
		// The store's clock has been set.
		c.prevZero, c.zero, c.prevFloor, c.floor, c.periodEnd = time.Time{}, zero, time.Time{}, floor, received.Add(clockPeriod)
	}
	if received.After(c.periodEnd) {
		c.prevZero, c.zero, c.periodEnd = c.zero, zero, received.Add(clockPeriod)
		c.prevFloor, c.floor = c.floor, floor
	}
	c.zero, c.floor = earlier(zero, c.zero), later(floor, c.floor)
	return earlier(c.zero, c.prevZero).Add(now)
}

// earliest returns a local time that is not after the moment at which the store's clock read now.
// It returns false before the first answer.
func (c *storeClock) earliest(now time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := later(c.floor, c.prevFloor)
	return floor.Add(now - driftSlack), !floor.IsZero()
}

// earlier returns the earlier of two times. A zero b is ignored.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
