package watch

import (
	"context"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// modelKeys are the keys of the rows of a modelStore.
var modelKeys = []string{"k0", "k1", "k2", "k3"}

// modelStore is a table of a store. It implements store.Feed.
type modelStore struct {
	revision, oldest uint64
	rows             map[string]uint64 // the versions of the rows
	history          []store.Row
	// states holds the rows as of each revision.
	states []map[string]uint64
}

func newModelStore() *modelStore {
	return &modelStore{rows: make(map[string]uint64), states: []map[string]uint64{{}}}
}

// write puts or removes a row. Only a row that is present can be removed.
func (s *modelStore) write(key string, removed bool) {
	if _, ok := s.rows[key]; removed && !ok {
		return
	}
	s.revision++
	s.rows[key] = s.revision
	if removed {
		delete(s.rows, key)
	}
	s.history = append(s.history, store.Row{Key: key, Version: s.revision, Removed: removed})
	s.states = append(s.states, maps.Clone(s.rows))
}

// writeElsewhere writes to another table, which raises the revision.
func (s *modelStore) writeElsewhere() {
	s.revision++
	s.states = append(s.states, maps.Clone(s.rows))
}

func (s *modelStore) ListRows(context.Context, string) (store.Rows, error) {
	out := store.Rows{Revision: s.revision}
	for key, version := range s.rows {
		out.Rows = append(out.Rows, store.Row{Key: key, Version: version})
	}
	return out, nil
}

func (s *modelStore) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (store.Rows, error) {
	if after < s.oldest {
		return store.Rows{}, store.ErrHistoryGone
	}
	out := store.Rows{Revision: s.revision}
	for _, r := range s.history {
		if r.Version > after {
			out.Rows = append(out.Rows, r)
		}
	}
	return out, nil
}

// modelVM is a VM with a Table that runs only as the test calls it.
type modelVM struct {
	*Table
	sentinel bool
	// rows holds the versions of the rows that were applied, and appliedAt their revision.
	rows      map[string]uint64
	appliedAt uint64
	newest    uint64
	// published holds the changes that were forwarded.
	published []store.Delta
}

func (*modelVM) Joined() <-chan struct{} { return nil }
func (v *modelVM) Sentinel() bool        { return v.sentinel }
func (*modelVM) Size() int               { return 4 }
func (*modelVM) ForwardsChanges() bool   { return true }

func (v *modelVM) Publish(_ string, d store.Delta) {
	if v.sentinel {
		v.published = append(v.published, d)
	}
}

// applyRows implements Apply.
func (v *modelVM) applyRows(rows store.Rows, full bool) {
	if full {
		clear(v.rows)
	}
	v.appliedAt = rows.Revision
	for _, r := range rows.Rows {
		v.newest = max(v.newest, r.Version)
		v.rows[r.Key] = r.Version
		if r.Removed {
			delete(v.rows, r.Key)
		}
	}
}

// modelGroup is a group of VMs that follow one store.
type modelGroup struct {
	t     *rapid.T
	store *modelStore
	vms   []*modelVM
}

// start starts the VM with index i anew.
func (g *modelGroup) start(i int) {
	v := &modelVM{sentinel: i < 2, rows: make(map[string]uint64)}
	v.Table = NewTable(g.store, "t", NewLink(telemetry.Discard()), v, v.applyRows, telemetry.Discard())
	v.SetCopier(g, func(s snapshot.Snapshot) ([]string, error) {
		from := g.vms[s.Data[0]]
		v.rows, v.appliedAt, v.newest = maps.Clone(from.rows), s.Revision, max(v.newest, s.Newest)
		return keysOf(rowsOf(from.rows), func(string) bool { return true }), nil
	})
	g.vms[i] = v
	g.read(i)
}

// Fetch implements Copier. It returns the copy of a VM that is drawn, if that is new enough.
func (g *modelGroup) Fetch(_ context.Context, _ string, revision uint64, _ bool) (snapshot.Snapshot, error) {
	i := rapid.IntRange(0, len(g.vms)-1).Draw(g.t, "copy of")
	if from := g.vms[i]; from != nil && from.revision > 0 && from.appliedAt >= revision {
		return snapshot.Snapshot{Revision: from.appliedAt, Newest: from.newest, Data: []byte{byte(i)}}, nil
	}
	return snapshot.Snapshot{}, snapshot.ErrNone
}

// rowsOf returns the rows with the given versions.
func rowsOf(versions map[string]uint64) (out []store.Row) {
	for key, version := range versions {
		out = append(out, store.Row{Key: key, Version: version})
	}
	return out
}

// read makes a VM read what it lacks: it copies the table from another VM, or calls the store.
func (g *modelGroup) read(i int) {
	v := g.vms[i]
	v.applyAllForwarded()
	if v.copyFromPeers(context.Background()) {
		return
	}
	if err := v.callStore(context.Background(), true, false); err != nil {
		g.t.Fatalf("read: %v", err)
	}
}

// report delivers the position of a VM to another one, which reads the store if it is told to.
func (g *modelGroup) report(from, to int) {
	v, p, upTo := g.vms[to], g.vms[from].Position(), g.vms[from].revision
	ahead := v.ObservePeer(p, clock.Now(), 0)
	if !ahead && v.revision < upTo && !maps.Equal(g.store.states[upTo], v.rows) {
		g.t.Fatalf("VM %d with %v counts as confirmed at revision %d, the store held %v", to, v.rows, upTo, g.store.states[upTo])
	}
	if ahead {
		v.NotifyNewer(p.Revision)
		if v.wantedRevision > v.revision {
			g.read(to)
		}
	}
}

// deliver delivers forwarded changes, whole or only the part up to a revision.
func (g *modelGroup) deliver(d store.Delta, to int) {
	if n := len(d.Rows.Rows); n > 1 && d.Until == 0 && rapid.Bool().Draw(g.t, "in part") {
		cut := rapid.IntRange(1, n-1).Draw(g.t, "rows")
		if d.Rows.Rows[cut].Version > d.Rows.Rows[cut-1].Version {
			d.Rows = store.Rows{Rows: d.Rows.Rows[:cut], Revision: d.Rows.Rows[cut-1].Version}
		}
	}
	v := g.vms[to]
	v.applyForwarded(d)
	v.advanceUnchanged()
	if v.wantedRevision > v.revision {
		g.read(to)
	}
}

// check fails unless each VM holds the rows of the store as of its revision.
func (g *modelGroup) check(after string) {
	for i, v := range g.vms {
		want := g.store.states[v.revision]
		for _, key := range modelKeys {
			_, held := v.rows[key]
			_, wanted := want[key]
			if held != wanted {
				g.t.Fatalf("after %s VM %d holds %v at revision %d, the store held %v", after, i, v.rows, v.revision, want)
			}
		}
	}
}

// Whatever is killed, started, removed, written, lost or forgotten, and in whatever order, each VM holds the rows of the store
// as of the revision that it has reached, and once reports arrive again, all VMs hold those that the sentinels have read.
func TestEachVMEndsAtTheListOfTheStore(t *testing.T) {
	// Some faults show in few of the plays.
	for range 30 {
		rapid.Check(t, playModelGroup)
	}
}

// playModelGroup plays the steps that are drawn for a group of VMs, and then delivers all reports.
func playModelGroup(t *rapid.T) {
	const vms = 4
	g := &modelGroup{t: t, store: newModelStore(), vms: make([]*modelVM, vms)}
	g.store.write("k0", false)
	for i := range vms {
		g.start(i)
	}
	vm := rapid.IntRange(0, vms-1)
	key := rapid.SampledFrom(modelKeys)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		step := rapid.SampledFrom([]string{"put", "remove", "write elsewhere", "forget", "start", "start sentinels", "poll", "report", "deliver"}).Draw(t, "step")
		switch step {
		case "put":
			g.store.write(key.Draw(t, "key"), false)
		case "remove":
			g.store.write(key.Draw(t, "key"), true)
		case "write elsewhere":
			g.store.writeElsewhere()
		case "forget":
			g.store.oldest = g.store.revision
		case "start":
			g.start(vm.Draw(t, "vm"))
		case "start sentinels":
			g.start(0)
			g.start(1)
		case "poll":
			g.read(rapid.IntRange(0, 1).Draw(t, "sentinel"))
		case "report":
			g.report(vm.Draw(t, "from"), vm.Draw(t, "to"))
		case "deliver":
			from := g.vms[rapid.IntRange(0, 1).Draw(t, "from")]
			if n := len(from.published); n > 0 {
				g.deliver(from.published[rapid.IntRange(0, n-1).Draw(t, "changes")], vm.Draw(t, "to"))
			}
		}
		g.check(step)
	}
	g.read(0)
	for range 2 {
		for from := range vms {
			for to := range vms {
				g.report(from, to)
				g.vms[to].advanceUnchanged()
			}
		}
	}
	g.check("the reports")
	for i, v := range g.vms {
		if !maps.Equal(g.store.states[v.revision], g.store.rows) {
			t.Fatalf("VM %d has stopped at revision %d with %v, the store holds %v", i, v.revision, v.rows, g.store.rows)
		}
	}
}
