// Package quota limits what each client account uses at all VMs together. Its unit is a token or a
// request, as the account's allowance says.
//
// Each VM keeps a token bucket for every account with an allowance. All VMs fill a bucket at the
// same rate, and each takes out what its own requests use and what the other VMs report of theirs.
// The balances of all VMs thus agree but for what has been used within the age of the reports. An
// account that exceeds its allowance by that amount gets a negative balance, which is refilled
// before its next request is admitted.
//
// Load pattern: an account sends many times its allowance to hundreds of VMs, of which each gets a
// few requests a second. Some VMs are cut off, frozen or restarted meanwhile. A VM counts as
// available for the account only the fraction of the rate that corresponds to the VMs whose use it
// knows, so that the parts of a divided group do not use the whole allowance each.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/fleet"
)

// RecentWindow is the time for which a change of what an account has used is reported. It covers
// several reports, so that a lost one is made up for by the next.
const RecentWindow = 1200 * time.Millisecond

const (
	// maxDebt limits a negative balance, as the time for which the bucket must fill to balance it.
	// VMs that were cut off may report a large use at once, most of which lies far back.
	maxDebt = 8 * time.Second
	// resumeDebt limits the debt that resumed streams may leave, as a fraction of the bucket. Without a limit
	// one stream, resumed again and again, would use any amount.
	resumeDebt = 0.5
	// sourceTTL is how long the totals of a source are kept after its last report.
	sourceTTL = time.Minute
	// maxItems is the maximum number of accounts in one report. If more have used something
	// recently, those that have used most are reported, as their error would be the largest.
	maxItems = 512
)

// Used is what an account has used at some VMs.
type Used struct {
	// Account is AccountHash of the account's name.
	Account uint64
	// Total is the use since the source began to count, and Recent the part of it within
	// RecentWindow.
	Total  int64
	Recent int64
}

// AccountHash returns the hash by which reports identify an account.
func AccountHash(name string) uint64 { return xxhash.Sum64String(name) }

// Group is the set of VMs that share the allowances.
type Group interface {
	// Coverage returns the fraction of the VMs whose use this VM knows, itself included.
	Coverage() float64
}

// Balance is the state of an account's bucket at a decision.
type Balance struct {
	// Level is what the account may use now. It is negative after a use that was known too late.
	Level float64
	// Coverage is Group.Coverage at that time.
	Coverage float64
	// Wait is the time until the request would be admitted if no other came, or 0 if it was
	// admitted.
	Wait time.Duration
}

// Keeper keeps the buckets of all accounts. It is safe for concurrent use.
type Keeper struct {
	group Group
	// started is when the buckets began to fill. They are empty then, unless full is set: the VM
	// may have restarted while accounts used up their allowances elsewhere.
	started time.Time
	full    bool

	// mu guards the fields below.
	mu sync.Mutex
	// config is the configuration that was last applied.
	config *fleet.Config
	// buckets holds the bucket of each account with an allowance, by the hash of its name.
	buckets map[uint64]*bucket
	// sources holds the last reported totals by source.
	sources map[string]*source
}

// source is a process whose reports are taken in.
type source struct {
	seenAt time.Time
	totals map[uint64]int64
}

// New returns a keeper without allowances. firstStart states that the whole group starts for the
// first time, so that nothing has been used yet.
func New(group Group, firstStart bool, now time.Time) *Keeper {
	return &Keeper{group: group, started: now, full: firstStart,
		buckets: make(map[uint64]*bucket), sources: make(map[string]*source)}
}

// SetConfig applies the allowances of a configuration. A bucket whose allowance has changed keeps
// its level, up to the new size.
func (k *Keeper) SetConfig(c *fleet.Config, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c == k.config {
		return
	}
	k.config = c
	limited := make(map[uint64]bool)
	for _, a := range c.Accounts() {
		if a.Allowance == nil {
			continue
		}
		hash := AccountHash(a.Name)
		limited[hash] = true
		b := k.buckets[hash]
		if b == nil {
			b = &bucket{at: k.started}
			if k.full {
				b.level = a.Allowance.Burst
			}
			k.buckets[hash] = b
		} else {
			b.fill(now, 1)
		}
		b.allowance = *a.Allowance
	}
	for hash := range k.buckets {
		if !limited[hash] {
			delete(k.buckets, hash)
		}
	}
}

// Take takes cost out of the bucket of the named account, and reports whether the account's
// allowance permits it. If not, nothing is taken out. An account without an allowance is always
// permitted. A request that costs more than the whole bucket is permitted once the bucket is full.
func (k *Keeper) Take(name string, cost int64, now time.Time) (Balance, bool) {
	return k.take(name, cost, 0, now)
}

// TakeResumed is Take for a request that resumes a stream. The account's allowance permitted the stream when it
// began, so that it may leave a debt, which is refilled before anything else is permitted.
func (k *Keeper) TakeResumed(name string, cost int64, now time.Time) (Balance, bool) {
	return k.take(name, cost, resumeDebt, now)
}

// take is Take with a permitted debt, as a fraction of the bucket.
func (k *Keeper) take(name string, cost int64, debt float64, now time.Time) (Balance, bool) {
	coverage := k.group.Coverage()
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.buckets[AccountHash(name)]
	if b == nil {
		return Balance{Coverage: coverage}, true
	}
	size := b.fill(now, coverage)
	out := Balance{Level: b.level, Coverage: coverage}
	if missing := min(float64(cost), size) - b.level - debt*size; missing > 0 {
		out.Wait = time.Duration(missing / (b.allowance.RatePerS * coverage) * float64(time.Second))
		return out, false
	}
	b.level -= float64(cost)
	b.own.add(cost, now)
	return out, true
}

// Return puts back what Take has taken out for a request that has not run.
func (k *Keeper) Return(name string, cost int64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b := k.buckets[AccountHash(name)]; b != nil {
		b.level += float64(cost)
		b.own.add(-cost, now)
	}
}
