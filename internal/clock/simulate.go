package clock

import (
	"sync/atomic"
	"time"
)

// Simulated is a clock for tests: its machine can be suspended, and its time of day set.
type Simulated struct {
	asleep atomic.Int64
	set    atomic.Int64
	before *steady
}

// Simulate puts a simulated clock in the process's place, until Restore. Tests that use it
// do not run beside others.
func Simulate() *Simulated {
	s := &Simulated{before: process.Load()}
	process.Store(newSteady(source{
		read: func() reading {
			r := read()
			r.day = r.day.Add(time.Duration(s.asleep.Load() + s.set.Load()))
			return r
		},
		boot: func() time.Duration { return Boot() + time.Duration(s.asleep.Load()) },
	}))
	return s
}

// Suspend lets the machine sleep for d at once: the time of day and CLOCK_BOOTTIME go on, the
// monotonic time does not, and no timer runs.
func (s *Simulated) Suspend(d time.Duration) { s.asleep.Add(int64(d)) }

// Set moves the time of day alone.
func (s *Simulated) Set(d time.Duration) { s.set.Add(int64(d)) }

// Restore puts back the clock that was there before.
func (s *Simulated) Restore() { process.Store(s.before) }
