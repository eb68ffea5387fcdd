package watch

import (
	"sync"
	"time"
)

// clockPeriod is how long the least delay of answers counts, once or twice: two
// clocks that drift by 100 parts in a million differ by 60 ms after it.
const clockPeriod = 5 * time.Minute

// storeClock tells when the store answered, by the store's own clock: an answer may
// lie on the way, or in a process that stands still, for seconds.
type storeClock struct {
	mu sync.Mutex
	// zero is when the store's clock was zero, later by the least delay of an
	// answer in this period, and before the same in the period before.
	zero, before time.Time
	// until is when the period ends.
	until time.Time
}

// answered returns when an answer was made that states now and was there at
// received.
func (c *storeClock) answered(now time.Duration, received time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	zero := received.Add(-now)
	if received.After(c.until) {
		c.before, c.zero, c.until = c.zero, zero, received.Add(clockPeriod)
	}
	c.zero = earlier(zero, c.zero)
	return earlier(c.zero, c.before).Add(now)
}

// earlier returns the earlier of two times, of which b may be none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
