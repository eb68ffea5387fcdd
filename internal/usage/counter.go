// Package usage counts the runs of client accounts in windows of the time of day, gathers the
// counts of all VMs and reports each window once.
//
// Load pattern: hundreds of VMs that each see a part of each account's requests, some of which
// are killed, frozen or cut off, and a holder of the duty that changes. A window's sums are
// fixed in the store before they are sent, so that whoever sends them again sends the same.
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// keptFor is how long a VM keeps the counts of a window: an outage of the store or of the
	// platform's calls is made up for as long.
	keptFor = 2 * time.Minute
	// answerCounts bounds the counts in one answer, so that it fits into a datagram.
	answerCounts = 600
)

// Window names a span of time: its number times the length is its start in Unix time.
type Window int64

// WindowAt returns the window of a length in which t falls.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixMilli() / length.Milliseconds())
}

// End is when a window of a length ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// kept is how many windows of a length are kept.
func kept(length time.Duration) Window { return Window(keptFor/length) + 1 }

// Count is the runs of an account that began at one VM in one window.
type Count struct {
	Window  Window
	Account string
	Runs    int
}

// Question asks a VM for its counts.
type Question struct {
	// Incarnation and Revision say what the asker knows: all counts of that process as of
	// its revision.
	Incarnation int64
	Revision    uint64
	// Number is returned with the answer.
	Number uint64
}

// Answer holds counts that have changed since From, up to Revision.
type Answer struct {
	Incarnation int64
	From        uint64
	Revision    uint64
	Number      uint64
	// More says that there were more than fit.
	More   bool
	Counts []Count
}

// Counter counts the runs that began at this VM. It is safe for concurrent use.
type Counter struct {
	length      time.Duration
	incarnation int64

	mu       sync.Mutex
	revision uint64
	counts   map[countKey]*counted
	// newest is the latest window in which a run was counted.
	newest Window
}

type countKey struct {
	window  Window
	account string
}

type counted struct {
	runs int
	// revision is that of the last change.
	revision uint64
}

// NewCounter returns an empty counter for windows of a length. incarnation tells this process
// from those before it on the same VM.
func NewCounter(length time.Duration, incarnation int64) *Counter {
	return &Counter{length: length, incarnation: incarnation, counts: make(map[countKey]*counted)}
}

// Ran counts a run of an account that began at a time of day; an empty account is none.
func (c *Counter) Ran(account string, at time.Time) {
	if account == "" {
		return
	}
	key := countKey{WindowAt(at, c.length), account}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[key]
	if n == nil {
		if key.window > c.newest {
			c.newest = key.window
			c.forget(key.window - kept(c.length))
		}
		n = &counted{}
		c.counts[key] = n
	}
	c.revision++
	n.runs++
	n.revision = c.revision
}

// forget drops the windows up to last; the caller holds c.mu.
func (c *Counter) forget(last Window) {
	for key := range c.counts {
		if key.window <= last {
			delete(c.counts, key)
		}
	}
}

// Answer returns what has changed since what the question's sender knows, the oldest changes
// first.
func (c *Counter) Answer(q Question) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Answer{Incarnation: c.incarnation, Revision: c.revision, Number: q.Number}
	if q.Incarnation == c.incarnation {
		a.From = q.Revision
	}
	type change struct {
		Count
		revision uint64
	}
	var changes []change
	for key, n := range c.counts {
		if n.revision > a.From {
			changes = append(changes, change{Count{key.window, key.account, n.runs}, n.revision})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	if len(changes) > answerCounts {
		changes = changes[:answerCounts]
		a.Revision, a.More = changes[answerCounts-1].revision, true
	}
	for _, ch := range changes {
		a.Counts = append(a.Counts, ch.Count)
	}
	return a
}
