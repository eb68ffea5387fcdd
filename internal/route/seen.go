package route

// Caches remembers which targets probably have which prefixes cached, from this
// entry's own requests and from the targets' cache events; both can be out of
// date. It is a hash table of fixed size in which a newer record replaces an
// older one in the same slot. It is not safe for concurrent use.
type Caches struct {
	slots []cacheSlot
	// ttl is how long a record is valid, in seconds.
	ttl float64
}

// cacheSlot records that a prefix was at a target at one time.
type cacheSlot struct {
	// key is the combined hash of prefix and target.
	key uint64
	at  float64
}

// NewCaches returns an empty table of size records, which must be a power of two,
// each valid for ttl seconds.
func NewCaches(size int, ttl float64) *Caches {
	return &Caches{slots: make([]cacheSlot, size), ttl: ttl}
}

// slot returns the slot for a prefix at a target, and the key to find in it.
func (s *Caches) slot(prefix, target uint64) (*cacheSlot, uint64) {
	key := mix(prefix ^ mix(target))
	return &s.slots[key&uint64(len(s.slots)-1)], key
}

// Set records that the target has the prefix cached at time now, in seconds.
func (s *Caches) Set(prefix, target uint64, now float64) {
	sl, key := s.slot(prefix, target)
	*sl = cacheSlot{key: key, at: now}
}

// Clear records that the target no longer has the prefix cached.
func (s *Caches) Clear(prefix, target uint64) {
	sl, key := s.slot(prefix, target)
	if sl.key == key {
		*sl = cacheSlot{}
	}
}

// Has reports whether the target probably has the prefix cached at time now.
func (s *Caches) Has(prefix, target uint64, now float64) bool {
	sl, key := s.slot(prefix, target)
	return sl.key == key && now-sl.at <= s.ttl
}
