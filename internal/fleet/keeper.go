package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Keeper holds the newest view. Reads never block; every change publishes a new view. It is safe
// for concurrent use, except for OnChange.
type Keeper struct {
	view atomic.Pointer[View]

	// mu serializes changes and guards targets.
	mu sync.Mutex
	// targets holds the list of targets by id.
	targets map[string]*Target
	// listeners are called with each new view.
	listeners []func(*View)
}

// NewKeeper returns a keeper with an empty view.
func NewKeeper() *Keeper {
	k := &Keeper{targets: make(map[string]*Target)}
	k.view.Store(&View{})
	return k
}

// View returns the newest view.
func (k *Keeper) View() *View { return k.view.Load() }

// OnChange registers f to be called with each new view. It must be called before the first
// change. f must not call SetConfig, ApplyTargets, Target or TargetIDs, as it runs under the
// keeper's lock.
func (k *Keeper) OnChange(f func(*View)) { k.listeners = append(k.listeners, f) }

// SetConfig publishes a view with configuration c, unless the version of the current configuration
// is the same or newer. It reports whether it published one.
func (k *Keeper) SetConfig(c *Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := *k.view.Load()
	if v.Config != nil && c.Version <= v.Config.Version {
		return false
	}
	v.Config = c
	k.publish(&v)
	return true
}

// TargetChange is one change of the list of targets.
type TargetChange struct {
	ID string
	// Target is nil if the entry was removed.
	Target *Target
}

// ApplyTargets applies changes to the list of targets, as of the given store revision, and
// publishes a view with the new list.
func (k *Keeper) ApplyTargets(changes []TargetChange, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := make(map[string]bool, len(changes))
	services := make(map[string]bool)
	for _, c := range changes {
		changed[c.ID] = true
		if old := k.targets[c.ID]; old != nil {
			services[old.Service] = true
		}
		if c.Target == nil {
			delete(k.targets, c.ID)
			continue
		}
		k.targets[c.ID] = c.Target
		services[c.Target.Service] = true
	}
	v := *k.view.Load()
	v.TargetsRevision = max(revision, v.TargetsRevision)
	v.Targets = maps.Clone(v.Targets)
	if v.Targets == nil {
		v.Targets = make(map[string][]*Target)
	}
	for service := range services {
		v.Targets[service] = k.merge(v.Targets[service], service, changed)
		if len(v.Targets[service]) == 0 {
			delete(v.Targets, service)
		}
	}
	k.publish(&v)
}

// merge returns the targets of a service in the order of their ids. sorted holds those before the
// last changes, and changed the ids that have changed. The caller must hold k.mu.
func (k *Keeper) merge(sorted []*Target, service string, changed map[string]bool) []*Target {
	var added []*Target
	for id := range changed {
		if t := k.targets[id]; t != nil && t.Service == service {
			added = append(added, t)
		}
	}
	slices.SortFunc(added, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]*Target, 0, len(sorted)+len(added))
	for _, t := range sorted {
		if changed[t.ID] {
			continue
		}
		for len(added) > 0 && added[0].ID < t.ID {
			out, added = append(out, added[0]), added[1:]
		}
		out = append(out, t)
	}
	return append(out, added...)
}

// Target returns the target with the given id, or nil if it is not in the list of targets.
func (k *Keeper) Target(id string) *Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targets[id]
}

// TargetIDs returns the ids of all targets in the list, in no particular order.
func (k *Keeper) TargetIDs() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]string, 0, len(k.targets))
	for id := range k.targets {
		ids = append(ids, id)
	}
	return ids
}

// publish stores a view and calls the listeners. The caller must hold k.mu.
func (k *Keeper) publish(v *View) {
	k.view.Store(v)
	for _, f := range k.listeners {
		f(v)
	}
}
