package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

const (
	// KeyPrefix is the prefix of the store keys of reports.
	KeyPrefix = "usage/"
	// sentKey is the key of the row that holds a sentRow. It is the head of the journal: each transaction
	// replaces it.
	sentKey = KeyPrefix + "sent"
	// windowsPrefix is the prefix of the keys of finalized reports that may not have been sent
	// yet.
	windowsPrefix = KeyPrefix + "w/"
	// maxRowBytes bounds a row's value. It is below the largest value that the store accepts.
	maxRowBytes = 40 << 10
	// maxDeletes bounds the rows that one transaction removes, because the store limits the number
	// of entries in a transaction.
	maxDeletes = 40
)

// report holds the final sums of one window: the number of runs of each client account.
type report struct {
	window Window
	counts map[string]int
	// rows is the number of store rows that hold the report.
	rows int
}

// ledger is the state of the reports in the store, as read at the start of a tenure and kept up
// to date since.
type ledger struct {
	// anySent says whether the row of sentKey holds a window.
	anySent bool
	// lastSent is the window up to which, inclusive, all reports are known to have been sent.
	lastSent Window
	// unsent holds the reports that were finalized and not sent yet, in the order of windows.
	unsent []*report
	// stale holds the keys of the rows of reports that were sent. The rows can be removed.
	stale []string
}

// rowKey returns the key of the row that holds the given chunk of the report of window w. Chunks
// are numbered from 0.
func rowKey(w Window, chunk int) string { return fmt.Sprintf("%s%020d/%03d", windowsPrefix, w, chunk) }

// sentRow is the JSON value of the row at sentKey. All reports up to and including Window have been
// sent; without Window it is not known whether any has.
type sentRow struct {
	Window *Window `json:"window"`
}

// readLedger reads the ledger from its journal in a tenure. It fails if the store cannot be read, or if it is
// not known which reports have been sent. Malformed rows of a window count as sent, and are passed to bad.
func readLedger(ctx context.Context, journal *store.Journal, tenure store.Cond, bad func(key string, version uint64, cause error)) (*ledger, error) {
	records, err := journal.Read(ctx, tenure)
	if err != nil {
		return nil, errors.Wrap(err, "read usage reports")
	}
	l := &ledger{}
	chunks := make(map[Window][]byte)
	rows, versions := make(map[Window]int), make(map[Window]uint64)
	var order []Window
	for _, r := range records {
		if r.Key == sentKey {
			var s sentRow
			if err := json.Unmarshal(r.Value, &s); err != nil {
				return nil, errors.Wrapf(err, "decode %s", r.Key)
			}
			if s.Window != nil {
				l.anySent, l.lastSent = true, *s.Window
			}
			continue
		}
		var w Window
		var chunk int
		if _, err := fmt.Sscanf(strings.TrimPrefix(r.Key, windowsPrefix), "%d/%d", &w, &chunk); err != nil {
			bad(r.Key, r.Version, err)
			continue
		}
		if rows[w] == 0 {
			order = append(order, w)
		}
		rows[w]++
		versions[w] = max(versions[w], r.Version)
		// Rows are listed in the order of their keys, so the chunks of a window arrive in order.
		chunks[w] = append(chunks[w], r.Value...)
	}
	for _, w := range order {
		if l.anySent && w <= l.lastSent {
			l.markStale(w, rows[w])
			continue
		}
		rep := &report{window: w, rows: rows[w]}
		if err := json.Unmarshal(chunks[w], &rep.counts); err != nil {
			bad(rowKey(w, 0), versions[w], err)
			l.markStale(w, rows[w])
			continue
		}
		l.unsent = append(l.unsent, rep)
	}
	return l, nil
}

// markStale marks the rows of a sent window for removal.
func (l *ledger) markStale(w Window, rows int) {
	for chunk := range rows {
		l.stale = append(l.stale, rowKey(w, chunk))
	}
}

// finalize makes a report final in a tenure, and sets r.rows. It fails if the window was finalized before.
// It also stores lastSent and removes the first stale rows. After an error the ledger has to be read again.
func (l *ledger) finalize(ctx context.Context, journal *store.Journal, tenure store.Cond, r *report) error {
	value, err := json.Marshal(r.counts)
	if err != nil {
		return errors.Wrap(err, "encode usage report")
	}
	txn := store.Txn{Conds: []store.Cond{{Key: rowKey(r.window, 0)}}}
	for r.rows = 0; r.rows == 0 || len(value) > 0; r.rows++ {
		n := min(len(value), maxRowBytes)
		txn.Puts = append(txn.Puts, store.Put{Key: rowKey(r.window, r.rows), Value: value[:n]})
		value = value[n:]
	}
	sent, err := json.Marshal(sentRow{&l.lastSent})
	if err != nil {
		return errors.Wrap(err, "encode last sent window")
	}
	removed := min(len(l.stale), maxDeletes)
	txn.Deletes = l.stale[:removed]
	if err := journal.Commit(ctx, tenure, sent, txn); err != nil {
		return err
	}
	l.stale = l.stale[removed:]
	l.unsent = append(l.unsent, r)
	return nil
}
