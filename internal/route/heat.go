package route

import "math"

// Heat estimates how often each prefix arrives at this entry, in a table of
// fixed size in which a hotter prefix keeps its slot. It is not safe for
// concurrent use.
type Heat struct {
	slots []heatSlot
	// window is the time constant of the counts, in seconds.
	window float64
}

type heatSlot struct {
	key   uint64
	count float64
	at    float64
	// since is when the prefix took the slot.
	since float64
}

// NewHeat returns an empty estimate of size prefixes, a power of two, that
// forgets with the time constant window, in seconds.
func NewHeat(size int, window float64) *Heat {
	return &Heat{slots: make([]heatSlot, size), window: window}
}

// Add counts an arrival at time now.
func (h *Heat) Add(prefix uint64, now float64) {
	s := &h.slots[mix(prefix)&uint64(len(h.slots)-1)]
	count := s.count * math.Exp((s.at-now)/h.window)
	switch {
	case s.key == prefix:
		s.count, s.at = count+1, now
	case count < 1:
		*s = heatSlot{key: prefix, count: 1, at: now, since: now}
	}
}

// shortest is the least time, in seconds, that a rate is taken over.
const shortest = 0.5

// Rate returns the arrivals a second of the prefix. A single arrival says
// nothing of a rate; a second one soon after says that the prefix is hot, so
// that a sudden one is spread within moments.
func (h *Heat) Rate(prefix uint64, now float64) float64 {
	s := &h.slots[mix(prefix)&uint64(len(h.slots)-1)]
	if s.key != prefix {
		return 0
	}
	over := max(min(now-s.since, h.window), shortest)
	return max(s.count*math.Exp((s.at-now)/h.window)-1, 0) / over
}
