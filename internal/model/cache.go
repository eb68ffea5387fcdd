package model

import "container/list"

// kvCache is the KV cache of an engine. Parts pinned by sequences stay; the others are evicted
// in least-recently-used order.
type kvCache struct {
	// capacity, partTokens and reservedTokens are in tokens.
	capacity int
	// partTokens counts the tokens of all cached parts, and reservedTokens those of sequences
	// that are not cached as parts: prompts during prefill, and answers.
	partTokens     int
	reservedTokens int
	byHash         map[uint64]*cachedPart
	// lru holds the unpinned parts, least recently used first.
	lru *list.List
}

// cachedPart is a prompt part in the cache.
type cachedPart struct {
	hash   uint64
	tokens int
	pins   int
	// lruEntry is the part's entry in lru while it is not pinned.
	lruEntry *list.Element
}

func newKVCache(size int) *kvCache {
	return &kvCache{capacity: size, byHash: make(map[uint64]*cachedPart), lru: list.New()}
}

// pin protects a part from eviction and reports whether it is cached.
func (m *kvCache) pin(hash uint64) bool {
	p := m.byHash[hash]
	if p == nil {
		return false
	}
	if p.pins == 0 {
		m.lru.Remove(p.lruEntry)
	}
	p.pins++
	return true
}

// unpin removes one pin. The last unpin marks the part as most recently used.
func (m *kvCache) unpin(hash uint64) {
	p := m.byHash[hash]
	p.pins--
	if p.pins == 0 {
		p.lruEntry = m.lru.PushBack(p)
	}
}

// insert caches a part after its prefill, pinned once.
func (m *kvCache) insert(hash uint64, tokens int) {
	if m.pin(hash) {
		return
	}
	m.byHash[hash] = &cachedPart{hash: hash, tokens: tokens, pins: 1}
	m.partTokens += tokens
}

// reserve reserves space for tokens, evicting unpinned parts as needed. It returns false if
// that does not free enough space.
func (m *kvCache) reserve(tokens int) bool {
	for m.partTokens+m.reservedTokens+tokens > m.capacity {
		oldest := m.lru.Front()
		if oldest == nil {
			return false
		}
		p := m.lru.Remove(oldest).(*cachedPart)
		delete(m.byHash, p.hash)
		m.partTokens -= p.tokens
	}
	m.reservedTokens += tokens
	return true
}

// release returns reserved tokens.
func (m *kvCache) release(tokens int) { m.reservedTokens -= tokens }

// clear empties the cache.
func (m *kvCache) clear() { *m = *newKVCache(m.capacity) }
