package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// newFeed returns a feed with an empty store and no steward.
func newFeed() *feed {
	store := gossip.NewStore(time.Now)
	return &feed{store: store, fleet: newFleet("kakkanad", telemetry.Discard(), newDecisionLog("vm-1")), log: telemetry.Discard()}
}

// plainTable returns a table with one plain service, as items of the store.
func plainTable(t *testing.T) []*api.Item {
	t.Helper()
	items, err := gossip.TableItems(table.Table{Version: 1, Rows: []table.Row{{
		Service: "renewals", Kind: table.Plain, Changed: 1, Engines: []table.Assignment{{DataCentre: "kakkanad", Count: 1}},
	}}}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	return items
}

// An entry that knows the table but no targets would refuse requests that other
// entries can serve. So it is not ready until it knows a usable target of every
// service. A service that has no target must not keep it unready for good.
func TestReadyOnlyWithTargets(t *testing.T) {
	for _, withTarget := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.Run(f.rebuildViews)
			defer func() { is.NoErr(f.Stop(context.Background())) }()
			f.store.Merge(plainTable(t), "")
			time.Sleep(firstTargetTimeout / 2)
			is.True(!f.isReady())
			if !withTarget {
				time.Sleep(2 * firstTargetTimeout)
				is.True(f.isReady())
				return
			}
			f.store.Merge(f.store.VMItems(store.VMListing{Revision: 1, VMs: []store.VM{
				{Name: "d1", DataCentre: "kakkanad", Kind: store.VMPlain, State: store.VMLive, Changed: 1},
			}}), "")
			f.store.Merge([]*api.Item{{Key: gossip.TargetKey("d1"), Epoch: 1, Seq: 1, Body: &api.Item_Target{Target: &api.Target{Reachable: true}}}}, "")
			time.Sleep(time.Second)
			is.True(f.isReady())
		})
	}
}
