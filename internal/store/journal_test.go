package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/store"
)

const (
	journalPrefix = "journal/"
	journalHead   = "journal/head"
	journalRow    = "journal/row"
)

// tenure is the condition of a lease that is never lost.
var tenure = store.Cond{Key: "fence"}

// putRow returns a transaction that creates the journal's row.
func putRow(value string) store.Txn {
	return store.Txn{Conds: []store.Cond{{Key: journalRow}}, Puts: []store.Put{{Key: journalRow, Value: []byte(value)}}}
}

// readRow returns the value of the journal's row, or "" if there is none.
func readRow(ctx context.Context, t store.Table) string {
	r, err := t.Get(ctx, journalRow)
	if err != nil {
		return ""
	}
	return string(r.Value)
}

// A transaction that is executed late must not bring back a row that was written again and removed since.
func TestLateTransactionBringsBackARemovedRow(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	m := store.NewMemory()
	j := store.NewJournal(m, journalPrefix, journalHead)
	_, err := j.Read(ctx, tenure)
	is.NoErr(err)
	m.SetFault(store.FaultLateWrites)
	is.True(errors.Is(j.Commit(ctx, tenure, nil, putRow("late")), store.ErrUnknown))
	m.SetFault(store.FaultNone)
	_, err = j.Read(ctx, tenure)
	is.NoErr(err)
	is.NoErr(j.Commit(ctx, tenure, nil, putRow("again")))
	is.NoErr(j.Commit(ctx, tenure, nil, store.Txn{Deletes: []string{journalRow}}))
	is.Equal(m.RunLate(), 0)
	is.Equal(readRow(ctx, m), "")
}

// The platform refuses empty values: a head that says nothing has one too, so that orders can be journalled.
func TestHeadWithoutValueIsRefused(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	m := store.NewMemory()
	_, err := m.Commit(ctx, store.Txn{Puts: []store.Put{{Key: journalRow}}})
	is.True(err != nil)
	j := store.NewJournal(m, journalPrefix, journalHead)
	is.NoErr(j.Commit(ctx, tenure, nil, putRow("a")))
	is.Equal(readRow(ctx, m), "a")
}

// After Read, a transaction whose outcome was unknown can no longer take effect, even if none follows it.
func TestLateTransactionTakesEffectAfterTheJournalWasRead(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	m := store.NewMemory()
	j := store.NewJournal(m, journalPrefix, journalHead)
	m.SetFault(store.FaultLateWrites)
	is.True(errors.Is(j.Commit(ctx, tenure, nil, putRow("late")), store.ErrUnknown))
	_, err := j.Read(ctx, tenure)
	is.True(errors.Is(err, store.ErrUnknown)) // the outcome is still open
	m.SetFault(store.FaultNone)
	_, err = j.Read(ctx, tenure)
	is.NoErr(err)
	is.Equal(m.RunLate(), 0)
	is.Equal(readRow(ctx, m), "")
}

// Whatever becomes of the transactions of a holder, what it has read or committed last is what the store
// holds, and stays so.
func TestJournalHoldsWhatItsHolderKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		m := store.NewMemory()
		j := store.NewJournal(m, journalPrefix, journalHead)
		known, fresh := "", false
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.SetFault(rapid.SampledFrom([]store.Fault{
				store.FaultNone, store.FaultNone, store.FaultDown, store.FaultLostWrites, store.FaultLostResponses, store.FaultLateWrites,
			}).Draw(t, "fault"))
			if !fresh {
				if _, err := j.Read(ctx, tenure); err != nil {
					continue
				}
				known, fresh = readRow(ctx, m), true
			}
			next := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
			txn := store.Txn{Puts: []store.Put{{Key: journalRow, Value: []byte(next)}}}
			if next == "" {
				txn = store.Txn{Deletes: []string{journalRow}}
			}
			switch err := j.Commit(ctx, tenure, nil, txn); {
			case err == nil:
				known = next
			case !errors.Is(err, store.ErrUnavailable):
				fresh = false
			}
			m.SetFault(store.FaultNone)
			if rapid.Bool().Draw(t, "late writes are done") {
				m.RunLate()
			}
			if fresh && readRow(ctx, m) != known {
				t.Fatalf("step %d: the store holds %q, the holder knows %q", i, readRow(ctx, m), known)
			}
		}
	})
}
