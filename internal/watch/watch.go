// Package watch keeps a local copy of tables in the store. It lists a table once and then follows
// its changes by long polling. While the store is unreachable, the last state stays in use. In a
// large group only a few VMs, the sentinels, long-poll the store. They forward changes to the
// other VMs, which call the store only for what they have missed.
package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// sentinelWait is the long-poll timeout of a sentinel. A call on a dead connection fails one
	// call timeout after it, so this limits how long the end of a network cut can go unnoticed.
	sentinelWait = 2 * time.Second
	// followerWait is the long-poll timeout of other VMs, which sentinels inform of changes.
	followerWait = 20 * time.Second
	// pollWait is the timeout of a poll, a call that does not wait for changes. Idle VMs poll
	// only for what they have missed. Any VM polls after a failed call: in a long poll, a
	// connection that has gone silent would make the store appear unreachable for the whole
	// timeout. Some stores take zero as no timeout.
	pollWait = time.Millisecond
	// callGapPerVM times the number of VMs in the group is the least time between two calls of
	// one VM. Changes in quick succession are read in one call, and the number of calls of all
	// VMs together does not grow with the group.
	callGapPerVM = 6 * time.Millisecond
	// maxCallGap keeps the delay of changes well within the two seconds allowed.
	maxCallGap = 400 * time.Millisecond
	// pollGap is the least time between two polls for newer rows of other VMs: versions in quick succession are read in one call.
	// Together with the grace period of reports and a sentinel's own
	// call gap, a change still takes less than the two seconds that the strictest installation
	// allows.
	pollGap = 800 * time.Millisecond
	// joinWait is how long the first call waits until the members of the group are known. It
	// exceeds the time over which the VMs of a starting group register.
	joinWait = 3 * time.Second
	// Backoff between failed calls. A process that has just lost the store retries soon, one that
	// has waited for long retries less often.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Apply applies rows to the local state. If full is true, the rows are the whole table, otherwise
// its changes.
type Apply func(rows store.Rows, full bool)

// Table is the local copy of one table. Its exported methods are safe for concurrent use.
type Table struct {
	kernel.Background
	feed  store.Feed
	name  string
	apply Apply
	log   *telemetry.Logger
	link  *Link
	group Group

	// revision is the newest applied revision, and lastChange the revision at which the table
	// last changed or was listed: no row has changed between the two. Only followLoop uses
	// revision, lastChange and listed.
	revision   uint64
	lastChange uint64
	listed     bool
	// newest is the highest version of an applied row.
	newest atomic.Uint64
	// sharedRevision is revision, for use by other goroutines.
	sharedRevision atomic.Uint64

	// listOnPoll says that polls list the table, see SetListOnPoll.
	listOnPoll bool

	// offers are the changes that sentinels have forwarded. wake signals that a poll is due.
	offers chan store.Delta
	wake   chan struct{}

	mu sync.Mutex
	// cancel cancels the long poll in progress, if any. interrupted says that it was cancelled in
	// order to poll.
	cancel      context.CancelFunc
	interrupted bool
	// wantedVersion is the highest version that another VM is known to have read. nextPoll is
	// when the next poll for it may be made.
	wantedVersion uint64
	nextPoll      time.Time
	// asOf is a time at which this copy held all rows of the store. readAt is the same by the
	// store's answers to this VM only.
	asOf   time.Time
	readAt time.Time
	// asOfStoreTime is asOf, and readStoreTime readAt, on the store's clock. lastCallBegan is
	// when the last answered call began; it replaces asOfStoreTime if the store states no clock.
	asOfStoreTime time.Duration
	readStoreTime time.Duration
	lastCallBegan time.Time
	// aheadVersion is the highest version of another VM's copy that this copy has not reached.
	// aheadAsOf is the latest asOf of such copies, and aheadSince when the first such version was
	// reported.
	aheadVersion uint64
	aheadAsOf    time.Time
	aheadSince   time.Time
	// confirmed, if not nil, is closed when asOf advances.
	confirmed chan struct{}
	// confirm says that a caller waits for that. nextConfirm is when the next poll for callers
	// may be made.
	confirm     bool
	nextConfirm time.Time
}

