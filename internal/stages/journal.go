package stages

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// row is the journal's row of an engine.
type row struct {
	Holder string      `json:"holder"`
	Fence  uint64      `json:"fence"`
	Stage  fleet.Stage `json:"stage"`
}

// openOrder is a row of the journal as this VM sees it.
type openOrder struct {
	row  row
	seen time.Duration
	// unknown orders of this VM had no answer.
	unknown bool
}

// readJournal reads the journal at the start of a tenure.
func (c *Controller) readJournal(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := c.table.List(call, KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = make(map[string]*openOrder)
	for _, r := range records {
		engine := strings.TrimPrefix(r.Key, KeyPrefix)
		var v row
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return errors.Wrapf(err, "decode %s", r.Key)
		}
		c.open[engine] = &openOrder{row: v, seen: c.clock()}
		c.log.Info(telemetry.EventOrderAdopted, telemetry.F("engine", engine), telemetry.F("stage", string(v.Stage)), telemetry.F("holder", v.Holder), telemetry.F("fence", v.Fence))
	}
	return nil
}

// finish removes the journal's rows that stand open no more.
func (c *Controller) finish(ctx context.Context, t lease.Tenure, v *fleet.View) {
	var keys []string
	c.mu.Lock()
	for id, o := range c.open {
		if c.finished(v, id, o) && len(keys) < maxChanges {
			keys = append(keys, KeyPrefix+id)
			c.log.Info(telemetry.EventOrderDone, telemetry.F("engine", id), telemetry.F("stage", string(o.row.Stage)), telemetry.F("fence", o.row.Fence))
		}
	}
	c.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	if err := c.commit(ctx, t, store.Txn{Deletes: keys}); err != nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "remove"), telemetry.F("cause", err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		delete(c.open, strings.TrimPrefix(key, KeyPrefix))
	}
}

// commit writes to the journal within the tenure.
func (c *Controller) commit(ctx context.Context, t lease.Tenure, txn store.Txn) error {
	txn.Conds = append(txn.Conds, store.Cond{Key: lease.FenceKey("all", "stages"), Version: t.FenceVersion})
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.table.Commit(call, txn)
	return err
}
