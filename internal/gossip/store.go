// Package gossip holds the state that stewards spread among themselves and
// feed to entries: versioned items, of which the newest wins, and the log of
// local changes from which each peer is sent only what it lacks.
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

// Store is a set of versioned items. An item's version never goes down. It is
// safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	now   func() time.Time
	items map[string]*list.Element
	log   *list.List
	index uint64
	// digest is the sum of the marks of all items.
	digest uint64
	// view is the last view taken.
	view    *View
	changed chan struct{}
}

// record is an item with its place in the log of local changes.
type record struct {
	item  *api.Item
	index uint64
	// mark stands for the item's state in the store's digest.
	mark uint64
	// stateIndex is the index of the last change that was more than load.
	stateIndex uint64
	from       string
	received   time.Time
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

// newer reports whether a replaces b.
func newer(a, b *api.Item) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}

// Merge takes in items that came from the peer called from (empty for local
// ones) and returns those that were news. All of them become visible at once,
// so that a change of several rows is never seen half. The store keeps the
// items; the caller must not change them afterwards.
func (s *Store) Merge(items []*api.Item, from string) []*api.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []*api.Item
	for _, it := range items {
		if s.mergeOne(it, from) {
			news = append(news, it)
		}
	}
	if len(news) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return news
}

func (s *Store) mergeOne(it *api.Item, from string) bool {
	e, ok := s.items[it.GetKey()]
	if ok && !newer(it, e.Value.(*record).item) {
		return false
	}
	s.index++
	r := &record{item: it, index: s.index, stateIndex: s.index, from: from, received: s.now(), mark: markOf(it)}
	s.digest += r.mark
	if ok {
		old := e.Value.(*record)
		s.digest -= old.mark
		if onlyLoadDiffers(old.item, it) {
			r.stateIndex = old.stateIndex
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

// Prefix returns the items whose keys start with prefix, in no order.
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

// Age returns the time since the item under key was observed at its source, or
// false when there is none.
func (s *Store) Age(key string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	if !ok {
		return 0, false
	}
	return e.Value.(*record).age(s.now()), true
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Summary returns the log index with a digest of the state at it. Two stores
// of the same digest hold the same state; their loads may differ.
func (s *Store) Summary() (index, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, s.digest
}

// markOf hashes what counts as state of an item: all of a target's status but
// its load, and the version of anything else.
func markOf(it *api.Item) uint64 {
	h := xxhash.New()
	// Writes to a hash cannot fail.
	_, _ = h.WriteString(it.GetKey())
	if t := it.GetTarget(); t != nil {
		_, _ = fmt.Fprintf(h, "\x00%d\x00%t\x00%t\x00%t\x00%s\x00%s\x00%s\x00%q", it.GetEpoch(),
			t.GetReachable(), t.GetLeaving(), t.GetChanging(), t.GetRole(), t.GetModel(), t.GetVersion(), t.GetAdapters())
		return h.Sum64()
	}
	_, _ = fmt.Fprintf(h, "\x00%d\x00%d", it.GetEpoch(), it.GetSeq())
	return h.Sum64()
}

// Scope bounds what Since returns.
type Scope struct {
	// NotTo leaves out what came from this peer.
	NotTo string
	// StateOnly leaves out changes of load, LoadOnly all others.
	StateOnly bool
	LoadOnly  bool
	// LoadItems is the most changes of load to return, newest first; zero is
	// no bound. Changes of state are never left out.
	LoadItems int
}

// Since returns the items changed after index, oldest first, with the index
// now reached. Their ages are brought up to date.
func (s *Store) Since(index uint64, scope Scope) ([]*api.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*api.Item
	loads := 0
	for e := s.log.Back(); e != nil && e.Value.(*record).index > index; e = e.Prev() {
		r := e.Value.(*record)
		if scope.NotTo != "" && r.from == scope.NotTo {
			continue
		}
		isLoad := r.stateIndex <= index
		if isLoad {
			loads++
		}
		if scope.keeps(isLoad, loads) {
			out = append(out, r.aged(now))
		}
	}
	slices.Reverse(out)
	return out, s.index
}

// keeps reports whether an item belongs to the scope; loads counts the changes
// of load so far.
func (s Scope) keeps(isLoad bool, loads int) bool {
	if !isLoad {
		return !s.LoadOnly
	}
	return !s.StateOnly && (s.LoadItems == 0 || loads <= s.LoadItems)
}

// onlyLoadDiffers reports whether two statuses of a target say the same but
// for the load.
func onlyLoadDiffers(a, b *api.Item) bool {
	x, y := a.GetTarget(), b.GetTarget()
	if x == nil || y == nil || a.GetEpoch() != b.GetEpoch() {
		return false
	}
	return x.GetReachable() == y.GetReachable() && x.GetLeaving() == y.GetLeaving() &&
		x.GetChanging() == y.GetChanging() && x.GetRole() == y.GetRole() && x.GetModel() == y.GetModel() &&
		x.GetVersion() == y.GetVersion() && slices.Equal(x.GetAdapters(), y.GetAdapters())
}

// IsState reports whether the item, just merged, changed more than load.
func (s *Store) IsState(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	if !ok {
		return false
	}
	r := e.Value.(*record)
	return r.stateIndex == r.index
}

// All returns every item with its age brought up to date.
func (s *Store) All() []*api.Item {
	items, _ := s.Since(0, Scope{})
	return items
}

func (r *record) age(now time.Time) time.Duration {
	return time.Duration(r.item.GetAgeMs())*time.Millisecond + now.Sub(r.received)
}

// aged returns the item with its age at now; only a target's load has a use
// for it, so other items are passed on as they are.
func (r *record) aged(now time.Time) *api.Item {
	if r.item.GetTarget() == nil {
		return r.item
	}
	c := proto.Clone(r.item).(*api.Item)
	c.AgeMs = uint32(r.age(now) / time.Millisecond)
	return c
}
