package fleet

import (
	"sort"
	"sync"
	"sync/atomic"
)

// Keeper holds the newest view. Reads never wait; a change makes a new view.
type Keeper struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	targets map[string]*Target
	changed []func(*View)
}

// NewKeeper returns a keeper that knows nothing yet.
func NewKeeper() *Keeper {
	k := &Keeper{targets: make(map[string]*Target)}
	k.view.Store(&View{})
	return k
}

// View returns the newest view.
func (k *Keeper) View() *View { return k.view.Load() }

// OnChange registers f to be called with each new view. It must be called
// before the first change; f must not call the keeper's setters.
func (k *Keeper) OnChange(f func(*View)) { k.changed = append(k.changed, f) }

// SetConfig takes in a configuration unless a newer one is known. It returns
// whether it was taken.
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
	// Target is nil when the entry was removed.
	Target *Target
}

// ApplyTargets takes in changes as of a revision of the store.
func (k *Keeper) ApplyTargets(changes []TargetChange, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range changes {
		if c.Target == nil {
			delete(k.targets, c.ID)
			continue
		}
		k.targets[c.ID] = c.Target
	}
	k.publishTargets(revision)
}

// Target returns a target that is known, or nil.
func (k *Keeper) Target(id string) *Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targets[id]
}

// Listed returns the ids of all targets known.
func (k *Keeper) Listed() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]string, 0, len(k.targets))
	for id := range k.targets {
		ids = append(ids, id)
	}
	return ids
}

func (k *Keeper) publishTargets(revision uint64) {
	v := *k.view.Load()
	v.TargetsRevision = max(revision, v.TargetsRevision)
	v.Targets = make(map[string][]*Target)
	for _, t := range k.targets {
		v.Targets[t.Service] = append(v.Targets[t.Service], t)
	}
	for _, ts := range v.Targets {
		sort.Slice(ts, func(i, j int) bool { return ts[i].ID < ts[j].ID })
	}
	k.publish(&v)
}

func (k *Keeper) publish(v *View) {
	k.view.Store(v)
	for _, f := range k.changed {
		f(v)
	}
}
