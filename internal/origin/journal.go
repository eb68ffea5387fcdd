package origin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// journalPrefix is the prefix of the keys of the journal's rows.
	journalPrefix = "streams/"
	// writeInterval times the number of collectors is the shortest time between two writes of one, so that
	// all together make at most 40 a second.
	writeInterval = 25 * time.Millisecond
	// readInterval is the shortest time between the beginnings of two reads of the journal.
	readInterval = 50 * time.Millisecond
	// sweepInterval is how often rows that are no longer needed are looked for.
	sweepInterval = 10 * time.Second
	// maxRowRecords is the number of records with which a row is full, and maxPending limits those that wait
	// to be written.
	maxRowRecords = 512
	maxPending    = 1 << 14
	// journalSlack is how much longer than its records a row is kept: callers' clocks start before the VMs'.
	journalSlack = 5 * time.Second
)

// JournalGroup tells which VMs write the journal, the collectors, and carries records and questions to them.
// Its methods are safe for concurrent use.
type JournalGroup interface {
	// Joined returns a channel that is closed once this VM knows the group. Before that its other methods must
	// not be called.
	Joined() <-chan struct{}
	// SendToCollector sends a record to the collector of this VM. It returns false if this VM is one itself.
	// It does not block, and the record may be lost.
	SendToCollector(r Record) bool
	// Collects reports whether this VM is a collector, and Collectors returns the number of them.
	Collects() bool
	Collectors() int
	// ReadsJournal reports whether this VM reads the journal itself. In a large group only collectors do.
	ReadsJournal() bool
	// AskCollector asks the collector of this VM for a record. It returns false if that does not find one, or
	// when ctx ends.
	AskCollector(ctx context.Context, k Key) (Origin, bool)
}

// Journal keeps in the store where streams began, for those whose records are lost with the VMs that had them.
// Records are written in batches, shortly after they are added, and are deleted once their streams can no longer
// be resumed. It is safe for concurrent use.
type Journal struct {
	kernel.Background
	table store.Table
	group JournalGroup
	log   *telemetry.Logger
	// writer is the prefix of the keys of this process's rows.
	writer string
	wake   chan struct{}
	reads  joinedRead

	mu sync.Mutex
	// pending holds the records to be written next, in the order in which they were added.
	pending []expiringRecord
	// stored holds the records of the last read.
	stored map[Key]Origin

	// The fields below are used by the writing goroutine only.
	row      journalRow
	rowKey   string
	rows     int
	obsolete map[string]obsoleteRow
}

// expiringRecord is a record that is kept until a time.
type expiringRecord struct {
	Record
	expiresAt time.Time
}

// obsoleteRow is a row that is to be deleted at a time, provided that it still has this version. The version is 0
// for a row of this process.
type obsoleteRow struct {
	at      time.Time
	version uint64
}

// NewJournal returns a Journal. writer identifies this process among all that ever write to table, the store.
func NewJournal(table store.Table, group JournalGroup, writer string, log *telemetry.Logger) *Journal {
	j := &Journal{table: table, group: group, log: log, writer: journalPrefix + writer + "/", wake: make(chan struct{}, 1), obsolete: make(map[string]obsoleteRow)}
	j.reads.wake = make(chan struct{}, 1)
	return j
}

// Start begins to write and read.
func (j *Journal) Start(context.Context) error {
	j.Run(j.runWrites, j.runReads)
	return nil
}

