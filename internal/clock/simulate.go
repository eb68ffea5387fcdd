package clock

import (
	"sync/atomic"
	"time"
)

// Simulated is a clock for tests. Its machine can be suspended, and its wall clock can be set.
type Simulated struct {
	// suspended is the sum of the durations passed to Suspend, and wallOffset the sum of the
	// adjustments of the wall clock, both in ns.
	suspended  atomic.Int64
	wallOffset atomic.Int64
	// previous is the clock that Restore brings back.
	previous *steady
}

// Simulate replaces the clock of the process with a simulated one until Restore is called. Tests
// that use it must not run in parallel with others, which would read the simulated clock too.
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

// Suspend simulates that the machine was suspended for d, without waiting: the wall clock and
// CLOCK_BOOTTIME advance by d, the monotonic time and timers do not.
func (s *Simulated) Suspend(d time.Duration) { s.suspended.Add(int64(d)) }

// AdjustWallClock simulates that the wall clock was set forwards by d, or back if d is negative.
func (s *Simulated) AdjustWallClock(d time.Duration) { s.wallOffset.Add(int64(d)) }

// Restore brings back the previous clock.
func (s *Simulated) Restore() { processClock.Store(s.previous) }
