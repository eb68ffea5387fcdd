package watch

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// firstCopyWait is how long a VM that starts tries to copy a table from other VMs before it reads
	// the store. The sentinels have read it by then unless they do not reach the store.
	firstCopyWait = 4 * time.Second
	// newerCopyWait is the same for a VM that lacks a row. Together with the time until it knows of
	// the row, and that of a read, it stays below the two seconds that the strictest installation
	// allows.
	newerCopyWait = 400 * time.Millisecond
)

// Copier copies tables from other VMs. snapshot.Client implements it.
type Copier interface {
	// Fetch returns a copy as of the given revision or a later one. If wait is set and no VM has such a
	// copy yet, Fetch asks again until ctx ends.
	Fetch(ctx context.Context, table string, revision uint64, wait bool) (snapshot.Snapshot, error)
}

// ApplyCopy applies the copy of another VM to the local state. It returns the keys of the rows in it.
type ApplyCopy func(s snapshot.Snapshot) (keys []string, err error)

// SetCopier makes VMs that do not watch the store copy the table from other VMs instead of reading
// it whole. apply applies the data of a copy. It must be called before Start.
func (t *Table) SetCopier(c Copier, apply ApplyCopy) {
	t.copier, t.applyCopy = c, apply
}

// copyFromPeers copies the table from another VM if the whole table would have to be read from the
// store otherwise. It returns whether the copy was made and applied. A copy does not confirm that
// the store has no newer rows.
func (t *Table) copyFromPeers(ctx context.Context) bool {
	revision, due := t.copyDue()
	if !due || t.copier == nil || t.watchesStore() {
		return false
	}
	first, wait := t.revision == 0, newerCopyWait
	if first {
		wait = firstCopyWait
	}
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var keys []string
	s, err := t.copier.Fetch(ctx, t.name, revision, first)
	if err == nil && s.Revision < t.revision {
		err = errStale
	}
	if err == nil {
		keys, err = t.applyCopy(s)
	}
	fields := []telemetry.Field{telemetry.F("table", t.name), telemetry.F("revision", s.Revision), telemetry.F("bytes", len(s.Data)),
		telemetry.F("ms", clock.Since(began).Milliseconds())}
	if err != nil {
		t.log.Info(telemetry.EventCopied, append(fields, telemetry.F("cause", err))...)
		return false
	}
	t.log.Info(telemetry.EventCopied, fields...)
	t.listed, t.lastChange = true, s.Revision
	t.newest, t.keys = max(t.newest, s.Newest), newKeySet(keys)
	t.setRevision(s.Revision)
	return true
}

// copyDue returns whether the table must be read whole, and as of which revision at least. It is false
// if the store is to confirm the copy.
func (t *Table) copyDue() (revision uint64, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirm {
		return 0, false
	}
	missing := t.wantedRevision > t.sharedRevision()
	return t.wantedRevision, !t.listed || (missing && t.listOnPoll && t.pollDueLocked())
}
