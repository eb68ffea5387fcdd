package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// removalGrace is how long after an outage of the store a target is kept although its entry has
// disappeared. Entries expire unless targets renew them, which they cannot do during an outage.
// Live targets register again about two seconds after the store is reachable again. Requests to
// targets that have left must stop within two seconds, so removalGrace is a little less.
const removalGrace = 1700 * time.Millisecond

// maxBornAhead is how far the start time of a running target may lie in the future by this VM's clock. A later
// one was written by another program, and does not make the target's own entries those of an earlier run. It
// is above the differences between the clocks of targets and VMs.
const maxBornAhead = time.Minute

// maxLoggedChanges is the largest number of changes that are logged one by one if all targets in them
// are new. A group's targets start by the thousand.
const maxLoggedChanges = 32

// Decoder decodes configuration rows and target rows.
type Decoder struct {
	// ConfigKey is the key of the row that holds the configuration.
	ConfigKey string
	// Config decodes the value of that row.
	Config func(value []byte) (*fleet.Config, error)
	// Target decodes the value of a target's row, whose key is id.
	Target func(id string, value []byte) (*fleet.Target, error)
}

// Fleet applies the configuration table and the target table to a fleet.Keeper.
type Fleet struct {
	keeper *fleet.Keeper
	decode Decoder
	link   *Link
	log    *telemetry.Logger

	mu sync.Mutex
	// newestTarget is the highest version of an applied row of the target table, and encoded the copy
	// of that table as of encodedView.
	newestTarget uint64
	encodedView  *fleet.View
	encoded      []byte
	// configCopy is the copy of the configuration table. Its Data is nil until it is asked for, and
	// configValue is the uncompressed data, or nil if there is no configuration yet.
	configCopy  snapshot.Snapshot
	configValue []byte
	// pendingRemovals holds the timers that remove targets whose entries disappeared during an
	// outage of the store or shortly after it, by target ID.
	pendingRemovals map[string]*time.Timer
}

// NewFleet returns a Fleet. Its methods ApplyConfig and ApplyTargets are meant as the apply
// arguments of NewTable, with the same link.
func NewFleet(k *fleet.Keeper, d Decoder, link *Link, log *telemetry.Logger) *Fleet {
	return &Fleet{keeper: k, decode: d, link: link, log: log, pendingRemovals: make(map[string]*time.Timer)}
}

// HasTarget returns whether the target with an id is known, that is, its row can be used. It is meant as the
// argument of Table.SetUsable.
func (f *Fleet) HasTarget(id string) bool { return f.keeper.Target(id) != nil }

// IsConfig returns whether a key of the configuration table is that of the configuration. It is meant as the
// argument of Table.SetUsable too.
func (f *Fleet) IsConfig(key string) bool { return key == f.decode.ConfigKey }

