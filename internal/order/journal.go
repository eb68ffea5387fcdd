// Package order gives engines orders under a lease. Each order is journalled
// on the platform, in a transaction that holds only within the sender's
// tenure, before it is sent; a successor completes what the journal shows
// before anything else.
package order

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/target"
)

// Entry is the journal's row of one engine: the order last given to it.
type Entry struct {
	Engine string       `json:"engine"`
	Order  target.Order `json:"order"`
	// Done is set once the engine has shown the order in force.
	Done bool `json:"done"`
	// Version is the row's version on the platform; not stored in it.
	Version uint64 `json:"-"`
}

// Journal is the order journal of one service in one data centre.
type Journal struct {
	table      store.Table
	dataCentre string
	service    string
}

// NewJournal returns the journal of a service in a data centre.
func NewJournal(table store.Table, dataCentre, service string) *Journal {
	return &Journal{table: table, dataCentre: dataCentre, service: service}
}

// prefixOrder starts the keys of journal rows. They are keyed by engine alone,
// so that an engine that moves between services keeps one row.
const prefixOrder = "order/"

func (j *Journal) key(engine string) string {
	return prefixOrder + j.dataCentre + "/" + engine
}

// Load returns the rows of every engine of the data centre.
func (j *Journal) Load(ctx context.Context) (map[string]Entry, error) {
	recs, err := j.table.List(ctx, prefixOrder+j.dataCentre+"/")
	if err != nil {
		return nil, errors.Wrap(err, "read order journal")
	}
	out := make(map[string]Entry, len(recs))
	for _, rec := range recs {
		var e Entry
		if err := json.Unmarshal(rec.Value, &e); err != nil {
			return nil, errors.Wrapf(err, "decode journal row %s", rec.Key)
		}
		e.Version = rec.Version
		out[e.Engine] = e
	}
	return out, nil
}

// Write stores e on top of the row version that e holds, within the tenure t.
// store.ErrConflict means that the tenure is over or that another wrote
// the row. An unknown outcome is resolved by reading back.
func (j *Journal) Write(ctx context.Context, t lease.Tenure, e Entry) (Entry, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return e, errors.Wrap(err, "encode journal row")
	}
	key := j.key(e.Engine)
	version, err := j.table.Commit(ctx, store.Txn{
		Conds: []store.Cond{
			{Key: lease.FenceKey(j.dataCentre, j.service), Version: t.FenceVersion},
			{Key: key, Version: e.Version},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	})
	if errors.Is(err, store.ErrUnknown) {
		return j.readBack(ctx, e, value)
	}
	if err != nil {
		return e, errors.Wrapf(err, "journal order to %s", e.Engine)
	}
	e.Version = version
	return e, nil
}

// readBack tells whether the row is the one just written. If it is not there
// yet the outcome stays unknown: the write may still land, but only on the
// version that it was made for, so the caller may try the same again.
func (j *Journal) readBack(ctx context.Context, e Entry, value []byte) (Entry, error) {
	rec, err := j.table.Get(ctx, j.key(e.Engine))
	if err != nil {
		return e, errors.Wrapf(store.ErrUnknown, "read back order to %s: %v", e.Engine, err)
	}
	if string(rec.Value) != string(value) {
		return e, errors.Wrapf(store.ErrUnknown, "order to %s not in the journal", e.Engine)
	}
	e.Version = rec.Version
	return e, nil
}
