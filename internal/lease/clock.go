package lease

import "time"

// Clock reads a monotonic time that also counts time asleep. Its zero is
// arbitrary, and two machines' clocks are never compared.
type Clock func() time.Duration
