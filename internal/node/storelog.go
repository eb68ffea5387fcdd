package node

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// loggedStore logs each call to the store. Calls have a price and are rate-limited for all VMs
// together, so an operator must be able to see which VM made a call and for which key or table.
type loggedStore struct {
	Store
	log *telemetry.Logger
}

// Stop stops the wrapped client if it is a kernel.Stopper.
func (s loggedStore) Stop(ctx context.Context) error {
	if stopper, ok := s.Store.(kernel.Stopper); ok {
		return stopper.Stop(ctx)
	}
	return nil
}

// Values of the log key "op". Both ListRows and List are logged as opList.
const (
	opList    = "list"    // a call of ListRows or List
	opChanges = "changes" // a call of Changes
	opGet     = "get"     // a call of Get
	opCommit  = "commit"  // a call of Commit
)

// logCall logs a call to the store. op is the kind of call, what is the key, prefix or table of the
// call, and rows is the number of rows read or written.
func (s loggedStore) logCall(op, what string, start time.Time, rows int, err error) {
	fields := []telemetry.Field{
		telemetry.F("op", op), telemetry.F("what", what), telemetry.F("rows", rows),
		telemetry.F("ms", time.Since(start).Milliseconds()),
	}
	if err != nil {
		fields = append(fields, telemetry.F("cause", err))
	}
	s.log.Info(telemetry.EventStoreCall, fields...)
}

// ListRows implements store.Feed.
func (s loggedStore) ListRows(ctx context.Context, table string) (store.Rows, error) {
	start := time.Now()
	rows, err := s.Store.ListRows(ctx, table)
	s.logCall(opList, table, start, len(rows.Rows), err)
	return rows, err
}

// Changes implements store.Feed.
func (s loggedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	start := time.Now()
	rows, err := s.Store.Changes(ctx, table, after, wait)
	s.logCall(opChanges, table, start, len(rows.Rows), err)
	return rows, err
}

// Get implements store.Table.
func (s loggedStore) Get(ctx context.Context, key string) (store.Record, error) {
	start := time.Now()
	r, err := s.Store.Get(ctx, key)
	s.logCall(opGet, key, start, 1, err)
	return r, err
}

// List implements store.Table.
func (s loggedStore) List(ctx context.Context, prefix string) ([]store.Record, error) {
	start := time.Now()
	records, err := s.Store.List(ctx, prefix)
	s.logCall(opList, prefix, start, len(records), err)
	return records, err
}

// Commit implements store.Table.
func (s loggedStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	start := time.Now()
	version, err := s.Store.Commit(ctx, txn)
	s.logCall(opCommit, firstKey(txn), start, len(txn.Puts)+len(txn.Deletes), err)
	return version, err
}

// firstKey returns the first key that a transaction writes or deletes, or "" if there is none.
func firstKey(txn store.Txn) string {
	switch {
	case len(txn.Puts) > 0:
		return txn.Puts[0].Key
	case len(txn.Deletes) > 0:
		return txn.Deletes[0]
	}
	return ""
}
