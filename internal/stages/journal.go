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

// journalRow is the JSON value of an engine's row in the journal.
type journalRow struct {
	// Holder is the VM that sends the order, and Fence the fencing number of its tenure.
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// Stage is the ordered stage.
	Stage fleet.Stage `json:"stage"`
}

// openOrder is a journal row that this VM has written, or read at the start of a tenure.
type openOrder struct {
	row journalRow
	// seenAt is when this VM wrote or read the row, by its own clock.
	seenAt time.Duration
	// outcomeUnknown is set if this VM sent the order and got no response.
	outcomeUnknown bool
	// notSent is set if the engine was not sent the order or refused it.
	notSent bool
	// abandoned is set if the order was not sent because the outcome of writing the row was unknown, or if the
	// row is malformed. The row is removed.
	abandoned bool
}

// headKey is the key of the journal's head.
const headKey = "journal/stages"

// readJournal replaces openOrders with the rows of the journal. It is called at the start of a tenure,
// and after a write that failed. What is known of the orders is kept within a tenure.
func (c *Controller) readJournal(ctx context.Context, t lease.Tenure) error {
	call, cancel := context.WithTimeout(ctx, store.JournalCalls*callTimeout)
	defer cancel()
	records, err := c.journal.Read(call, condition(t))
	if err != nil {
		return errors.Wrap(err, "read order journal")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[string]*openOrder)
	for _, r := range records {
		engine := strings.TrimPrefix(r.Key, KeyPrefix)
		var v journalRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.BadRow(r.Key, r.Version, err)
			open[engine] = &openOrder{seenAt: c.clock(), abandoned: true}
			continue
		}
		if known := c.openOrders[engine]; c.journalFence == t.Fence && known != nil && known.row == v {
			open[engine] = known
			continue
		}
		own := v.Holder == c.cfg.VM && v.Fence == t.Fence
		open[engine] = &openOrder{row: v, seenAt: c.clock(), abandoned: own}
		c.log.Info(telemetry.EventOrderAdopted, telemetry.F("engine", engine), telemetry.F("stage", string(v.Stage)), telemetry.F("holder", v.Holder),
			telemetry.F("fence", v.Fence), telemetry.F("abandoned", own))
	}
	c.openOrders = open
	return nil
}

// removeClosedOrders removes the journal rows of orders that are no longer open, at most
// maxChangesPerTxn per call. The next call removes more.
func (c *Controller) removeClosedOrders(ctx context.Context, t lease.Tenure, v *fleet.View) {
	closed := c.closedOrders(v)
	if len(closed) == 0 {
		return
	}
	var keys []string
	c.mu.Lock()
	for _, id := range closed[:min(len(closed), maxChangesPerTxn)] {
		o := c.openOrders[id]
		keys = append(keys, KeyPrefix+id)
		c.log.Info(telemetry.EventOrderDone, telemetry.F("engine", id), telemetry.F("stage", string(o.row.Stage)), telemetry.F("fence", o.row.Fence))
	}
	c.mu.Unlock()
	if err := c.commit(ctx, t, store.Txn{Deletes: keys}); err != nil {
		c.log.Warn(telemetry.EventOrderRefused, telemetry.F("journal", "remove"), telemetry.F("cause", err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		delete(c.openOrders, strings.TrimPrefix(key, KeyPrefix))
	}
}

// commit writes to the journal in tenure t. After an error the journal is read again before the next write.
func (c *Controller) commit(ctx context.Context, t lease.Tenure, txn store.Txn) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.journal.Commit(call, condition(t), nil, txn)
	c.mustRead = err != nil
	return err
}

// condition returns the condition that holds until tenure t ends.
func condition(t lease.Tenure) store.Cond {
	return store.Cond{Key: lease.FenceKey(leaseDataCentre, leaseService), Version: t.FenceVersion}
}
