package quota

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// bucket is the token bucket of one account. The caller of its methods must hold Keeper.mu.
type bucket struct {
	allowance fleet.Allowance
	// level is the balance as of at.
	level float64
	at    time.Time
	// own is what this VM's requests have used, local what those of the other VMs of the data
	// centre have used, and remote the same for all other VMs.
	own    counter
	local  counter
	remote counter
}

// fill adds what has come in since the last call, and returns the size of the bucket. coverage is
// the fraction of the rate and of the size that this VM may count on.
func (b *bucket) fill(now time.Time, coverage float64) (size float64) {
	rate, size := b.allowance.RatePerS*coverage, b.allowance.Burst*coverage
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.at = now
	}
	b.level = max(min(b.level, size), -maxDebt.Seconds()*b.allowance.RatePerS)
	return size
}

// use takes out what other VMs have used. It is negative if they have returned more than they have
// used.
func (b *bucket) use(amount int64, c *counter, now time.Time) {
	b.level -= float64(amount)
	c.add(amount, now)
}

// counter adds up what an account has used at some VMs.
type counter struct {
	total int64
	// recent holds the changes of total within RecentWindow, the oldest first.
	recent []change
}

// change is a change of a counter.
type change struct {
	at     time.Time
	amount int64
}

// changeSpan is the time within which changes are merged into one.
const changeSpan = 10 * time.Millisecond

// add adds an amount, which may be negative.
func (c *counter) add(amount int64, now time.Time) {
	c.total += amount
	c.forget(now)
	if n := len(c.recent); n > 0 && now.Sub(c.recent[n-1].at) < changeSpan {
		c.recent[n-1].amount += amount
		return
	}
	c.recent = append(c.recent, change{now, amount})
}

// forget drops the changes that are older than RecentWindow.
func (c *counter) forget(now time.Time) {
	n := 0
	for n < len(c.recent) && now.Sub(c.recent[n].at) > RecentWindow {
		n++
	}
	c.recent = c.recent[n:]
}

// asOf returns the total at the given time, which must lie within RecentWindow, and the part of it
// that was used within RecentWindow before now.
func (c *counter) asOf(at, now time.Time) (total, recent int64) {
	c.forget(now)
	total = c.total
	for _, ch := range c.recent {
		if ch.at.After(at) {
			total -= ch.amount
			continue
		}
		recent += ch.amount
	}
	return total, recent
}
