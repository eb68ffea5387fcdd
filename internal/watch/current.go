package watch

import (
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/store"
)

// AsOf returns a time at which this copy of the table held all rows of the store, according to
// the store's responses or to the reports of other VMs.
func (t *Table) AsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// ReadAt is like AsOf, but goes only by the store's responses to this VM. Reports to other VMs
// contain ReadAt and not AsOf: the receiver does not know how long a report was in transit, so the
// time that it computes from the report is too late by the transit time. If VMs passed AsOf back
// and forth, it would advance at each pass and never grow old. Call ReadAt before Position, so that
// the position is at least as new as the time.
func (t *Table) ReadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// ConservativeAsOf is like AsOf, but is never later than the time at which the copy held all rows.
// AsOf can be too late by the time that a datagram or a response waited in a queue while the
// process was stopped. ConservativeAsOf is computed from the store's clock reading instead. If that
// reading is unknown or gives an impossible time, ConservativeAsOf returns the start time of the
// last call to which the store responded.
func (t *Table) ConservativeAsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.link.clock.earliest(t.asOfStoreTime)
	if !ok || at.Before(t.lastCallBegan) || at.After(clock.Now()) {
		return t.lastCallBegan
	}
	return at
}

// ReadStoreTime returns the store's clock reading at the time that ReadAt returns, or 0 if the
// store's responses do not state it. Call it before Position too.
func (t *Table) ReadStoreTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readStoreTime
}

// ObservePeer records that another VM's copy at position p held all rows of the store at asOf, when the
// store's clock read storeTime. If this copy has reached p, or holds the same rows, it held all rows at
// that time too. Otherwise ObservePeer returns true: the other copy is ahead, see behind.
func (t *Table) ObservePeer(p store.Position, asOf time.Time, storeTime time.Duration) (ahead bool) {
	own := t.shared.Load()
	reached := p.Revision <= own.revision
	if reached || p.SameRows(own.revision, own.position.KeySum) {
		if !reached {
			t.noteUnchanged(own.revision, p.Revision)
		}
		t.raiseStoreTime(storeTime)
		t.raiseAsOf(asOf)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aheadRevision <= own.revision {
		t.aheadSince = clock.Now()
	}
	t.aheadRevision = max(t.aheadRevision, p.Revision)
	if asOf.After(t.aheadAsOf) {
		t.aheadAsOf = asOf
	}
	return true
}

// raiseStoreTime records that this copy held all rows of the store when the store's clock read
// storeTime.
func (t *Table) raiseStoreTime(storeTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOfStoreTime = max(t.asOfStoreTime, storeTime)
}

// raiseAsOf advances t.asOf to asOf and closes t.confirmed. It does nothing if t.asOf is not
// earlier than asOf.
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

// Confirm requests a poll that confirms that this copy holds all rows of the store. Such a poll is
// requested at most once per pollGap. The returned channel is closed when AsOf next advances.
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

// behind returns whether other VMs, which could reach the store, have long had rows that this copy
// lacks. That is the case if
//   - a copy that was confirmed at most bound ago has a revision that this copy has not reached, and
//   - both the last confirmation of this copy and the first report of such a revision are older than
//     bound minus maxCallGap, the time that a sentinel may take to read a change.
//
// Before that first report, this copy was as new as any other.
func (t *Table) behind(bound time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := bound - maxCallGap
	return t.aheadRevision > t.sharedRevision() && clock.Since(t.asOf) > limit &&
		clock.Since(t.aheadSince) > limit && clock.Since(t.aheadAsOf) <= bound
}
