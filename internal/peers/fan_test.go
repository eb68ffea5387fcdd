package peers_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
)

const (
	fanCentre = 34
	fanFast   = 3
)

// settled is how long a VM that is listed counts as up without being heard.
const settled = 1300 * time.Millisecond

func sentinelsOf(vms []*vm) (n int) {
	for _, v := range vms {
		if v.peers.Sentinel() {
			n++
		}
	}
	return n
}

// startLarge starts a data centre of which a few VMs have a fast link, and a small one.
func startLarge(t *testing.T, table store.Table) (large, small []*vm) {
	t.Helper()
	for i := range fanCentre {
		link := 20.0
		if i < fanFast {
			link = 200
		}
		large = append(large, startIn(t, "a", fmt.Sprintf("a%02d", i), link, table, nil))
	}
	for i := range 2 {
		small = append(small, startIn(t, "b", fmt.Sprintf("b%d", i), 20, table, orders{"e9": fleet.Prefill}))
	}
	for _, v := range append(large, small...) {
		eventually(t, "all are counted", func() bool { return v.peers.Size() == fanCentre+2 })
	}
	// What was told while the VMs did not agree on their relay may be told twice, or not.
	eventually(t, "the duties are dealt", func() bool { return sentinelsOf(large) == 2 })
	time.Sleep(settled)
	return large, small
}

// The relay of a large data centre passes on what all VMs have in hand, and each VM takes
// its own part out of it.
func TestRelayOfALargeDataCentreFansOut(t *testing.T) {
	is := is.New(t)
	large, small := startLarge(t, store.NewMemory())
	all := append(large, small...)
	for _, v := range all {
		defer v.stop(t)
	}
	want := place.Work{}
	for i, v := range all {
		w := place.Work{Prefill: time.Duration(i+1) * time.Millisecond, Prefills: 1}
		want = want.Plus(w)
		v.placer.set(map[string]place.Work{"e1": w}, place.Use{Target: "e1", Parts: []uint64{uint64(i)}, Missing: 5, Reads: true})
	}
	for i, v := range all {
		others := want.Minus(place.Work{Prefill: time.Duration(i+1) * time.Millisecond, Prefills: 1})
		eventually(t, fmt.Sprintf("VM %d knows the others' work", i), func() bool { return v.peers.Work("e1") == others })
		eventually(t, fmt.Sprintf("VM %d hears of the others' uses", i), func() bool { return v.placer.seen() == len(all)-1 })
		is.True(v.peers.Age() < 200*time.Millisecond)
	}
	_, changing := large[fanCentre-1].peers.Changing("e9")
	is.True(changing)
	for _, v := range all {
		v.placer.set(nil)
	}
	for _, v := range all {
		eventually(t, "no work is left", func() bool { return v.peers.Work("e1") == place.Work{} })
	}
	time.Sleep(300 * time.Millisecond)
	for _, v := range all {
		is.Equal(v.placer.seen(), len(all)-1) // each use was told once
	}
}

// Where the relay and the one behind it are lost at once, the next takes their place, and
// few VMs take themselves for sentinels.
func TestLostRelaysOfALargeDataCentreAreReplaced(t *testing.T) {
	is := is.New(t)
	large, small := startLarge(t, store.NewMemory())
	left := append(large[2:len(large):len(large)], small...)
	for _, v := range left {
		defer v.stop(t)
	}
	last := large[fanCentre-1]
	last.placer.set(map[string]place.Work{"e1": {Running: 3}})
	eventually(t, "the work is known", func() bool { return large[5].peers.Work("e1").Running == 3 })
	large[0].stop(t)
	large[1].stop(t)
	last.placer.set(map[string]place.Work{"e1": {Running: 9}})
	for _, v := range left {
		if v != last {
			eventually(t, "the work is known again", func() bool { return v.peers.Work("e1").Running == 9 })
		}
	}
	eventually(t, "two sentinels are left", func() bool {
		return sentinelsOf(large[2:]) == 2
	})
	is.True(large[2].peers.Sentinel())
}

// short lists only a part of the members.
type short struct {
	store.Table
	most int
}

func (s short) List(ctx context.Context, prefix string) ([]store.Record, error) {
	records, err := s.Table.List(ctx, prefix)
	return records[:min(s.most, len(records))], err
}

// A VM that knows too few others to expect digests uses those that come: it hears from the
// relay only what the others have in hand.
func TestDigestsAreUsedWhereTheyCome(t *testing.T) {
	table := store.NewMemory()
	large, small := startLarge(t, table)
	for _, v := range append(large, small...) {
		defer v.stop(t)
	}
	late := startIn(t, "a", "a99", 20, short{table, 10}, nil)
	defer late.stop(t)
	busy := large[fanCentre-1] // not among those that it lists
	eventually(t, "the others' work is known", func() bool {
		busy.placer.set(map[string]place.Work{"e1": {Running: 4}})
		return late.peers.Work("e1").Running == 4
	})
}
