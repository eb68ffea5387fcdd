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

// In a large group the relays write where streams began, and all VMs of a group that starts anew learn it from
// them.
func TestStoredStreamsAreKnownAfterAllVMsWereKilled(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	large, small := startLarge(t, table)
	all := append(large, small...)
	began := origin.Origin{Service: "model", Version: "v2"}
	key := func(i int) origin.Key { return origin.KeyOf(fmt.Sprint("q", i)) }
	for i, v := range all {
		v.journal.Add(origin.Record{Key: key(i), Origin: began, TTL: time.Minute})
	}
	eventually(t, "two relays have written all streams", func() bool {
		rows, err := table.List(context.Background(), "streams/")
		return err == nil && len(rows) == 2 && all[0].finds(key(len(all)-1), began)
	})
	for _, v := range all {
		v.stop(t)
	}
	large, small = startLarge(t, table)
	all = append(large, small...)
	for i, v := range all {
		eventually(t, fmt.Sprintf("VM %d knows the stream of another", i), func() bool { return v.finds(key((i+1)%len(all)), began) })
		defer v.stop(t)
	}
	is.True(!all[3].finds(origin.KeyOf("never added"), origin.Origin{}))
}

// finds reports whether the journal of a VM tells that a stream began at the given origin.
func (v *vm) finds(k origin.Key, want origin.Origin) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at, ok := v.journal.Find(ctx, k)
	return ok && at == want
}
