package route

// Seen remembers which prefixes were lately met at which targets: from one's
// own sends and from the targets' cache events, both of which can be out of
// date. It is a table of fixed size in which a newer fact replaces an older
// one. It is not safe for concurrent use.
type Seen struct {
	slots   []slot
	horizon float64
}

type slot struct {
	key uint64
	at  float64
}

// NewSeen returns an empty memory of size facts, a power of two, each believed
// for horizon seconds.
func NewSeen(size int, horizon float64) *Seen {
	return &Seen{slots: make([]slot, size), horizon: horizon}
}

func (s *Seen) slot(prefix, target uint64) (*slot, uint64) {
	key := mix(prefix ^ mix(target))
	return &s.slots[key&uint64(len(s.slots)-1)], key
}

// Set notes that the target has the prefix at time now.
func (s *Seen) Set(prefix, target uint64, now float64) {
	sl, key := s.slot(prefix, target)
	*sl = slot{key: key, at: now}
}

// Clear notes that the target has dropped the prefix.
func (s *Seen) Clear(prefix, target uint64) {
	sl, key := s.slot(prefix, target)
	if sl.key == key {
		*sl = slot{}
	}
}

// Has reports whether the target is thought to have the prefix at time now.
func (s *Seen) Has(prefix, target uint64, now float64) bool {
	sl, key := s.slot(prefix, target)
	return sl.key == key && now-sl.at <= s.horizon
}
