package watch

import (
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// unchangedRange states that the rows as of revision to are those as of revision from.
type unchangedRange struct{ from, to uint64 }

// noteUnchanged records that another VM's copy holds, as of revision to, the rows that this copy held
// as of revision from. followLoop then advances the copy.
func (t *Table) noteUnchanged(from, to uint64) {
	t.mu.Lock()
	if t.unchanged.from != from || t.unchanged.to < to {
		t.unchanged = unchangedRange{from: from, to: to}
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// advanceUnchanged advances the copy to the revision that noteUnchanged has recorded, unless the copy
// has changed since, or the store itself states to this VM how far it has read. Only followLoop may call
// it.
func (t *Table) advanceUnchanged() {
	t.mu.Lock()
	r := t.unchanged
	t.unchanged = unchangedRange{}
	t.mu.Unlock()
	if !t.listed || r.from != t.revision || r.to <= t.revision || t.watchesStore() {
		return
	}
	t.log.Info(telemetry.EventChangesForwarded, telemetry.F("table", t.name), telemetry.F("from", r.from),
		telemetry.F("revision", r.to), telemetry.F("unchanged", true))
	t.applyChanges(store.Rows{Revision: r.to})
}