// Group is the set of VMs that follow the same store.
type Group interface {
	// Joined returns a channel that is closed once the members of the group are known.
	Joined() <-chan struct{}
	// Sentinel returns whether this VM is one of the few that long-poll the store with a short
	// timeout.
	Sentinel() bool
	// Size returns the number of VMs.
	Size() int
	// ForwardsChanges returns whether sentinels forward the changes that they read, so that other VMs
	// need not call the store.
	ForwardsChanges() bool
	// Publish forwards changes of a table to other VMs if this VM is a sentinel and the group
	// forwards changes.
	Publish(table string, d store.Delta)
}

// NewTable returns a Table that follows the store's table of the given name. All tables of one
// store share a link. apply is called from one goroutine.
func NewTable(feed store.Feed, name string, link *Link, group Group, apply Apply,
	log *telemetry.Logger) *Table {
	return &Table{
		feed: feed, name: name, link: link, group: group, apply: apply, log: log,
		offers: make(chan store.Delta, maxOffers), wake: make(chan struct{}, 1),
	}
}

// SetListOnPoll makes polls list the whole table. It is meant for tables of few, large rows: changes
// contain every version of a row, and on a narrow link several versions take longer to transfer
// than a change may take. It must be called before Start.
func (t *Table) SetListOnPoll() { t.listOnPoll = true }

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Newest returns the highest version of an applied row.
func (t *Table) Newest() uint64 { return t.newest.Load() }

// NotifyNewer reports that another VM has read a row of the given version. If this copy has not reached
// it, the table polls as soon as pollGap allows. A long poll is cancelled, because it may be on a
// dead connection; a poll is not, because it ends by itself.
func (t *Table) NotifyNewer(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wantedVersion = max(t.wantedVersion, version)
	if t.pollDueLocked() {
		t.triggerPoll()
	}
}

// triggerPoll wakes the loop for a poll and cancels a long poll in progress. The caller must hold
// t.mu.
func (t *Table) triggerPoll() {
	if t.cancel != nil {
		t.interrupted = true
		t.cancel()
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// pollDueLocked is pollDue for callers that hold t.mu.
func (t *Table) pollDueLocked() bool {
	return t.confirm || (t.wantedVersion > t.sharedRevision.Load() && !clock.Now().Before(t.nextPoll))
}

// pollDue returns whether the next call must be a poll: for a newer version of other VMs, or for
// callers of Confirm.
func (t *Table) pollDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pollDueLocked()
}

// beginCall returns pollDue for the call that now begins, and clears confirm: callers of Confirm
// that come later need another call.
func (t *Table) beginCall() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	poll := t.pollDueLocked()
	t.confirm = false
	return poll
}

// polled records that a poll has been answered.
func (t *Table) polled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextPoll = clock.Now().Add(pollGap)
}

// longPoll makes one call that waits for changes. triggerPoll can cancel it.
func (t *Table) longPoll(ctx context.Context, f func(ctx context.Context) (store.Rows, error)) (store.Rows, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.cancel = cancel
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.cancel = nil
		t.mu.Unlock()
	}()
	return f(ctx)
}

// takeInterrupted returns and clears interrupted.
func (t *Table) takeInterrupted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	interrupted := t.interrupted
	t.interrupted = false
	return interrupted
}

// setRevision records that all changes up to a revision have been applied.
func (t *Table) setRevision(revision uint64) {
	t.revision = revision
	t.sharedRevision.Store(revision)
}

// raiseNewest raises newest to the highest version of the rows.
func (t *Table) raiseNewest(rows store.Rows) {
	for _, r := range rows.Rows {
		if r.Version > t.newest.Load() {
			t.newest.Store(r.Version)
		}
	}
}

// Start starts to follow the table in the background.
func (t *Table) Start(context.Context) error {
	t.Run(t.followLoop)
	return nil
}

