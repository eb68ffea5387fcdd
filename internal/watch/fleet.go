package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// lapseGrace is how long a target stays listed whose entry went while the store
// was away: living targets are back about two seconds after its return. The
// bound on sends to targets that have left is two seconds too, hence a little
// less.
const lapseGrace = 1700 * time.Millisecond

// Decoder decodes the rows of the operators and of the targets.
type Decoder struct {
	ConfigKey string
	Config    func(value []byte) (*fleet.Config, error)
	Target    func(id string, value []byte) (*fleet.Target, error)
}

// Fleet takes in the tables of the configuration and of the targets.
type Fleet struct {
	keeper *fleet.Keeper
	decode Decoder
	link   *Link
	log    *telemetry.Logger

	mu sync.Mutex
	// lapsed holds the targets whose entries went around an absence of the
	// store, with the time at which they are taken for gone.
	lapsed map[string]*time.Timer
}

// NewFleet returns what NewTable's apply functions need.
func NewFleet(k *fleet.Keeper, d Decoder, link *Link, log *telemetry.Logger) *Fleet {
	return &Fleet{keeper: k, decode: d, link: link, log: log, lapsed: make(map[string]*time.Timer)}
}

// ApplyConfig takes in rows of the configuration's table.
func (f *Fleet) ApplyConfig(rows store.Rows, _ bool) {
	for _, row := range rows.Rows {
		if row.Key != f.decode.ConfigKey || row.Removed {
			continue
		}
		c, err := f.decode.Config(row.Value)
		if err != nil {
			f.log.Warn(telemetry.EventBadRow, telemetry.F("key", row.Key), telemetry.F("revision", row.Version), telemetry.F("cause", err))
			continue
		}
		taken := f.keeper.SetConfig(c)
		f.log.Info(telemetry.EventConfig, telemetry.F("version", c.Version), telemetry.F("revision", row.Version), telemetry.F("taken", taken))
	}
}

// ApplyTargets takes in rows of the targets' table.
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
		if change, ok := f.entry(row); ok {
			changes = append(changes, change)
		}
	}
	if full {
		for _, id := range f.keeper.Listed() {
			if !present[id] {
				changes = f.remove(changes, id)
			}
		}
	}
	f.keeper.ApplyTargets(changes, rows.Revision)
}

// entry takes in the entry of one target. One that another program wrote, or that cannot
// be read, names no target to use, whatever stood there before. It returns false where
// nothing changes. The caller holds f.mu.
func (f *Fleet) entry(row store.Row) (fleet.TargetChange, bool) {
	known := f.keeper.Target(row.Key)
	t, err := f.decode.Target(row.Key, row.Value)
	if err != nil {
		f.log.Warn(telemetry.EventBadRow, telemetry.F("key", row.Key), telemetry.F("revision", row.Version), telemetry.F("listed", known != nil), telemetry.F("cause", err))
		f.revive(row.Key)
		return fleet.TargetChange{ID: row.Key}, known != nil
	}
	fields := []telemetry.Field{
		telemetry.F("target", t.ID), telemetry.F("service", t.Service), telemetry.F("address", t.Address), telemetry.F("leaving", t.Leaving),
		telemetry.F("stage", string(t.Stage)), telemetry.F("born", t.Born), telemetry.F("revision", row.Version),
	}
	if known != nil && t.Born != 0 && t.Born < known.Born {
		// A write of the run before that was carried out late.
		f.log.Warn(telemetry.EventTargets, append(fields, telemetry.F("stale", true), telemetry.F("known_born", known.Born))...)
		return fleet.TargetChange{}, false
	}
	f.revive(t.ID)
	f.log.Info(telemetry.EventTargets, fields...)
	return fleet.TargetChange{ID: t.ID, Target: t}, true
}

// remove drops a target, at once or, where its entry may have lapsed only
// because the store was away, a little later. The caller holds f.mu.
func (f *Fleet) remove(changes []fleet.TargetChange, id string) []fleet.TargetChange {
	since, was := f.link.Since()
	if !was || since >= lapseGrace {
		f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true))
		return append(changes, fleet.TargetChange{ID: id})
	}
	if f.lapsed[id] == nil {
		f.lapsed[id] = time.AfterFunc(lapseGrace-since, func() { f.expire(id) })
	}
	return changes
}

// revive keeps a target that is listed again. The caller holds f.mu.
func (f *Fleet) revive(id string) {
	if timer := f.lapsed[id]; timer != nil {
		timer.Stop()
		delete(f.lapsed, id)
	}
}

func (f *Fleet) expire(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lapsed[id] == nil {
		return
	}
	delete(f.lapsed, id)
	f.log.Info(telemetry.EventTargets, telemetry.F("target", id), telemetry.F("gone", true), telemetry.F("lapsed", true))
	f.keeper.ApplyTargets([]fleet.TargetChange{{ID: id}}, 0)
}
