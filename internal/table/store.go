package table

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

// Keys of the table on the platform.
const (
	keyHead       = "table/head"
	prefixRow     = "table/row/"
	prefixHistory = "table/history/"
	prefixToken   = "table/token/"
)

// historyKept is how many accepted edits the history keeps.
const historyKept = 2000

// applyTries bounds how often an edit is tried again when others get in first.
const applyTries = 20

// Store keeps the table on the platform. Each row is written on the version it
// was taken from; one head record carries the version of the whole.
type Store struct {
	platform store.Table
	now      func() time.Time
}

// NewStore returns the table kept on p.
func NewStore(p store.Table, now func() time.Time) *Store {
	return &Store{platform: p, now: now}
}

// head is the record under keyHead.
type head struct {
	Version uint64 `json:"version"`
}

// Edit is an edited table on its way to the platform.
type Edit struct {
	// Token makes the edit idempotent.
	Token string
	Who   string
	// Base is the version that the table was taken from.
	Base  uint64
	Table Table
}

// Accepted is an edit in the history.
type Accepted struct {
	Version uint64    `json:"version"`
	Token   string    `json:"token"`
	Who     string    `json:"who"`
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
}

// Conflict is the error of an edit of a row that changed since the edit's base.
type Conflict struct {
	Service string
	// Theirs is how the row differs now from the base edited; Yours is the
	// row as edited. Either is nil for a removed row.
	Theirs *Row
	Yours  *Row
	Base   uint64
	Now    uint64
}

// Error implements error and shows both values of each cell in conflict.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "row %q changed in version %d, after version %d that your table was taken from:", c.Service, c.Now, c.Base)
	for _, cell := range (Change{Service: c.Service, Before: c.Theirs, After: c.Yours}).Cells() {
		fmt.Fprintf(&b, "\n  column %q: theirs %q, yours %q", cell.Column, cell.Before, cell.After)
	}
	return b.String()
}

// Version returns the table's version on the platform, at the cost of one
// read; zero when there is no table yet.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	h, _, err := s.head(ctx)
	return h.Version, err
}

func (s *Store) head(ctx context.Context) (head, uint64, error) {
	var h head
	rec, err := s.platform.Get(ctx, keyHead)
	if errors.Is(err, store.ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, errors.Wrap(err, "read table head")
	}
	return h, rec.Version, errors.Wrap(json.Unmarshal(rec.Value, &h), "decode table head")
}

// Read returns the whole table at one version.
func (s *Store) Read(ctx context.Context) (Table, error) {
	t, _, err := s.read(ctx)
	return t, err
}

