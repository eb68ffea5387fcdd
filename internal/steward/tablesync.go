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

// platformPollers is how many stewards of a data centre poll the platform. The others
// get changes from them by gossip.
const platformPollers = 2

// tableSync copies the operators' table and the VM list from the platform into the
// store.
type tableSync struct {
	store    *gossip.Store
	gossip   *member.Gossip
	tables   *table.Store
	vms      store.VMList
	interval time.Duration
	log      *telemetry.Logger

	// platformUp tells whether the last call of the platform succeeded.
	platformUp atomic.Bool
	kernel.Background
}

// Start starts polling the platform.
func (t *tableSync) Start(context.Context) error {
	t.platformUp.Store(true)
	t.Run(func(ctx context.Context) { kernel.Every(ctx, t.interval, t.poll) })
	return nil
}

// poll reads the table and the VM list from the platform, if this steward is one of the
// data centre's platformPollers or has no table yet.
func (t *tableSync) poll(ctx context.Context) {
	if t.gossip.Rank("platform") >= platformPollers && t.store.TableVersion() > 0 {
		return
	}
	err := t.pollTable(ctx)
	if err == nil {
		err = t.pollVMs(ctx)
	}
	t.notePlatformState(err)
}

// notePlatformState updates platformUp by the error of the last call, and logs a change
// of it.
func (t *tableSync) notePlatformState(err error) {
	wasUp := t.platformUp.Swap(err == nil)
	switch {
	case err != nil && wasUp:
		t.log.Warn(telemetry.EventPlatformDown, telemetry.F("cause", err))
	case err == nil && !wasUp:
		t.log.Info(telemetry.EventPlatformUp)
	}
}

// pollTable reads the table's version, which is one small record, and reads the rows
// only if the version is newer than the store's.
func (t *tableSync) pollTable(ctx context.Context) error {
	latest, err := t.tables.Version(ctx)
	if err != nil || latest <= t.store.TableVersion() {
		return err
	}
	known := t.store.View().Table
	next, err := t.tables.Read(ctx)
	if err != nil {
		return err
	}
	return t.mergeTable(known, next)
}

// mergeTable puts the rows of next that changed since the version of known into the
// store, and marks those that are only in known as removed.
func (t *tableSync) mergeTable(known, next table.Table) error {
	var removed []string
	for _, r := range known.Rows {
		if _, ok := next.Row(r.Service); !ok {
			removed = append(removed, r.Service)
		}
	}
	items, err := gossip.TableItems(next, known.Version, removed)
	if err != nil {
		return err
	}
	t.merge(items)
	t.log.Info(telemetry.EventTableVersion, telemetry.F("version", next.Version))
	return nil
}

// merge puts items into the store and, if any is new, spreads them by gossip at once.
func (t *tableSync) merge(items []*api.Item) {
	if len(t.store.Merge(items, "")) > 0 {
		t.gossip.RequestUrgentRound()
	}
}

// pollVMs reads the VM list from the platform and puts a newer one into the store.
func (t *tableSync) pollVMs(ctx context.Context) error {
	known := t.store.ListRevision()
	l, err := t.vms.VMs(ctx, known)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	if l.Revision > known {
		t.merge(t.store.VMItems(l))
	}
	return nil
}

// applyEdit commits an operator's edit of the table to the platform, puts it into the
// store and returns the table's new version.
func (t *tableSync) applyEdit(ctx context.Context, req *api.TableApplyRequest) (uint64, error) {
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
	// The edit is committed. A failure to read it back only delays it until the next
	// poll.
	t.notePlatformState(t.pollTable(ctx))
	return version, nil
}
