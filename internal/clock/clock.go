// Package clock reads a steady time that also counts the time for which the machine is
// suspended. Go's own monotonic time stands still meanwhile, so that ages, deadlines and
// spans would seem shorter by it: a VM that was suspended for some seconds would hold what it
// knew before for fresh, and hand targets more time than their callers still wait.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads CLOCK_BOOTTIME, which counts the time that the machine was suspended. Its zero is
// arbitrary.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock has been in every kernel since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// tolerance is by how much the time of day and Go's monotonic time may have drifted apart
// before it is looked whether the machine was suspended: each reading of CLOCK_BOOTTIME is a
// system call, and a request takes some dozen readings of the time.
const tolerance = 10 * time.Millisecond

// reading is one reading of the time of day and of the time awake, which begins anywhere.
type reading struct {
	day   time.Time
	awake time.Duration
}

// source is where a steady clock reads its times; boot also counts time asleep.
type source struct {
	read func() reading
	boot func() time.Duration
}

// began is the zero of the time awake.
var began = time.Now()

func read() reading {
	now := time.Now()
	return reading{day: now.Round(0), awake: now.Sub(began)}
}

// steady reads a time by Go's monotonic one and what was added to it.
type steady struct {
	source source
	// zero is when the clock was made, and zeroBoot the same by the boot clock.
	zero     reading
	zeroBoot time.Duration
	// asleep is for how long the machine was suspended since, and drift how far the time of
	// day and the monotonic time were apart when that was looked at; both are in ns.
	asleep atomic.Int64
	drift  atomic.Int64

	mu sync.Mutex
	// resumed is called after the machine was suspended.
	resumed map[int]func()
	next    int
}

func newSteady(s source) *steady {
	zeroBoot, zero := s.begin()
	return &steady{source: s, zero: zero, zeroBoot: zeroBoot, resumed: make(map[int]func())}
}

// Both clocks cannot be read at one instant. The boot clock is read first at the begin and last
// in each look, so that the time asleep is never reckoned too short: by what passes between both
// readings it is too long, which is bounded by reading again.
const (
	closeTogether = time.Millisecond
	maxReadings   = 5
)

// begin reads the boot clock and, right after it, the others.
func (s source) begin() (boot time.Duration, r reading) {
	for range maxReadings {
		boot, r = s.boot(), s.read()
		if s.boot()-boot < closeTogether {
			break
		}
	}
	return boot, r
}

// look reads the boot clock right after the others.
func (s source) look() (r reading, boot time.Duration) {
	for range maxReadings {
		r, boot = s.read(), s.boot()
		if s.read().awake-r.awake < closeTogether {
			break
		}
	}
	return r, boot
}

// now returns the time of day at which the clock was made and the steady time since.
func (s *steady) now() time.Time {
	awake, drift := s.since(s.source.read())
	if d := drift - time.Duration(s.drift.Load()); d > tolerance || d < -tolerance {
		s.look()
	}
	return s.zero.day.Add(awake + time.Duration(s.asleep.Load()))
}

// since returns the time awake, and how far the time of day has drifted from it.
func (s *steady) since(r reading) (awake, drift time.Duration) {
	awake = r.awake - s.zero.awake
	return awake, r.day.Sub(s.zero.day) - awake
}

// look finds out whether the machine was suspended. The time of day may have been set instead.
func (s *steady) look() {
	r, boot := s.source.look()
	awake, drift := s.since(r)
	asleep := boot - s.zeroBoot - awake
	s.mu.Lock()
	s.drift.Store(int64(drift))
	var resumed []func()
	if asleep-time.Duration(s.asleep.Load()) > tolerance {
		s.asleep.Store(int64(asleep))
		for _, f := range s.resumed {
			resumed = append(resumed, f)
		}
	}
	s.mu.Unlock()
	for _, f := range resumed {
		f()
	}
}

// onResume has f called after the machine was suspended, until stop is called. f must not
// wait for anything.
func (s *steady) onResume(f func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
	s.resumed[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.resumed, id)
	}
}

// process is the clock of this process. Tests put one of their own in its place.
var process atomic.Pointer[steady]

func init() { process.Store(newSteady(source{read: read, boot: Boot})) }

// Now returns the time of day at which the process began and the time that has passed since,
// asleep or not. Setting the time of day does not move it. It has no monotonic reading: where
// Go compares a time with its own, as in deadlines of connections, use what is left of it.
func Now() time.Time { return process.Load().now() }

// Since returns the time that has passed since t, a time of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
