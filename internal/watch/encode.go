package watch

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// targetList is the encoding of the list of targets in copies. Names that many targets share are
// stated once.
type targetList struct {
	_           struct{} `cbor:",toarray"`
	Services    []string
	DataCentres []string
	Stages      []string
	Targets     []targetItem
	Versions    []string
}

// targetItem is the encoding of a fleet.Target. Service, DataCentre, Stage and Version are indices of the
// lists of targetList; the fields of the same names as those of fleet.Target hold their values.
type targetItem struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Address    []byte
	Service    int
	DataCentre int
	Stage      int
	Slots      int
	Leaving    bool
	Spot       bool
	Born       int64
	Version    int
}

// nameTable assigns indices to names.
type nameTable struct {
	names   []string
	indices map[string]int
}

// index returns the index of a name.
func (n *nameTable) index(name string) int {
	if i, ok := n.indices[name]; ok {
		return i
	}
	if n.indices == nil {
		n.indices = make(map[string]int)
	}
	n.indices[name] = len(n.names)
	n.names = append(n.names, name)
	return len(n.names) - 1
}

// nameAt returns the name with an index. It fails if there is none.
func nameAt(names []string, i int) (string, error) {
	if i < 0 || i >= len(names) {
		return "", errors.Errorf("copy of targets: no name %d of %d", i, len(names))
	}
	return names[i], nil
}

// encodeTargets encodes the targets of a view except those in skip, in compressed form.
func encodeTargets(v *fleet.View, skip func(id string) bool) ([]byte, error) {
	var services, dataCentres, stages, versions nameTable
	var list targetList
	for _, ts := range v.Targets {
		for _, t := range ts {
			if skip(t.ID) {
				continue
			}
			address, err := netip.ParseAddrPort(t.Address)
			if err != nil {
				return nil, errors.Wrapf(err, "encode target %s", t.ID)
			}
			packed, err := address.MarshalBinary()
			if err != nil {
				return nil, errors.Wrapf(err, "encode target %s", t.ID)
			}
			list.Targets = append(list.Targets, targetItem{ID: t.ID, Address: packed, Service: services.index(t.Service),
				DataCentre: dataCentres.index(t.DataCentre), Stage: stages.index(string(t.Stage)), Slots: t.Slots,
				Leaving: t.Leaving, Spot: t.Spot, Born: t.Born, Version: versions.index(t.Version)})
		}
	}
	list.Services, list.DataCentres, list.Stages, list.Versions = services.names, dataCentres.names, stages.names, versions.names
	data, err := cbor.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode targets")
	}
	return snapshot.Compress(data), nil
}

// decodeTargets decodes targets that encodeTargets has encoded.
func decodeTargets(data []byte) ([]*fleet.Target, error) {
	plain, err := snapshot.Decompress(data)
	if err != nil {
		return nil, err
	}
	var list targetList
	if err := cbor.Unmarshal(plain, &list); err != nil {
		return nil, errors.Wrap(err, "decode copy of targets")
	}
	out := make([]*fleet.Target, 0, len(list.Targets))
	for _, item := range list.Targets {
		t, err := item.target(&list)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// target returns the target that the item encodes.
func (item *targetItem) target(list *targetList) (*fleet.Target, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(item.Address); err != nil {
		return nil, errors.Wrapf(err, "copy of target %s", item.ID)
	}
	t := &fleet.Target{ID: item.ID, Address: address.String(), Slots: item.Slots, Leaving: item.Leaving, Spot: item.Spot,
		Born: item.Born, Run: fleet.RunID(item.ID, item.Born)}
	var err error
	if t.Service, err = nameAt(list.Services, item.Service); err != nil {
		return nil, err
	}
	if t.DataCentre, err = nameAt(list.DataCentres, item.DataCentre); err != nil {
		return nil, err
	}
	if t.Version, err = nameAt(list.Versions, item.Version); err != nil {
		return nil, err
	}
	stage, err := nameAt(list.Stages, item.Stage)
	t.Stage = fleet.Stage(stage)
	return t, err
}

// targetCopies provides copies of the list of targets.
type targetCopies struct{ f *Fleet }

// Snapshot implements snapshot.Provider. Targets whose removal is pending are left out, as the store
// does not list them any more.
func (c targetCopies) Snapshot() (snapshot.Snapshot, bool) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.keeper.View()
	if v.TargetsRevision == 0 {
		return snapshot.Snapshot{}, false
	}
	if v != f.encodedView || len(f.pendingRemovals) > 0 {
		data, err := encodeTargets(v, func(id string) bool { return f.pendingRemovals[id] != nil })
		if err != nil {
			f.log.Warn(telemetry.EventBadRow, telemetry.F("cause", err))
			return snapshot.Snapshot{}, false
		}
		f.encodedView, f.encoded = v, data
	}
	return snapshot.Snapshot{Revision: v.TargetsRevision, Newest: f.newestTarget, Data: f.encoded}, true
}

// configCopies provides copies of the configuration.
type configCopies struct{ f *Fleet }

// Snapshot implements snapshot.Provider.
func (c configCopies) Snapshot() (snapshot.Snapshot, bool) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configValue != nil && f.configCopy.Data == nil {
		f.configCopy.Data = snapshot.Compress(f.configValue)
	}
	return f.configCopy, f.configValue != nil
}

// TargetCopies returns the provider of copies of the target table.
func (f *Fleet) TargetCopies() snapshot.Provider { return targetCopies{f} }

// ConfigCopies returns the provider of copies of the configuration table.
func (f *Fleet) ConfigCopies() snapshot.Provider { return configCopies{f} }

// ApplyTargetCopy applies a copy of the target table from another VM, and returns the keys of the rows
// in it. Targets that are not in it are removed, like those without a row.
func (f *Fleet) ApplyTargetCopy(s snapshot.Snapshot) ([]string, error) {
	targets, err := decodeTargets(s.Data)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []fleet.TargetChange
	keys, present := make([]string, 0, len(targets)), make(map[string]bool, len(targets))
	for _, t := range targets {
		keys, present[t.ID] = append(keys, t.ID), true
		f.cancelRemoval(t.ID)
		changes = append(changes, fleet.TargetChange{ID: t.ID, Target: t})
	}
	changes = f.removeMissing(changes, present)
	f.newestTarget = max(f.newestTarget, s.Newest)
	f.log.Info(telemetry.EventTargets, telemetry.F("rows", len(targets)), telemetry.F("full", true), telemetry.F("copied", true), telemetry.F("revision", s.Revision))
	f.keeper.ApplyTargets(changes, s.Revision)
	return keys, nil
}

// ApplyConfigCopy applies a copy of the configuration table from another VM, and returns the keys of
// the rows in it.
func (f *Fleet) ApplyConfigCopy(s snapshot.Snapshot) ([]string, error) {
	value, err := snapshot.Decompress(s.Data)
	if err != nil {
		return nil, err
	}
	f.ApplyConfig(store.Rows{Revision: s.Revision, Rows: []store.Row{{Key: f.decode.ConfigKey, Value: value, Version: s.Newest}}}, false)
	return []string{f.decode.ConfigKey}, nil
}
