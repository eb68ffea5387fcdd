package origin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/store"
)

// journalOf returns the journal of the first VM of a group of n, and the store.
func journalOf(t *testing.T, n int) (*Journal, *store.Memory) {
	t.Helper()
	w := newWorld(t, n, 1)
	t.Cleanup(func() {
		for _, v := range w.vms {
			v.stop()
		}
	})
	j := w.vms[0].journal
	j.table = w.memory
	return j, w.memory
}

// stored returns what the rows of the journal tell.
func stored(t *testing.T, table store.Table) (streams map[Key]Origin, rows int) {
	t.Helper()
	records, err := table.List(context.Background(), journalPrefix)
	if err != nil {
		t.Fatal(err)
	}
	streams = make(map[Key]Origin)
	for _, r := range records {
		row, err := decodeJournalRow(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		row.addTo(streams)
	}
	return streams, len(records)
}

// recordOf returns a record of the n-th stream.
func recordOf(n int, ttl time.Duration) Record {
	return Record{Key: KeyOf(fmt.Sprint("q", n)), Origin: Origin{Service: testService, Version: "v1"}, TTL: ttl}
}

// Rows are deleted once their streams can no longer be resumed, those of processes that have ended too.
func TestJournalDoesNotGrow(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j, memory := journalOf(t, 1)
	dead := NewJournal(memory, j.group, "dead/1", j.log)
	dead.Add(recordOf(0, time.Second))
	is.NoErr(dead.flush(ctx))
	for i := range 3 * maxRowRecords {
		j.Add(recordOf(1+i, time.Second))
		if i%100 == 0 {
			is.NoErr(j.flush(ctx))
		}
	}
	is.NoErr(j.flush(ctx))
	streams, rows := stored(t, memory)
	is.Equal(len(streams), 1+3*maxRowRecords)
	is.True(rows <= 6)

	j.sweep(ctx)
	_, kept := stored(t, memory)
	is.Equal(kept, rows) // the streams may still be resumed
	for key, o := range j.obsolete {
		o.at = clock.Now()
		j.obsolete[key] = o
	}
	j.sweep(ctx)
	_, kept = stored(t, memory)
	is.Equal(kept, 0)
	is.Equal(len(j.obsolete), 0)
	j.Add(recordOf(1, time.Second))
	is.NoErr(j.flush(ctx))
	streams, _ = stored(t, memory)
	is.Equal(len(streams), 1)
}

// A row of another process that is written again is kept for its streams.
func TestJournalKeepsRowsInUse(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j, memory := journalOf(t, 1)
	other := NewJournal(memory, j.group, "other/1", j.log)
	other.Add(recordOf(0, time.Second))
	is.NoErr(other.flush(ctx))
	is.NoErr(j.read(ctx))
	j.sweep(ctx)
	for key, o := range j.obsolete {
		is.True(strings.HasPrefix(key, other.writer))
		o.at = clock.Now()
		j.obsolete[key] = o
	}
	other.Add(recordOf(1, time.Second))
	is.NoErr(other.flush(ctx))
	j.sweep(ctx)
	streams, _ := stored(t, memory)
	is.Equal(len(streams), 2)
}

// A write that takes effect late does not take away what was written after it.
func TestLateJournalWriteLosesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j, memory := journalOf(t, 1)
	j.Add(recordOf(0, time.Minute))
	memory.SetFault(store.FaultLateWrites)
	is.True(j.flush(ctx) != nil)
	memory.SetFault(store.FaultNone)
	j.Add(recordOf(1, time.Minute))
	is.NoErr(j.flush(ctx))
	memory.RunLate()
	streams, _ := stored(t, memory)
	is.Equal(len(streams), 2)
}

// Streams wait while the store is down, up to a limit, and those that can no longer be resumed are not written.
func TestJournalWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j, memory := journalOf(t, 1)
	memory.SetFault(store.FaultDown)
	j.Add(recordOf(0, time.Nanosecond))
	for i := range maxPending + 10 {
		j.Add(recordOf(1+i, time.Minute))
	}
	is.True(j.flush(ctx) != nil)
	memory.SetFault(store.FaultNone)
	is.NoErr(j.flush(ctx))
	streams, _ := stored(t, memory)
	is.Equal(len(streams), maxPending-1)
}

// Two records of one stream with different origins tell nothing.
func TestContradictoryJournalTellsNothing(t *testing.T) {
	is := is.New(t)
	j, _ := journalOf(t, 1)
	r := recordOf(0, time.Minute)
	j.Add(r)
	r.Version = "v2"
	j.Add(r)
	is.NoErr(j.flush(context.Background()))
	_, ok := j.Find(context.Background(), r.Key)
	is.True(!ok)
}

// A stream that was announced at a version is known at it, and one of a service with a single version is not
// announced.
func TestOnlyStreamsOfSeveralVersionsAreAnnounced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	v := w.vms[0]
	defer v.stop()
	at := Origin{Service: testService, Version: "v1"}
	is.True(!v.origins.Announce("q1", at, time.Minute))
	w.versions = append(w.versions, "v2")
	w.spread()
	is.True(v.origins.Announce("q2", at, time.Minute))
	w.flush()
	v.start()
	w.spread()
	got, source := v.origins.Find(context.Background(), "q2", []string{testService})
	is.Equal(source, SourceStored)
	is.Equal(got, at)
}

// slowTable is a store that takes as long for a write as the users' platform does.
type slowTable struct{ store.Table }

// Commit implements store.Table.
func (s slowTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	time.Sleep(8 * time.Millisecond)
	return s.Table.Commit(ctx, txn)
}

// manyCollectors is a group of one VM in one of six data centres.
type manyCollectors struct{ *testVM }

// Collectors implements JournalGroup.
func (manyCollectors) Collectors() int { return 6 }

// Guards against short streams that break off before they are in the store: with six data centres 125 of 279 went
// on after all VMs were killed.
func TestShortStreamsAreStoredInTime(t *testing.T) {
	is := is.New(t)
	const lives, gap, samples = 200 * time.Millisecond, 5 * time.Millisecond, 400
	w := newWorld(t, 1, 1)
	defer w.vms[0].stop()
	j := NewJournal(slowTable{w.memory}, manyCollectors{w.vms[0]}, "vm-0/short", w.vms[0].journal.log)
	is.NoErr(j.Start(context.Background()))
	defer func() { is.NoErr(j.Stop(context.Background())) }()
	open, known := 0, 0
	for i := range samples {
		j.Add(recordOf(i, time.Minute))
		time.Sleep(gap)
		if i%20 != 19 {
			continue
		}
		streams, _ := stored(t, w.memory)
		for n := max(i-int(lives/gap), 0); n <= i; n++ {
			open++
			if _, ok := streams[recordOf(n, 0).Key]; ok {
				known++
			}
		}
	}
	t.Logf("%d of %d open streams are in the store", known, open)
	is.True(10*known >= 9*open)
}
