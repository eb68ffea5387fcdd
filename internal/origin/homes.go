package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// HomeCount is the number of homes of a record: the VMs that keep it.
	HomeCount = 3
	// SpareCount is the number of further VMs that get the records of a VM that stops, and are asked if
	// homes do not reply: VMs that have stopped still count as homes.
	SpareCount = 3
)

// Member is a VM that may be a home.
type Member struct {
	VM         string
	DataCentre string
}

// weighted is the index of a member, and its weight for a key.
type weighted struct {
	index  int
	weight uint64
}

// Homes returns the indices of the members that are the first n homes of a key, by rendezvous hashing, so
// that few homes change when a VM joins or leaves. They are in different data centres as far as possible, as
// a data centre may be cut off from the others. VMs that know the same members agree on them.
func Homes(k Key, members []Member, n int) []int {
	best := make(map[string]weighted)
	all := make([]weighted, 0, len(members))
	for i, m := range members {
		w := weighted{i, weight(k, m.VM)}
		all = append(all, w)
		if b, ok := best[m.DataCentre]; !ok || compareWeight(w, b) < 0 {
			best[m.DataCentre] = w
		}
	}
	first := make([]weighted, 0, len(best))
	for _, w := range best {
		first = append(first, w)
	}
	slices.SortFunc(first, compareWeight)
	homes := make([]int, 0, n)
	for _, w := range first[:min(n, len(first))] {
		homes = append(homes, w.index)
	}
	for len(homes) < min(n, len(members)) {
		homes = append(homes, heaviest(all, homes))
	}
	return homes
}

// heaviest returns the index of the member with the highest weight of those that are not in except.
func heaviest(all []weighted, except []int) int {
	best := weighted{index: -1}
	for _, w := range all {
		if !slices.Contains(except, w.index) && (best.index < 0 || compareWeight(w, best) < 0) {
			best = w
		}
	}
	return best.index
}

// weight returns the weight of a VM for a key.
func weight(k Key, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Write and WriteString of a Digest never return an error.
	_, _ = d.Write(k[:])
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// compareWeight orders members by weight, the heaviest first.
func compareWeight(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}