// read returns the table and the platform's version of its head. The head is
// read before and after the rows, so that the rows are of one version.
func (s *Store) read(ctx context.Context) (Table, uint64, error) {
	for range applyTries {
		before, version, err := s.head(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		rows, err := s.rows(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		after, _, err := s.head(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		if before == after {
			return Table{Version: before.Version, Rows: rows}, version, nil
		}
	}
	return Table{}, 0, errors.Wrap(store.ErrUnavailable, "the table changes faster than it can be read")
}

func (s *Store) rows(ctx context.Context) ([]Row, error) {
	recs, err := s.platform.List(ctx, prefixRow)
	if err != nil {
		return nil, errors.Wrap(err, "read table rows")
	}
	rows := make([]Row, 0, len(recs))
	for _, rec := range recs {
		var r Row
		if err := json.Unmarshal(rec.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "decode %s", rec.Key)
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// Apply puts the rows that e changed in force and returns the new version. An
// edit applied before under the same token is not applied again. The error is
// an Invalid, a *Conflict, or one of the platform's.
func (s *Store) Apply(ctx context.Context, e Edit) (uint64, error) {
	for range applyTries {
		version, done, err := s.applied(ctx, e.Token)
		if err != nil || done {
			return version, err
		}
		version, err = s.applyOnce(ctx, e)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, store.ErrUnknown):
			// The write may land, now or later, but only on the head it was
			// made for. The token tells, or the same write is made again.
			continue
		case errors.Is(err, store.ErrConflict):
			continue
		}
		return 0, err
	}
	return 0, errors.Wrap(store.ErrUnknown, "the edit could not be confirmed; apply it again with the same token")
}

// applied returns the version of an edit that is already in force.
func (s *Store) applied(ctx context.Context, token string) (uint64, bool, error) {
	rec, err := s.platform.Get(ctx, prefixToken+token)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, errors.Wrap(err, "look up edit")
	}
	var h head
	if err := json.Unmarshal(rec.Value, &h); err != nil {
		return 0, false, errors.Wrap(err, "decode edit token")
	}
	return h.Version, true, nil
}

func (s *Store) applyOnce(ctx context.Context, e Edit) (uint64, error) {
	current, headVersion, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	changes, err := s.changes(ctx, current, e)
	if err != nil {
		return 0, err
	}
	if len(changes) == 0 {
		return current.Version, nil
	}
	next := merge(current, changes)
	if err := next.Check(); err != nil {
		return 0, err
	}
	txn, err := s.transaction(e, current.Version+1, headVersion, changes)
	if err != nil {
		return 0, err
	}
	if _, err := s.platform.Commit(ctx, txn); err != nil {
		return 0, errors.Wrap(err, "commit table")
	}
	return current.Version + 1, nil
}

// changes returns what e changes of current. A row that both the operator and
// someone else have changed since the base is a conflict; rows that only
// others changed stay as they are now.
func (s *Store) changes(ctx context.Context, current Table, e Edit) ([]Change, error) {
	base := current
	if e.Base != current.Version {
		var err error
		if base, err = s.at(ctx, current, e.Base); err != nil {
			return nil, err
		}
	}
	edited := Diff(base, e.Table)
	var out []Change
	for _, c := range edited {
		now, exists := current.Row(c.Service)
		var theirs *Row
		if exists {
			theirs = &now
		}
		if sameOptional(theirs, c.After) {
			continue
		}
		if !sameOptional(theirs, c.Before) {
			return nil, &Conflict{Service: c.Service, Theirs: theirs, Yours: c.After, Base: e.Base, Now: current.Version}
		}
		out = append(out, Change{Service: c.Service, Before: theirs, After: c.After})
	}
	return out, nil
}

func sameOptional(a, b *Row) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return sameRow(*a, *b)
}

// at returns the table as it was at an earlier version, by undoing the history
// backwards from current.
func (s *Store) at(ctx context.Context, current Table, version uint64) (Table, error) {
	if version > current.Version {
		return Table{}, errors.Errorf("the edit is based on version %d, but the table is at %d", version, current.Version)
	}
	accepted, err := s.History(ctx, historyKept)
	if err != nil {
		return Table{}, err
	}
	t, reached := current, current.Version
	for _, a := range accepted {
		if a.Version <= version || a.Version > current.Version {
			continue
		}
		var undo []Change
		for _, c := range a.Changes {
			undo = append(undo, Change{Service: c.Service, Before: c.After, After: c.Before})
		}
		t = merge(t, undo)
		reached = a.Version - 1
	}
	if reached != version {
		return Table{}, errors.Errorf("version %d is too old to be edited; take the table again", version)
	}
	return t, nil
}

func merge(t Table, changes []Change) Table {
	out := Table{Version: t.Version}
	changed := make(map[string]bool, len(changes))
	for _, c := range changes {
		changed[c.Service] = true
		if c.After != nil {
			out.Rows = append(out.Rows, *c.After)
		}
	}
	for _, r := range t.Rows {
		if !changed[r.Service] {
			out.Rows = append(out.Rows, r)
		}
	}
	out.Sort()
	return out
}

// transaction builds the one write that puts an edit in force: changed rows,
// head, history and token.
func (s *Store) transaction(e Edit, version, headVersion uint64, changes []Change) (store.Txn, error) {
	txn := store.Txn{Conds: []store.Cond{
		{Key: keyHead, Version: headVersion},
		{Key: prefixToken + e.Token, Version: 0},
	}}
	for _, c := range changes {
		if c.After == nil {
			txn.Deletes = append(txn.Deletes, prefixRow+c.Service)
			continue
		}
		r := *c.After
		r.Changed = version
		if err := putJSON(&txn, prefixRow+r.Service, r); err != nil {
			return txn, err
		}
	}
	accepted := Accepted{Version: version, Token: e.Token, Who: e.Who, At: s.now(), Changes: changes}
	records := []struct {
		key   string
		value any
	}{
		{keyHead, head{Version: version}},
		{prefixToken + e.Token, head{Version: version}},
		{historyKey(version), accepted},
	}
	for _, r := range records {
		if err := putJSON(&txn, r.key, r.value); err != nil {
			return txn, err
		}
	}
	if version > historyKept {
		txn.Deletes = append(txn.Deletes, historyKey(version-historyKept))
	}
	return txn, nil
}

// historyKey sorts by version.
func historyKey(version uint64) string { return fmt.Sprintf("%s%016x", prefixHistory, version) }

func putJSON(txn *store.Txn, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: data})
	return nil
}

// History returns up to limit accepted edits, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Accepted, error) {
	recs, err := s.platform.List(ctx, prefixHistory)
	if err != nil {
		return nil, errors.Wrap(err, "read table history")
	}
	sort.Slice(recs, func(i, j int) bool { return recs[i].Key > recs[j].Key })
	out := make([]Accepted, 0, min(limit, len(recs)))
	for _, rec := range recs[:min(limit, len(recs))] {
		var a Accepted
		if err := json.Unmarshal(rec.Value, &a); err != nil {
			return nil, errors.Wrapf(err, "decode %s", rec.Key)
		}
		out = append(out, a)
	}
	return out, nil
}
