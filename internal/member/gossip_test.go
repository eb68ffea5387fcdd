package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// interval is the time between regular rounds in these tests.
const interval = time.Second

// fakeNet carries exchanges between stewards in memory. It can partition data centres and
// freeze VMs, and counts the bytes of each steward's messages.
type fakeNet struct {
	// mu guards the fields below and steward.frozen.
	mu       sync.Mutex
	stewards map[string]*steward // by address
	// cut reports whether messages between the two stewards are dropped; nil drops none.
	cut func(from, to *steward) bool
	// bytes counts the requests sent and responses received, by the VM that began the exchange.
	bytes map[string]int
	// loseResponse reports whether to drop the next response after the request took effect;
	// nil drops none.
	loseResponse func() bool
}

// steward is a steward on the fake network, and the Dialer of its gossip.
type steward struct {
	vm, dataCentre string
	incarnation    uint64
	store          *gossip.Store
	gossip         *Gossip
	// frozen stewards neither send nor receive.
	frozen bool
	net    *fakeNet
}

// Exchange implements Dialer. It blocks until ctx ends when the two cannot reach each other.
func (s *steward) Exchange(ctx context.Context, address string, req *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	s.net.mu.Lock()
	to, ok := s.net.stewards[address]
	cut := !ok || to.frozen || s.frozen || (s.net.cut != nil && s.net.cut(s, to))
	s.net.bytes[s.vm] += proto.Size(req)
	lost := s.net.loseResponse != nil && s.net.loseResponse()
	s.net.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	// Messages are cloned, as a real transport would, so that the stewards share no memory.
	resp := proto.Clone(to.gossip.Serve(proto.Clone(req).(*api.ExchangeRequest))).(*api.ExchangeResponse)
	if lost {
		return nil, errors.New("response lost")
	}
	s.net.mu.Lock()
	s.net.bytes[s.vm] += proto.Size(resp)
	s.net.mu.Unlock()
	return resp, nil
}

// maxBytes returns the bytes counted for the steward with the most traffic.
func (net *fakeNet) maxBytes() int {
	net.mu.Lock()
	defer net.mu.Unlock()
	most := 0
	for _, b := range net.bytes {
		most = max(most, b)
	}
	return most
}

// newFakeNet returns a network without stewards or faults.
func newFakeNet() *fakeNet { return &fakeNet{stewards: map[string]*steward{}, bytes: map[string]int{}} }

// add starts a steward that initially knows the seeds.
func (net *fakeNet) add(t *testing.T, vm, dataCentre string, incarnation uint64, seeds []Seed) *steward {
	t.Helper()
	n := &steward{vm: vm, dataCentre: dataCentre, incarnation: incarnation, net: net, store: gossip.NewStore(time.Now)}
	self := Self{VM: vm, DataCentre: dataCentre, Address: "addr-" + vm, Incarnation: incarnation}
	n.gossip = New(self, interval, n.store, n, seeds, telemetry.Discard())
	net.mu.Lock()
	net.stewards[self.Address] = n
	net.mu.Unlock()
	if err := n.gossip.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return n
}

// kill disconnects the steward and stops its rounds without announcing that it leaves.
func (s *steward) kill() {
	s.net.mu.Lock()
	s.frozen = true
	s.net.mu.Unlock()
	// Background.Stop never fails.
	_ = s.gossip.background.Stop(context.Background())
}

// addAll starts count stewards, distributed over the data centres in turn. The first three
// are the seeds of all.
func (net *fakeNet) addAll(t *testing.T, count int, dataCentres ...string) []*steward {
	t.Helper()
	var seeds []Seed
	for i := range min(3, count) {
		seeds = append(seeds, Seed{VM: fmt.Sprint("vm-", i), DataCentre: dataCentres[i%len(dataCentres)], Address: fmt.Sprint("addr-vm-", i)})
	}
	var out []*steward
	for i := range count {
		out = append(out, net.add(t, fmt.Sprint("vm-", i), dataCentres[i%len(dataCentres)], uint64(i)+1, seeds))
	}
	return out
}

// stopAll stops the rounds of all stewards.
func stopAll(stewards []*steward) {
	for _, s := range stewards {
		_ = s.gossip.background.Stop(context.Background())
	}
}

