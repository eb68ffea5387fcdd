package limit

import "time"

// Book deals out a pool of limits in grants that expire. The sum of what any
// set of entries may use at one time is never above the pool, whatever answers
// are lost: a grant counts until it has certainly expired, even when a smaller
// one has followed it. Times are the holder's clock. It is not safe for
// concurrent use.
type Book struct {
	// From is when the first grant may be given: a predecessor's grants have
	// expired by then.
	from    time.Duration
	entries map[string]*account
}

// account is one entry's standing with the holder.
type account struct {
	want   Limits
	asked  time.Duration
	grants []granted
}

type granted struct {
	Limits
	// rateUntil and inFlightUntil are when the grant certainly has no more
	// effect; requests that it let in may run on for a while.
	rateUntil     time.Duration
	inFlightUntil time.Duration
}

// NewBook returns an empty book that grants nothing before from.
func NewBook(from time.Duration) *Book {
	return &Book{from: from, entries: map[string]*account{}}
}

// Ask is one entry's request for a share.
type Ask struct {
	VM string
	// Want is the demand beyond the entry's base part.
	Want Limits
	// TTL is how long the grant will be in force.
	TTL time.Duration
	// Linger is how long a request may run on after its grant expired.
	Linger time.Duration
}

// wantMemory is how many TTLs an entry's demand is remembered.
const wantMemory = 3

// Grant gives the entry a share of the pool: its part by demand, as far as the
// others' unexpired grants leave room.
func (b *Book) Grant(pool Limits, a Ask, now time.Duration) Limits {
	b.expire(now, a.TTL)
	acc, ok := b.entries[a.VM]
	if !ok {
		acc = &account{}
		b.entries[a.VM] = acc
	}
	acc.want, acc.asked = a.Want, now
	if now < b.from {
		return Limits{}
	}
	given := b.fairPart(pool, a.Want)
	rate, inFlight := b.heldByOthers(a.VM)
	given.RatePerS = min(given.RatePerS, max(pool.RatePerS-rate, 0))
	given.InFlight = min(given.InFlight, max(pool.InFlight-inFlight, 0))
	acc.grants = append(acc.grants, granted{
		Limits: given, rateUntil: now + a.TTL, inFlightUntil: now + a.TTL + a.Linger,
	})
	return given
}

// expire forgets grants and demands that are over.
func (b *Book) expire(now, ttl time.Duration) {
	for vm, acc := range b.entries {
		kept := acc.grants[:0]
		for _, g := range acc.grants {
			if now < g.rateUntil {
				kept = append(kept, g)
				continue
			}
			g.RatePerS = 0
			if now < g.inFlightUntil && g.InFlight > 0 {
				kept = append(kept, g)
			}
		}
		acc.grants = kept
		if len(kept) == 0 && now-acc.asked > wantMemory*ttl {
			delete(b.entries, vm)
		}
	}
}

// fairPart is the part of the pool that falls to a demand, by proportion to
// all demands when they exceed the pool.
func (b *Book) fairPart(pool, want Limits) Limits {
	var total Limits
	for _, acc := range b.entries {
		total.RatePerS += acc.want.RatePerS
		total.InFlight += acc.want.InFlight
	}
	part := want
	if total.RatePerS > pool.RatePerS {
		part.RatePerS = pool.RatePerS * want.RatePerS / total.RatePerS
	}
	if total.InFlight > pool.InFlight {
		part.InFlight = pool.InFlight * want.InFlight / total.InFlight
	}
	return part
}

// heldByOthers is the most that the other entries may be using now.
func (b *Book) heldByOthers(vm string) (rate float64, inFlight int) {
	for other, acc := range b.entries {
		if other == vm {
			continue
		}
		r, f := acc.held()
		rate += r
		inFlight += f
	}
	return rate, inFlight
}

// held is the largest unexpired grant.
func (a *account) held() (rate float64, inFlight int) {
	for _, g := range a.grants {
		rate = max(rate, g.RatePerS)
		inFlight = max(inFlight, g.InFlight)
	}
	return rate, inFlight
}
