package quota

import (
	"cmp"
	"slices"
	"time"
)

// Scope says which VMs a report or a source covers.
type Scope int

// The scopes.
const (
	// Own is this VM alone.
	Own Scope = iota + 1
	// Local is all VMs of this VM's data centre.
	Local
	// All is all VMs.
	All
)

// Used returns the use of the accounts that have used something recently, at the VMs of the scope.
func (k *Keeper) Used(s Scope, now time.Time) []Used {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []Used
	for account, b := range k.buckets {
		counters := []*counter{&b.own, &b.local, &b.remote}[:s]
		u, changed := Used{Account: account}, false
		for _, c := range counters {
			total, recent := c.asOf(now, now)
			u.Total, u.Recent = u.Total+total, u.Recent+recent
			changed = changed || len(c.recent) > 0
		}
		if changed {
			out = append(out, u)
		}
	}
	if len(out) > maxItems {
		slices.SortFunc(out, func(a, b Used) int { return cmp.Compare(b.Recent, a.Recent) })
		out = out[:maxItems]
	}
	return out
}

// Observe takes in a report of other VMs. source identifies the process that has made it, and local
// says that the report covers VMs of this data centre only. What the source has used since its last
// report is taken out of the buckets. Of a source that is new, that is what it has used recently.
func (k *Keeper) Observe(source string, local bool, items []Used, now time.Time) {
	if len(items) == 0 {
		return
	}
	coverage := k.group.Coverage()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observe(source, local, items, coverage, now)
}

// ObserveAll is Observe for a report that covers all VMs, this one included. madeAt is when the
// report was made: what this VM had used by then is not counted again.
func (k *Keeper) ObserveAll(source string, items []Used, madeAt, now time.Time) {
	if len(items) == 0 {
		return
	}
	coverage := k.group.Coverage()
	k.mu.Lock()
	defer k.mu.Unlock()
	others := make([]Used, 0, len(items))
	for _, u := range items {
		if b := k.buckets[u.Account]; b != nil {
			total, recent := b.own.asOf(madeAt, now)
			others = append(others, Used{u.Account, u.Total - total, u.Recent - recent})
		}
	}
	k.observe(source, false, others, coverage, now)
}

// observe does the work of Observe. The caller must hold k.mu.
func (k *Keeper) observe(from string, local bool, items []Used, coverage float64, now time.Time) {
	s := k.sources[from]
	if s == nil {
		k.dropOldSources(now)
		s = &source{totals: make(map[uint64]int64)}
		k.sources[from] = s
	}
	s.seenAt = now
	for _, u := range items {
		b := k.buckets[u.Account]
		if b == nil {
			continue
		}
		last, known := s.totals[u.Account]
		if !known {
			last = u.Total - u.Recent
		}
		s.totals[u.Account] = u.Total
		if u.Total == last {
			continue
		}
		c := &b.remote
		if local {
			c = &b.local
		}
		b.fill(now, coverage)
		b.use(u.Total-last, c, now)
	}
}

// dropOldSources removes the sources that have not reported for sourceTTL. The caller must hold
// k.mu.
func (k *Keeper) dropOldSources(now time.Time) {
	for name, s := range k.sources {
		if now.Sub(s.seenAt) > sourceTTL {
			delete(k.sources, name)
		}
	}
}