// ApplyConfig applies rows of the configuration table. It logs and skips a row that cannot be
// decoded, so that the previous configuration stays in use.
func (f *Fleet) ApplyConfig(rows store.Rows, _ bool) {
	for _, row := range rows.Rows {
		if row.Key != f.decode.ConfigKey || row.Removed {
			continue
		}
		c, err := f.decode.Config(row.Value)
		if err != nil {
			f.log.BadRow(row.Key, row.Version, err)
			continue
		}
		taken := f.keeper.SetConfig(c)
		if taken {
			f.mu.Lock()
			f.configCopy, f.configValue = snapshot.Snapshot{Newest: row.Version}, row.Value
			f.mu.Unlock()
		}
		f.log.Info(telemetry.EventConfig, telemetry.F("version", c.Version),
			telemetry.F("revision", row.Version), telemetry.F("taken", taken))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configCopy.Revision = max(f.configCopy.Revision, rows.Revision)
}

// ApplyTargets applies rows of the target table. If full is true, the rows are the whole table,
// and targets without a row are removed. A removal may be delayed, see removalGrace.
func (f *Fleet) ApplyTargets(rows store.Rows, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []fleet.TargetChange
	added, summed := 0, full || len(rows.Rows) > maxLoggedChanges
	present := make(map[string]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		f.newestTarget = max(f.newestTarget, row.Version)
		if row.Removed {
			changes = f.remove(changes, row.Key)
			continue
		}
		present[row.Key] = true
		if f.keeper.Target(row.Key) == nil {
			added++
		}
		if change, ok := f.applyEntry(row, summed); ok {
			changes = append(changes, change)
		}
	}
	if full {
		changes = f.removeMissing(changes, present)
	}
	if summed {
		f.log.Info(telemetry.EventTargets, telemetry.F("rows", len(rows.Rows)), telemetry.F("full", full), telemetry.F("added", added),
			telemetry.F("revision", rows.Revision))
	}
	f.keeper.ApplyTargets(changes, rows.Revision)
}

// removeMissing removes the known targets that are not present in the whole table. The caller must
// hold f.mu.
func (f *Fleet) removeMissing(changes []fleet.TargetChange, present map[string]bool) []fleet.TargetChange {
	for _, id := range f.keeper.TargetIDs() {
		if !present[id] {
			changes = f.remove(changes, id)
		}
	}
	return changes
}

// applyEntry returns the change for the row of one target. A row that cannot be decoded, for
// example because another program wrote it, removes the target. applyEntry returns false if nothing
// changes. summed says that the row is one of many, of which new targets are only counted in the log.
// The caller must hold f.mu.
func (f *Fleet) applyEntry(row store.Row, summed bool) (fleet.TargetChange, bool) {
	known := f.keeper.Target(row.Key)
	t, err := f.decode.Target(row.Key, row.Value)
	if err != nil {
		f.log.BadRow(row.Key, row.Version, err, telemetry.F("listed", known != nil))
		f.cancelRemoval(row.Key)
		return fleet.TargetChange{ID: row.Key}, known != nil
	}
	fields := func() []telemetry.Field {
		return []telemetry.Field{
			telemetry.F("target", t.ID), telemetry.F("service", t.Service),
			telemetry.F("address", t.Address), telemetry.F("leaving", t.Leaving),
			telemetry.F("stage", string(t.Stage)), telemetry.F("born", t.Born),
			telemetry.F("revision", row.Version),
		}
	}
	if known != nil && t.Born != 0 && t.Born < known.Born && known.Born <= time.Now().Add(maxBornAhead).UnixMilli() {
		// This is a delayed write of the target's previous run.
		f.log.Warn(telemetry.EventTargets, append(fields(), telemetry.F("stale", true),
			telemetry.F("known_born", known.Born))...)
		return fleet.TargetChange{}, false
	}
	f.cancelRemoval(t.ID)
	if !summed || (known != nil && *known != *t) {
		f.log.Info(telemetry.EventTargets, fields()...)
	}
	return fleet.TargetChange{ID: t.ID, Target: t}, true
}

// remove removes a target whose entry has disappeared. It normally appends the removal to changes
// and returns the result. Until removalGrace after the end of an outage of the store, the entry may
// have expired only for lack of renewals, so remove delays the removal to the end of that time. The
// caller must hold f.mu.
func (f *Fleet) remove(changes []fleet.TargetChange, id string) []fleet.TargetChange {
	since, wasDown := f.link.SinceRecovery()
	if !wasDown || since >= removalGrace {
		f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true))
		return append(changes, fleet.TargetChange{ID: id})
	}
	if f.pendingRemovals[id] == nil {
		f.pendingRemovals[id] = time.AfterFunc(removalGrace-since, func() { f.removePending(id) })
	}
	return changes
}

// cancelRemoval cancels the pending removal of a target, if any, because the target has an entry
// again. The caller must hold f.mu.
func (f *Fleet) cancelRemoval(id string) {
	if timer := f.pendingRemovals[id]; timer != nil {
		timer.Stop()
		delete(f.pendingRemovals, id)
	}
}

// removePending removes a target whose timer in pendingRemovals has fired, unless the removal has
// been cancelled.
func (f *Fleet) removePending(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingRemovals[id] == nil {
		return
	}
	delete(f.pendingRemovals, id)
	f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true),
		telemetry.F("lapsed", true))
	f.keeper.ApplyTargets([]fleet.TargetChange{{ID: id}}, 0)
}
