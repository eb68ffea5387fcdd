package table

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Target is a target in the platform's VM list.
type Target struct {
	Name       string
	DataCentre string
	Kind       Kind
}

// Assign returns the service of each known target that the table assigns, by the
// target's name. A row's named targets go to its service if data centre and kind
// match. A row's count is filled with targets of the same data centre and kind
// that no row names, in an order that depends only on service and target, so that
// an edit of one row moves few targets of the others.
func Assign(t Table, known []Target) map[string]string {
	out := make(map[string]string, len(known))
	byName := make(map[string]Target, len(known))
	for _, k := range known {
		byName[k.Name] = k
	}
	for _, r := range t.Rows {
		for _, a := range r.Engines {
			for _, name := range a.Names {
				if k, ok := byName[name]; ok && k.DataCentre == a.DataCentre && k.Kind == r.Kind {
					out[name] = r.Service
				}
			}
		}
	}
	named := t.namedTargets()
	for _, r := range t.Rows {
		for _, a := range r.Engines {
			assignCount(out, named, r, a, known)
		}
	}
	return out
}

// namedTargets returns the names of all targets that a row names, known or not.
// No count may be filled with them.
func (t Table) namedTargets() map[string]bool {
	out := map[string]bool{}
	for _, r := range t.Rows {
		for _, a := range r.Engines {
			for _, name := range a.Names {
				out[name] = true
			}
		}
	}
	return out
}

// assignCount fills the count of the assignment a of row r with known targets,
// and adds them to out.
func assignCount(out map[string]string, named map[string]bool, r Row, a Assignment, known []Target) {
	var free []string
	for _, k := range known {
		_, taken := out[k.Name]
		if k.DataCentre == a.DataCentre && k.Kind == r.Kind && !taken && !named[k.Name] {
			free = append(free, k.Name)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		return rendezvousHash(r.Service, free[i]) < rendezvousHash(r.Service, free[j])
	})
	for i := 0; i < a.Count && i < len(free); i++ {
		out[free[i]] = r.Service
	}
}

// rendezvousHash returns the hash by which a service's candidates are ordered.
func rendezvousHash(service, target string) uint64 {
	return xxhash.Sum64String(service + "\x00" + target)
}
