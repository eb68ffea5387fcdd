package lease

import "time"

// Clock reads a monotonic time that also counts the time for which the machine is suspended. Its
// zero is arbitrary, and the clocks of two machines are never compared.
type Clock func() time.Duration
