package model

import "container/list"

// kvCache is the KV cache of an engine. It caches prompt parts by their hash. Parts pinned by
// sequences stay; the others are evicted in least-recently-used order.
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

// newKVCache returns an empty cache with a capacity of size tokens.
func newKVCache(size int) *kvCache {
	return &kvCache{capacity: size, byHash: make(map[uint64]*cachedPart), lru: list.New()}
}

// pin protects a part from eviction and reports whether it is cached.
func (c *kvCache) pin(hash uint64) bool {
	p := c.byHash[hash]
	if p == nil {
		return false
	}
	if p.pins == 0 {
		c.lru.Remove(p.lruEntry)
	}
	p.pins++
	return true
}

// unpin removes one pin. The last unpin marks the part as most recently used.
func (c *kvCache) unpin(hash uint64) {
	p := c.byHash[hash]
	p.pins--
	if p.pins == 0 {
		p.lruEntry = c.lru.PushBack(p)
	}
}

// insert caches a part after its prefill and pins it. If it is cached already, it is only pinned.
func (c *kvCache) insert(hash uint64, tokens int) {
	if c.pin(hash) {
		return
	}
	c.byHash[hash] = &cachedPart{hash: hash, tokens: tokens, pins: 1}
	c.partTokens += tokens
}

// reserve reserves space for tokens, evicting unpinned parts as needed. It returns false if
// that does not free enough space.
func (c *kvCache) reserve(tokens int) bool {
	for c.partTokens+c.reservedTokens+tokens > c.capacity {
		oldest := c.lru.Front()
		if oldest == nil {
			return false
		}
		p := c.lru.Remove(oldest).(*cachedPart)
		delete(c.byHash, p.hash)
		c.partTokens -= p.tokens
	}
	c.reservedTokens += tokens
	return true
}

// release gives back tokens that were reserved.
func (c *kvCache) release(tokens int) { c.reservedTokens -= tokens }

// clear empties the cache, including pinned parts and reservations.
func (c *kvCache) clear() { *c = *newKVCache(c.capacity) }
