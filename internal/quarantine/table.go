package quarantine

import (
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEntries bounds the requests kept, some 300 bytes each, and maxPerSource those
	// of one source. At a target's end up to a hundred become known.
	maxEntries   = 8192
	maxPerSource = 1024
	// maxNews bounds the words that wait to be told at once.
	maxNews = 1024
)

// Table holds the requests under which targets have ended. It has no clock: times are of
// one that also counts the time for which the machine is suspended. It is safe for
// concurrent use.
type Table struct {
	// size is the number of entries, to be read without mu: mostly there are none.
	size atomic.Int64

	mu      sync.Mutex
	entries map[ID]*entry
	// keys and sources count the entries with each.
	keys    map[uint64]int
	sources map[uint64]int
	news    []ID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[ID]*entry), keys: make(map[uint64]int), sources: make(map[uint64]int)}
}

// find returns what is known of a request. The body is hashed only where a request that
// may be the same one is known.
func (t *Table) find(r *Request) (*entry, ID) {
	if t.size.Load() == 0 {
		return nil, ID{}
	}
	key := r.Key()
	t.mu.Lock()
	known := t.keys[key] > 0
	t.mu.Unlock()
	if !known {
		return nil, ID{}
	}
	id := r.ID()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id], id
}

// Judge returns what is known of a request.
func (t *Table) Judge(r *Request, now time.Time) Verdict {
	e, _ := t.find(r)
	if e == nil {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(e.forgotten()) {
		return Verdict{}
	}
	return e.verdict()
}

// Try begins a send of a suspect, or returns false while another one of the same request is
// under way: it could end its target as well. End must follow.
func (t *Table) Try(id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return true
	}
	if e.trials > 0 {
		return false
	}
	e.trials++
	return true
}

// Done ends a send that Try began.
func (t *Table) Done(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.trials > 0 {
		e.trials--
	}
}

// Ended notes that a target ended as it began to run the request. It returns the request's
// verdict, and whether this end put it into quarantine.
func (t *Table) Ended(r *Request, n End) (v Verdict, begins bool) {
	id := r.ID()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id, r.SourceKey())
	before := e.count
	e.note(hashText(n.Run), end{began: n.Began, at: n.At})
	t.tell(id)
	return e.verdict(), e.count >= quarantineEnds && e.count > before
}

// Served notes that a target has run the request to its end: it is not at fault for the
// ends that are known. It reports whether it was held to be.
func (t *Table) Served(r *Request) bool {
	e, id := t.find(r)
	if e == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.count == 0 {
		return false
	}
	for target, end := range e.ends {
		end.void = true
		e.ends[target] = end
	}
	e.weigh()
	t.tell(id)
	return true
}

// Expire drops what is too old.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.trials == 0 && !now.Before(e.forgotten()) {
			t.drop(id)
		}
	}
}

// Size counts the requests that are known.
func (t *Table) Size() int { return int(t.size.Load()) }

// entry returns the entry of id, made where there is none; the caller holds t.mu.
func (t *Table) entry(id ID, source uint64) *entry {
	if e := t.entries[id]; e != nil {
		return e
	}
	switch {
	case t.sources[source] >= maxPerSource:
		t.evict(source)
	case len(t.entries) >= maxEntries:
		t.evict(t.largestSource())
	}
	e := &entry{id: id, source: source, ends: make(map[uint64]end)}
	t.entries[id] = e
	t.keys[id.Key]++
	t.sources[source]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// evict drops the entry of a source that matters least, so that no caller can crowd out
// another's; the caller holds t.mu.
func (t *Table) evict(source uint64) {
	var least *entry
	for _, e := range t.entries {
		if e.source == source && e.trials == 0 && (least == nil || matters(e, least) < 0) {
			least = e
		}
	}
	if least != nil {
		t.drop(least.id)
	}
}

func (t *Table) largestSource() uint64 {
	var largest uint64
	most := 0
	for source, n := range t.sources {
		if n > most {
			largest, most = source, n
		}
	}
	return largest
}

// drop removes an entry; the caller holds t.mu.
func (t *Table) drop(id ID) {
	source := t.entries[id].source
	delete(t.entries, id)
	if t.keys[id.Key]--; t.keys[id.Key] == 0 {
		delete(t.keys, id.Key)
	}
	if t.sources[source]--; t.sources[source] == 0 {
		delete(t.sources, source)
	}
	t.size.Store(int64(len(t.entries)))
}

// tell has other VMs told of an entry; the caller holds t.mu.
func (t *Table) tell(id ID) {
	if len(t.news) < maxNews && !slices.Contains(t.news, id) {
		t.news = append(t.news, id)
	}
}

func hashText(s string) uint64 {
	h := fnv.New64a()
	// A hash's Write returns no error.
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
