// Package intake keeps the account of the memory that callers take of a process with their connections and
// requests, and chooses whose connection or request ends when the memory is used up. It does no input or
// output.
package intake

import (
	"container/list"
	"math/bits"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// New is a connection on which no byte of a request has arrived.
	New Phase = iota
	// Idle is a connection that waits for its next request.
	Idle
	// Reading is a connection whose request is incomplete, so that no target has got it.
	Reading
	// Serving is a connection with a complete request.
	Serving
	// Closing is a connection that stays open only for the caller to receive the last response.
	Closing
	phaseCount
)

// phaseNames are the names of the phases in logs and metrics.
var phaseNames = [phaseCount]string{"new", "idle", "reading", "serving", "closing"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// maxHeadroomDivisor limits the headroom of a holder to a fraction of the limit.
const maxHeadroomDivisor = 4

// Holder is a connection in a Ledger.
type Holder struct {
	// Owner is what Add was called with.
	Owner any

	phase Phase
	// bytes is what the connection takes. since is when it began to wait, or when its request grew to
	// twice the size or began.
	bytes int64
	since time.Time
	// in and elem are the place in one of the ledger's lists, or nil.
	in   *list.List
	elem *list.Element
	// leaving is set once the holder was told to give up what it holds.
	leaving bool
	removed bool
}

// Phase returns the phase of the connection.
func (h *Holder) Phase() Phase { return h.phase }

// Since returns when the connection began to wait, or when its request grew to twice its size or began.
func (h *Holder) Since() time.Time { return h.since }

// Leaving reports whether Leave was called in the current phase.
func (h *Holder) Leaving() bool { return h.leaving }

// Removed reports whether the holder is no longer in the ledger.
func (h *Holder) Removed() bool { return h.removed }

// Ledger is the account. It is not safe for concurrent use.
type Ledger struct {
	limit int64
	// used is what all holders take, and leaving the part of it that holders have been told to give up.
	used, leaving int64
	counts        [phaseCount]int
	// waiting holds the connections in New and Idle, and closing those in Closing, longest first. reading
	// holds those in Reading by the binary logarithm of their bytes, longest first.
	waiting, closing list.List
	reading          [64]list.List
}

// NewLedger returns an empty account of the given number of bytes.
func NewLedger(limit int64) *Ledger { return &Ledger{limit: limit} }

// Add adds a connection in phase New. owner is for its user.
func (l *Ledger) Add(h *Holder, owner any, bytes int64, now time.Time) {
	*h = Holder{Owner: owner, bytes: bytes, since: now}
	l.used += bytes
	l.counts[New]++
	l.list(h)
}

// Remove removes a connection with all that it takes. Repeated calls have no effect.
func (l *Ledger) Remove(h *Holder) {
	if h.removed {
		return
	}
	h.removed = true
	l.unlist(h)
	l.counts[h.phase]--
	l.used -= h.bytes
	l.stay(h)
}

// Enter changes the phase of a connection.
func (l *Ledger) Enter(h *Holder, p Phase, now time.Time) {
	if h.removed {
		return
	}
	l.unlist(h)
	l.stay(h)
	l.counts[h.phase]--
	l.counts[p]++
	h.phase, h.since = p, now
	l.list(h)
}

// Charge adds n bytes, which may be negative, to what a connection takes.
func (l *Ledger) Charge(h *Holder, n int64, now time.Time) {
	if h.removed {
		return
	}
	before := h.bytes
	h.bytes += n
	l.used += n
	switch {
	case h.leaving:
		l.leaving += n
	case h.phase == Reading && class(before) != class(h.bytes):
		l.unlist(h)
		h.since = now
		l.list(h)
	}
}

// Leave records that a connection has been told to give up what it takes. It is not chosen again.
func (l *Ledger) Leave(h *Holder) {
	if h.removed || h.leaving {
		return
	}
	l.unlist(h)
	h.leaving = true
	l.leaving += h.bytes
}

// stay reverts Leave.
func (l *Ledger) stay(h *Holder) {
	if h.leaving {
		h.leaving = false
		l.leaving -= h.bytes
	}
}

// Fits reports whether a connection may take n more bytes now. Each leaves as much free as it takes itself, up
// to a part of the limit, so that those that take little find room beside those that take much. h is nil for a
// new connection.
func (l *Ledger) Fits(h *Holder, n int64) bool { return l.used+n+l.headroom(h, n) <= l.limit }

// WillFit is Fits for the time when all that were told to leave have done so.
func (l *Ledger) WillFit(h *Holder, n int64) bool {
	return l.used-l.leaving+n+l.headroom(h, n) <= l.limit
}

// headroom returns the number of bytes that must remain free if a connection takes n more bytes.
func (l *Ledger) headroom(h *Holder, n int64) int64 {
	if h != nil {
		n += h.bytes
	}
	return min(n, l.limit/maxHeadroomDivisor)
}

// Used returns the number of bytes that all connections take.
func (l *Ledger) Used() int64 { return l.used }

// Limit returns the number of bytes that all connections may take.
func (l *Ledger) Limit() int64 { return l.limit }

// Count returns the number of connections in a phase.
func (l *Ledger) Count(p Phase) int { return l.counts[p] }

// Waiting calls f with the connections in New and Idle, longest first, until f returns false.
func (l *Ledger) Waiting(f func(*Holder) bool) { each(&l.waiting, f) }

// OldestClosing returns the connection that has been in Closing longest, or nil.
func (l *Ledger) OldestClosing() *Holder { return front(&l.closing) }

// Slow reports whether a request has taken more time to arrive, since it grew to twice its size or began, than its
// bytes need at the given pace in bytes per second.
func (h *Holder) Slow(now time.Time, pace float64) bool {
	return now.Sub(h.since).Seconds()*pace >= float64(h.bytes)
}

// Worst returns the connection to end for those that need what it takes: the one in Reading, New or Idle that takes
// the most bytes for the longest time, among those for which may returns true. It is nil if there is none.
func (l *Ledger) Worst(now time.Time, may func(*Holder) bool) *Holder {
	worst, most := (*Holder)(nil), -1.0
	consider := func(h *Holder) {
		if held := float64(h.bytes) * now.Sub(h.since).Seconds(); held > most {
			worst, most = h, held
		}
	}
	for i := range l.reading {
		if h := front(&l.reading[i]); h != nil && may(h) {
			consider(h)
		}
	}
	each(&l.waiting, func(h *Holder) bool {
		if !may(h) {
			return true
		}
		consider(h)
		return false
	})
	return worst
}

// list enters a holder in the list of its phase.
func (l *Ledger) list(h *Holder) {
	switch h.phase {
	case New, Idle:
		h.in = &l.waiting
	case Reading:
		h.in = &l.reading[class(h.bytes)]
	case Closing:
		h.in = &l.closing
	default:
		return
	}
	h.elem = h.in.PushBack(h)
}

// unlist removes a holder from its list.
func (l *Ledger) unlist(h *Holder) {
	if h.in != nil {
		h.in.Remove(h.elem)
		h.in, h.elem = nil, nil
	}
}

// class returns the list in Ledger.reading for a number of bytes.
func class(n int64) int { return bits.Len64(uint64(max(n, 0))) }

// front returns the first holder of a list, or nil.
func front(l *list.List) *Holder {
	if e := l.Front(); e != nil {
		return e.Value.(*Holder)
	}
	return nil
}

// each calls f with the holders of a list until f returns false.
func each(l *list.List, f func(*Holder) bool) {
	for e := l.Front(); e != nil; e = e.Next() {
		if !f(e.Value.(*Holder)) {
			return
		}
	}
}
