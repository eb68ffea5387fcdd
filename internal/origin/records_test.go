package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A record is kept for its time, and contradictory records tell nothing.
func TestRecordsExpireAndContradict(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRecords()
	k := KeyOf("q1")
	v1 := Origin{Service: "model", Version: "v1"}
	r.Add(Record{Key: k, Origin: v1, TTL: time.Minute}, now)
	at, ok := r.Origin(k, now.Add(59*time.Second))
	is.True(ok)
	is.Equal(at, v1)
	_, ok = r.Origin(k, now.Add(time.Minute))
	is.True(!ok)
	r.Add(Record{Key: k, Origin: v1, TTL: 2 * time.Minute}, now) // again, for longer
	_, ok = r.Origin(k, now.Add(time.Minute))
	is.True(ok)
	r.Add(Record{Key: k, Origin: Origin{Service: "model", Version: "v2"}, TTL: time.Minute}, now)
	_, ok = r.Origin(k, now)
	is.True(!ok)
	is.Equal(len(r.All(now)), 0)
}

// The number of records is bounded, and the oldest ones are dropped.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRecords()
	for i := range maxRecords + 10 {
		r.Add(Record{Key: KeyOf(fmt.Sprint(i)), Origin: Origin{"model", "v1"}, TTL: time.Minute}, now)
	}
	is.Equal(len(r.All(now)), maxRecords)
	_, ok := r.Origin(KeyOf("9"), now)
	is.True(!ok)
	_, ok = r.Origin(KeyOf("10"), now)
	is.True(ok)
}

// members returns n VMs in the given number of data centres.
func members(n, dataCentres int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)}
	}
	return out
}

// Homes are in different data centres, spread over the VMs, and change little when a VM leaves.
func TestHomes(t *testing.T) {
	for _, n := range []int{1, 2, 7, 24, 2000} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			is := is.New(t)
			all := members(n, 3)
			load := make(map[string]int)
			const keys = 3000
			for i := range keys {
				k := KeyOf(fmt.Sprint("q", i))
				homes := Homes(k, all, HomeCount)
				is.Equal(len(homes), min(n, HomeCount))
				seen := make(map[string]bool)
				for _, h := range homes {
					seen[all[h].DataCentre] = true
					load[all[h].VM]++
				}
				is.Equal(len(seen), len(homes))
				if n < HomeCount+1 {
					continue
				}
				// Without one of its homes, a key keeps the other two.
				left := homes[0]
				rest := append(append([]Member{}, all[:left]...), all[left+1:]...)
				kept := 0
				for _, h := range Homes(k, rest, HomeCount) {
					if rest[h] == all[homes[1]] || rest[h] == all[homes[2]] {
						kept++
					}
				}
				is.Equal(kept, 2)
			}
			for _, c := range load {
				is.True(c <= 30+5*HomeCount*keys/n)
			}
		})
	}
}

// BenchmarkHomes measures finding the homes of a record among 2,000 VMs.
func BenchmarkHomes(b *testing.B) {
	all := members(2000, 5)
	for i := range b.N {
		Homes(KeyOf(fmt.Sprint(i)), all, HomeCount)
	}
}
