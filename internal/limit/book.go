package limit

import "time"

// Allocator divides a pool of limits among entries in grants that expire. What all
// entries together may use at any time never exceeds the pool, even if answers
// are lost: a grant counts until it has certainly expired, also when a smaller
// one has followed it. Times are on the clock of the lease holder that grants.
// It is not safe for concurrent use.
type Allocator struct {
	// from is the time of the first grant. The grants of the previous lease
	// holder have expired by then.
	from    time.Duration
	entries map[string]*entryDemand
}

// entryDemand is the last demand of one entry, and its grants that still count.
type entryDemand struct {
	want        Limits
	requestedAt time.Duration
	grants      []grant
}

// grant is a part of the pool given to one entry for a time.
type grant struct {
	Limits
	// rateUntil and inFlightUntil are when the rate and the concurrent requests
	// certainly no longer count. The latter is later, as a request that was
	// admitted under the grant may outlive it.
	rateUntil     time.Duration
	inFlightUntil time.Duration
}

// NewAllocator returns an empty Allocator, which makes no grants before from.
func NewAllocator(from time.Duration) *Allocator {
	return &Allocator{from: from, entries: map[string]*entryDemand{}}
}

// Demand is an entry's request for a grant.
type Demand struct {
	// VM is the name of the entry's VM.
	VM string
	// Want is the demand beyond the entry's base part.
	Want Limits
	// TTL is how long the grant counts, margin included.
	TTL time.Duration
	// Linger is how long a request may keep running after its grant expired.
	Linger time.Duration
}

// demandTTLs is how long an entry's last demand counts, in TTLs.
const demandTTLs = 3

// Grant grants the entry its proportional share of the pool, or less if the
// unexpired grants of the other entries leave less. The grant is zero while the
// grants of the previous lease holder may be in force.
func (b *Allocator) Grant(pool Limits, ask Demand, now time.Duration) Limits {
	b.expire(now, ask.TTL)
	entry, ok := b.entries[ask.VM]
	if !ok {
		entry = &entryDemand{}
		b.entries[ask.VM] = entry
	}
	entry.want, entry.requestedAt = ask.Want, now
	if now < b.from {
		return Limits{}
	}
	granted := b.proportionalShare(pool, ask.Want)
	rate, inFlight := b.maxUseByOthers(ask.VM)
	granted.RatePerS = min(granted.RatePerS, max(pool.RatePerS-rate, 0))
	granted.InFlight = min(granted.InFlight, max(pool.InFlight-inFlight, 0))
	entry.grants = append(entry.grants, grant{
		Limits: granted, rateUntil: now + ask.TTL, inFlightUntil: now + ask.TTL + ask.Linger,
	})
	return granted
}

// expire removes the grants and demands that no longer count.
func (b *Allocator) expire(now, ttl time.Duration) {
	for vm, entry := range b.entries {
		kept := entry.grants[:0]
		for _, g := range entry.grants {
			if now < g.rateUntil {
				kept = append(kept, g)
				continue
			}
			g.RatePerS = 0
			if now < g.inFlightUntil && g.InFlight > 0 {
				kept = append(kept, g)
			}
		}
		entry.grants = kept
		if len(kept) == 0 && now-entry.requestedAt > demandTTLs*ttl {
			delete(b.entries, vm)
		}
	}
}

// proportionalShare returns the demand, scaled down to a proportional part of the
// pool where all demands together exceed the pool.
func (b *Allocator) proportionalShare(pool, want Limits) Limits {
	var total Limits
	for _, entry := range b.entries {
		total.RatePerS += entry.want.RatePerS
		total.InFlight += entry.want.InFlight
	}
	share := want
	if total.RatePerS > pool.RatePerS {
		share.RatePerS = pool.RatePerS * want.RatePerS / total.RatePerS
	}
	if total.InFlight > pool.InFlight {
		share.InFlight = pool.InFlight * want.InFlight / total.InFlight
	}
	return share
}

// maxUseByOthers returns the most that all entries but vm may be using now.
func (b *Allocator) maxUseByOthers(vm string) (rate float64, inFlight int) {
	for name, entry := range b.entries {
		if name == vm {
			continue
		}
		r, f := entry.maxUse()
		rate += r
		inFlight += f
	}
	return rate, inFlight
}

// maxUse returns the most that the entry may be using now: the largest of its
// unexpired grants, taken for rate and concurrent requests apart.
func (e *entryDemand) maxUse() (rate float64, inFlight int) {
	for _, g := range e.grants {
		rate = max(rate, g.RatePerS)
		inFlight = max(inFlight, g.InFlight)
	}
	return rate, inFlight
}