// mergeTable adds a table of the given version to one steward's store, as after an accepted
// edit, and requests an urgent round.
func (s *steward) mergeTable(t *testing.T, version uint64) {
	t.Helper()
	items, err := gossip.TableItems(table.Table{Version: version, Rows: []table.Row{{Service: "hints", Changed: version, Weight: float64(version)}}}, version-1, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.store.Merge(items, "")
	s.gossip.RequestUrgentRound()
}

// tableVersion returns the version of the table that the steward holds.
func (s *steward) tableVersion() uint64 { return s.store.View().Table.Version }

// waitForVersion waits until every steward holds the table version, and returns how long that
// took in virtual time. It fails the test after limit.
func waitForVersion(t *testing.T, stewards []*steward, version uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		behind := ""
		for _, s := range stewards {
			if s.tableVersion() < version {
				behind = s.vm
				break
			}
		}
		took := time.Since(start)
		if behind == "" {
			return took
		}
		if took > limit {
			t.Fatalf("%s is not at version %d after %s", behind, version, took)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestSpread measures, in virtual time, how long an edit accepted at one steward takes to
// reach the last of N stewards, and the most bytes per second that an idle steward exchanges.
func TestSpread(t *testing.T) {
	for _, n := range []int{4, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			net := newFakeNet()
			stewards := net.addAll(t, n, "kakkanad", "edappally", "vyttila")
			defer stopAll(stewards)
			time.Sleep(30 * interval) // until all stewards know each other
			var worst time.Duration
			for v := uint64(1); v <= 10; v++ {
				stewards[int(v)%n].mergeTable(t, v)
				worst = max(worst, waitForVersion(t, stewards, v, 16*time.Second))
			}
			net.mu.Lock()
			net.bytes = map[string]int{}
			net.mu.Unlock()
			time.Sleep(100 * interval)
			most := net.maxBytes()
			fmt.Printf("figure spread_edit_to_last_of_%d_stewards %.3f s\n", n, worst.Seconds())
			fmt.Printf("figure gossip_idle_bytes_per_s_of_%d_stewards %.1f B/s\n", n, float64(most)/100)
		})
	}
}

// A data centre that is partitioned from the others keeps its table version and catches up
// when the partition ends. A version never decreases.
func TestDataCentreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newFakeNet()
		stewards := net.addAll(t, 9, "kakkanad", "edappally", "vyttila")
		defer stopAll(stewards)
		time.Sleep(20 * interval)
		stewards[0].mergeTable(t, 1)
		waitForVersion(t, stewards, 1, 16*time.Second)
		net.mu.Lock()
		net.cut = func(a, b *steward) bool { return (a.dataCentre == "vyttila") != (b.dataCentre == "vyttila") }
		net.mu.Unlock()
		// An exchange that began before the partition may carry changes made until it ends.
		time.Sleep(interval)
		stewards[0].mergeTable(t, 2)
		time.Sleep(60 * interval)
		for _, s := range stewards {
			if s.dataCentre == "vyttila" {
				is.Equal(s.tableVersion(), uint64(1)) // keeps the version from before the partition
			} else {
				is.Equal(s.tableVersion(), uint64(2))
			}
		}
		net.mu.Lock()
		net.cut = nil
		net.mu.Unlock()
		waitForVersion(t, stewards, 2, 16*time.Second)
	})
}

// Every change reaches all stewards although two of three responses are lost after the
// requests took effect.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		stewards := net.addAll(t, 6, "kakkanad")
		defer stopAll(stewards)
		time.Sleep(10 * interval)
		calls := 0
		net.mu.Lock()
		net.loseResponse = func() bool { calls++; return calls%3 != 0 }
		net.mu.Unlock()
		for v := uint64(1); v <= 5; v++ {
			stewards[v].mergeTable(t, v)
			waitForVersion(t, stewards, v, 30*time.Second)
		}
	})
}

// A killed steward becomes suspected. A steward restarted at the same address is a new
// incarnation, receives the whole state and is alive again for its peers.
func TestRestartAtTheSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newFakeNet()
		stewards := net.addAll(t, 5, "kakkanad")
		time.Sleep(10 * interval)
		stewards[0].mergeTable(t, 3)
		waitForVersion(t, stewards, 3, 16*time.Second)
		stewards[4].kill()
		time.Sleep(30 * interval)
		is.Equal(len(stewards[0].gossip.Alive()), 4)
		again := net.add(t, "vm-4", "kakkanad", 100, []Seed{{VM: "vm-0", DataCentre: "kakkanad", Address: "addr-vm-0"}})
		stewards[4] = again
		defer stopAll(stewards)
		waitForVersion(t, stewards, 3, 16*time.Second)
		time.Sleep(20 * interval)
		is.Equal(len(stewards[0].gossip.Alive()), 5)
		is.Equal(stewards[0].store.Get(gossip.PeerKey("vm-4")).GetEpoch(), uint64(100))
	})
}

