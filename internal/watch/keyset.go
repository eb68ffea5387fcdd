package watch

import (
	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/store"
)

// emptyKeySum is the sum of an empty set. It differs from 0, which stands for an unknown sum.
const emptyKeySum = 1

// keySet is the set of the keys of a table's usable rows. sum depends only on the keys in it.
type keySet struct {
	keys map[string]struct{}
	sum  uint64
}

// newKeySet returns a set of the given keys.
func newKeySet(keys []string) keySet {
	k := keySet{keys: make(map[string]struct{}, len(keys)), sum: emptyKeySum}
	for _, key := range keys {
		k.add(key)
	}
	return k
}

// keysOf returns the keys of rows for which usable returns true.
func keysOf(rows []store.Row, usable func(key string) bool) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		if usable(r.Key) {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// has returns whether the set holds the key.
func (k *keySet) has(key string) bool {
	_, ok := k.keys[key]
	return ok
}

// add adds a key unless the set holds it.
func (k *keySet) add(key string) {
	if !k.has(key) {
		k.keys[key] = struct{}{}
		k.sum += xxhash.Sum64String(key)
	}
}

// remove removes a key if the set holds it.
func (k *keySet) remove(key string) {
	if k.has(key) {
		delete(k.keys, key)
		k.sum -= xxhash.Sum64String(key)
	}
}

// difference returns the changes that lead from a table with these usable keys, as of revision, to rows, which
// are a later state of the whole table. Removals have the revision of rows, as their versions are not known.
func (k *keySet) difference(rows store.Rows, revision uint64) []store.Row {
	var changes []store.Row
	present := make(map[string]struct{}, len(rows.Rows))
	for _, r := range rows.Rows {
		present[r.Key] = struct{}{}
		if r.Version > revision {
			changes = append(changes, r)
		}
	}
	for key := range k.keys {
		if _, ok := present[key]; !ok {
			changes = append(changes, store.Row{Key: key, Version: rows.Revision, Removed: true})
		}
	}
	return changes
}
