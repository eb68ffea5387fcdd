package peers_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// spreadBound is how soon all VMs must know a request that crashes its targets. The user
// documentation allows 3 s.
const spreadBound = 3 * time.Second

// suspectVM is a VM with quarantine tables of requests and of parts of prompts.
type suspectVM struct {
	*vm
	known *quarantine.Table
	parts *quarantine.PartTable
	// complete is what Known returns.
	complete atomic.Bool
}

// Known implements peers.Suspects.
func (v *suspectVM) Known() bool { return v.complete.Load() }

// SetKnown implements peers.Suspects.
func (v *suspectVM) SetKnown() { v.complete.Store(true) }

// MergeFrom implements peers.Suspects.
func (v *suspectVM) MergeFrom(_ string, s quarantine.Snapshots) {
	v.known.Merge(s.Requests, time.Now())
	v.parts.Merge(s.Parts, time.Now())
}

// TakeChanged implements peers.Suspects.
func (v *suspectVM) TakeChanged(now time.Time) quarantine.Snapshots {
	return quarantine.Snapshots{Requests: v.known.TakeChanged(now), Parts: v.parts.TakeChanged(now)}
}

// TakeCleared implements peers.Suspects.
func (v *suspectVM) TakeCleared(now time.Time) quarantine.Snapshots {
	return quarantine.Snapshots{Parts: v.parts.TakeCleared(now)}
}

// Top implements peers.Suspects.
func (v *suspectVM) Top(n int, now time.Time) quarantine.Snapshots {
	return quarantine.Snapshots{Requests: v.known.Top(n, now), Parts: v.parts.Top(n, now)}
}

// startWithSuspects starts a VM at addr that exchanges the suspects of its own quarantine table.
func startWithSuspects(t *testing.T, dataCentre, name, addr string, table store.Table) *suspectVM {
	t.Helper()
	v := &suspectVM{vm: &vm{placer: &placer{}, followed: &followed{}}, known: quarantine.NewTable(), parts: quarantine.NewPartTable()}
	v.peers = peers.New(peers.Member{VM: name, Address: addr, DataCentre: dataCentre, LinkMbps: 10},
		time.Now().UnixNano(), table, telemetry.Discard())
	v.peers.SetPlacer(v.placer)
	v.peers.SetOrders(orders{})
	v.peers.Follow(v.followed)
	v.peers.SetSuspects(v)
	if err := v.peers.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// Stop fails if the test has stopped the VM already.
		_ = v.peers.Stop(context.Background())
	})
	return v
}

// quarantines returns whether the VM quarantines r, that is, sends it to no target.
func (v *suspectVM) quarantines(r quarantine.Request) bool {
	return v.known.Verdict(&r, time.Now()).Quarantined(time.Now(), false)
}

// A suspect whose crashes were seen by different VMs becomes known to all VMs of all data centres,
// within spreadBound. It also becomes known to a VM that starts later, and to a VM whose restart
// the other VMs do not notice. A successful run at any VM clears the suspect on all VMs within the
// same time.
func TestSuspectsReachAllVMs(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	var vms []*suspectVM
	for i := range 9 {
		vms = append(vms, startWithSuspects(t, fmt.Sprint("dc", i%3), fmt.Sprint("vm", i),
			address(t), table))
	}
	for _, v := range vms {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == len(vms) })
	}
	deadly := quarantine.Request{Account: "a", Method: "POST", URI: "/x", Body: []byte("deadly")}
	for i := range 3 {
		now := time.Now()
		vms[i].known.RecordCrash(&deadly, quarantine.Crash{Run: fmt.Sprint("run", i),
			Began: now.Add(-10 * time.Millisecond), At: now})
		time.Sleep(50 * time.Millisecond)
	}
	began := time.Now()
	for i, v := range vms {
		eventually(t, fmt.Sprint("vm", i, " knows of the suspect"),
			func() bool { return v.quarantines(deadly) })
	}
	is.True(time.Since(began) < spreadBound)

	late := startWithSuspects(t, "dc1", "late", address(t), table)
	began = time.Now()
	eventually(t, "the VM that starts later knows of the suspect",
		func() bool { return late.quarantines(deadly) })
	is.True(time.Since(began) < spreadBound)

	addr := address(t)
	again := startWithSuspects(t, "dc2", "again", addr, table)
	eventually(t, "the VM to be restarted knows of the suspect",
		func() bool { return again.quarantines(deadly) })
	again.stop(t)
	again = startWithSuspects(t, "dc2", "again", addr, table)
	began = time.Now()
	eventually(t, "the restarted VM knows of the suspect",
		func() bool { return again.quarantines(deadly) })
	is.True(time.Since(began) < spreadBound)

	// A successful run at any VM clears the suspect everywhere.
	is.True(vms[8].known.RecordSuccess(&deadly))
	began = time.Now()
	for i, v := range vms {
		eventually(t, fmt.Sprint("vm", i, " clears the suspect"),
			func() bool { return !v.quarantines(deadly) })
	}
	is.True(time.Since(began) < spreadBound)
}