// A restarted steward receives from its peers also the items that they had received from it.
// Peers do not send items back to the steward they came from, so this needs an exception.
func TestRestartRecoversOwnItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		stewards := net.addAll(t, 2, "kakkanad")
		time.Sleep(5 * interval)
		stewards[1].mergeTable(t, 3)
		waitForVersion(t, stewards, 3, 16*time.Second)
		stewards[1].kill()
		stewards[1] = net.add(t, "vm-1", "kakkanad", 100, []Seed{{VM: "vm-0", DataCentre: "kakkanad", Address: "addr-vm-0"}})
		defer stopAll(stewards)
		waitForVersion(t, stewards, 3, 16*time.Second)
	})
}

// A steward that was frozen and resumes refutes the suspicion, and its outdated table does not
// replace the newer one of the others.
func TestFrozenStewardResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newFakeNet()
		stewards := net.addAll(t, 5, "kakkanad")
		defer stopAll(stewards)
		time.Sleep(10 * interval)
		stewards[4].mergeTable(t, 1)
		waitForVersion(t, stewards, 1, 16*time.Second)
		setFrozen := func(on bool) {
			net.mu.Lock()
			defer net.mu.Unlock()
			stewards[4].frozen = on
		}
		setFrozen(true)
		stewards[0].mergeTable(t, 2)
		time.Sleep(30 * interval)
		is.Equal(len(stewards[0].gossip.Alive()), 4)
		setFrozen(false)
		waitForVersion(t, stewards, 2, 16*time.Second)
		time.Sleep(20 * interval)
		for _, s := range stewards {
			is.Equal(len(s.gossip.Alive()), 5)
			is.Equal(s.tableVersion(), uint64(2))
		}
	})
}

// targetStatus returns the item of a status that target e1 reported.
func targetStatus(boot, seq uint64, leaving bool, running uint32) *api.Item {
	return &api.Item{Key: gossip.TargetKey("e1"), Epoch: boot, Seq: seq, Body: &api.Item_Target{Target: &api.Target{
		Role: "both", Reachable: true, Leaving: leaving, Running: running,
	}}}
}

// The first report that a target is leaving reaches every steward well within 3 s, and an
// older report that arrives later does not undo it.
func TestLeavingTargetIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newFakeNet()
		stewards := net.addAll(t, 8, "kakkanad")
		defer stopAll(stewards)
		list := store.VMListing{Revision: 1, VMs: []store.VM{{Name: "e1", DataCentre: "kakkanad", Kind: store.VMEngine, State: store.VMLive, Changed: 1}}}
		stewards[0].store.Merge(stewards[0].store.VMItems(list), "")
		stewards[0].store.Merge([]*api.Item{targetStatus(1, 10, false, 0)}, "")
		stewards[0].gossip.RequestUrgentRound()
		time.Sleep(20 * interval)
		usable := func() int {
			n := 0
			for _, s := range stewards {
				if s.store.View().Targets["e1"].Usable() {
					n++
				}
			}
			return n
		}
		is.Equal(usable(), len(stewards))
		stewards[1].store.Merge([]*api.Item{targetStatus(1, 20, true, 0)}, "")
		stewards[1].gossip.RequestUrgentRound()
		start := time.Now()
		for usable() > 0 {
			time.Sleep(5 * time.Millisecond)
			// Well before the next regular round, so that the entries' feeds have the rest of
			// the 3 s.
			if time.Since(start) > interval/2 {
				t.Fatalf("%d stewards still consider the target usable", usable())
			}
		}
		fmt.Printf("figure leaving_known_by_8_stewards %.3f s\n", time.Since(start).Seconds())
		for _, s := range stewards { // an older report that arrives late
			s.store.Merge([]*api.Item{targetStatus(1, 15, false, 3)}, "")
		}
		is.Equal(usable(), 0)
		stewards[2].store.Merge([]*api.Item{targetStatus(2, 1, false, 0)}, "") // the target has restarted
		stewards[2].gossip.RequestUrgentRound()
		time.Sleep(10 * interval)
		is.Equal(usable(), len(stewards))
	})
}

// Every VM has a different rank for a task, and each of four VMs ranks first for more than 60
// of 400 tasks.
func TestRankDistributesTasks(t *testing.T) {
	is := is.New(t)
	vms := []string{"a", "b", "c", "d"}
	counts := map[string]int{}
	for i := range 400 {
		key := fmt.Sprint("e", i)
		ranks := map[int]bool{}
		for _, vm := range vms {
			r := Rank(vms, vm, key)
			ranks[r] = true
			if r == 0 {
				counts[vm]++
			}
		}
		is.Equal(len(ranks), len(vms)) // no two VMs share a rank
	}
	for _, vm := range vms {
		is.True(counts[vm] > 60)
	}
}
