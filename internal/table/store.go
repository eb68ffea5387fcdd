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

// Keys and key prefixes of the table's records on the platform.
const (
	keyHead       = "table/head"
	prefixRow     = "table/row/"
	prefixHistory = "table/history/"
	prefixToken   = "table/token/"
)

// maxHistory is the number of accepted edits that the history holds.
const maxHistory = 2000

// maxAttempts bounds the attempts to read the table or to apply an edit while
// other edits get in first.
const maxAttempts = 20

// Store stores the table on the platform, with a record for each row. The head
// record holds the version of the whole table. Every write is conditional on the
// head's version. A Store is safe for concurrent use.
type Store struct {
	platform store.Table
	now      func() time.Time
}

// NewStore returns the store of the table on the platform p. now is the time that
// the history records.
func NewStore(p store.Table, now func() time.Time) *Store {
	return &Store{platform: p, now: now}
}

// head is the record under keyHead, and under the token of each accepted edit.
type head struct {
	Version uint64 `json:"version"`
}

// Edit is an edited table to be applied.
type Edit struct {
	// Token identifies the edit, which is applied only once for each token.
	Token string
	// Who is the operator's name for the history.
	Who string
	// Base is the table version from which the edit was made.
	Base uint64
	// Table has all rows, edited or not.
	Table Table
}

// Accepted is an applied edit in the history.
type Accepted struct {
	Version uint64    `json:"version"`
	Token   string    `json:"token"`
	Who     string    `json:"who"`
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
}

// ConflictError is the error for an edited row that another edit has changed since the
// base version.
type ConflictError struct {
	Service string
	// Theirs is the row as it is now, and Yours the row as edited. Either is nil
	// for a removed row.
	Theirs *Row
	Yours  *Row
	// Base is the version that the edit was made from, and Now the table's
	// current version.
	Base uint64
	Now  uint64
}

// Error returns a message with both values of each cell that differs.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "row %q changed in version %d, after version %d that your table was taken from:", c.Service, c.Now, c.Base)
	for _, cell := range (Change{Service: c.Service, Before: c.Theirs, After: c.Yours}).Cells() {
		fmt.Fprintf(&b, "\n  column %q: theirs %q, yours %q", cell.Column, cell.Before, cell.After)
	}
	return b.String()
}

// Version returns the table's version on the platform, or zero if there is no
// table yet. It takes one read.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	h, _, err := s.readHead(ctx)
	return h.Version, err
}

// readHead returns the head record and its version on the platform; both are zero
// if there is no table yet.
func (s *Store) readHead(ctx context.Context) (head, uint64, error) {
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

// read returns the table and the version of its head record on the platform. It
// reads the head before and after the rows, and reads again if the head has
// changed, so that all rows are of one version.
func (s *Store) read(ctx context.Context) (Table, uint64, error) {
	for range maxAttempts {
		before, version, err := s.readHead(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		rows, err := s.readRows(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		after, _, err := s.readHead(ctx)
		if err != nil {
			return Table{}, 0, err
		}
		if before == after {
			return Table{Version: before.Version, Rows: rows}, version, nil
		}
	}
	return Table{}, 0, errors.Wrap(store.ErrUnavailable, "the table changed during every attempt to read it")
}

// readRows returns the rows on the platform.
func (s *Store) readRows(ctx context.Context) ([]Row, error) {
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

// Apply applies the changes that e makes to its base version, and returns a
// table version in which they are in force. An edit is not applied again under
// the same token. The error is an InvalidError, a ConflictError, or wraps one of the
// platform's; store.ErrUnknown means that the edit may still take effect.
func (s *Store) Apply(ctx context.Context, e Edit) (uint64, error) {
	for range maxAttempts {
		version, done, err := s.findApplied(ctx, e.Token)
		if err != nil || done {
			return version, err
		}
		version, err = s.applyOnce(ctx, e)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, store.ErrUnknown):
			// The write may take effect now or later, but only on the head
			// version that it was made for. The next attempt finds its token or
			// makes the write again.
			continue
		case errors.Is(err, store.ErrConflict):
			continue
		}
		return 0, err
	}
	return 0, errors.Wrap(store.ErrUnknown, "the edit could not be confirmed; apply it again with the same token")
}

// findApplied returns the version that the edit with the token was applied in, and
// whether it was applied.
func (s *Store) findApplied(ctx context.Context, token string) (uint64, bool, error) {
	rec, err := s.platform.Get(ctx, prefixToken+token)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, errors.Wrap(err, "look up edit token")
	}
	var h head
	if err := json.Unmarshal(rec.Value, &h); err != nil {
		return 0, false, errors.Wrap(err, "decode edit token")
	}
	return h.Version, true, nil
}

// applyOnce makes one attempt to apply e, and returns the new version.
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
	next := applyChanges(current, changes)
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

// changes returns the changes that e makes to the current table. If both e and
// another edit since its base have changed a row in different ways, the error is
// a ConflictError. Rows that only other edits changed stay as they are now.
func (s *Store) changes(ctx context.Context, current Table, e Edit) ([]Change, error) {
	base := current
	if e.Base != current.Version {
		var err error
		if base, err = s.readVersion(ctx, current, e.Base); err != nil {
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
		if equalOptionalRows(theirs, c.After) {
			continue
		}
		if !equalOptionalRows(theirs, c.Before) {
			return nil, &ConflictError{Service: c.Service, Theirs: theirs, Yours: c.After, Base: e.Base, Now: current.Version}
		}
		out = append(out, Change{Service: c.Service, Before: theirs, After: c.After})
	}
	return out, nil
}

// equalOptionalRows reports whether the rows are equal or both missing.
func equalOptionalRows(a, b *Row) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return equalRows(*a, *b)
}

// readVersion returns the table as it was at an earlier version, by undoing the
// edits in the history from the current table backwards.
func (s *Store) readVersion(ctx context.Context, current Table, version uint64) (Table, error) {
	if version > current.Version {
		return Table{}, errors.Errorf("the edit is based on version %d, but the table is at %d", version, current.Version)
	}
	accepted, err := s.History(ctx, maxHistory)
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
		t = applyChanges(t, undo)
		reached = a.Version - 1
	}
	if reached != version {
		return Table{}, errors.Errorf("version %d is no longer in the history; get the table and edit it again", version)
	}
	return t, nil
}

// applyChanges returns t with the changes applied, sorted and at the same version.
func applyChanges(t Table, changes []Change) Table {
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

// transaction returns the transaction that applies an edit as the given table
// version: it writes the changed rows, the head, the history and the token, if
// the head still has headVersion and the token is new.
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
	if version > maxHistory {
		txn.Deletes = append(txn.Deletes, historyKey(version-maxHistory))
	}
	return txn, nil
}

// historyKey returns the key of a version's history record. The keys sort by
// version.
func historyKey(version uint64) string { return fmt.Sprintf("%s%016x", prefixHistory, version) }

// putJSON adds a write of value, encoded as JSON, to txn.
func putJSON(txn *store.Txn, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: data})
	return nil
}

// History returns the last limit accepted edits at most, newest first.
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
