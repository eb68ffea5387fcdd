package gossip

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
)

// targetItem returns the item of a reachable target e1 with a load of running requests.
func targetItem(seq uint64, running uint32) *api.Item {
	return &api.Item{Key: TargetKey("e1"), Epoch: 1, Seq: seq, Body: &api.Item_Target{Target: &api.Target{Reachable: true, Running: running}}}
}

// Two stores exchange changes in any order, with some messages lost. Once everything has been
// exchanged, both hold the highest version of every item.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := NewStore(time.Now), NewStore(time.Now)
		highest := map[string]uint64{}
		var sentA, sentB uint64
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			seq := rapid.Uint64Range(1, 50).Draw(rt, "seq")
			it := targetItem(seq, uint32(seq))
			it.Key = TargetKey(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(rt, "name"))
			s := rapid.SampledFrom([]*Store{a, b}).Draw(rt, "store")
			s.Merge([]*api.Item{it}, "")
			highest[it.GetKey()] = max(highest[it.GetKey()], seq)
			if rapid.Bool().Draw(rt, "exchange") {
				items, index := a.Since(sentA, Scope{ExcludePeer: "b"})
				if rapid.Bool().Draw(rt, "arrives") {
					b.Merge(items, "a")
					sentA = index
				}
				items, index = b.Since(sentB, Scope{ExcludePeer: "a"})
				a.Merge(items, "b")
				sentB = index
			}
		}
		items, _ := a.Since(sentA, Scope{ExcludePeer: "b"})
		b.Merge(items, "a")
		items, _ = b.Since(sentB, Scope{ExcludePeer: "a"})
		a.Merge(items, "b")
		for key, want := range highest {
			if a.Get(key).GetSeq() != want || b.Get(key).GetSeq() != want {
				rt.Fatalf("%s: %d and %d, want %d", key, a.Get(key).GetSeq(), b.Get(key).GetSeq(), want)
			}
		}
	})
}

// An exchange may omit changes of load. It must not omit a change of state, even when changes
// of load to the same target follow it.
func TestStateChangesAreNeverOmitted(t *testing.T) {
	is := is.New(t)
	s := NewStore(time.Now)
	s.Merge([]*api.Item{targetItem(1, 0)}, "")
	_, index := s.Since(0, Scope{})
	leaving := targetItem(2, 0)
	leaving.GetTarget().Leaving = true
	s.Merge([]*api.Item{leaving}, "")
	after := targetItem(3, 7)
	after.GetTarget().Leaving = true
	s.Merge([]*api.Item{after}, "")
	items, reached := s.Since(index, Scope{StateOnly: true})
	is.Equal(len(items), 1)
	is.True(items[0].GetTarget().GetLeaving())
	next := targetItem(4, 9)
	next.GetTarget().Leaving = true
	s.Merge([]*api.Item{next}, "")
	items, _ = s.Since(reached, Scope{StateOnly: true})
	is.Equal(len(items), 0) // only the load changed
	items, _ = s.Since(reached, Scope{})
	is.Equal(len(items), 1)
}

// The time that an item spends in a store is added to the age with which it arrived.
func TestAgeIncludesTimeInStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewStore(func() time.Time { return now })
	it := targetItem(1, 0)
	it.AgeMs = 500
	s.Merge([]*api.Item{it}, "")
	now = now.Add(2 * time.Second)
	items, _ := s.Since(0, Scope{})
	is.Equal(items[0].GetAgeMs(), uint32(2500))
}

