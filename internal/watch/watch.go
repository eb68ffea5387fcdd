// Package watch keeps local copies of tables in the store. It reads a table once and then follows
// its changes by long polling. While the store is unreachable, the last state stays in use. In a
// large group only a few VMs, the sentinels, long-poll the store. They forward changes to the other
// VMs, which are idle: they call the store only for changes that they have missed.
//
// A copy is confirmed when a response of the store, or the report of another VM, shows that it
// holds all rows of the store as of some time.
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
	// call timeout after sentinelWait, so sentinelWait limits how long the end of a network outage
	// can go unnoticed.
	sentinelWait = 2 * time.Second
	// followerWait is the long-poll timeout of VMs that are not sentinels. Sentinels inform them of
	// changes.
	followerWait = 20 * time.Second
	// pollWait is the timeout of a poll, a call that does not wait for changes. Idle VMs poll
	// only for what they have missed. Any VM polls after a failed call: in a long poll, a
	// connection that has gone silent would make the store appear unreachable for the whole
	// timeout. pollWait is not zero, because some stores take zero as no timeout.
	pollWait = time.Millisecond
	// callGapPerVM times the number of VMs in the group is the minimum time between two calls of
	// one VM, up to maxCallGap. Changes in quick succession are read in one call, and the number
	// of calls of all VMs together does not grow with the group.
	callGapPerVM = 6 * time.Millisecond
	// maxCallGap is the upper limit of the minimum time between two calls of one VM, so that
	// changes are read well within the two seconds allowed.
	maxCallGap = 400 * time.Millisecond
	// pollGap is the minimum time between two polls for newer rows that other VMs have read, and
	// between two polls for callers of Confirm. Versions in quick succession are read in one call.
	// Including the time for which package peers waits before it calls NotifyNewer, and a
	// sentinel's own call gap, a change still takes less than the two seconds that the strictest
	// installation allows.
	pollGap = 800 * time.Millisecond
	// joinWait is how long the first call waits until the members of the group are known. It
	// exceeds the time over which the VMs of a starting group register, also if some have to try
	// again. A VM that does not know the others would read the store on behalf of all.
	joinWait = 5 * time.Second
	// firstBackoff is the pause after the first failed call. maxBackoff is the longest pause
	// between retries. A process that has just lost the store retries soon, and a process that has
	// retried for long retries less often.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Apply applies rows to the local state. If full is true, the rows are the whole table, otherwise
// they are changes of it.
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

	// revision is the newest applied revision of the store. lastChange is the revision at which the
	// table last changed or was read whole. No row has changed between lastChange and revision.
	// listed is true once the whole table has been read. It becomes false when the store no longer
	// keeps the changes since revision. Only followLoop uses these fields.
	revision   uint64
	lastChange uint64
	listed     bool
	// more is true if the last response did not hold all changes. Only followLoop uses it.
	more bool
	// newest is the highest version of an applied row, and keys holds the keys of the usable rows.
	// Only followLoop uses them.
	newest uint64
	keys   keySet
	// shared is a copy of the fields above for use by other goroutines.
	shared atomic.Pointer[progress]

	// listOnPoll says that polls read the whole table, see SetListOnPoll.
	listOnPoll bool

	// usable returns whether the row with a key can be used, see SetUsable.
	usable func(key string) bool

	// copier copies the table from other VMs, and applyCopy applies such a copy; see SetCopier.
	copier    Copier
	applyCopy ApplyCopy

	// forwarded queues the changes that sentinels have forwarded. wake signals that a poll is due.
	forwarded chan store.Delta
	wake      chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// cancel cancels the long poll in progress, if any. interrupted says that a long poll was
	// cancelled in order to poll.
	cancel      context.CancelFunc
	interrupted bool
	// wantedRevision is the highest revision that NotifyNewer has reported. nextPoll is when the next
	// poll for it may be made.
	wantedRevision uint64
	nextPoll       time.Time
	// asOf and readAt are the results of AsOf and ReadAt.
	asOf   time.Time
	readAt time.Time
	// asOfStoreTime and readStoreTime are the store's clock readings at asOf and readAt.
	// lastCallBegan is the start time of the last call to which the store responded. It is used
	// instead of asOfStoreTime if the responses state no clock reading.
	asOfStoreTime time.Duration
	readStoreTime time.Duration
	lastCallBegan time.Time
	// aheadRevision is the highest revision that another VM has reported to ObservePeer and that
	// this copy had not reached then. aheadAsOf is the latest asOf of such reports, and aheadSince
	// when the first of them arrived.
	aheadRevision uint64
	aheadAsOf     time.Time
	aheadSince    time.Time
	// confirmed, if not nil, is closed when asOf advances.
	confirmed chan struct{}
	// confirm says that a poll for callers of Confirm is due. nextConfirm is when the next such
	// poll may be requested.
	confirm     bool
	nextConfirm time.Time
	// unchanged is the last finding that another VM's copy, of a later revision, holds the same rows.
	unchanged unchangedRange
}

