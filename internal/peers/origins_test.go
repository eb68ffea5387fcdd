package peers_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/origin"
	"garnethoist.org/garnethoist/internal/store"
)

// knows reports whether a VM can tell where a stream began, by its own records or by asking the homes.
func (v *vm) knows(k origin.Key, want origin.Origin) bool {
	if at, ok := v.records.Origin(k, time.Now()); ok {
		return at == want
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at, ok := v.peers.AskOrigin(ctx, k)
	return ok && at == want
}

// All VMs can tell where streams began, also after the VMs that knew it have stopped, one after the other.
func TestOriginsOutlastStoppingVMs(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	var vms []*vm
	const n, streams = 6, 40
	for i := range n {
		vms = append(vms, start(t, fmt.Sprint("vm-", i), address(t), 1, table, nil))
	}
	eventually(t, "all know each other", func() bool {
		for _, v := range vms {
			if v.peers.Size() != n {
				return false
			}
		}
		return true
	})
	began := origin.Origin{Service: "model", Version: "v2"}
	key := func(i int) origin.Key { return origin.KeyOf(fmt.Sprint("q", i)) }
	for i := range streams {
		vms[i%n].peers.TellOrigin(origin.Record{Key: key(i), Origin: began, TTL: time.Minute})
	}
	for stopped := range n - 1 {
		for i := range streams {
			for _, v := range vms[stopped:] {
				eventually(t, fmt.Sprintf("stream %d is known with %d VMs stopped", i, stopped), func() bool { return v.knows(key(i), began) })
			}
		}
		vms[stopped].stop(t)
	}
	defer vms[n-1].stop(t)
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, ok := vms[n-1].peers.AskOrigin(ctx, origin.KeyOf("never told"))
	is.True(!ok)
	is.True(time.Since(asked) < time.Second)
}

// A VM learns at once that no home knows a stream.
func TestUnknownOriginIsNoDelay(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a := start(t, "a", address(t), 1, table, nil)
	defer a.stop(t)
	b := start(t, "b", address(t), 1, table, nil)
	defer b.stop(t)
	eventually(t, "both know each other", func() bool { return a.peers.Size() == 2 && b.peers.Size() == 2 })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, ok := a.peers.AskOrigin(ctx, origin.KeyOf("q"))
	is.True(!ok)
	is.NoErr(ctx.Err()) // b has replied
}

// Versions that one VM knows to be in the store reach all VMs, those of a data centre whose relay sends
// digests and those of one that has none.
func TestVersionsReachAllVMs(t *testing.T) {
	large, small := startLarge(t, store.NewMemory())
	all := append(large, small...)
	for _, v := range all {
		defer v.stop(t)
	}
	for i, told := range []*vm{large[7], small[1]} {
		version := fmt.Sprint("v", i)
		told.versions.Observe([]origin.ServiceVersions{{Service: "model", Versions: []string{version}}})
		for n, v := range all {
			eventually(t, fmt.Sprintf("VM %d knows %s", n, version), func() bool {
				known, _ := v.versions.Known()
				return len(known) == 1 && len(known[0].Versions) == i+1
			})
		}
	}
}
