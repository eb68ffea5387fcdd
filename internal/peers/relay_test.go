package peers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
)

// startIn starts a VM in a data centre. link is the bandwidth of the VM's network link in Mbit/s,
// and o holds the stage changes that the VM has ordered.
func startIn(t *testing.T, dataCentre, name string, link float64, table store.Table, o orders) *vm {
	t.Helper()
	return startMember(t, peers.Member{VM: name, Address: address(t), DataCentre: dataCentre,
		LinkMbps: link}, 1, table, o)
}

// The VMs of a data centre learn the work, send records and open stage changes of another data
// centre through the relays' summaries.
func TestSummariesReachOtherDataCentres(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a1 := startIn(t, "a", "a1", 10, table, orders{"e1": fleet.Prefill})
	defer a1.stop(t)
	a2 := startIn(t, "a", "a2", 200, table, nil) // has the faster link and becomes the relay
	defer a2.stop(t)
	b1 := startIn(t, "b", "b1", 10, table, nil)
	defer b1.stop(t)
	b2 := startIn(t, "b", "b2", 10, table, nil)
	defer b2.stop(t)
	for _, v := range []*vm{a1, a2, b1, b2} {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == 4 })
	}
	a1.placer.set(map[string]place.Work{"e1": {Running: 2, Prefill: 5 * time.Millisecond}},
		place.SendRecord{Target: "e1", Parts: []uint64{7}, Missing: 5})
	a2.placer.set(map[string]place.Work{"e1": {Running: 1}})
	b1.placer.set(map[string]place.Work{"e1": {Running: 4}})
	for name, v := range map[string]*vm{"b1": b1, "b2": b2} {
		want := place.Work{Running: 3, Prefill: 5 * time.Millisecond}
		if name == "b2" {
			want.Running += 4
		}
		eventually(t, name+" knows the other data centre's work, counted once",
			func() bool { return v.peers.Work("e1") == want })
		eventually(t, name+" receives send records", func() bool { return v.placer.observedCount() > 0 })
	}
	eventually(t, "a1 knows b1's work", func() bool { return a1.peers.Work("e1").Running == 5 })
	stage, ok := b2.peers.Changing("e1")
	is.True(ok)
	is.Equal(stage, fleet.Prefill)
}

// When the relays of two data centres fail at the same time, their successors exchange summaries.
func TestLostRelayIsReplaced(t *testing.T) {
	table := store.NewMemory()
	a1 := startIn(t, "a", "a1", 200, table, nil)
	a2 := startIn(t, "a", "a2", 10, table, nil)
	defer a2.stop(t)
	b1 := startIn(t, "b", "b1", 200, table, nil)
	b2 := startIn(t, "b", "b2", 10, table, nil)
	defer b2.stop(t)
	a2.placer.set(map[string]place.Work{"e1": {Running: 3}})
	eventually(t, "b2 knows a2's work", func() bool { return b2.peers.Work("e1").Running == 3 })
	// Both relays fail at once, so neither data centre knows the other's successor.
	a1.stop(t)
	b1.stop(t)
	a2.placer.set(map[string]place.Work{"e1": {Running: 9}})
	eventually(t, "b2 knows a2's new work", func() bool { return b2.peers.Work("e1").Running == 9 })
}

// An added VM announces itself, so that VMs of other data centres count it before they read the
// member records again.
func TestAddedVMIsCountedElsewhere(t *testing.T) {
	table := store.NewMemory()
	a := startIn(t, "a", "a", 10, table, nil)
	defer a.stop(t)
	eventually(t, "a counts itself", func() bool { return a.peers.Size() == 1 })
	b := startIn(t, "b", "b", 10, table, nil)
	defer b.stop(t)
	began := time.Now()
	eventually(t, "a counts b", func() bool { return a.peers.Size() == 2 })
	is.New(t).True(time.Since(began) < 2*time.Second)
}

