package table

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/store"
)

// newSeededStore returns a store on p with two rows, and the table in it.
func newSeededStore(t *testing.T, p store.Table) (*Store, Table) {
	t.Helper()
	s := NewStore(p, time.Now)
	v, err := s.Apply(t.Context(), Edit{Token: "seed", Who: "test", Table: Table{Rows: []Row{hintsRow(), renewalsRow()}}})
	if err != nil || v != 1 {
		t.Fatalf("seed: version %d, %v", v, err)
	}
	got, err := s.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s, got
}

// withWeight returns a copy of t with another weight for one service.
func withWeight(t Table, service string, weight float64) Table {
	out := Table{Version: t.Version, Rows: append([]Row(nil), t.Rows...)}
	for i := range out.Rows {
		if out.Rows[i].Service == service {
			out.Rows[i].Weight = weight
		}
	}
	return out
}

// Edits of one row conflict, and edits of different rows are both applied.
func TestTwoOperators(t *testing.T) {
	is := is.New(t)
	s, base := newSeededStore(t, store.NewMemory())
	_, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: withWeight(base, "hints", 5)})
	is.NoErr(err)

	_, err = s.Apply(t.Context(), Edit{Token: "b", Base: base.Version, Table: withWeight(base, "hints", 9)})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(strings.Contains(err.Error(), `column "weight": theirs "5", yours "9"`)) // shows both values

	_, err = s.Apply(t.Context(), Edit{Token: "c", Base: base.Version, Table: withWeight(base, "renewals", 9)})
	is.NoErr(err) // an edit of another row does not conflict
	now, err := s.Read(t.Context())
	is.NoErr(err)
	hints, _ := now.Row("hints")
	renewals, _ := now.Row("renewals")
	is.Equal(hints.Weight, 5.0) // the first operator's edit is not lost
	is.Equal(renewals.Weight, 9.0)
	is.Equal(now.Version, uint64(3))
}

// Two edits of different rows that are valid alone, but assign the same engine, are
// not both applied.
func TestTwoOperatorsAssignOneEngine(t *testing.T) {
	is := is.New(t)
	s, base := newSeededStore(t, store.NewMemory())
	add := func(name string) Table {
		out := withWeight(base, "", 0)
		r := hintsRow()
		r.Service, r.Engines = name, []Assignment{{DataCentre: "edappally", Names: []string{"shared"}}}
		out.Rows = append(out.Rows, r)
		return out
	}
	_, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: add("clues")})
	is.NoErr(err)
	_, err = s.Apply(t.Context(), Edit{Token: "b", Base: base.Version, Table: add("judge")})
	var invalid InvalidError
	is.True(errors.As(err, &invalid)) // the engine is already assigned
}

// An edit of a row conflicts with its removal.
func TestEditConflictsWithRemoval(t *testing.T) {
	is := is.New(t)
	s, base := newSeededStore(t, store.NewMemory())
	removed := Table{Rows: []Row{base.Rows[1]}}
	_, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: removed})
	is.NoErr(err)
	_, err = s.Apply(t.Context(), Edit{Token: "b", Base: base.Version, Table: withWeight(base, "hints", 3)})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
}

// faultyStore injects a fault into the next remaining commits.
type faultyStore struct {
	*store.Memory
	mu        sync.Mutex
	remaining int
	fault     store.Fault
}

func (f *faultyStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining > 0 {
		f.remaining--
		f.SetFault(f.fault)
		defer f.SetFault(store.FaultNone)
	}
	return f.Memory.Commit(ctx, txn)
}

// A write with an unknown outcome is applied exactly once.
func TestUnknownWrites(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
	}{
		{"effect without an answer", store.FaultLostResponses},
		{"no effect and no answer", store.FaultLostWrites},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &faultyStore{Memory: store.NewMemory()}
			s, base := newSeededStore(t, p)
			p.remaining, p.fault = 1, c.fault
			v, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: withWeight(base, "hints", 5)})
			is.NoErr(err)
			is.Equal(v, uint64(2)) // applied once
			again, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: withWeight(base, "hints", 5)})
			is.NoErr(err)
			is.Equal(again, uint64(2)) // the same token is not applied twice
			h, err := s.History(t.Context(), 10)
			is.NoErr(err)
			is.Equal(len(h), 2)
		})
	}
}

