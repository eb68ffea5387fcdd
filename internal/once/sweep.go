package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

const (
	// minSweepAge and maxSweepAge are the ages in days of the claims that a sweep
	// removes. The claims of a day are in use until the clocks of all entries,
	// which may be a day behind, have passed the day after it.
	minSweepAge = 3
	maxSweepAge = 9
	// sweepBatchSize is the number of claims that one write removes.
	sweepBatchSize = 200
)

// Sweep removes the service's claims of days that no entry checks any more, and
// returns how many it removed. It may run on any VM, at any time, and several
// times concurrently.
func Sweep(ctx context.Context, table store.Table, service string, now time.Time) (int, error) {
	today := day(now.Unix() / secondsPerDay)
	removed := 0
	for age := day(minSweepAge); age <= maxSweepAge; age++ {
		n, err := sweepDay(ctx, table, (today - age).prefix(service))
		removed += n
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// sweepDay removes the claims whose keys start with prefix, in batches. It returns
// how many it removed.
func sweepDay(ctx context.Context, table store.Table, prefix string) (int, error) {
	recs, err := table.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list old claims")
	}
	for i := 0; i < len(recs); i += sweepBatchSize {
		var txn store.Txn
		for _, rec := range recs[i:min(i+sweepBatchSize, len(recs))] {
			txn.Deletes = append(txn.Deletes, rec.Key)
		}
		if _, err := table.Commit(ctx, txn); err != nil {
			return i, errors.Wrap(err, "remove old claims")
		}
	}
	return len(recs), nil
}
