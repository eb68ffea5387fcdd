package steward

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// platformPollers is how many stewards of a data centre ask the platform for
// news; the others hear of it from them.
const platformPollers = 2

// tableSync brings the operators' table and the VM list from the platform into
// the store.
type tableSync struct {
	store    *gossip.Store
	gossip   *member.Gossip
	tables   *table.Store
	vms      store.VMList
	interval time.Duration
	log      *telemetry.Logger

	up atomic.Bool
	kernel.Background
}

// Start begins to ask the platform.
func (t *tableSync) Start(context.Context) error {
	t.up.Store(true)
	t.Run(func(ctx context.Context) { kernel.Every(ctx, t.interval, t.poll) })
	return nil
}

// poll asks the platform if this steward is among those that do.
func (t *tableSync) poll(ctx context.Context) {
	if t.gossip.Rank("platform") >= platformPollers && t.store.TableVersion() > 0 {
		return
	}
	err := t.pollTable(ctx)
	if err == nil {
		err = t.pollVMs(ctx)
	}
	t.note(err)
}

// note logs when the platform goes away and comes back.
func (t *tableSync) note(err error) {
	was := t.up.Swap(err == nil)
	switch {
	case err != nil && was:
		t.log.Warn(telemetry.EventPlatformDown, telemetry.F("cause", err))
	case err == nil && !was:
		t.log.Info(telemetry.EventPlatformUp)
	}
}

// pollTable reads one small record; the rows are read only when its version
// has moved.
func (t *tableSync) pollTable(ctx context.Context) error {
	head, err := t.tables.Version(ctx)
	if err != nil || head <= t.store.TableVersion() {
		return err
	}
	known := t.store.View().Table
	next, err := t.tables.Read(ctx)
	if err != nil {
		return err
	}
	return t.adopt(known, next)
}

// adopt puts the rows of next that are news into the store.
func (t *tableSync) adopt(known, next table.Table) error {
	var gone []string
	for _, r := range known.Rows {
		if _, ok := next.Row(r.Service); !ok {
			gone = append(gone, r.Service)
		}
	}
	items, err := gossip.TableItems(next, known.Version, gone)
	if err != nil {
		return err
	}
	t.take(items)
	t.log.Info(telemetry.EventTableVersion, telemetry.F("version", next.Version))
	return nil
}

func (t *tableSync) take(items []*api.Item) {
	if len(t.store.Merge(items, "")) > 0 {
		t.gossip.Spread()
	}
}

func (t *tableSync) pollVMs(ctx context.Context) error {
	known := t.store.ListRevision()
	l, err := t.vms.VMs(ctx, known)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	if l.Revision > known {
		t.take(t.store.VMItems(l))
	}
	return nil
}

// apply commits an operator's edit and puts it in force here at once.
func (t *tableSync) apply(ctx context.Context, req *api.TableApplyRequest) (uint64, error) {
	var next table.Table
	if err := json.Unmarshal(req.GetTableJson(), &next); err != nil {
		return 0, errors.Wrap(err, "decode table")
	}
	version, err := t.tables.Apply(ctx, table.Edit{
		Token: req.GetToken(), Who: req.GetWho(), Base: req.GetBase(), Table: next,
	})
	if err != nil {
		return 0, err
	}
	// The edit is accepted; a failure to read it back now only delays it.
	t.note(t.pollTable(ctx))
	return version, nil
}