// addMemberRecords adds the records of n VMs that do not run, to make the group large.
func addMemberRecords(t *testing.T, table store.Table, n int) {
	t.Helper()
	var txn store.Txn
	for i := range n {
		m := peers.Member{VM: fmt.Sprintf("x%d", i), Address: address(t), DataCentre: "x"}
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		txn.Puts = append(txn.Puts, store.Put{Key: peers.RecordKey(m), Value: value})
	}
	if _, err := table.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// In a large group, a change that a sentinel publishes reaches the other VMs of its data centre
// once. A VM that is not a sentinel publishes nothing.
func TestSentinelsOfALargeGroupForwardChanges(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	const others = 30
	addMemberRecords(t, table, others)
	var vms []*vm
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		v := startIn(t, "a", name, 10, table, nil)
		defer v.stop(t)
		vms = append(vms, v)
	}
	// A VM forwards changes only to the VMs that it knows.
	for _, v := range vms {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == others+len(vms) })
	}
	eventually(t, "two of five are sentinels", func() bool {
		n := 0
		for _, v := range vms {
			if v.peers.Sentinel() && v.peers.ForwardsChanges() {
				n++
			}
		}
		return n == 2
	})
	d := store.Delta{From: 3, Rows: store.Rows{Revision: 4, Rows: []store.Row{{Key: "k", Version: 4}}}}
	vms[4].peers.Publish("t", d) // not a sentinel
	vms[0].peers.Publish("t", d)
	for _, v := range vms[1:] {
		eventually(t, "the published change arrives",
			func() bool { return v.followed.offers.Load() == 1 })
	}
	is.Equal(vms[0].followed.offers.Load(), int64(0))
}

// In a small group a published change is not sent to other VMs.
func TestSmallGroupsDoNotForwardChanges(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a := startIn(t, "a", "a", 10, table, nil)
	defer a.stop(t)
	b := startIn(t, "a", "b", 10, table, nil)
	defer b.stop(t)
	eventually(t, "both are counted", func() bool { return a.peers.Size() == 2 && b.peers.Size() == 2 })
	is.True(!a.peers.ForwardsChanges())
	a.peers.Publish("t", store.Delta{Rows: store.Rows{Revision: 1}})
	time.Sleep(50 * time.Millisecond)
	is.Equal(b.followed.offers.Load(), int64(0))
}

// When the store confirms to one VM that the VM's version of a table is the newest, the VMs of all
// data centres learn the version and the right time of the confirmation. The time is not applied to
// any other version.
func TestConfirmationsReachAllDataCentres(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a1 := startIn(t, "a", "a1", 10, table, nil)
	defer a1.stop(t)
	a2 := startIn(t, "a", "a2", 200, table, nil)
	defer a2.stop(t)
	b1 := startIn(t, "b", "b1", 200, table, nil)
	defer b1.stop(t)
	b2 := startIn(t, "b", "b2", 10, table, nil)
	defer b2.stop(t)
	at := time.Now().Add(-200 * time.Millisecond)
	for _, v := range []*vm{a1, a2, b1, b2} {
		v.followed.newest.Store(7)
	}
	a1.followed.setReadAt(at)
	for _, v := range []*vm{a2, b1, b2} {
		eventually(t, "the read time arrives", func() bool {
			return v.followed.confirmedAt(7).Sub(at).Abs() < 100*time.Millisecond
		})
	}
	// The other VMs have not read the store, so they confirm nothing to a1.
	is.True(a1.followed.confirmedAt(7).Before(at.Add(-time.Hour)))
}

// The difference between two reads of a table arrives whole, with the revision up to which a copy may apply it. If it does
// not fit into a datagram, the other VMs are told to read the table.
func TestDifferenceIsForwardedWhole(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	addMemberRecords(t, table, 30)
	var a, b *vm // a is a sentinel, b is not
	for i, link := range []float64{10, 9, 8, 7, 6} {
		b = startIn(t, "a", string(rune('a'+i)), link, table, nil)
		defer b.stop(t)
		if i == 0 {
			a = b
		}
	}
	eventually(t, "all are counted", func() bool {
		return a.peers.Size() == 35 && b.peers.Size() == 35 && a.peers.Sentinel() && !b.peers.Sentinel()
	})
	d := store.Delta{From: 3, Until: 4, Rows: store.Rows{Revision: 5, Rows: []store.Row{{Key: "k", Version: 5}}}}
	a.peers.Publish("t", d)
	eventually(t, "the difference arrives", func() bool { return b.followed.offers.Load() == 1 && b.followed.until.Load() == 4 })
	d.Rows.Rows = []store.Row{{Key: "k", Value: randomBytes(100 << 10), Version: 5}}
	a.followed.newest.Store(5)
	a.peers.Publish("t", d)
	eventually(t, "the other VM is told to read the table", func() bool { return b.followed.newerCalls.Load() > 0 })
	is.Equal(b.followed.offers.Load(), int64(1))
}

// randomBytes returns bytes that cannot be compressed.
func randomBytes(n int) []byte {
	out, random := make([]byte, n), rand.NewChaCha8([32]byte{})
	_, _ = random.Read(out) // never fails
	return out
}
