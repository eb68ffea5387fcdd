package route

import "math"

// Rates estimates the arrival rate of each prefix at this entry, by counts that
// decay exponentially. It is a hash table of fixed size; of the prefixes that
// share a slot, the one in it stays while its decayed count is at least 1. It is
// not safe for concurrent use.
type Rates struct {
	slots []rateSlot
	// window is the time constant of the counts, in seconds.
	window float64
}

// rateSlot is the decaying count of one prefix.
type rateSlot struct {
	// key is the hash of the prefix.
	key uint64
	// count is the decayed count of arrivals as of time at, in seconds.
	count float64
	at    float64
	// since is when the prefix took the slot.
	since float64
}

// NewRates returns an estimator with size slots, which must be a power of two,
// whose counts decay with the time constant window, in seconds.
func NewRates(size int, window float64) *Rates {
	return &Rates{slots: make([]rateSlot, size), window: window}
}

// Add counts an arrival of the prefix at time now, in seconds.
func (h *Rates) Add(prefix uint64, now float64) {
	s := &h.slots[mix(prefix)&uint64(len(h.slots)-1)]
	count := s.count * math.Exp((s.at-now)/h.window)
	switch {
	case s.key == prefix:
		s.count, s.at = count+1, now
	case count < 1:
		*s = rateSlot{key: prefix, count: 1, at: now, since: now}
	}
}

// minRateInterval is the shortest interval over which a rate is computed, in
// seconds.
const minRateInterval = 0.5

// Rate returns the arrivals of the prefix per second as of time now. A single
// arrival gives no rate, so it counts as zero. A second one shortly after gives
// a high rate at once, so that a prefix that suddenly becomes hot is spread over
// more targets within moments.
func (h *Rates) Rate(prefix uint64, now float64) float64 {
	s := &h.slots[mix(prefix)&uint64(len(h.slots)-1)]
	if s.key != prefix {
		return 0
	}
	over := max(min(now-s.since, h.window), minRateInterval)
	return max(s.count*math.Exp((s.at-now)/h.window)-1, 0) / over
}