// progress is how far a copy has been read: it holds all rows as of revision, and position is what it
// states to other VMs.
type progress struct {
	revision uint64
	position store.Position
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
	// ForwardsChanges returns whether sentinels forward the changes that they read, so that other
	// VMs need not call the store.
	ForwardsChanges() bool
	// Publish forwards changes of a table to other VMs if this VM is a sentinel and the group
	// forwards changes.
	Publish(table string, d store.Delta)
}

// NewTable returns a Table that follows the store's table of the given name once it is started. All
// tables of one store share a link. apply is called from one goroutine.
func NewTable(feed store.Feed, name string, link *Link, group Group, apply Apply,
	log *telemetry.Logger) *Table {
	t := &Table{
		feed: feed, name: name, link: link, group: group, apply: apply, log: log, keys: newKeySet(nil),
		usable:    func(string) bool { return true },
		forwarded: make(chan store.Delta, maxForwarded), wake: make(chan struct{}, 1),
	}
	t.setRevision(0)
	return t
}

// SetListOnPoll makes polls read the whole table instead of its changes. It is meant for tables of
// few, large rows: changes contain every version of a row, and on a narrow link several versions
// take longer to transfer than a change may take. It must be called before Start.
func (t *Table) SetListOnPoll() { t.listOnPoll = true }

// SetUsable sets the function that returns whether the row with a key, which has been applied, can be used.
// Without it all rows count as usable. Copies of other VMs hold no others, so that they do not count in
// comparisons. It must be called before Start.
func (t *Table) SetUsable(usable func(key string) bool) { t.usable = usable }

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Position returns how far this copy of the table has been read.
func (t *Table) Position() store.Position { return t.shared.Load().position }

// sharedRevision returns the newest applied revision of the store.
func (t *Table) sharedRevision() uint64 { return t.shared.Load().revision }

// NotifyNewer tells the table that another VM's copy, of the given revision, holds other rows. If this
// copy has not reached that revision, the table polls as soon as pollGap allows. For this it cancels a
// long poll in progress, which may be on a dead connection. It does not cancel a poll, which ends soon
// in any case.
func (t *Table) NotifyNewer(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wantedRevision = max(t.wantedRevision, revision)
	if t.pollDueLocked() {
		t.triggerPoll()
	}
}

// triggerPoll wakes followLoop for a poll and cancels a long poll in progress. The caller must hold
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

// pollDueLocked is like pollDue, but the caller must hold t.mu.
func (t *Table) pollDueLocked() bool {
	return t.confirm || (t.wantedRevision > t.sharedRevision() && !clock.Now().Before(t.nextPoll))
}

// pollDue returns whether the next call must be a poll: for newer rows that another VM has read, or
// for callers of Confirm.
func (t *Table) pollDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pollDueLocked()
}

// beginCall returns whether the call that now begins must be a poll, and whether callers of Confirm
// wait for it. It clears t.confirm, because later callers of Confirm need another call.
func (t *Table) beginCall() (poll, confirm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	poll, confirm = t.pollDueLocked(), t.confirm
	t.confirm = false
	return poll, confirm
}

// recordPoll records that the store has responded to a poll.
func (t *Table) recordPoll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextPoll = clock.Now().Add(pollGap)
}

