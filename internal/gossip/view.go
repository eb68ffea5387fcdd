package gossip

import (
	"encoding/json"
	"sort"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
)

// View is the typed content of a store at one moment. It is immutable.
type View struct {
	Table   table.Table
	VMs     map[string]store.VM
	Peers   map[string]*api.Item
	Targets map[string]TargetView
	// ListRevision is the revision of the VM list.
	ListRevision uint64
	// Index is the store's log index that the view was taken at.
	Index uint64
	taken time.Time
}

// TargetView is all that is known of one target.
type TargetView struct {
	Name       string
	DataCentre string
	Address    string
	Kind       store.VMKind
	// Service is the service it is assigned to, empty for none.
	Service string
	// Boot is the target's incarnation; zero while no status was seen.
	Boot uint64
	// Status is the last known status, or nil.
	Status *api.Target
	// Draining is set while the holder of the lease keeps new work away.
	Draining bool
	// ObservedAt is when the status was taken, on the store's clock.
	ObservedAt time.Time
	// Listed is the platform's word: live or leaving.
	Listed store.VMState
}

// Leaving reports whether any sign says that the target is on its way out.
func (t TargetView) Leaving() bool {
	return t.Listed == store.VMLeaving || t.Status.GetLeaving()
}

// Usable reports whether the target may get new work.
func (t TargetView) Usable() bool {
	s := t.Status
	return s.GetReachable() && !t.Leaving() && !s.GetChanging() && !t.Draining
}

// TableVersion returns the version of the operators' table, at little cost.
func (s *Store) TableVersion() uint64 { return s.Get(keyTableHead).GetHead().GetVersion() }

// ListRevision returns the revision of the VM list, at little cost.
func (s *Store) ListRevision() uint64 { return s.Get(keyListHead).GetListHead().GetRevision() }

// View decodes the store's content. The same view is returned until something
// has changed.
func (s *Store) View() *View { return s.RecentView(0) }

// RecentView is View, but a view that is not older than maxAge will do, so that
// a caller in no hurry costs no decoding for each change of load.
func (s *Store) RecentView(maxAge time.Duration) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if v := s.view; v != nil && (v.Index == s.index || now.Sub(v.taken) < maxAge) {
		return v
	}
	s.view = s.decode(now)
	return s.view
}

// decode builds a view; the caller holds the lock.
func (s *Store) decode(now time.Time) *View {
	n := s.log.Len()
	v := &View{
		VMs: make(map[string]store.VM, n), Peers: map[string]*api.Item{},
		Targets: make(map[string]TargetView, n), Index: s.index, taken: now,
	}
	statuses := make(map[string]*record, n)
	drains := map[string]bool{}
	for e := s.log.Front(); e != nil; e = e.Next() {
		v.add(e.Value.(*record), statuses, drains)
	}
	v.Table.Sort()
	v.joinTargets(statuses, drains, now)
	return v
}

func (v *View) add(r *record, statuses map[string]*record, drains map[string]bool) {
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

func (v *View) addRow(r *api.Row) {
	if len(r.GetJson()) == 0 {
		return
	}
	var row table.Row
	// A row that does not decode came from a newer release: the service is
	// left out rather than served under half-read limits.
	if err := json.Unmarshal(r.GetJson(), &row); err == nil {
		v.Table.Rows = append(v.Table.Rows, row)
	}
}

func (v *View) addVM(name string, vm *api.Vm) {
	if vm.GetRemoved() {
		return
	}
	v.VMs[name] = store.VM{
		Name: name, DataCentre: vm.GetDataCentre(), Address: vm.GetAddress(),
		Kind: store.VMKind(vm.GetKind()), State: store.VMState(vm.GetState()),
	}
}

// joinTargets puts together what the VM list, the table and the targets say.
func (v *View) joinTargets(statuses map[string]*record, drains map[string]bool, now time.Time) {
	var known []table.Target
	for _, vm := range v.VMs {
		if kind, ok := serviceKind(vm.Kind); ok {
			known = append(known, table.Target{Name: vm.Name, DataCentre: vm.DataCentre, Kind: kind})
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].Name < known[j].Name })
	services := table.Assign(v.Table, known)
	for _, k := range known {
		vm := v.VMs[k.Name]
		t := TargetView{
			Name: k.Name, DataCentre: k.DataCentre, Address: vm.Address, Kind: vm.Kind,
			Service: services[k.Name], Listed: vm.State, Draining: drains[k.Name],
		}
		if r := statuses[k.Name]; r != nil {
			t.Boot, t.Status, t.ObservedAt = r.item.GetEpoch(), r.item.GetTarget(), now.Add(-r.age(now))
		}
		v.Targets[k.Name] = t
	}
}

func serviceKind(k store.VMKind) (table.Kind, bool) {
	switch k {
	case store.VMEngine:
		return table.Language, true
	case store.VMPlain:
		return table.Plain, true
	}
	return "", false
}
