package gossip

import (
	"encoding/json"
	"sort"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
)

// View is the decoded content of a store at one moment. It must not be modified.
type View struct {
	Table table.Table
	// VMs holds the VMs of the platform's list, Peers the stewards' items and Targets the
	// targets, each by name.
	VMs     map[string]store.VM
	Peers   map[string]*api.Item
	Targets map[string]TargetView
	// ListRevision is the revision of the platform's VM list.
	ListRevision uint64
	// Index is the store's log index at which the view was built.
	Index   uint64
	takenAt time.Time
}

// TargetView combines what the VM list, the table, the target's status and the drains say
// about one target.
type TargetView struct {
	Name       string
	DataCentre string
	Address    string
	Kind       store.VMKind
	// Service is the service that the target is assigned to, empty for none.
	Service string
	// Boot is the target's incarnation; zero until a status has been received.
	Boot uint64
	// Status is the last known status, or nil.
	Status *api.Target
	// Draining is set while the holder of the service's lease withholds new work from the
	// target.
	Draining bool
	// ObservedAt is when the status was observed at its source, on the store's clock.
	ObservedAt time.Time
	// Listed is the state in the platform's VM list: live or leaving.
	Listed store.VMState
}

// Leaving reports whether the VM list or the target's own status says that it is leaving.
func (t TargetView) Leaving() bool {
	return t.Listed == store.VMLeaving || t.Status.GetLeaving()
}

// Usable reports whether the target may get new work. A target without a status may not.
func (t TargetView) Usable() bool {
	s := t.Status
	return s.GetReachable() && !t.Leaving() && !s.GetChanging() && !t.Draining
}

// TableVersion returns the version of the operators' table without decoding a view; zero if
// there is none.
func (s *Store) TableVersion() uint64 { return s.Get(keyTableHead).GetHead().GetVersion() }

// ListRevision returns the revision of the VM list without decoding a view; zero if there is
// none.
func (s *Store) ListRevision() uint64 { return s.Get(keyListHead).GetListHead().GetRevision() }

// View decodes the store's content. It returns the same view until an item changes.
func (s *Store) View() *View { return s.RecentView(0) }

// RecentView is like View but may return an outdated view that is less than maxAge old. It
// spares callers that tolerate this the decoding after every change of load.
func (s *Store) RecentView(maxAge time.Duration) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if v := s.view; v != nil && (v.Index == s.index || now.Sub(v.takenAt) < maxAge) {
		return v
	}
	s.view = s.buildView(now)
	return s.view
}

// buildView decodes the store's content at now. The caller must hold s.mu.
func (s *Store) buildView(now time.Time) *View {
	n := s.log.Len()
	v := &View{
		VMs: make(map[string]store.VM, n), Peers: map[string]*api.Item{},
		Targets: make(map[string]TargetView, n), Index: s.index, takenAt: now,
	}
	statuses := make(map[string]*record, n)
	drains := map[string]bool{}
	for e := s.log.Front(); e != nil; e = e.Next() {
		v.addRecord(e.Value.(*record), statuses, drains)
	}
	v.Table.Sort()
	v.addTargets(statuses, drains, now)
	return v
}

// addRecord decodes one item into the view. It collects the records of target statuses and the
// drain flags, both by target name, for addTargets.
func (v *View) addRecord(r *record, statuses map[string]*record, drains map[string]bool) {
	it := r.item
	name := NameOf(it.GetKey())
	switch body := it.GetBody().(type) {
	case *api.Item_Head:
		v.Table.Version = body.Head.GetVersion()
	case *api.Item_ListHead:
		v.ListRevision = body.ListHead.GetRevision()
	case *api.Item_Row:
		v.addRow(body.Row)
	case *api.Item_Vm:
		v.addVM(name, body.Vm)
	case *api.Item_Peer:
		v.Peers[name] = it
	case *api.Item_Target:
		statuses[name] = r
	case *api.Item_Drain:
		drains[name] = body.Drain.GetOn()
	}
}

// addRow adds a row to the view's table, unless it was removed or does not decode.
func (v *View) addRow(r *api.Row) {
	if len(r.GetJson()) == 0 {
		return
	}
	var row table.Row
	// A row that does not decode came from a newer release. The service is omitted, as serving
	// it with partially decoded limits would be worse.
	if err := json.Unmarshal(r.GetJson(), &row); err == nil {
		v.Table.Rows = append(v.Table.Rows, row)
	}
}

// addVM adds a VM to the view unless it was removed from the list.
func (v *View) addVM(name string, vm *api.Vm) {
	if vm.GetRemoved() {
		return
	}
	v.VMs[name] = store.VM{
		Name: name, DataCentre: vm.GetDataCentre(), Address: vm.GetAddress(),
		Kind: store.VMKind(vm.GetKind()), State: store.VMState(vm.GetState()),
	}
}

// addTargets builds the targets of the view from the VM list, the assignments of the table, the
// latest statuses and the drain flags.
func (v *View) addTargets(statuses map[string]*record, drains map[string]bool, now time.Time) {
	var listed []table.Target
	for _, vm := range v.VMs {
		if kind, ok := targetKind(vm.Kind); ok {
			listed = append(listed, table.Target{Name: vm.Name, DataCentre: vm.DataCentre, Kind: kind})
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	services := table.Assign(v.Table, listed)
	for _, l := range listed {
		vm := v.VMs[l.Name]
		t := TargetView{
			Name: l.Name, DataCentre: l.DataCentre, Address: vm.Address, Kind: vm.Kind,
			Service: services[l.Name], Listed: vm.State, Draining: drains[l.Name],
		}
		if r := statuses[l.Name]; r != nil {
			t.Boot, t.Status, t.ObservedAt = r.item.GetEpoch(), r.item.GetTarget(), now.Add(-r.age(now))
		}
		v.Targets[l.Name] = t
	}
}

// targetKind returns the kind of service that a VM of kind k serves as a target. It returns
// false for VMs that are not targets.
func targetKind(k store.VMKind) (table.Kind, bool) {
	switch k {
	case store.VMEngine:
		return table.Language, true
	case store.VMPlain:
		return table.Plain, true
	}
	return "", false
}
