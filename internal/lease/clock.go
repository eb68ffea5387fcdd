package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a monotonic time that also counts time asleep. Its zero is
// arbitrary, and two machines' clocks are never compared.
type Clock func() time.Duration

// BootClock reads CLOCK_BOOTTIME, which counts the time that the machine was
// suspended, as Go's own monotonic time does not.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock has been in every kernel since 2.6.39.
		panic("lease: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
