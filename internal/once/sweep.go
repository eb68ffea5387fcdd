package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

const (
	// sweepFrom and sweepTo are the ages in days of the claims that a sweep
	// removes. A day's claims are in use until every entry's clock, which may
	// be a day behind, has left the day after it.
	sweepFrom = 3
	sweepTo   = 9
	// sweepBatch is how many claims are removed in one write.
	sweepBatch = 200
)

// Sweep removes the service's claims of days that no entry looks at any more
// and returns how many there were. It may run anywhere and at any time, also
// twice at once.
func Sweep(ctx context.Context, table store.Table, service string, now time.Time) (int, error) {
	today := day(now.Unix() / secondsPerDay)
	removed := 0
	for age := day(sweepFrom); age <= sweepTo; age++ {
		n, err := sweepDay(ctx, table, (today - age).prefix(service))
		removed += n
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

func sweepDay(ctx context.Context, table store.Table, prefix string) (int, error) {
	recs, err := table.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list old claims")
	}
	for i := 0; i < len(recs); i += sweepBatch {
		var txn store.Txn
		for _, rec := range recs[i:min(i+sweepBatch, len(recs))] {
			txn.Deletes = append(txn.Deletes, rec.Key)
		}
		if _, err := table.Commit(ctx, txn); err != nil {
			return i, errors.Wrap(err, "remove old claims")
		}
	}
	return len(recs), nil
}