// An edit fails while the platform is down and leaves the table as it is.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	p := store.NewMemory()
	s, base := newSeededStore(t, p)
	p.SetFault(store.FaultDown)
	_, err := s.Apply(t.Context(), Edit{Token: "a", Base: base.Version, Table: withWeight(base, "hints", 5)})
	is.True(errors.Is(err, store.ErrUnavailable))
	p.SetFault(store.FaultNone)
	v, err := s.Version(t.Context())
	is.NoErr(err)
	is.Equal(v, uint64(1))
}

// cellOp is an operation on one cell of the table: a read, or an edit that replaces
// from by to.
type cellOp struct {
	read bool
	from float64
	to   float64
}

// cellResult is the value that was read, or whether the edit was accepted.
type cellResult struct {
	value float64
	ok    bool
}

// cellModel returns the sequential model of one cell of the table: an accepted edit
// must have been based on the value that it replaces.
func cellModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 1.0 },
		Step: func(state, input, output any) (bool, any) {
			op, out, v := input.(cellOp), output.(cellResult), state.(float64)
			switch {
			case op.read:
				return out.value == v, v
			case out.ok:
				return v == op.from, op.to
			}
			return true, v // a refused edit changes nothing
		},
	}
}

// Several operators edit one cell concurrently, while the answers to some writes
// are lost. Every accepted edit must replace the value that it was based on, and
// none may be lost.
func TestConcurrentOperatorsHistory(t *testing.T) {
	p := &faultyStore{Memory: store.NewMemory()}
	s, _ := newSeededStore(t, p)
	p.remaining, p.fault = 8, store.FaultLostResponses
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in cellOp, call time.Duration, out cellResult) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(start)),
		})
	}
	var wg sync.WaitGroup
	for client := range 5 {
		wg.Go(func() {
			for i := range 8 {
				call := time.Since(start)
				base, err := s.Read(t.Context())
				if err != nil {
					t.Error(err)
					return
				}
				row, _ := base.Row("hints")
				record(client, cellOp{read: true}, call, cellResult{value: row.Weight})
				to := float64(100*client + i + 2)
				call = time.Since(start)
				_, err = s.Apply(t.Context(), Edit{
					Token: fmt.Sprintf("%d-%d", client, i), Base: base.Version, Table: withWeight(base, "hints", to),
				})
				var conflict *ConflictError
				if err != nil && !errors.As(err, &conflict) {
					t.Error(err)
					return
				}
				record(client, cellOp{from: row.Weight, to: to}, call, cellResult{ok: err == nil})
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(cellModel(), history) {
		t.Fatal("an accepted edit was lost or based on a value that it did not replace")
	}
}

// The history checker must reject a lost update.
func TestHistoryCheckerRejectsLostUpdate(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: cellOp{from: 1, to: 2}, Call: 0, Output: cellResult{ok: true}, Return: 1},
		{ClientId: 1, Input: cellOp{from: 1, to: 3}, Call: 2, Output: cellResult{ok: true}, Return: 3},
	}
	if porcupine.CheckOperations(cellModel(), history) {
		t.Fatal("the checker accepts a lost update")
	}
}

// An edit is repeated after its answer was lost, and after another operator has
// edited the same row. It is found by its token, so it neither conflicts nor undoes
// the later edit.
func TestRepeatedApplyAfterALaterEdit(t *testing.T) {
	is := is.New(t)
	s, base := newSeededStore(t, store.NewMemory())
	edit := Edit{Token: "a", Base: base.Version, Table: withWeight(base, "hints", 5)}
	v, err := s.Apply(t.Context(), edit)
	is.NoErr(err)
	now, err := s.Read(t.Context())
	is.NoErr(err)
	_, err = s.Apply(t.Context(), Edit{Token: "b", Base: now.Version, Table: withWeight(now, "hints", 7)})
	is.NoErr(err)
	again, err := s.Apply(t.Context(), edit)
	is.NoErr(err)
	is.Equal(again, v)
	now, err = s.Read(t.Context())
	is.NoErr(err)
	row, _ := now.Row("hints")
	is.Equal(row.Weight, 7.0)
}
