package watch

import (
	"sync"
	"time"
)

// windowLength is the length of the windows over which storeClock keeps the minimum delay of the
// store's responses. storeClock uses the current and the previous window. Two clocks that drift by
// 100 parts per million differ by 60 ms after two windows.
const windowLength = 5 * time.Minute

// storeClock maps readings of the store's clock to local times. The time at which a response
// arrives does not tell when the store made the response, because the response may be delayed for
// seconds, in the network or while this process is stopped.
type storeClock struct {
	mu sync.Mutex
	// zero is the estimated local time at which the store's clock was zero. It is too late by the
	// minimum delay of the responses in the current window. previousZero is the estimate of the
	// previous window.
	zero, previousZero time.Time
	// floor is a lower bound of the local time at which the store's clock was zero. Each response
	// gives such a bound, because the store made it after the call began. floor is the latest
	// bound of the current window, and previousFloor that of the previous window.
	floor, previousFloor time.Time
	// windowEnd is when the current window ends.
	windowEnd time.Time
}

// maxDrift exceeds the drift between two clocks in two windows.
const maxDrift = 100 * time.Millisecond

// observe returns the estimated local time at which the store made a response. storeTime is the
// store's clock reading in the response, began is when the call began, and received is when the
// response arrived.
func (c *storeClock) observe(storeTime time.Duration, began, received time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	zero, floor := received.Add(-storeTime), began.Add(-storeTime)
	if zero.Add(maxDrift).Before(later(c.floor, c.previousFloor)) {
		// The store's clock has been set.
		c.previousZero, c.zero, c.previousFloor, c.floor, c.windowEnd =
			time.Time{}, zero, time.Time{}, floor, received.Add(windowLength)
	}
	if received.After(c.windowEnd) {
		c.previousZero, c.zero, c.windowEnd = c.zero, zero, received.Add(windowLength)
		c.previousFloor, c.floor = c.floor, floor
	}
	c.zero, c.floor = earlier(zero, c.zero), later(floor, c.floor)
	return earlier(c.zero, c.previousZero).Add(storeTime)
}

// earliest returns a lower bound of the local time at which the store's clock read storeTime. It
// returns false before the first response.
func (c *storeClock) earliest(storeTime time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := later(c.floor, c.previousFloor)
	return floor.Add(storeTime - maxDrift), !floor.IsZero()
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
