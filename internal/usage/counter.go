// Package usage counts the runs of client accounts in fixed windows of wall-clock time, gathers
// the counts of all VMs and reports each window to the platform once. A run is one request of a
// client account that a target has begun to run, or may have begun to run.
//
// The holder of the duty (see package duty) reports. It asks the other VMs for their counts in
// rounds of questions, and they reply: each question and each reply is one datagram. Once it has
// the counts of a window, it finalizes the window's report, that is, it stores the sums. Then it
// sends the report.
//
// Load pattern: hundreds of VMs each see a fraction of every account's requests. Some of them are
// killed, frozen or cut off, and the holder of the duty changes. The sums of a window are
// therefore stored before they are sent, so that any VM that sends them again sends the same
// sums.
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// retention is how long a VM keeps the counts of a window. No usage is lost in an outage of
	// the store or of the platform of up to this length.
	retention = 2 * time.Minute
	// maxReplyCounts bounds the counts in one reply, so that the reply fits into a datagram.
	maxReplyCounts = 600
)

// Window is the number of a window of time. A window starts, in Unix time, at its number times the
// window length.
type Window int64

// WindowAt returns the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixMilli() / length.Milliseconds())
}

// End returns the end of window w, for windows of the given length.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// retainedWindows returns how many windows of the given length are kept.
func retainedWindows(length time.Duration) Window { return Window(retention/length) + 1 }

// Count is the number of an account's runs that began at one VM in one window.
type Count struct {
	Window  Window
	Account string
	Runs    int
}

// Question asks a VM for its counts.
type Question struct {
	// Incarnation identifies a process of the asked VM, and Revision is the revision up to which
	// the sender already knows the counts of that process.
	Incarnation int64
	Revision    uint64
	// Number is the number of the round of questions. It is returned in the reply.
	Number uint64
}

// Reply holds the counts with which a VM replies to a Question: those of one process that have
// changed after revision From, up to Revision.
type Reply struct {
	// Incarnation identifies the process.
	Incarnation int64
	From        uint64
	Revision    uint64
	// Number is the Number of the question that this reply answers.
	Number uint64
	// More says that there are further changed counts, which did not fit.
	More   bool
	Counts []Count
}

// Counter counts the runs that begin at this VM. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration
	incarnation  int64

	// mu guards the fields below.
	mu sync.Mutex
	// revision increases with each counted run.
	revision uint64
	counts   map[countKey]*runCount
	// newestWindow is the latest window in which a run was counted.
	newestWindow Window
}

// countKey identifies one count of a process: the window and the account.
type countKey struct {
	window  Window
	account string
}

// runCount is the number of an account's runs in one window.
type runCount struct {
	runs int
	// revision is the counter's revision at the last change of runs.
	revision uint64
}

// NewCounter returns an empty counter for windows of the given length. The incarnation
// distinguishes this process from earlier ones on the same VM.
func NewCounter(length time.Duration, incarnation int64) *Counter {
	return &Counter{windowLength: length, incarnation: incarnation, counts: make(map[countKey]*runCount)}
}

// Ran counts a run of an account that began at the given time. It ignores runs of anonymous
// requests, whose account is empty.
func (c *Counter) Ran(account string, at time.Time) {
	if account == "" {
		return
	}
	key := countKey{WindowAt(at, c.windowLength), account}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[key]
	if n == nil {
		if key.window > c.newestWindow {
			c.newestWindow = key.window
			c.forget(key.window - retainedWindows(c.windowLength))
		}
		n = &runCount{}
		c.counts[key] = n
	}
	c.revision++
	n.runs++
	n.revision = c.revision
}

// forget drops the counts of all windows up to and including last. The caller must hold c.mu.
func (c *Counter) forget(last Window) {
	for key := range c.counts {
		if key.window <= last {
			delete(c.counts, key)
		}
	}
}

// Reply returns the reply to a question: the counts that have changed since the revision that the
// sender of the question knows, the oldest changes first, and at most maxReplyCounts of them.
func (c *Counter) Reply(q Question) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Reply{Incarnation: c.incarnation, Revision: c.revision, Number: q.Number}
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
	if len(changes) > maxReplyCounts {
		changes = changes[:maxReplyCounts]
		a.Revision, a.More = changes[maxReplyCounts-1].revision, true
	}
	for _, ch := range changes {
		a.Counts = append(a.Counts, ch.Count)
	}
	return a
}