// awaitGroup waits until the members of the group are known, at most for joinWait, so that only
// the group's sentinels watch the store. Without it every VM would take itself for a sentinel. If
// the members cannot be listed, the VM goes on by itself.
func (t *Table) awaitGroup(ctx context.Context) {
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-t.group.Joined():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followLoop lists the table and follows its changes until ctx ends.
func (t *Table) followLoop(ctx context.Context) {
	t.awaitGroup(ctx)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstBackoff, maxBackoff
	for ctx.Err() == nil {
		if t.listed && t.idle() {
			t.waitForOffer(ctx)
			continue
		}
		t.applyOffers()
		poll := t.beginCall()
		began := clock.Now()
		err := t.callStore(ctx, poll || !t.watchesStore())
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.Reset()
			t.link.up(t.name)
			if poll {
				t.polled()
			}
			kernel.Sleep(ctx, min(maxCallGap, time.Duration(t.group.Size())*callGapPerVM))
			continue
		}
		interrupted := t.takeInterrupted()
		t.log.Info(telemetry.EventStoreCallFailed, telemetry.F("table", t.name),
			telemetry.F("after", t.revision),
			telemetry.F("ms", clock.Since(began).Milliseconds()), telemetry.F("renewed", interrupted),
			telemetry.F("cause", err))
		if interrupted {
			continue
		}
		t.link.down(t.name, began, err)
		kernel.Sleep(ctx, wait.NextBackOff())
	}
}

// errStale is returned when a read returns a revision older than one already applied.
var errStale = errors.New("watch: the store returned an older revision than the one already applied")

// callStore makes one call and applies its answer: a poll if poll is true, otherwise a long poll.
// It lists the table if that has not been done yet, or if polls list it.
func (t *Table) callStore(ctx context.Context, poll bool) error {
	if !t.listed || (poll && t.listOnPoll) {
		return t.list(ctx)
	}
	began := clock.Now()
	rows, err := t.changes(ctx, poll)
	if errors.Is(err, store.ErrHistoryGone) {
		t.log.Warn(telemetry.EventHistoryGone, telemetry.F("table", t.name),
			telemetry.F("revision", t.revision))
		t.listed = false
		return t.list(ctx)
	}
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	from := t.lastChange
	if len(rows.Rows) > 0 {
		t.lastChange = rows.Revision
		t.raiseNewest(rows)
		t.apply(rows, false)
	}
	t.setRevision(rows.Revision)
	t.recordAnswer(rows, began)
	if len(rows.Rows) > 0 {
		t.publish(from, rows)
	}
	return nil
}

// changes calls the store for changes. After a failed call it does not wait for one, so that the
// next answer shows whether the store is back.
func (t *Table) changes(ctx context.Context, poll bool) (store.Rows, error) {
	if poll || t.link.isDown(t.name) {
		return t.feed.Changes(ctx, t.name, t.revision, pollWait)
	}
	wait := followerWait
	if t.group.Sentinel() {
		wait = sentinelWait
	}
	return t.longPoll(ctx, func(ctx context.Context) (store.Rows, error) {
		return t.feed.Changes(ctx, t.name, t.revision, wait)
	})
}

// watchesStore returns whether this VM long-polls the store itself.
func (t *Table) watchesStore() bool { return t.group.Sentinel() || !t.group.ForwardsChanges() }

// list reads and applies the whole table.
func (t *Table) list(ctx context.Context) error {
	began := clock.Now()
	rows, err := t.feed.ListRows(ctx, t.name)
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	t.listed, t.lastChange = true, rows.Revision
	t.raiseNewest(rows)
	t.apply(rows, true)
	t.setRevision(rows.Revision)
	t.recordAnswer(rows, began)
	return nil
}

// recordAnswer records the time of an answer that has been applied. began is when its call began.
func (t *Table) recordAnswer(rows store.Rows, began time.Time) {
	at := began
	if rows.StoreTime > 0 {
		at = t.link.clock.observe(rows.StoreTime, began, clock.Now())
		t.raiseStoreTime(rows.StoreTime)
	}
	t.mu.Lock()
	if at.After(t.readAt) {
		t.readAt = at
	}
	if rows.StoreTime < t.readStoreTime {
		// The store's clock has been set back.
		t.asOfStoreTime = rows.StoreTime
	}
	t.readStoreTime = rows.StoreTime
	t.lastCallBegan = began
	t.mu.Unlock()
	t.raiseAsOf(at)
}
