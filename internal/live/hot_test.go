package live_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/live"
)

// Guards against a VM that gets most new connections serving few of their requests, because what all VMs
// share, such as the connections that a target accepts, is divided evenly. From 3 s on three quarters of the
// share served before must be served at the first attempt.
func TestVMWithMostNewConnectionsServesThem(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const from, length, settled = 8 * time.Second, 12 * time.Second, 3 * time.Second
	for _, conns := range []int{300, 60} {
		s, d := allDataCentres(t, "kochi", "quiet-1", 1, 1, (from + length).Seconds())
		faults := []live.Fault{{Kind: live.HotVM, At: from, Duration: length, Count: 1, Seed: 1}}
		r, err := live.Run(context.Background(), live.Config{Site: s, Day: d, Seed: 1, EngineConns: conns, Faults: faults,
			Bin: bin, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		before, during := r.FirstTryShare(from-settled, from), r.FirstTryShare(from+settled, from+length)
		t.Logf("%d connections a target: served at the first attempt %.2f before, %.2f from 3 s on", conns, before, during)
		is.New(t).True(4*during >= 3*before)
	}
}
