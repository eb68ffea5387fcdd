package watch_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/watch"
)

// newFleet returns a fleet whose target entries hold the target's start time.
func newFleet() (*watch.Fleet, *fleet.Keeper) {
	k := fleet.NewKeeper()
	d := watch.Decoder{Target: func(id string, value []byte) (*fleet.Target, error) {
		var e struct{ Born int64 }
		if err := json.Unmarshal(value, &e); err != nil {
			return nil, errors.Wrap(err, "decode")
		}
		return &fleet.Target{ID: id, Service: "s", Born: e.Born, Run: fleet.RunID(id, e.Born)}, nil
	}}
	return watch.NewFleet(k, d, watch.NewLink(telemetry.Discard()), telemetry.Discard()), k
}

// entryRows returns the row of one target, written at the given revision.
func entryRows(id string, value string, revision uint64) store.Rows {
	return store.Rows{Revision: revision, Rows: []store.Row{{Key: id, Value: []byte(value),
		Version: revision}}}
}

// entryValue returns the entry of a target that started at born.
func entryValue(born int64) string { return fmt.Sprintf(`{"Born":%d}`, born) }

// If a target is restarted, the entry of its later run is used, whichever entry is applied last.
func TestEntryOfTheLaterRunIsUsed(t *testing.T) {
	is := is.New(t)
	f, k := newFleet()
	f.ApplyTargets(entryRows("i", entryValue(100), 1), true)
	f.ApplyTargets(entryRows("i", entryValue(200), 2), false)
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryRows("i", entryValue(100), 3), false) // a delayed write of the earlier run
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryRows("i", entryValue(100), 4), true)
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryRows("i", entryValue(300), 5), true)
	is.Equal(k.Target("i").RunID(), fleet.RunID("i", 300))
}

// An entry that cannot be decoded removes its target, both as a change and in a read of the whole
// table. The other targets stay, and the target returns with its next valid entry.
func TestInvalidEntryRemovesTarget(t *testing.T) {
	for _, full := range []bool{false, true} {
		is := is.New(t)
		f, k := newFleet()
		valid := store.Rows{Revision: 1, Rows: []store.Row{{Key: "a", Value: []byte(entryValue(1))},
			{Key: "b", Value: []byte(entryValue(1))}}}
		f.ApplyTargets(valid, true)
		invalid := store.Rows{Revision: 2, Rows: []store.Row{{Key: "a", Value: []byte("\xff{")},
			{Key: "b", Value: []byte(entryValue(1))}, {Key: "c", Value: nil}}}
		f.ApplyTargets(invalid, full)
		is.Equal(k.TargetIDs(), []string{"b"})
		f.ApplyTargets(entryRows("a", entryValue(1), 3), false)
		is.Equal(len(k.TargetIDs()), 2)
	}
}

// Guards against a living target whose entries are dropped for good as those of an earlier run, its "draining" among them:
// another program has written an entry under its id that says that it starts far in the future.
func TestEntryFromTheFutureIsReplaced(t *testing.T) {
	now := time.Now().UnixMilli()
	for name, odd := range map[string]int64{"the largest number": math.MaxInt64, "the year 2100": 4102444800000, "an hour ahead": now + 3600_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, k := newFleet()
			f.ApplyTargets(entryRows("i", entryValue(now), 1), true)
			f.ApplyTargets(entryRows("i", entryValue(odd), 2), false)
			f.ApplyTargets(entryRows("i", entryValue(now), 3), false)
			is.Equal(k.Target("i").Born, now)
			f.ApplyTargets(entryRows("i", entryValue(now-1000), 4), false) // a delayed write of the earlier run
			is.Equal(k.Target("i").Born, now)
		})
	}
}

// A row that cannot be decoded is logged once, however often the table is read whole, and again when it was written
// again.
func TestInvalidEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := watch.Decoder{Target: func(string, []byte) (*fleet.Target, error) { return nil, errors.New("odd") }}
	f := watch.NewFleet(fleet.NewKeeper(), d, watch.NewLink(telemetry.Discard()), telemetry.NewLogger(&out, "p", "vm"))
	for range 5 {
		f.ApplyTargets(entryRows("i", "", 1), true)
	}
	is.Equal(strings.Count(out.String(), "event=bad_row"), 1)
	f.ApplyTargets(entryRows("i", "", 2), false)
	is.Equal(strings.Count(out.String(), "event=bad_row"), 2)
}
