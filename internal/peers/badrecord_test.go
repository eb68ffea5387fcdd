package peers_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
)

// Records that another program has written among those of the VMs hide no VM, and take no VM's place.
func TestOddMemberRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	addrA, addrB := address(t), address(t)
	for key, value := range map[string]string{
		"vm//odd1": strings.Repeat("[", 20000),
		"vm//odd2": `{"vm":"odd2","address":"127.0.0.1:65536","data_centre":""}`,
		"vm//odd3": `{"vm":"odd3","address":"127.0.0.1:0","data_centre":""}`,
		"vm//odd4": `{"vm":"odd4","address":"0.0.0.0:9","data_centre":"","link_mbps":1e999}`,
		"vm//odd5": `{"vm":"a","address":"127.0.0.1:9","data_centre":""}`, // names another VM
		"vm//odd6": `{"vm":7}`,
	} {
		_, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		is.NoErr(err)
	}
	a := start(t, "a", addrA, 1, table, nil)
	defer a.stop(t)
	b := start(t, "b", addrB, 1, table, nil)
	defer b.stop(t)
	eventually(t, "each VM knows the other one", func() bool { return a.peers.Size() == 2 && b.peers.Size() == 2 })
	a.placer.set(map[string]place.Work{"e": {Running: 3}})
	eventually(t, "reports arrive", func() bool { return b.peers.Work("e").Running == 3 })
}
