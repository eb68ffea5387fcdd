package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone reports that the store no longer keeps the changes since the requested
// revision. The caller must read all rows again, with ListRows.
var ErrHistoryGone = errors.New("store: history gone")

// Row is a row of a table, or a change of one.
type Row struct {
	Key   string
	Value []byte
	// Version is the revision of the store at which the row was written.
	Version uint64
	// Removed is true for a change that removes the row. Value is empty then.
	Removed bool
}

// Rows is the content of a table, or the changes to it since an earlier revision, as of a revision
// of the store.
type Rows struct {
	Rows     []Row
	Revision uint64
	// StoreTime is the reading of the store's monotonic clock when the store made the response that
	// contained the rows; 0 means unknown.
	StoreTime time.Duration
	// More is true if there are further changes up to the store's present revision, which did not fit
	// into the response.
	More bool
}

// Position states how far a copy of a table has been read, and what it holds, so that copies can be
// compared.
type Position struct {
	// Revision is the revision of the store at which the copy last changed or was read whole. The copy
	// holds all rows as of it.
	Revision uint64
	// Newest is the highest version of a row that the copy has applied. It says nothing about
	// removals: a table that is read whole states no version for them.
	Newest uint64
	// KeySum is a sum over the keys of the usable rows of the copy; 0 means unknown.
	KeySum uint64
}

// SameRows returns whether a copy that holds all rows as of revision, with the given sum over their
// keys, holds the same rows as the copy at p, whose Revision is not lower. Rows of p that were written
// after revision would have a higher version, and removed rows would change the sum.
func (p Position) SameRows(revision, keySum uint64) bool {
	return p.KeySum != 0 && p.KeySum == keySum && p.Newest <= revision && revision <= p.Revision
}

// Delta is a set of changes to a table that one VM has read from the store and forwards to others.
type Delta struct {
	// From is the revision after which the changes were made: a copy of the table at that
	// revision, or a later one, lacks no earlier change.
	From uint64
	// Until, if it is not 0, is the last revision at which a copy may apply the changes. They are then the
	// difference between two reads of the whole table, and lack rows that were written and removed in
	// between, which a copy of a later revision may hold.
	Until uint64
	// Rows holds the changes, and the revision that a copy has reached after applying them.
	Rows Rows
	// AfterOutage is true if the store has ever been unreachable for the forwarding VM.
	AfterOutage bool
	// SinceRecovery is the time for which, as far as the forwarding VM knows, the store had been
	// reachable again when that VM read the changes. SinceRecovery is 0 if the store is not known
	// to have been reachable before that read, and is set only if AfterOutage is true.
	SinceRecovery time.Duration
}

// Feed reads a table of the store and its changes.
type Feed interface {
	// ListRows returns all rows of a table.
	ListRows(ctx context.Context, table string) (Rows, error)
	// Changes returns the changes to a table after revision after. If there are none yet, Changes
	// waits for the first change, and returns no rows if there is no change within wait. It fails
	// with ErrHistoryGone if the store no longer keeps these changes.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
}
