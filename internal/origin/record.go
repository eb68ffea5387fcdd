// Package origin tells which version of the targets' software began a stream. A stream may go on only at
// the version that began it, its caller may resume it at any VM, and targets do not check versions.
//
// The VM that serves the first event of a stream sends a record of its version to a few VMs, the homes of
// the record, which each VM finds by hashing the request id. Where no home has a record any more, a stream
// goes on if the store shows that its service has had one version only; see Versions. A stream whose version
// nobody can tell is not resumed.
package origin

import (
	"crypto/sha256"
	"sync"
	"time"
)

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key identifies a stream: a hash of the id of the request that brought its first event.
type Key [KeySize]byte

// KeyOf returns the key of the stream that began with a request.
func KeyOf(requestID string) Key {
	sum := sha256.Sum256([]byte(requestID))
	return Key(sum[:KeySize])
}

// Origin is where a stream began: a service, and the version of its targets' software.
type Origin struct {
	Service string
	Version string
}

// Record states where a stream began.
type Record struct {
	Key Key
	Origin
	// TTL is how long the stream may still be resumed.
	TTL time.Duration
}

const (
	// maxRecords limits the records of one VM. The oldest ones are dropped first.
	maxRecords = 1 << 16
	// maxTTL limits how long a record is kept.
	maxTTL = time.Hour
)

// Records holds the records that this VM keeps. It is safe for concurrent use.
type Records struct {
	mu      sync.Mutex
	entries map[Key]entry
	// order holds the keys in the order in which they were added.
	order []Key
}

// entry is a record that is kept until a time. Its origin is empty if there were contradictory records.
type entry struct {
	origin    Origin
	expiresAt time.Time
}

// NewRecords returns an empty Records.
func NewRecords() *Records { return &Records{entries: make(map[Key]entry)} }

// Add keeps a record. Two records of one stream with different origins make its origin unknown.
func (r *Records) Add(rec Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	expiresAt := now.Add(min(rec.TTL, maxTTL))
	e, known := r.entries[rec.Key]
	switch {
	case !known:
		r.order = append(r.order, rec.Key)
		e = entry{origin: rec.Origin, expiresAt: expiresAt}
	case e.origin != rec.Origin:
		e.origin = Origin{}
	}
	if expiresAt.After(e.expiresAt) {
		e.expiresAt = expiresAt
	}
	r.entries[rec.Key] = e
	for len(r.order) > maxRecords {
		r.dropOldest()
	}
}

// dropExpired drops the oldest records as long as they have expired. The caller must hold r.mu.
func (r *Records) dropExpired(now time.Time) {
	for len(r.order) > 0 && !r.entries[r.order[0]].expiresAt.After(now) {
		r.dropOldest()
	}
}

// dropOldest drops the oldest record. The caller must hold r.mu.
func (r *Records) dropOldest() {
	delete(r.entries, r.order[0])
	r.order = r.order[1:]
}

// Origin returns where a stream began, or false if it is not known.
func (r *Records) Origin(k Key, now time.Time) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[k]
	if !ok || e.origin == (Origin{}) || !e.expiresAt.After(now) {
		return Origin{}, false
	}
	return e.origin, true
}

// All returns the records that have not expired.
func (r *Records) All(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.order))
	for _, k := range r.order {
		if e := r.entries[k]; e.origin != (Origin{}) && e.expiresAt.After(now) {
			out = append(out, Record{Key: k, Origin: e.origin, TTL: e.expiresAt.Sub(now)})
		}
	}
	return out
}
