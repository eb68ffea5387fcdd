package gossip

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
)

// Keys and key prefixes of items. The part up to the slash determines the type of the body.
const (
	keyTableHead = "head"
	keyListHead  = "list"
	prefixRow    = "row/"
	prefixVM     = "vm/"
	prefixPeer   = "peer/"
	prefixTarget = "target/"
	prefixDrain  = "drain/"
	prefixLease  = "lease/"
)

// PeerKey returns the key of the steward on vm.
func PeerKey(vm string) string { return prefixPeer + vm }

// TargetKey returns the key of the status of the target called name.
func TargetKey(name string) string { return prefixTarget + name }

// DrainKey returns the key of the item that says whether the target called name is draining.
func DrainKey(name string) string { return prefixDrain + name }

// DrainItem returns an item that says whether the target called name is draining, that is,
// gets no new work. Its version is the fencing number of the service's lease and a count of
// the changes made under that lease.
func DrainItem(name string, draining bool, fence, count uint64) *api.Item {
	return &api.Item{Key: DrainKey(name), Epoch: fence, Seq: count, Body: &api.Item_Drain{Drain: &api.Drain{On: draining}}}
}

// LeaseKey returns the key of the item that names the holder of a service's lease in a data
// centre.
func LeaseKey(dataCentre, service string) string { return prefixLease + dataCentre + "/" + service }

// LeaseItem returns an item that says that vm holds a service's lease in a data centre under
// the given fencing number.
func LeaseItem(dataCentre, service, vm string, fence uint64) *api.Item {
	return &api.Item{Key: LeaseKey(dataCentre, service), Epoch: fence, Body: &api.Item_Lease{Lease: &api.LeaseHolder{Vm: vm}}}
}

// NameOf returns the part of a key after the prefix, or "" for a key without one.
func NameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

// TableItems returns the items that update a store from table version since to t: the rows
// that changed after since, the removal of the services in removed, and the table's head. It
// fails if a row cannot be encoded as JSON.
func TableItems(t table.Table, since uint64, removed []string) ([]*api.Item, error) {
	var out []*api.Item
	for _, r := range t.Rows {
		if r.Changed <= since {
			continue
		}
		data, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrapf(err, "encode row %s", r.Service)
		}
		out = append(out, rowItem(r.Service, r.Changed, data))
	}
	for _, service := range removed {
		out = append(out, rowItem(service, t.Version, nil))
	}
	head := &api.Item{Key: keyTableHead, Seq: t.Version, Body: &api.Item_Head{Head: &api.TableHead{Version: t.Version}}}
	return append(out, head), nil
}

// rowItem returns the item of a service's table row, in JSON; nil data marks a removed row.
func rowItem(service string, version uint64, data []byte) *api.Item {
	return &api.Item{Key: prefixRow + service, Seq: version, Body: &api.Item_Row{Row: &api.Row{Json: data}}}
}

// VMItems returns the items of the VM listing l: its revision, every VM in it, and the removal
// of each VM that s holds from an older revision and l no longer lists.
func (s *Store) VMItems(l store.VMListing) []*api.Item {
	listed := make(map[string]bool, len(l.VMs))
	out := []*api.Item{{Key: keyListHead, Seq: l.Revision, Body: &api.Item_ListHead{ListHead: &api.ListHead{Revision: l.Revision}}}}
	for _, vm := range l.VMs {
		listed[prefixVM+vm.Name] = true
		out = append(out, &api.Item{Key: prefixVM + vm.Name, Seq: vm.Changed, Body: &api.Item_Vm{Vm: &api.Vm{
			DataCentre: vm.DataCentre, Address: vm.Address, Kind: string(vm.Kind), State: string(vm.State),
		}}})
	}
	for _, it := range s.All() {
		vm := it.GetVm()
		if vm != nil && !vm.GetRemoved() && !listed[it.GetKey()] && it.GetSeq() < l.Revision {
			out = append(out, &api.Item{Key: it.GetKey(), Seq: l.Revision, Body: &api.Item_Vm{Vm: &api.Vm{
				DataCentre: vm.GetDataCentre(), Address: vm.GetAddress(), Kind: vm.GetKind(), Removed: true,
			}}})
		}
	}
	return out
}
