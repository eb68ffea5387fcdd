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

func newFeed() *feed {
	store := gossip.NewStore(time.Now)
	return &feed{store: store, fleet: newFleet("kakkanad", telemetry.Discard(), newDecisionLog("vm-1")), log: telemetry.Discard()}
}

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

// An entry that has the table but no target yet would refuse what another
// entry can serve: it is not ready until it knows a target of each service. A
// service that really has none does not keep the entry from the others.
func TestReadyOnlyWithTargets(t *testing.T) {
	for _, withTarget := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.Run(f.rebuild)
			defer func() { is.NoErr(f.Stop(context.Background())) }()
			f.store.Merge(plainTable(t), "")
			time.Sleep(coverGrace / 2)
			is.True(!f.usable())
			if !withTarget {
				time.Sleep(2 * coverGrace)
				is.True(f.usable())
				return
			}
			f.store.Merge(f.store.VMItems(store.VMListing{Revision: 1, VMs: []store.VM{
				{Name: "d1", DataCentre: "kakkanad", Kind: store.VMPlain, State: store.VMLive, Changed: 1},
			}}), "")
			f.store.Merge([]*api.Item{{Key: gossip.TargetKey("d1"), Epoch: 1, Seq: 1, Body: &api.Item_Target{Target: &api.Target{Reachable: true}}}}, "")
			time.Sleep(time.Second)
			is.True(f.usable())
		})
	}
}
