package store

import (
	"context"

	"github.com/pkg/errors"
)

// JournalCalls is the largest number of calls to the store that Journal.Read makes for a short journal.
const JournalCalls = 3

// emptyHead is the value of a head that says nothing.
var emptyHead = []byte("{}")

// Journal is a set of records that the holder of a lease reads once and then writes. Each transaction
// replaces one record, the head, on the condition that it has not changed. A transaction that the store
// executes late therefore fails once a later one has been executed, even if the records that it writes
// look again as they did when it was sent.
//
// A Journal is used by one goroutine only.
type Journal struct {
	table  Table
	prefix string
	head   string
	// version is the version of the head, 0 if there is none. unsettled is set while a transaction
	// that replaces this version may still be executed.
	version   uint64
	unsettled bool
}

// NewJournal returns the journal of the records whose keys start with prefix. head is the key of its head,
// which may be one of them.
func NewJournal(table Table, prefix, head string) *Journal {
	return &Journal{table: table, prefix: prefix, head: head}
}

// Read returns the records of the journal. No transaction that Commit has sent before takes effect after
// Read. tenure is the condition of the lease. Read fails with the errors of Table.Commit and Table.List;
// after ErrConflict it may be repeated while the tenure lasts.
func (j *Journal) Read(ctx context.Context, tenure Cond) ([]Record, error) {
	head, err := j.table.Get(ctx, j.head)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return nil, err
	}
	if err := j.settle(ctx, tenure, head); err != nil {
		return nil, errors.Wrap(err, "settle the last transaction")
	}
	return j.table.List(ctx, j.prefix)
}

// settle makes sure that the last transaction either has been executed or never will be. head is the
// head as it is now.
func (j *Journal) settle(ctx context.Context, tenure Cond, head Record) error {
	if j.unsettled && head.Version == j.version {
		// The store executes either this transaction or the last one.
		return j.Commit(ctx, tenure, head.Value, Txn{})
	}
	j.version, j.unsettled = head.Version, false
	return nil
}

// Commit executes txn and writes value to the head, or an empty JSON object if value is empty. After any
// error but ErrUnavailable, the journal has to be read again before the next call; ErrConflict says that the
// tenure has ended or that an earlier transaction has been executed late.
func (j *Journal) Commit(ctx context.Context, tenure Cond, value []byte, txn Txn) error {
	if len(value) == 0 {
		value = emptyHead
	}
	txn.Conds = append([]Cond{tenure, {Key: j.head, Version: j.version}}, txn.Conds...)
	txn.Puts = append([]Put{{Key: j.head, Value: value}}, txn.Puts...)
	version, err := j.table.Commit(ctx, txn)
	switch {
	case err == nil:
		j.version, j.unsettled = version, false
	case errors.Is(err, ErrConflict):
		j.unsettled = false
	case !errors.Is(err, ErrUnavailable):
		j.unsettled = true
	}
	return err
}