// Add has a record written by the collector of this VM, unless too many wait already. It does not block.
func (j *Journal) Add(r Record) {
	select {
	case <-j.group.Joined():
		if j.group.SendToCollector(r) {
			return
		}
	default:
	}
	j.mu.Lock()
	if len(j.pending) < maxPending {
		j.pending = append(j.pending, expiringRecord{r, clock.Now().Add(min(r.TTL, maxTTL))})
	}
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// runWrites writes records soon after they are added, and deletes obsolete rows.
func (j *Journal) runWrites(ctx context.Context) {
	if !j.awaitGroup(ctx) {
		return
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var delay time.Duration
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if delay > 0 {
			retry = time.After(delay)
		}
		select {
		case <-j.wake:
		case <-retry:
		case <-sweep.C:
			j.sweep(ctx)
			continue
		case <-ctx.Done():
			return
		}
		began := clock.Now()
		if err := j.flush(ctx); err != nil {
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
			j.log.Info(telemetry.EventStreamsNotStored, telemetry.F("cause", err))
			kernel.Sleep(ctx, delay)
			continue
		}
		delay = 0
		kernel.Sleep(ctx, time.Duration(j.group.Collectors())*writeInterval-clock.Since(began))
	}
}

// awaitGroup waits until this VM knows the group. It returns false if ctx ends before.
func (j *Journal) awaitGroup(ctx context.Context) bool {
	select {
	case <-j.group.Joined():
		return true
	case <-ctx.Done():
		return false
	}
}

// flush writes the pending records, or sends those to the collector that came before this VM knew the group.
func (j *Journal) flush(ctx context.Context) error {
	j.mu.Lock()
	batch := j.pending
	j.pending = nil
	j.mu.Unlock()
	for len(batch) > 0 && j.group.SendToCollector(batch[0].Record) {
		batch = batch[1:]
	}
	for len(batch) > 0 {
		n := min(len(batch), maxRowRecords)
		if err := j.write(ctx, batch[:n]); err != nil {
			j.mu.Lock()
			j.pending = append(batch, j.pending...)
			j.mu.Unlock()
			return err
		}
		batch = batch[n:]
	}
	return nil
}

// write adds records to the current row, or to a new one if that is full.
func (j *Journal) write(ctx context.Context, batch []expiringRecord) error {
	now := clock.Now()
	if j.rowKey == "" || j.row.count() >= maxRowRecords {
		j.beginRow()
	}
	next := j.row.with(batch, now)
	if next.count() == j.row.count() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The row is kept for its last record from now on, whatever becomes of the call.
	j.obsolete[j.rowKey] = obsoleteRow{at: now.Add(next.ttl() + journalSlack)}
	_, err := j.table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: j.rowKey, Value: next.encode()}}, Deletes: j.expiredOwn(now)})
	if err != nil {
		// A write that takes effect late must not replace a later state of the row.
		j.beginRow()
		return err
	}
	j.row = next
	return nil
}

// beginRow begins a new row.
func (j *Journal) beginRow() {
	j.rows++
	j.row, j.rowKey = journalRow{}, j.writer+strconv.Itoa(j.rows)
}

// joinedRead is a read that all calls wait for which came before it began.
type joinedRead struct {
	mu   sync.Mutex
	next *read
	wake chan struct{}
}

// Find returns where a stream began, or false if the journal does not tell. Every record that was in the store
// before the call is found.
func (j *Journal) Find(ctx context.Context, k Key) (Origin, bool) {
	if at, ok := j.lookUp(k); ok {
		return at, true
	}
	if !j.awaitGroup(ctx) {
		return Origin{}, false
	}
	if !j.group.ReadsJournal() {
		return j.group.AskCollector(ctx, k)
	}
	r := j.reads.join()
	select {
	case <-r.done:
	case <-ctx.Done():
		return Origin{}, false
	}
	return j.lookUp(k)
}

// lookUp returns what the last read tells of a stream.
func (j *Journal) lookUp(k Key) (Origin, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := j.stored[k]
	return at, at != (Origin{})
}

// join returns a read that has not begun yet.
func (j *joinedRead) join() *read {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next == nil {
		j.next = &read{done: make(chan struct{})}
	}
	r := j.next
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return r
}

// begin returns the read that calls wait for; later calls wait for the next one.
func (j *joinedRead) begin() *read {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.next
	j.next = nil
	return r
}

// runReads makes the reads that calls wait for.
func (j *Journal) runReads(ctx context.Context) {
	for {
		select {
		case <-j.reads.wake:
		case <-ctx.Done():
			return
		}
		if r := j.reads.begin(); r != nil {
			r.err = j.read(ctx)
			close(r.done)
		}
		kernel.Sleep(ctx, readInterval)
	}
}

// read reads all rows.
func (j *Journal) read(ctx context.Context) error {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := j.table.List(ctx, journalPrefix)
	if err != nil {
		j.log.Info(telemetry.EventStreamsNotRead, telemetry.F("cause", err))
		return err
	}
	stored := make(map[Key]Origin)
	for _, r := range rows {
		row, err := decodeJournalRow(r.Value)
		if err != nil {
			j.log.BadRow(r.Key, r.Version, err)
			continue
		}
		row.addTo(stored)
	}
	j.mu.Lock()
	j.stored = stored
	j.mu.Unlock()
	j.log.Info(telemetry.EventStreamsRead, telemetry.F("rows", len(rows)), telemetry.F("streams", len(stored)), telemetry.F("ms", clock.Since(began).Milliseconds()))
	return nil
}
