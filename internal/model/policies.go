package model

import (
	"math/rand/v2"
	"sort"

	"github.com/pkg/errors"
)

// builders makes each policy by its name.
var builders = map[string]Builder{
	"random":      func(_ *Site, f Fleet, r *rand.Rand) Policy { return NewRandom(f, r) },
	"round-robin": func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewRoundRobin(f) },
	"least-load":  func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewLeastLoad(f) },
	"prefix-hash": func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewPrefixHash(f) },
	"today":       func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlaced(s, f, NewToday(), r) },
	"deadline":    func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlaced(s, f, Feasible{}, r) },
	"shares":      func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlaced(s, f, NewShares(s), r) },
}

// BuilderOf returns the builder of a policy.
func BuilderOf(name string) (Builder, error) {
	b := builders[name]
	if b == nil {
		return nil, errors.Errorf("no policy %q; there are %v", name, PolicyNames())
	}
	return b, nil
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	var names []string
	for name := range builders {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
