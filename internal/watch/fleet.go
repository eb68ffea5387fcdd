package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// lapseGrace is how long a target whose entry disappeared while the store was unreachable stays
// listed: live targets register again about two seconds after the store's return. Requests to
// targets that have left must stop within two seconds too, so it is a little less.
const lapseGrace = 1700 * time.Millisecond

// Decoder decodes configuration rows and target rows.
type Decoder struct {
	ConfigKey string
	Config    func(value []byte) (*fleet.Config, error)
	Target    func(id string, value []byte) (*fleet.Target, error)
}

// Fleet applies the configuration table and the target table to a fleet.Keeper.
type Fleet struct {
	keeper *fleet.Keeper
	decode Decoder
	link   *Link
	log    *telemetry.Logger

	mu sync.Mutex
	// lapsed holds the targets whose entries disappeared around the time when the store was
	// unreachable, with the timers that remove them.
	lapsed map[string]*time.Timer
}

// NewFleet returns a Fleet. Its methods ApplyConfig and ApplyTargets are meant for NewTable.
func NewFleet(k *fleet.Keeper, d Decoder, link *Link, log *telemetry.Logger) *Fleet {
	return &Fleet{keeper: k, decode: d, link: link, log: log, lapsed: make(map[string]*time.Timer)}
}

// ApplyConfig applies rows of the configuration table.
func (f *Fleet) ApplyConfig(rows store.Rows, _ bool) {
	for _, row := range rows.Rows {
		if row.Key != f.decode.ConfigKey || row.Removed {
			continue
		}
		c, err := f.decode.Config(row.Value)
		if err != nil {
			f.log.Warn(telemetry.EventBadRow, telemetry.F("key", row.Key),
				telemetry.F("revision", row.Version), telemetry.F("cause", err))
			continue
		}
		taken := f.keeper.SetConfig(c)
		f.log.Info(telemetry.EventConfig, telemetry.F("version", c.Version),
			telemetry.F("revision", row.Version), telemetry.F("taken", taken))
	}
}

// ApplyTargets applies rows of the target table. If full is true, the rows are the whole table,
// and targets without a row are removed.
func (f *Fleet) ApplyTargets(rows store.Rows, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []fleet.TargetChange
	present := make(map[string]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		if row.Removed {
			changes = f.remove(changes, row.Key)
			continue
		}
		present[row.Key] = true
		if change, ok := f.applyEntry(row); ok {
			changes = append(changes, change)
		}
	}
	if full {
		for _, id := range f.keeper.TargetIDs() {
			if !present[id] {
				changes = f.remove(changes, id)
			}
		}
	}
	f.keeper.ApplyTargets(changes, rows.Revision)
}

// applyEntry returns the change for the row of one target. A row that another program wrote, or
// that cannot be decoded, removes the target that was listed before. It returns false if nothing
// changes. The caller must hold f.mu.
func (f *Fleet) applyEntry(row store.Row) (fleet.TargetChange, bool) {
	known := f.keeper.Target(row.Key)
	t, err := f.decode.Target(row.Key, row.Value)
	if err != nil {
		f.log.Warn(telemetry.EventBadRow, telemetry.F("key", row.Key),
			telemetry.F("revision", row.Version), telemetry.F("listed", known != nil),
			telemetry.F("cause", err))
		f.cancelRemoval(row.Key)
		return fleet.TargetChange{ID: row.Key}, known != nil
	}
	fields := []telemetry.Field{
		telemetry.F("target", t.ID), telemetry.F("service", t.Service),
		telemetry.F("address", t.Address), telemetry.F("leaving", t.Leaving),
		telemetry.F("stage", string(t.Stage)), telemetry.F("born", t.Born),
		telemetry.F("revision", row.Version),
	}
	if known != nil && t.Born != 0 && t.Born < known.Born {
		// This is a delayed write of the target's previous run.
		f.log.Warn(telemetry.EventTargets, append(fields, telemetry.F("stale", true),
			telemetry.F("known_born", known.Born))...)
		return fleet.TargetChange{}, false
	}
	f.cancelRemoval(t.ID)
	f.log.Info(telemetry.EventTargets, fields...)
	return fleet.TargetChange{ID: t.ID, Target: t}, true
}

// remove removes a target from the list, at once or, if its entry may have lapsed only because
// the store was unreachable, after lapseGrace. The caller must hold f.mu.
func (f *Fleet) remove(changes []fleet.TargetChange, id string) []fleet.TargetChange {
	since, wasDown := f.link.SinceBack()
	if !wasDown || since >= lapseGrace {
		f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true))
		return append(changes, fleet.TargetChange{ID: id})
	}
	if f.lapsed[id] == nil {
		f.lapsed[id] = time.AfterFunc(lapseGrace-since, func() { f.removeLapsed(id) })
	}
	return changes
}

// cancelRemoval cancels the pending removal of a target that is listed again. The caller must
// hold f.mu.
func (f *Fleet) cancelRemoval(id string) {
	if timer := f.lapsed[id]; timer != nil {
		timer.Stop()
		delete(f.lapsed, id)
	}
}

// removeLapsed removes a lapsed target unless its removal has been cancelled.
func (f *Fleet) removeLapsed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lapsed[id] == nil {
		return
	}
	delete(f.lapsed, id)
	f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true),
		telemetry.F("lapsed", true))
	f.keeper.ApplyTargets([]fleet.TargetChange{{ID: id}}, 0)
}
