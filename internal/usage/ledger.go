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
	// KeyPrefix is where reports stand in the store.
	KeyPrefix = "usage/"
	// keySent is the row of the last window up to which all were sent.
	keySent = KeyPrefix + "sent"
	// keyWindows is where the sums of windows stand that may still be to be sent.
	keyWindows = KeyPrefix + "w/"
	// chunkBytes bounds a row's value: below what the store takes in one.
	chunkBytes = 40 << 10
	// maxDeletes bounds the rows that one transaction removes, whose entries are bounded.
	maxDeletes = 40
)

// report is the sums of one window, as they were fixed.
type report struct {
	window Window
	counts map[string]int
	// rows is how many rows of the store hold it.
	rows int
}

// ledger is the reports that stand in the store, as read at the start of a tenure.
type ledger struct {
	// known says that a window was ever sent.
	known bool
	// sent is the last window up to which all are known there to have been sent.
	sent Window
	// open are the reports that were fixed and not sent, in order.
	open []*report
	// stale are rows of windows that were sent.
	stale []string
}

func rowKey(w Window, chunk int) string { return fmt.Sprintf("%s%020d/%03d", keyWindows, w, chunk) }

// sentRow is the value of keySent.
type sentRow struct {
	Window Window `json:"window"`
}

// readLedger reads the ledger.
func readLedger(ctx context.Context, table store.Table) (*ledger, error) {
	records, err := table.List(ctx, KeyPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read reports")
	}
	l := &ledger{}
	chunks := make(map[Window][]byte)
	rows := make(map[Window]int)
	var order []Window
	for _, r := range records {
		if r.Key == keySent {
			var s sentRow
			if err := json.Unmarshal(r.Value, &s); err != nil {
				return nil, errors.Wrapf(err, "decode %s", r.Key)
			}
			l.known, l.sent = true, s.Window
			continue
		}
		var w Window
		var chunk int
		if _, err := fmt.Sscanf(strings.TrimPrefix(r.Key, keyWindows), "%d/%d", &w, &chunk); err != nil {
			return nil, errors.Wrapf(err, "decode %s", r.Key)
		}
		if rows[w] == 0 {
			order = append(order, w)
		}
		rows[w]++
		// Rows come by key, so that the parts of a window come in order.
		chunks[w] = append(chunks[w], r.Value...)
	}
	for _, w := range order {
		if l.known && w <= l.sent {
			l.drop(w, rows[w])
			continue
		}
		rep := &report{window: w, rows: rows[w]}
		if err := json.Unmarshal(chunks[w], &rep.counts); err != nil {
			return nil, errors.Wrapf(err, "decode report of window %d", w)
		}
		l.open = append(l.open, rep)
	}
	return l, nil
}

// drop has the rows of a window that was sent removed.
func (l *ledger) drop(w Window, rows int) {
	for chunk := range rows {
		l.stale = append(l.stale, rowKey(w, chunk))
	}
}

// fix returns the transaction that fixes a report: it fails where the window was fixed before,
// or the tenure's condition does not hold. It also notes what was sent, and how many of the
// stale rows it removes.
func (l *ledger) fix(r *report, tenure store.Cond) (txn store.Txn, removed int, err error) {
	value, err := json.Marshal(r.counts)
	if err != nil {
		return txn, 0, errors.Wrap(err, "encode report")
	}
	for r.rows = 0; r.rows == 0 || len(value) > 0; r.rows++ {
		n := min(len(value), chunkBytes)
		txn.Puts = append(txn.Puts, store.Put{Key: rowKey(r.window, r.rows), Value: value[:n]})
		value = value[n:]
	}
	sent, err := json.Marshal(sentRow{l.sent})
	if err != nil {
		return txn, 0, errors.Wrap(err, "encode last window")
	}
	txn.Conds = []store.Cond{tenure, {Key: rowKey(r.window, 0)}}
	txn.Puts = append(txn.Puts, store.Put{Key: keySent, Value: sent})
	removed = min(len(l.stale), maxDeletes)
	txn.Deletes = l.stale[:removed]
	return txn, removed, nil
}