// longPoll calls f, which waits for changes. triggerPoll can cancel the call.
func (t *Table) longPoll(ctx context.Context,
	f func(ctx context.Context) (store.Rows, error)) (store.Rows, error) {
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

// setRevision records that all changes up to the given revision have been applied. Only followLoop
// may call it.
func (t *Table) setRevision(revision uint64) {
	t.revision = revision
	t.shared.Store(&progress{revision: revision,
		position: store.Position{Revision: t.lastChange, Newest: t.newest, KeySum: t.keys.sum}})
}

// applyChanges applies changes up to rows.Revision. Only followLoop may call it.
func (t *Table) applyChanges(rows store.Rows) {
	t.lastChange = rows.Revision
	t.apply(rows, false)
	for _, r := range rows.Rows {
		t.newest = max(t.newest, r.Version)
		if !r.Removed && t.usable(r.Key) {
			t.keys.add(r.Key)
		} else {
			t.keys.remove(r.Key)
		}
	}
	t.setRevision(rows.Revision)
}

// Start starts to follow the table in the background. It never fails.
func (t *Table) Start(context.Context) error {
	t.Run(t.followLoop)
	return nil
}

// awaitGroup waits until the members of the group are known, but not longer than joinWait. Until
// then every VM takes itself for a sentinel, and all would watch the store. After joinWait the VM
// starts to watch the store without knowing the other members.
func (t *Table) awaitGroup(ctx context.Context) {
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-t.group.Joined():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followLoop reads the table and follows its changes until ctx ends.
func (t *Table) followLoop(ctx context.Context) {
	t.awaitGroup(ctx)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstBackoff, maxBackoff
	for ctx.Err() == nil {
		if t.listed && t.idle() {
			t.waitForForwarded(ctx)
			continue
		}
		t.applyAllForwarded()
		if t.copyFromPeers(ctx) {
			continue
		}
		poll, confirm := t.beginCall()
		began := clock.Now()
		err := t.callStore(ctx, poll || !t.watchesStore(), confirm)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.Reset()
			t.link.recordSuccess(t.name)
			if poll {
				t.recordPoll()
			}
			if t.more {
				continue
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
		t.link.recordFailure(t.name, began, err)
		kernel.Sleep(ctx, wait.NextBackOff())
	}
}

// errStale is the error of a call to which the store responds with an older revision than this copy
// has already applied.
var errStale = errors.New("watch: the store returned an older revision than the one already applied")

// callStore makes one call to the store and applies the response. The call is a poll if poll is
// true, otherwise a long poll. It reads the whole table if that has not been done yet, if the call
// is a poll of a table with SetListOnPoll, or if the store no longer keeps the changes since the
// last revision that was applied and no other VM has a copy. confirm says that the store is to confirm
// the copy, which a copy of another VM does not.
func (t *Table) callStore(ctx context.Context, poll, confirm bool) error {
	if !t.listed || (poll && t.listOnPoll) {
		return t.list(ctx)
	}
	began := clock.Now()
	rows, err := t.changes(ctx, poll)
	if errors.Is(err, store.ErrHistoryGone) {
		t.log.Warn(telemetry.EventHistoryGone, telemetry.F("table", t.name),
			telemetry.F("revision", t.revision))
		t.listed = false
		if !confirm && t.copyFromPeers(ctx) {
			return nil
		}
		return t.list(ctx)
	}
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	from := t.lastChange
	t.more = rows.More
	if len(rows.Rows) > 0 {
		t.applyChanges(rows)
	}
	t.setRevision(rows.Revision)
	if !rows.More {
		t.recordResponse(rows, began)
	}
	if len(rows.Rows) > 0 {
		t.publish(store.Delta{From: from, Rows: rows})
	}
	return nil
}

// changes calls the store for changes. The call is a poll if poll is true, and also if the last
// call failed, so that the response shows at once whether the store is reachable again. Otherwise
// it is a long poll.
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

// list reads and applies the whole table. If this VM had a copy already, list forwards what has changed
// in it: the changes themselves, among them removals, can no longer be read by others.
func (t *Table) list(ctx context.Context) error {
	began := clock.Now()
	rows, err := t.feed.ListRows(ctx, t.name)
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	d := store.Delta{From: t.lastChange, Until: t.revision, Rows: store.Rows{Revision: rows.Revision}}
	if t.revision > 0 {
		d.Rows.Rows = t.keys.difference(rows, t.revision)
	}
	t.listed, t.lastChange, t.more = true, rows.Revision, false
	for _, r := range rows.Rows {
		t.newest = max(t.newest, r.Version)
	}
	t.apply(rows, true)
	t.keys = newKeySet(keysOf(rows.Rows, t.usable))
	t.setRevision(rows.Revision)
	t.recordResponse(rows, began)
	if len(d.Rows.Rows) > 0 {
		t.publish(d)
	}
	return nil
}

// recordResponse records that this copy, to which a response has been applied, held all rows of the
// store when the store made the response. If the response states no clock reading, began, the start
// time of the call, is used as that time.
func (t *Table) recordResponse(rows store.Rows, began time.Time) {
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