// A view reflects table rows, removed rows, the VM list and drains. An item from a lease
// holder that has been replaced does not change a drain.
func TestView(t *testing.T) {
	is := is.New(t)
	s := NewStore(time.Now)
	rows := []table.Row{
		{Service: "hints", Kind: table.Language, Changed: 1, Engines: []table.Assignment{{DataCentre: "kakkanad", Names: []string{"e1"}}}},
		{Service: "old", Kind: table.Plain, Changed: 1},
	}
	items, err := TableItems(table.Table{Version: 1, Rows: rows}, 0, nil)
	is.NoErr(err)
	s.Merge(items, "")
	items, err = TableItems(table.Table{Version: 2, Rows: rows[:1]}, 1, []string{"old"})
	is.NoErr(err)
	s.Merge(items, "")
	e1 := store.VM{Name: "e1", DataCentre: "kakkanad", Kind: store.VMEngine, State: store.VMLive, Changed: 1}
	e2 := store.VM{Name: "e2", DataCentre: "kakkanad", Kind: store.VMEngine, State: store.VMLive, Changed: 1}
	s.Merge(s.VMItems(store.VMListing{Revision: 1, VMs: []store.VM{e1, e2}}), "")
	s.Merge(s.VMItems(store.VMListing{Revision: 2, VMs: []store.VM{e1}}), "")
	s.Merge([]*api.Item{targetItem(1, 4), DrainItem("e1", true, 3, 1)}, "")
	v := s.View()
	is.Equal(v.Table.Version, uint64(2))
	is.Equal(len(v.Table.Rows), 1)
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["e1"].Service, "hints")
	is.True(!v.Targets["e1"].Usable()) // it is being drained
	s.Merge([]*api.Item{DrainItem("e1", false, 3, 2)}, "")
	is.True(s.View().Targets["e1"].Usable())
	s.Merge([]*api.Item{DrainItem("e1", true, 2, 9)}, "") // from a lease holder that has been replaced
	is.True(s.View().Targets["e1"].Usable())
}

// For any two VM lists, the view has the highest revision, its targets are stored under their
// own names, and none is usable without a status.
func FuzzVMList(f *testing.F) {
	f.Add([]byte(`{"revision":2,"vms":[{"name":"e1","kind":"engine","state":"live","changed":2}]}`), []byte(`{"revision":1}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := NewStore(time.Now)
		highest := uint64(0)
		for _, data := range [][]byte{first, second} {
			var l store.VMListing
			if json.Unmarshal(data, &l) != nil {
				continue
			}
			s.Merge(s.VMItems(l), "")
			highest = max(highest, l.Revision)
			v := s.View()
			if v.ListRevision != highest {
				t.Fatalf("revision %d after %d", v.ListRevision, highest)
			}
			for name, target := range v.Targets {
				if target.Name != name || target.Usable() {
					t.Fatalf("target without a status: %+v", target)
				}
			}
		}
	})
}

// populatedStore returns a store with the VMs and targets of a whole deployment: the peer items
// of the given number of VMs, and that many listed targets with a status.
func populatedStore(vms, targets int) *Store {
	s := NewStore(time.Now)
	l := store.VMListing{Revision: 1}
	var items []*api.Item
	for i := range vms {
		items = append(items, &api.Item{Key: PeerKey(fmt.Sprint("vm-", i)), Epoch: 1, Body: &api.Item_Peer{Peer: &api.Peer{DataCentre: "kakkanad"}}})
	}
	for i := range targets {
		name := fmt.Sprint("e", i)
		l.VMs = append(l.VMs, store.VM{Name: name, DataCentre: "kakkanad", Kind: store.VMEngine, State: store.VMLive, Changed: 1})
		it := targetItem(1, uint32(i))
		it.Key = TargetKey(name)
		items = append(items, it)
	}
	s.Merge(s.VMItems(l), "")
	s.Merge(items, "")
	return s
}

// BenchmarkView measures decoding a view after a change, by numbers of VMs and targets.
func BenchmarkView(b *testing.B) {
	for _, size := range [][2]int{{8, 12}, {68, 217}, {410, 1300}} {
		b.Run(fmt.Sprintf("%dvms_%dtargets", size[0], size[1]), func(b *testing.B) {
			s := populatedStore(size[0], size[1])
			b.ReportAllocs()
			for seq := uint64(2); b.Loop(); seq++ {
				it := targetItem(seq, 1)
				it.Key = TargetKey("e0")
				s.Merge([]*api.Item{it}, "") // forces a new view
				s.View()
			}
		})
	}
}
