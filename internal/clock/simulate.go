package clock

import (
	"sync/atomic"
	"time"
)

// Simulated is a clock for tests. Its machine can be suspended, and its wall clock can be set.
type Simulated struct {
	suspended  atomic.Int64
	wallOffset atomic.Int64
	previous   *steady
}

// Simulate replaces the clock of the process with a simulated one until Restore is called. Tests
// that use it must not run in parallel with others.
func Simulate() *Simulated {
	s := &Simulated{previous: processClock.Load()}
	processClock.Store(newSteady(sources{
		read: func() reading {
			r := readClocks()
			r.wall = r.wall.Add(time.Duration(s.suspended.Load() + s.wallOffset.Load()))
			return r
		},
		boot: func() time.Duration { return Boot() + time.Duration(s.suspended.Load()) },
	}))
	return s
}

// Suspend suspends the machine for d, without waiting: the wall clock and CLOCK_BOOTTIME advance,
// the monotonic time and timers do not.
func (s *Simulated) Suspend(d time.Duration) { s.suspended.Add(int64(d)) }

// Set moves only the wall clock, by d.
func (s *Simulated) Set(d time.Duration) { s.wallOffset.Add(int64(d)) }

// Restore brings back the previous clock.
func (s *Simulated) Restore() { processClock.Store(s.previous) }
