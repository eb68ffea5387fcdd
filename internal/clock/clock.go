// Package clock provides a clock that also counts the time for which the machine is suspended.
// Go's monotonic time stops while the machine is suspended, so ages, timeouts and durations by it
// come out too short: a VM that was suspended for some seconds would take old data for fresh, and
// would give targets more time than their callers still wait.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the reading of CLOCK_BOOTTIME, which includes the time for which the machine was
// suspended. The zero of CLOCK_BOOTTIME is arbitrary.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// driftTolerance is the maximum change of the difference between wall clock and monotonic time that
// is ignored. After a larger change CLOCK_BOOTTIME is read to find out whether the machine was
// suspended. CLOCK_BOOTTIME is not read every time, because reading it takes a system call, and a
// request reads the time a dozen times or more.
const driftTolerance = 10 * time.Millisecond

// reading is one reading of the wall clock and of Go's monotonic time, whose zero is arbitrary.
type reading struct {
	wall time.Time
	mono time.Duration
}

// sources are the clocks from which a steady clock is computed. read reads the wall clock and the
// monotonic time. boot reads CLOCK_BOOTTIME, which includes suspended time.
type sources struct {
	read func() reading
	boot func() time.Duration
}

// processStart is the zero of the monotonic time in readings.
var processStart = time.Now()

// readClocks reads the clocks of this process.
func readClocks() reading {
	now := time.Now()
	return reading{wall: now.Round(0), mono: now.Sub(processStart)}
}

// steady is a clock that adds suspended time to Go's monotonic time.
type steady struct {
	sources sources
	// zero is the reading when the steady clock was made, and zeroBoot the reading of
	// CLOCK_BOOTTIME then.
	zero     reading
	zeroBoot time.Duration
	// suspended is the total time for which the machine was suspended since the steady clock was
	// made, and lastDrift the drift when suspended was last checked, both in ns. The drift is how
	// far the wall clock has moved ahead of the monotonic time since the steady clock was made.
	suspended atomic.Int64
	lastDrift atomic.Int64

	mu sync.Mutex
	// callbacks are called after a suspension is detected.
	callbacks map[int]func()
	nextID    int
}

// newSteady returns a steady clock that starts at the current wall-clock time.
func newSteady(s sources) *steady {
	zeroBoot, zero := s.firstSample()
	return &steady{sources: s, zero: zero, zeroBoot: zeroBoot, callbacks: make(map[int]func())}
}

// The clocks cannot be read at the same instant. CLOCK_BOOTTIME is read first in the first sample
// and last in each later one, so that the computed suspended time is never too short. It is too
// long by the time between the readings.
const (
	// maxReadingGap is the time between the readings of the two clocks from which both clocks are
	// read again. maxReadings is the maximum number of times that the clocks are read for one
	// sample.
	maxReadingGap = time.Millisecond
	maxReadings   = 5
)

// firstSample reads CLOCK_BOOTTIME and directly after it the other clocks.
func (s sources) firstSample() (boot time.Duration, r reading) {
	for range maxReadings {
		boot, r = s.boot(), s.read()
		if s.boot()-boot < maxReadingGap {
			break
		}
	}
	return boot, r
}

// sample reads CLOCK_BOOTTIME directly after the other clocks.
func (s sources) sample() (r reading, boot time.Duration) {
	for range maxReadings {
		r, boot = s.read(), s.boot()
		if s.read().mono-r.mono < maxReadingGap {
			break
		}
	}
	return r, boot
}

// now returns the wall-clock time at which the steady clock was made plus the time since, suspended
// time included.
func (s *steady) now() time.Time {
	mono, drift := s.since(s.sources.read())
	if d := drift - time.Duration(s.lastDrift.Load()); d > driftTolerance || d < -driftTolerance {
		s.detectSuspension()
	}
	return s.zero.wall.Add(mono + time.Duration(s.suspended.Load()))
}

// since returns the monotonic time from the making of the steady clock to the reading r, and the
// drift at r.
func (s *steady) since(r reading) (mono, drift time.Duration) {
	mono = r.mono - s.zero.mono
	return mono, r.wall.Sub(s.zero.wall) - mono
}

// detectSuspension checks whether the machine was suspended and, if so, updates s.suspended and
// calls the callbacks. If the machine was not suspended, the drift has changed because the wall
// clock was set.
func (s *steady) detectSuspension() {
	r, boot := s.sources.sample()
	mono, drift := s.since(r)
	suspended := boot - s.zeroBoot - mono
	s.mu.Lock()
	s.lastDrift.Store(int64(drift))
	var resumed []func()
	if suspended-time.Duration(s.suspended.Load()) > driftTolerance {
		s.suspended.Store(int64(suspended))
		for _, f := range s.callbacks {
			resumed = append(resumed, f)
		}
	}
	s.mu.Unlock()
	for _, f := range resumed {
		f()
	}
}

// onResume registers f to be called after each suspension that is detected, until stop is called. f
// must not block.
func (s *steady) onResume(f func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.callbacks[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.callbacks, id)
	}
}

// processClock is the clock of this process. Tests replace it.
var processClock atomic.Pointer[steady]

// init sets processClock to a clock that reads the real clocks.
func init() { processClock.Store(newSteady(sources{read: readClocks, boot: Boot})) }

// Now returns the wall-clock time at which the process started plus the time since, suspended
// time included. Setting the wall clock does not affect it. The result has no monotonic reading and
// must not be passed where Go compares a time with its own clock, as for connection deadlines: add
// the remaining duration to time.Now instead.
func Now() time.Time { return processClock.Load().now() }

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must come from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
