package node

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// loggedStore writes a line for each call to the store: calls are priced and limited
// for the whole group, so an operator must see which VM made one, and for what.
type loggedStore struct {
	Store
	log *telemetry.Logger
}

// Stop stops the store's client.
func (s loggedStore) Stop(ctx context.Context) error {
	if stopper, ok := s.Store.(kernel.Stopper); ok {
		return stopper.Stop(ctx)
	}
	return nil
}

// The operations of a call's line.
const (
	opList    = "list"
	opChanges = "changes"
	opGet     = "get"
	opCommit  = "commit"
)

func (s loggedStore) called(op, what string, began time.Time, rows int, err error) {
	fields := []telemetry.Field{
		telemetry.F("op", op), telemetry.F("what", what), telemetry.F("rows", rows),
		telemetry.F("ms", time.Since(began).Milliseconds()),
	}
	if err != nil {
		fields = append(fields, telemetry.F("cause", err))
	}
	s.log.Info(telemetry.EventStoreCall, fields...)
}

// ListRows implements store.Feed.
func (s loggedStore) ListRows(ctx context.Context, table string) (store.Rows, error) {
	began := time.Now()
	rows, err := s.Store.ListRows(ctx, table)
	s.called(opList, table, began, len(rows.Rows), err)
	return rows, err
}

// Changes implements store.Feed.
func (s loggedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	began := time.Now()
	rows, err := s.Store.Changes(ctx, table, after, wait)
	s.called(opChanges, table, began, len(rows.Rows), err)
	return rows, err
}

// Get implements store.Table.
func (s loggedStore) Get(ctx context.Context, key string) (store.Record, error) {
	began := time.Now()
	r, err := s.Store.Get(ctx, key)
	s.called(opGet, key, began, 1, err)
	return r, err
}

// List implements store.Table.
func (s loggedStore) List(ctx context.Context, prefix string) ([]store.Record, error) {
	began := time.Now()
	records, err := s.Store.List(ctx, prefix)
	s.called(opList, prefix, began, len(records), err)
	return records, err
}

// Commit implements store.Table.
func (s loggedStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	began := time.Now()
	version, err := s.Store.Commit(ctx, txn)
	s.called(opCommit, firstKey(txn), began, len(txn.Puts)+len(txn.Deletes), err)
	return version, err
}

// firstKey is the first key that a transaction writes.
func firstKey(txn store.Txn) string {
	switch {
	case len(txn.Puts) > 0:
		return txn.Puts[0].Key
	case len(txn.Deletes) > 0:
		return txn.Deletes[0]
	}
	return ""
}