// Guards against a VM that takes the silence of VMs which don't know the suspects themselves for knowledge.
func TestOnlyVMsThatKnowTheSuspectsCompleteThem(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	asked := startWithSuspects(t, "a", "asked", address(t), table)
	late := startWithSuspects(t, "a", "late", address(t), table)
	eventually(t, "all are counted", func() bool { return late.peers.Size() == 2 && asked.peers.Size() == 2 })
	time.Sleep(500 * time.Millisecond)
	is.True(!late.complete.Load())
	asked.complete.Store(true)
	eventually(t, "the VM that knows them completes them", late.complete.Load)
}

// A part of prompts that crashes targets, whose crashes were seen by different VMs, becomes known to all VMs
// within spreadBound, also to one that starts later. Once a request with it has run well, all know that.
func TestHeldPartsReachAllVMs(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	var vms []*suspectVM
	for i := range 9 {
		vms = append(vms, startWithSuspects(t, fmt.Sprint("dc", i%3), fmt.Sprint("vm", i), address(t), table))
	}
	for _, v := range vms {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == len(vms) })
	}
	deadly := quarantine.Request{Account: "a", Service: "m", Parts: []string{"first", "bad"}}
	sound := quarantine.Request{Account: "a", Service: "m", Parts: []string{"first", "good"}}
	blocks := func(v *suspectVM) bool { return v.parts.Verdict(&deadly, time.Now()).Blocked }
	var lastCrash time.Time
	for i := range 3 {
		lastCrash = time.Now()
		vms[i].parts.RecordCrash(&deadly, quarantine.Crash{Run: fmt.Sprint("run", i), Version: "v1",
			Began: lastCrash.Add(-10 * time.Millisecond), At: lastCrash})
		time.Sleep(50 * time.Millisecond)
		vms[i].parts.RecordSuccess(&sound, "v1")
	}
	for i, v := range vms {
		eventually(t, fmt.Sprint("vm", i, " holds the part"), func() bool { return blocks(v) })
		eventually(t, fmt.Sprint("vm", i, " lets sound requests pass"), func() bool { return !v.parts.Verdict(&sound, time.Now()).Held() })
	}
	is.True(time.Since(lastCrash) < spreadBound)

	late := startWithSuspects(t, "dc1", "late", address(t), table)
	began := time.Now()
	eventually(t, "the VM that starts later holds the part", func() bool { return blocks(late) })
	is.True(time.Since(began) < spreadBound)

	is.Equal(len(vms[8].parts.RecordSuccess(&deadly, "v1")), 1)
	began = time.Now()
	for i, v := range append(vms, late) {
		eventually(t, fmt.Sprint("vm", i, " clears the part"), func() bool { return !blocks(v) })
	}
	is.True(time.Since(began) < spreadBound)
}

// Each key has exactly one owner, and every VM owns some keys.
func TestEachKeyHasOneOwner(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	var vms []*suspectVM
	for i := range 5 {
		vms = append(vms, startWithSuspects(t, "a", fmt.Sprint("vm", i), address(t), table))
	}
	for _, v := range vms {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == len(vms) })
	}
	owned := make(map[int]int)
	for key := range 200 {
		owners := 0
		for i, v := range vms {
			if v.peers.Owns([]byte(fmt.Sprint("key", key))) {
				owners++
				owned[i]++
			}
		}
		is.Equal(owners, 1)
	}
	is.Equal(len(owned), len(vms))
}
