package watch

import (
	"time"

	"garnethoist.org/garnethoist/internal/clock"
)

// AsOf returns a time at which this copy of the table held all that the store
// held, by the store's answers or by others' word.
func (t *Table) AsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// ReadAt is AsOf by the store's answers to this VM only. Others are told no more:
// word that is passed on seems younger by the time that it took, and would stay
// young for ever where VMs pass it to each other. Newest that is read after it is
// not older.
func (t *Table) ReadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// Heard takes in that another VM's copy, in which version is the highest, held
// all that the store held at asOf: so does this one, if it has read as far.
func (t *Table) Heard(version uint64, asOf time.Time) {
	if version <= t.reached.Load() {
		t.current(asOf)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ahead <= t.reached.Load() {
		t.aheadSince = clock.Now()
	}
	t.ahead = max(t.ahead, version)
	if asOf.After(t.aheadAsOf) {
		t.aheadAsOf = asOf
	}
}

// current moves asOf on.
func (t *Table) current(asOf time.Time) {
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

// Confirm has the store asked whether this copy is the newest, at most once in
// askGap. The channel is closed when it was found to be the newest later than
// before.
func (t *Table) Confirm() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := clock.Now(); !now.Before(t.nextConfirm) {
		t.nextConfirm = now.Add(askGap)
		t.confirm = true
		t.askNow()
	}
	if t.confirmed == nil {
		t.confirmed = make(chan struct{})
	}
	return t.confirmed
}

// behind reports whether copies that were the newest less than bound ago hold
// rows that this one does not, and did for as long, less what a sentinel may take
// to read them. Until others knew more, this copy was as new as any.
func (t *Table) behind(bound time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := bound - maxCallGap
	return t.ahead > t.reached.Load() && clock.Since(t.asOf) > late && clock.Since(t.aheadSince) > late &&
		clock.Since(t.aheadAsOf) <= bound
}
