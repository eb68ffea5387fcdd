// Package gossip holds the state that stewards replicate among themselves and stream to
// entries. It consists of versioned items, of which the newest wins. A log of local changes
// lets the store send each peer only the items that it lacks.
package gossip

import (
	"container/list"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"garnethoist.org/garnethoist/api"
)

// Store is a set of versioned items. An item's version never decreases. Store is safe for
// concurrent use.
type Store struct {
	// mu guards all fields but now.
	mu  sync.Mutex
	now func() time.Time
	// items holds the element of each item in log, by key.
	items map[string]*list.Element
	// log holds a *record for each item, in the order of their last change.
	log *list.List
	// index counts the local changes.
	index uint64
	// digest is the sum of the state hashes of all items.
	digest uint64
	// view is the most recently built view.
	view *View
	// changed is closed at the next change, and then replaced.
	changed chan struct{}
}

// record is an item with its position in the log of local changes.
type record struct {
	item *api.Item
	// index is the log index of the item's last change.
	index uint64
	// stateHash is the item's contribution to the store's digest.
	stateHash uint64
	// lastStateIndex is the index of the last change that affected more than a target's load.
	lastStateIndex uint64
	// from is the peer that the item came from, empty for local items.
	from string
	// received is when the item was merged.
	received time.Time
}

// NewStore returns an empty store that reads the time from now.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:     now,
		items:   make(map[string]*list.Element),
		log:     list.New(),
		changed: make(chan struct{}),
	}
}

// newer reports whether the version of a, its epoch and sequence number, is above that of b.
func newer(a, b *api.Item) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}

// Merge adds items that came from the peer called from (empty for local ones) and returns
// those that were newer than the store's. All of them become visible atomically, so that a
// change of several rows is never seen in part. The store keeps the items; the caller must not
// modify them afterwards.
func (s *Store) Merge(items []*api.Item, from string) []*api.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var updated []*api.Item
	for _, it := range items {
		if s.mergeOne(it, from) {
			updated = append(updated, it)
		}
	}
	if len(updated) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return updated
}

// mergeOne adds an item unless the store has the same or a newer version of it, and reports
// whether it did. The caller must hold s.mu.
func (s *Store) mergeOne(it *api.Item, from string) bool {
	e, ok := s.items[it.GetKey()]
	if ok && !newer(it, e.Value.(*record).item) {
		return false
	}
	s.index++
	r := &record{item: it, index: s.index, lastStateIndex: s.index, from: from, received: s.now(), stateHash: stateHashOf(it)}
	s.digest += r.stateHash
	if ok {
		old := e.Value.(*record)
		s.digest -= old.stateHash
		if onlyLoadDiffers(old.item, it) {
			r.lastStateIndex = old.lastStateIndex
		}
		s.log.Remove(e)
	}
	s.items[it.GetKey()] = s.log.PushBack(r)
	return true
}

// Get returns the item under key, or nil.
func (s *Store) Get(key string) *api.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.items[key]; ok {
		return e.Value.(*record).item
	}
	return nil
}

// Prefix returns the items whose keys start with prefix, in no particular order.
func (s *Store) Prefix(prefix string) []*api.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*api.Item
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e.Value.(*record).item)
		}
	}
	return out
}

// Age returns the time since the item under key was observed at its source. It returns false
// if there is no such item.
func (s *Store) Age(key string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	if !ok {
		return 0, false
	}
	return e.Value.(*record).age(s.now()), true
}

// Changed returns a channel that is closed at the next change of any item.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Summary returns the current log index and a digest of the state. Two stores with the same
// digest hold the same state, but the loads that they hold may differ.
func (s *Store) Summary() (index, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, s.digest
}

// stateHashOf hashes the state of an item. For a target this is its boot and its status
// without the load; for any other item it is the version.
func stateHashOf(it *api.Item) uint64 {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(it.GetKey())
	if t := it.GetTarget(); t != nil {
		_, _ = fmt.Fprintf(h, "\x00%d\x00%t\x00%t\x00%t\x00%s\x00%s\x00%s\x00%q", it.GetEpoch(),
			t.GetReachable(), t.GetLeaving(), t.GetChanging(), t.GetRole(), t.GetModel(), t.GetVersion(), t.GetAdapters())
		return h.Sum64()
	}
	_, _ = fmt.Fprintf(h, "\x00%d\x00%d", it.GetEpoch(), it.GetSeq())
	return h.Sum64()
}

// Scope restricts which items Since returns. The zero value returns all. Changes of load are
// those after which only a target's load differs; all others are changes of state.
type Scope struct {
	// ExcludePeer omits the items that came from this peer; empty omits none.
	ExcludePeer string
	// StateOnly omits changes of load.
	StateOnly bool
	// LoadOnly omits changes of state.
	LoadOnly bool
	// MaxLoadItems is the most changes of load to return, preferring the newest; zero means no
	// limit. It does not limit changes of state.
	MaxLoadItems int
}

// Since returns the items in scope that changed after the log index, oldest change first, with
// updated ages, and the current log index.
func (s *Store) Since(index uint64, scope Scope) ([]*api.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*api.Item
	loads := 0
	for e := s.log.Back(); e != nil && e.Value.(*record).index > index; e = e.Prev() {
		r := e.Value.(*record)
		if scope.ExcludePeer != "" && r.from == scope.ExcludePeer {
			continue
		}
		isLoad := r.lastStateIndex <= index
		if isLoad {
			loads++
		}
		if scope.includes(isLoad, loads) {
			out = append(out, r.withAge(now))
		}
	}
	slices.Reverse(out)
	return out, s.index
}

// includes reports whether a change belongs to the scope. isLoad says whether it is a change of
// load, and loads counts the changes of load so far, including this one.
func (s Scope) includes(isLoad bool, loads int) bool {
	if !isLoad {
		return !s.LoadOnly
	}
	return !s.StateOnly && (s.MaxLoadItems == 0 || loads <= s.MaxLoadItems)
}

// onlyLoadDiffers reports whether a and b are statuses of the same boot of a target that are
// equal except for the load.
func onlyLoadDiffers(a, b *api.Item) bool {
	x, y := a.GetTarget(), b.GetTarget()
	if x == nil || y == nil || a.GetEpoch() != b.GetEpoch() {
		return false
	}
	return x.GetReachable() == y.GetReachable() && x.GetLeaving() == y.GetLeaving() &&
		x.GetChanging() == y.GetChanging() && x.GetRole() == y.GetRole() && x.GetModel() == y.GetModel() &&
		x.GetVersion() == y.GetVersion() && slices.Equal(x.GetAdapters(), y.GetAdapters())
}

// LastChangeIsState reports whether the last change of the item under key was a change of state rather
// than of load only.
func (s *Store) LastChangeIsState(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	if !ok {
		return false
	}
	r := e.Value.(*record)
	return r.lastStateIndex == r.index
}

// All returns every item with its current age, oldest change first.
func (s *Store) All() []*api.Item {
	items, _ := s.Since(0, Scope{})
	return items
}

// age returns the time from the item's observation at its source until now. Only this store's
// own clock is used: the age on arrival came with the item.
func (r *record) age(now time.Time) time.Duration {
	return time.Duration(r.item.GetAgeMs())*time.Millisecond + now.Sub(r.received)
}

// withAge returns the item with its age at now. Only a target's status needs an age, so other
// items are returned unchanged.
func (r *record) withAge(now time.Time) *api.Item {
	if r.item.GetTarget() == nil {
		return r.item
	}
	c := proto.Clone(r.item).(*api.Item)
	c.AgeMs = uint32(r.age(now) / time.Millisecond)
	return c
}
