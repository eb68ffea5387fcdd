// Package limit holds the decisions on what is let in: per-account rates,
// shares of a service's limits, weighted sharing and admission by deadline. It
// is pure: times come in as values; no clock and no network.
package limit

import "time"

// Accounts is a token bucket for each client account in bounded memory. The
// time is given with each call and must not go back. It is not safe for
// concurrent use.
type Accounts struct {
	limit   int
	buckets map[uint64]*bucket
	// newest and oldest are the ends of the list by last use.
	newest, oldest *bucket
}

// bucket is one account's tokens; the list is by last use.
type bucket struct {
	account    uint64
	tokens     float64
	at         time.Duration
	prev, next *bucket
}

// NewAccounts returns buckets for at most limit accounts; the account unused
// for longest is forgotten first, which gives it a full bucket again.
func NewAccounts(limit int) *Accounts {
	return &Accounts{limit: limit, buckets: make(map[uint64]*bucket)}
}

// Len returns how many accounts are held.
func (a *Accounts) Len() int { return len(a.buckets) }

// Take takes one token from the account's bucket, which fills at rate a second
// up to burst. It returns how long to wait when there is none.
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

func (a *Accounts) bucket(account uint64, now time.Duration, burst float64) *bucket {
	b, ok := a.buckets[account]
	if ok {
		a.unlink(b)
		a.push(b)
		return b
	}
	if len(a.buckets) >= a.limit {
		old := a.oldest
		a.unlink(old)
		delete(a.buckets, old.account)
	}
	b = &bucket{account: account, tokens: burst, at: now}
	a.buckets[account] = b
	a.push(b)
	return b
}

func (a *Accounts) push(b *bucket) {
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

func (a *Accounts) unlink(b *bucket) {
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
