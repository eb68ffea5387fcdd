package table

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Target is a target that the platform's VM list knows.
type Target struct {
	Name       string
	DataCentre string
	Kind       Kind
}

// Assign resolves the table's names and counts against the known targets and
// returns the service of each target. Named targets are assigned as named;
// a count takes unnamed targets of its kind and data centre in an order that
// depends only on service and target, so that an edit of one row moves few
// targets of the others.
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
			takeCount(out, named, r, a, known)
		}
	}
	return out
}

// namedTargets are off limits to counts, even while they are not known.
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

func takeCount(out map[string]string, named map[string]bool, r Row, a Assignment, known []Target) {
	var free []string
	for _, k := range known {
		_, taken := out[k.Name]
		if k.DataCentre == a.DataCentre && k.Kind == r.Kind && !taken && !named[k.Name] {
			free = append(free, k.Name)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		return affinity(r.Service, free[i]) < affinity(r.Service, free[j])
	})
	for i := 0; i < a.Count && i < len(free); i++ {
		out[free[i]] = r.Service
	}
}

func affinity(service, target string) uint64 {
	return xxhash.Sum64String(service + "\x00" + target)
}
