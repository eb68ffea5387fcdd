package quarantine

import (
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEntries is the maximum number of entries, of about 300 bytes each. maxPerSource is the
	// maximum number of entries whose requests have the same Request.Source, which is the client
	// account or, if there is none, the caller's address. One crash of a target adds up to a
	// hundred entries, one for each request that the target had begun to run.
	maxEntries   = 8192
	maxPerSource = 1024
	// maxChanged is the maximum number of entries that wait to be sent to other VMs.
	maxChanged = 1024
)

// Table holds an entry for each request that targets had begun to run when they crashed. It has no
// clock: all times passed to its methods must be readings of one clock that also counts the time
// for which the machine is suspended. It is safe for concurrent use.
type Table struct {
	// size is the number of entries. It is read without mu to return early in the common case that
	// there are none.
	size atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	entries map[ID]*entry
	// keyCounts holds the number of entries with each ID.Key, and sourceCounts the number of
	// entries with each Request.SourceKey.
	keyCounts    map[uint64]int
	sourceCounts map[uint64]int
	// changed holds the entries that are to be sent to other VMs.
	changed []ID
	// revision counts the changes of the crashes.
	revision uint64
	schedule *schedule
}

// NewTable returns an empty table of requests.
func NewTable() *Table { return newTable(requestSchedule) }

// newTable returns an empty table whose entries have the given schedule.
func newTable(s *schedule) *Table {
	return &Table{entries: make(map[ID]*entry), keyCounts: make(map[uint64]int),
		sourceCounts: make(map[uint64]int), schedule: s}
}

// lookup returns the entry and the ID of a request, or nil if there is no entry. It hashes the body
// only if an entry has the same key. lookup locks t.mu itself; the caller must lock it again to use
// the entry.
func (t *Table) lookup(r *Request) (*entry, ID) {
	if t.size.Load() == 0 {
		return nil, ID{}
	}
	key := r.Key()
	t.mu.Lock()
	known := t.keyCounts[key] > 0
	t.mu.Unlock()
	if !known {
		return nil, ID{}
	}
	id := r.ID()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id], id
}

// Verdict returns the verdict on a request. The verdict is zero if the table has no entry of the
// request or the entry has expired.
func (t *Table) Verdict(r *Request, now time.Time) Verdict {
	e, _ := t.lookup(r)
	if e == nil {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(e.expiry()) {
		return Verdict{}
	}
	return e.verdict()
}

// BeginTrial begins a trial, which is an attempt to run a suspect on a target. It returns false
// while another trial of the same request is in progress on this VM, because that one could crash
// its target as well. If it returns true, the caller must call EndTrial after the attempt.
func (t *Table) BeginTrial(id ID) bool {
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

// EndTrial ends a trial that BeginTrial allowed.
func (t *Table) EndTrial(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.trials > 0 {
		e.trials--
	}
}

// RecordCrash records that a target crashed as it began to run the request. It returns the verdict
// on the request, and whether this crash started or extended the request's quarantine.
func (t *Table) RecordCrash(r *Request, c Crash) (v Verdict, starts bool) {
	id := r.ID()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrAdd(id, r.SourceKey())
	before := e.crashCount
	e.addCrash(hashText(c.Run), crash{began: c.Began, at: c.At})
	t.markChanged(id)
	return e.verdict(), e.crashCount >= quarantineCrashes && e.crashCount > before
}

// RecordSuccess records that a target has run the request successfully. It clears the request's
// known crashes, because they were not its fault. RecordSuccess returns whether any of these
// crashes was counted before.
func (t *Table) RecordSuccess(r *Request) bool {
	e, id := t.lookup(r)
	if e == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.crashCount == 0 {
		return false
	}
	e.clear(0)
	t.markChanged(id)
	return true
}

// Expire removes expired entries.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.trials == 0 && !now.Before(e.expiry()) {
			t.remove(id)
		}
	}
}

// Size returns the number of entries.
func (t *Table) Size() int { return int(t.size.Load()) }

// getOrAdd returns the entry of id. If there is none, getOrAdd adds one. If the source already has
// maxPerSource entries, or the table maxEntries, it evicts another entry first. The caller must
// hold t.mu.
func (t *Table) getOrAdd(id ID, source uint64) *entry {
	if e := t.entries[id]; e != nil {
		return e
	}
	switch {
	case t.sourceCounts[source] >= maxPerSource:
		t.evict(source)
	case len(t.entries) >= maxEntries:
		t.evict(t.largestSource())
	}
	e := &entry{id: id, schedule: t.schedule, source: source, crashes: make(map[uint64]crash)}
	t.entries[id] = e
	t.keyCounts[id.Key]++
	t.sourceCounts[source]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// evict removes the least severe entry of a source, see compareSeverity, that has no trial in
// progress. A source is a hash of Request.Source. Entries of other sources stay, so that no caller
// can displace another's entries. The caller must hold t.mu.
func (t *Table) evict(source uint64) {
	var least *entry
	for _, e := range t.entries {
		if e.source == source && e.trials == 0 && (least == nil || compareSeverity(e, least) < 0) {
			least = e
		}
	}
	if least != nil {
		t.remove(least.id)
	}
}

// largestSource returns the hash of the Request.Source with the most entries. The caller must hold
// t.mu.
func (t *Table) largestSource() uint64 {
	var largest uint64
	most := 0
	for source, n := range t.sourceCounts {
		if n > most {
			largest, most = source, n
		}
	}
	return largest
}

// remove removes an entry. The caller must hold t.mu.
func (t *Table) remove(id ID) {
	source := t.entries[id].source
	delete(t.entries, id)
	if t.keyCounts[id.Key]--; t.keyCounts[id.Key] == 0 {
		delete(t.keyCounts, id.Key)
	}
	if t.sourceCounts[source]--; t.sourceCounts[source] == 0 {
		delete(t.sourceCounts, source)
	}
	t.size.Store(int64(len(t.entries)))
}

// markChanged adds an entry to those that are to be sent to other VMs, unless there are maxChanged
// already. The caller must hold t.mu.
func (t *Table) markChanged(id ID) {
	if len(t.changed) < maxChanged && !slices.Contains(t.changed, id) {
		t.changed = append(t.changed, id)
	}
}

// hashText returns the FNV-1a hash of s.
func hashText(s string) uint64 {
	h := fnv.New64a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
