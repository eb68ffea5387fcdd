// Package limit decides which requests are admitted: by rate limits for each
// client account, shares of a service's limits, weighted sharing between
// services, and admission by deadline. It is pure: times are passed in, and it
// uses no clock and no network.
package limit

import "time"

// Accounts holds a token bucket for each client account, in bounded memory. The
// time passed to its methods must not decrease. It is not safe for concurrent
// use.
type Accounts struct {
	limit   int
	buckets map[uint64]*tokenBucket
	// newest and oldest are the most and the least recently used bucket of
	// the linked list.
	newest, oldest *tokenBucket
}

// tokenBucket is the bucket of one account, linked in order of last use.
type tokenBucket struct {
	account uint64
	// tokens is the number of tokens as of time at.
	tokens float64
	at     time.Duration
	// prev is more recently used than this bucket, next less recently.
	prev, next *tokenBucket
}

// NewAccounts returns buckets for at most limit accounts. Beyond that the least
// recently used account is removed, so it starts with a full bucket next time.
func NewAccounts(limit int) *Accounts {
	return &Accounts{limit: limit, buckets: make(map[uint64]*tokenBucket)}
}

// Len returns the number of accounts that have a bucket.
func (a *Accounts) Len() int { return len(a.buckets) }

// Take takes one token from the account's bucket, which fills at rate tokens per
// second up to burst. If there is no token, ok is false and wait is the time
// until there is one.
func (a *Accounts) Take(account uint64, now time.Duration, rate, burst float64) (wait time.Duration, ok bool) {
	b := a.bucket(account, now, burst)
	b.tokens = min(burst, b.tokens+(now-b.at).Seconds()*rate)
	b.at = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}

// bucket returns the account's bucket as the most recently used one. A missing
// bucket is created full, in place of the least recently used one at the limit.
func (a *Accounts) bucket(account uint64, now time.Duration, burst float64) *tokenBucket {
	b, ok := a.buckets[account]
	if ok {
		a.unlink(b)
		a.pushFront(b)
		return b
	}
	if len(a.buckets) >= a.limit {
		old := a.oldest
		a.unlink(old)
		delete(a.buckets, old.account)
	}
	b = &tokenBucket{account: account, tokens: burst, at: now}
	a.buckets[account] = b
	a.pushFront(b)
	return b
}

// pushFront links b as the most recently used bucket.
func (a *Accounts) pushFront(b *tokenBucket) {
	b.next = a.newest
	b.prev = nil
	if a.newest != nil {
		a.newest.prev = b
	}
	a.newest = b
	if a.oldest == nil {
		a.oldest = b
	}
}

// unlink removes b from the list.
func (a *Accounts) unlink(b *tokenBucket) {
	if b.prev != nil {
		b.prev.next = b.next
	} else {
		a.newest = b.next
	}
	if b.next != nil {
		b.next.prev = b.prev
	} else {
		a.oldest = b.prev
	}
	b.prev, b.next = nil, nil
}
