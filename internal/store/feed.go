package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone reports that the store no longer keeps the changes since the requested
// revision. The rows must be listed again.
var ErrHistoryGone = errors.New("store: history gone")

// Row is a row of a table, or a change of one.
type Row struct {
	Key   string
	Value []byte
	// Version is the revision of the store at which the row was written.
	Version uint64
	// Removed marks the removal of a row, which has no value. Only changes have it.
	Removed bool
}

// Rows is the content of a table, or the changes to it, as of a revision of the store.
type Rows struct {
	Rows     []Row
	Revision uint64
	// StoreTime is the reading of the store's monotonic clock when it responded; 0 means unknown.
	StoreTime time.Duration
}

// Delta is the changes to a table after revision From, which one VM forwards to others.
type Delta struct {
	// From is the revision that the changes apply to.
	From uint64
	// Rows holds the changes, and the revision that they lead to.
	Rows Rows
	// AfterOutage is true if the store had been unreachable before the changes were read.
	AfterOutage bool
	// SinceRecovery is how long the store had been reachable again when the changes were read; 0
	// if it was still unreachable. It is set only with AfterOutage.
	SinceRecovery time.Duration
}

// Feed reads a table of the store and its changes.
type Feed interface {
	// ListRows returns all rows of a table.
	ListRows(ctx context.Context, table string) (Rows, error)
	// Changes returns the changes to a table after revision after. It waits for the first
	// change, and returns no rows if there is none within wait. It fails with ErrHistoryGone if
	// the store no longer keeps these changes.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
}
