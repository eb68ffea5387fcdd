// Package order issues orders to engines under a lease. An order tells an engine
// which role, model and version to take. Each order is written to a journal on
// the platform before it is sent, in a transaction that succeeds only within the
// sender's tenure of the lease. The next holder completes the orders in the
// journal before it issues new ones.
package order

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Entry is the journal's row of one engine: the last order issued to it.
type Entry struct {
	Engine string       `json:"engine"`
	Order  target.Order `json:"order"`
	// Done is set once the engine's status has shown that the order is in force.
	Done bool `json:"done"`
	// Version is the version of the row on the platform. It is not part of the
	// stored value.
	Version uint64 `json:"-"`
}

// Journal is the order journal of one service in one data centre, kept in a table
// of the platform.
type Journal struct {
	table      store.Table
	dataCentre string
	service    string
	log        *telemetry.Logger
}

// NewJournal returns the journal of a service in a data centre. Malformed rows are logged to log.
func NewJournal(table store.Table, dataCentre, service string, log *telemetry.Logger) *Journal {
	return &Journal{table: table, dataCentre: dataCentre, service: service, log: log}
}

// keyPrefix starts the keys of journal rows. The keys do not contain the service,
// so that an engine that moves between services keeps one row.
const keyPrefix = "order/"

// key returns the key of the engine's row.
func (j *Journal) key(engine string) string {
	return keyPrefix + j.dataCentre + "/" + engine
}

// Load returns the rows of all engines of the data centre, by engine. A malformed row is logged, and is returned as
// that of an engine without an order, which the next order replaces. An order that it held may have been sent: the
// next one has a higher fencing number, and an engine that ignores these gets it only once the other can't arrive.
func (j *Journal) Load(ctx context.Context) (map[string]Entry, error) {
	recs, err := j.table.List(ctx, keyPrefix+j.dataCentre+"/")
	if err != nil {
		return nil, errors.Wrap(err, "read the order journal")
	}
	out := make(map[string]Entry, len(recs))
	for _, rec := range recs {
		engine := strings.TrimPrefix(rec.Key, keyPrefix+j.dataCentre+"/")
		e, err := decodeEntry(rec.Value, engine)
		if err != nil {
			j.log.BadRow(rec.Key, rec.Version, err)
			e = Entry{Engine: engine, Done: true}
		}
		e.Version = rec.Version
		out[engine] = e
	}
	return out, nil
}

// decodeEntry decodes the row of an engine.
func decodeEntry(value []byte, engine string) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, errors.Wrap(err, "decode journal row")
	}
	if e.Engine != engine {
		return e, errors.Errorf("journal row of engine %q names engine %q", engine, e.Engine)
	}
	return e, nil
}

// Write replaces version e.Version of the engine's row by e, if the tenure t
// still lasts, and returns e with its new version. The error is
// store.ErrConflict if the tenure is over or someone else wrote the row. If the
// outcome of the write is unknown, Write reads the row back; the error is
// store.ErrUnknown if that does not show it.
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
		return e, errors.Wrapf(err, "write order to %s to the journal", e.Engine)
	}
	e.Version = version
	return e, nil
}

// readBack checks whether the row holds the value just written. If it does not,
// the outcome stays unknown: the write may still take effect, but only on the row
// version that it was made for, so the caller may safely repeat the same write.
func (j *Journal) readBack(ctx context.Context, e Entry, value []byte) (Entry, error) {
	rec, err := j.table.Get(ctx, j.key(e.Engine))
	if err != nil {
		return e, errors.Wrapf(store.ErrUnknown, "read back order to %s: %v", e.Engine, err)
	}
	if string(rec.Value) != string(value) {
		return e, errors.Wrapf(store.ErrUnknown, "order to %s is not in the journal", e.Engine)
	}
	e.Version = rec.Version
	return e, nil
}
