package origin

import (
	"context"
	"strings"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// maxDeletes limits the deletions in one transaction.
const maxDeletes = 50

// expiredOwn returns the keys of this process's rows that are no longer needed, and forgets them.
func (j *Journal) expiredOwn(now time.Time) []string {
	var keys []string
	for key, o := range j.obsolete {
		if o.version == 0 && key != j.rowKey && !o.at.After(now) && len(keys) < maxDeletes {
			keys = append(keys, key)
			delete(j.obsolete, key)
		}
	}
	return keys
}

// sweep deletes rows that are no longer needed, also those of processes that have ended. Only a collector that
// has written or read rows does so.
func (j *Journal) sweep(ctx context.Context) {
	j.mu.Lock()
	active := len(j.obsolete) > 0 || len(j.stored) > 0
	j.mu.Unlock()
	if !active || !j.group.Collects() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := j.table.List(ctx, journalPrefix)
	if err != nil {
		return
	}
	now := clock.Now()
	j.observeRows(rows, now)
	txn := store.Txn{}
	for key, o := range j.obsolete {
		if o.at.After(now) || len(txn.Deletes) >= maxDeletes {
			continue
		}
		if o.version != 0 {
			txn.Conds = append(txn.Conds, store.Cond{Key: key, Version: o.version})
		}
		txn.Deletes = append(txn.Deletes, key)
		if key == j.rowKey {
			j.beginRow()
		}
	}
	if len(txn.Deletes) == 0 {
		return
	}
	if _, err := j.table.Commit(ctx, txn); err != nil {
		// Another VM has deleted or rewritten some of the rows; the next sweep reads what is left.
		j.log.Info(telemetry.EventStreamsNotStored, telemetry.F("deletes", len(txn.Deletes)), telemetry.F("cause", err))
	}
	for _, key := range txn.Deletes {
		delete(j.obsolete, key)
	}
}

// observeRows records when the rows of other processes become obsolete: when they have not changed for the time for
// which they are needed, by this VM's clock. It forgets rows that are gone.
func (j *Journal) observeRows(rows []store.Record, now time.Time) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
		if o, known := j.obsolete[r.Key]; strings.HasPrefix(r.Key, j.writer) || (known && o.version == r.Version) {
			continue
		}
		row, err := decodeJournalRow(r.Value)
		if err != nil {
			continue
		}
		j.obsolete[r.Key] = obsoleteRow{at: now.Add(row.ttl() + journalSlack), version: r.Version}
	}
	for key, o := range j.obsolete {
		if o.version != 0 && !listed[key] {
			delete(j.obsolete, key)
		}
	}
}
