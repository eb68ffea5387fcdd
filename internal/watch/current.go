package watch

import (
	"time"

	"garnethoist.org/garnethoist/internal/clock"
)

// AsOf returns a time at which this copy of the table held all rows of the store, according to
// the store's answers or to the reports of other VMs.
func (t *Table) AsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// ReadAt is like AsOf, but counts only the store's answers to this VM. Other VMs are sent this
// time and not AsOf: a reported time appears younger by the time that the report was in transit,
// so it would stay young for ever if VMs passed it back and forth. Call ReadAt before Newest: the
// version that Newest then returns covers that time.
func (t *Table) ReadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// ConservativeAsOf is like AsOf, but never too late. It is computed from the store's clock, so
// that a datagram or an answer that waited in a queue while the process was stopped does not
// appear younger than it is.
func (t *Table) ConservativeAsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.link.clock.earliest(t.asOfStoreTime)
	if !ok || at.Before(t.lastCallBegan) || at.After(clock.Now()) {
		return t.lastCallBegan
	}
	return at
}

// ReadStoreTime returns ReadAt on the store's clock, or 0 if the store does not state its clock. Call
// it before Newest too.
func (t *Table) ReadStoreTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readStoreTime
}

// ObservePeer records that another VM's copy, whose highest row version is version, held all rows of
// the store at asOf, when the store's clock read storeTime. The same then holds for this copy if
// it has reached that version.
func (t *Table) ObservePeer(version uint64, asOf time.Time, storeTime time.Duration) {
	if version <= t.sharedRevision.Load() {
		t.raiseStoreTime(storeTime)
		t.raiseAsOf(asOf)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aheadVersion <= t.sharedRevision.Load() {
		t.aheadSince = clock.Now()
	}
	t.aheadVersion = max(t.aheadVersion, version)
	if asOf.After(t.aheadAsOf) {
		t.aheadAsOf = asOf
	}
}

// raiseStoreTime records that this copy held all rows of the store when the store's clock read
// storeTime.
func (t *Table) raiseStoreTime(storeTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOfStoreTime = max(t.asOfStoreTime, storeTime)
}

// raiseAsOf advances asOf to the given time, unless it is later already, and wakes the callers
// that wait for it.
func (t *Table) raiseAsOf(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !asOf.After(t.asOf) {
		return
	}
	t.asOf = asOf
	if t.confirmed != nil {
		close(t.confirmed)
		t.confirmed = nil
	}
}

// Confirm requests a call to the store that confirms that this copy is the newest, at most once
// per pollGap. The returned channel is closed when asOf next advances.
func (t *Table) Confirm() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := clock.Now(); !now.Before(t.nextConfirm) {
		t.nextConfirm = now.Add(pollGap)
		t.confirm = true
		t.triggerPoll()
	}
	if t.confirmed == nil {
		t.confirmed = make(chan struct{})
	}
	return t.confirmed
}

// behind returns whether copies that were the newest less than bound ago hold rows that this copy
// lacks, and have held them for bound, less the time that a sentinel may take to read them. Until
// other VMs had newer rows, this copy was as new as any.
func (t *Table) behind(bound time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := bound - maxCallGap
	return t.aheadVersion > t.sharedRevision.Load() && clock.Since(t.asOf) > limit &&
		clock.Since(t.aheadSince) > limit && clock.Since(t.aheadAsOf) <= bound
}
