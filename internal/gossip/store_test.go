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

func load(seq uint64, running uint32) *api.Item {
	return &api.Item{Key: TargetKey("e1"), Epoch: 1, Seq: seq, Body: &api.Item_Target{Target: &api.Target{Reachable: true, Running: running}}}
}

// Two stores that exchange what the other lacks, in any order and with any
// part lost, never go back, and agree once they have exchanged everything.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := NewStore(time.Now), NewStore(time.Now)
		highest := map[string]uint64{}
		var sentA, sentB uint64
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			seq := rapid.Uint64Range(1, 50).Draw(rt, "seq")
			it := load(seq, uint32(seq))
			it.Key = TargetKey(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(rt, "name"))
			s := rapid.SampledFrom([]*Store{a, b}).Draw(rt, "store")
			s.Merge([]*api.Item{it}, "")
			highest[it.GetKey()] = max(highest[it.GetKey()], seq)
			if rapid.Bool().Draw(rt, "exchange") {
				items, index := a.Since(sentA, Scope{NotTo: "b"})
				if rapid.Bool().Draw(rt, "arrives") {
					b.Merge(items, "a")
					sentA = index
				}
				items, index = b.Since(sentB, Scope{NotTo: "a"})
				a.Merge(items, "b")
				sentB = index
			}
		}
		items, _ := a.Since(sentA, Scope{NotTo: "b"})
		b.Merge(items, "a")
		items, _ = b.Since(sentB, Scope{NotTo: "a"})
		a.Merge(items, "b")
		for key, want := range highest {
			if a.Get(key).GetSeq() != want || b.Get(key).GetSeq() != want {
				rt.Fatalf("%s: %d and %d, want %d", key, a.Get(key).GetSeq(), b.Get(key).GetSeq(), want)
			}
		}
	})
}

// Loads may be left out of an exchange; a change of state never is, even when
// loads came after it.
func TestStateIsNeverLeftOut(t *testing.T) {
	is := is.New(t)
	s := NewStore(time.Now)
	s.Merge([]*api.Item{load(1, 0)}, "")
	_, index := s.Since(0, Scope{})
	leaving := load(2, 0)
	leaving.GetTarget().Leaving = true
	s.Merge([]*api.Item{leaving}, "")
	after := load(3, 7)
	after.GetTarget().Leaving = true
	s.Merge([]*api.Item{after}, "")
	items, reached := s.Since(index, Scope{StateOnly: true})
	is.Equal(len(items), 1)
	is.True(items[0].GetTarget().GetLeaving())
	next := load(4, 9)
	next.GetTarget().Leaving = true
	s.Merge([]*api.Item{next}, "")
	items, _ = s.Since(reached, Scope{StateOnly: true})
	is.Equal(len(items), 0) // only the load moved
	items, _ = s.Since(reached, Scope{})
	is.Equal(len(items), 1)
}

func TestAgeGrowsOnTheWay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewStore(func() time.Time { return now })
	it := load(1, 0)
	it.AgeMs = 500
	s.Merge([]*api.Item{it}, "")
	now = now.Add(2 * time.Second)
	items, _ := s.Since(0, Scope{})
	is.Equal(items[0].GetAgeMs(), uint32(2500))
}

// Rows, removals and the VM list come out of the store as they went in.
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
	s.Merge([]*api.Item{load(1, 4), DrainItem("e1", true, 3, 1)}, "")
	v := s.View()
	is.Equal(v.Table.Version, uint64(2))
	is.Equal(len(v.Table.Rows), 1)
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["e1"].Service, "hints")
	is.True(!v.Targets["e1"].Usable()) // it is being drained
	s.Merge([]*api.Item{DrainItem("e1", false, 3, 2)}, "")
	is.True(s.View().Targets["e1"].Usable())
	s.Merge([]*api.Item{DrainItem("e1", true, 2, 9)}, "") // from a holder that was replaced
	is.True(s.View().Targets["e1"].Usable())
}

// Whatever the platform's list says, the view holds together and never goes
// back to an older list.
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

// filled is a store with the whole plan's VMs and targets.
func filled(entries, targets int) *Store {
	s := NewStore(time.Now)
	l := store.VMListing{Revision: 1}
	var items []*api.Item
	for i := range entries {
		items = append(items, &api.Item{Key: PeerKey(fmt.Sprint("vm-", i)), Epoch: 1, Body: &api.Item_Peer{Peer: &api.Peer{DataCentre: "kakkanad"}}})
	}
	for i := range targets {
		name := fmt.Sprint("e", i)
		l.VMs = append(l.VMs, store.VM{Name: name, DataCentre: "kakkanad", Kind: store.VMEngine, State: store.VMLive, Changed: 1})
		it := load(1, uint32(i))
		it.Key = TargetKey(name)
		items = append(items, it)
	}
	s.Merge(s.VMItems(l), "")
	s.Merge(items, "")
	return s
}

func BenchmarkView(b *testing.B) {
	for _, size := range [][2]int{{8, 12}, {68, 217}, {410, 1300}} {
		b.Run(fmt.Sprintf("%dvms_%dtargets", size[0], size[1]), func(b *testing.B) {
			s := filled(size[0], size[1])
			b.ReportAllocs()
			for seq := uint64(2); b.Loop(); seq++ {
				it := load(seq, 1)
				it.Key = TargetKey("e0")
				s.Merge([]*api.Item{it}, "") // so that it is decoded anew
				s.View()
			}
		})
	}
}
