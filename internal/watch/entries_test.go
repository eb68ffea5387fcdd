package watch_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/watch"
)

// newEntries returns a fleet whose entries hold the time of a target's start.
func newEntries() (*watch.Fleet, *fleet.Keeper) {
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

func entryOf(id string, value string, revision uint64) store.Rows {
	return store.Rows{Revision: revision, Rows: []store.Row{{Key: id, Value: []byte(value), Version: revision}}}
}

func bornIn(value int64) string { return fmt.Sprintf(`{"Born":%d}`, value) }

// Of two runs under one id the later one counts, whichever entry comes last.
func TestLaterStartCounts(t *testing.T) {
	is := is.New(t)
	f, k := newEntries()
	f.ApplyTargets(entryOf("i", bornIn(100), 1), true)
	f.ApplyTargets(entryOf("i", bornIn(200), 2), false)
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryOf("i", bornIn(100), 3), false) // a late write of the run before
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryOf("i", bornIn(100), 4), true)
	is.Equal(k.Target("i").Born, int64(200))
	f.ApplyTargets(entryOf("i", bornIn(300), 5), true)
	is.Equal(k.Target("i").RunID(), fleet.RunID("i", 300))
}

// An entry that cannot be read names no target, as a change and in a whole list; the
// others hold, and the target is back with its own next entry.
func TestUnreadableEntryNamesNoTarget(t *testing.T) {
	for _, full := range []bool{false, true} {
		is := is.New(t)
		f, k := newEntries()
		sound := store.Rows{Revision: 1, Rows: []store.Row{{Key: "a", Value: []byte(bornIn(1))}, {Key: "b", Value: []byte(bornIn(1))}}}
		f.ApplyTargets(sound, true)
		broken := store.Rows{Revision: 2, Rows: []store.Row{{Key: "a", Value: []byte("\xff{")}, {Key: "b", Value: []byte(bornIn(1))}, {Key: "c", Value: nil}}}
		f.ApplyTargets(broken, full)
		is.Equal(k.Listed(), []string{"b"})
		f.ApplyTargets(entryOf("a", bornIn(1), 3), false)
		is.Equal(len(k.Listed()), 2)
	}
}
