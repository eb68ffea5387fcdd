package model

import (
	"math/rand/v2"
	"sort"

	"github.com/pkg/errors"
)

// builders holds the builder of each policy by the policy's name.
var builders = map[string]Builder{
	"random":      func(_ *Site, f Fleet, r *rand.Rand) Policy { return NewRandom(f, r) },
	"round-robin": func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewRoundRobin(f) },
	"least-load":  func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewLeastLoad(f) },
	"prefix-hash": func(_ *Site, f Fleet, _ *rand.Rand) Policy { return NewPrefixHash(f) },
	"today":       func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlacerPolicy(s, f, NewGatewayAdmission(), r) },
	"deadline":    func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlacerPolicy(s, f, DeadlineAdmission{}, r) },
	"shares":      func(s *Site, f Fleet, r *rand.Rand) Policy { return NewPlacerPolicy(s, f, NewShareAdmission(s), r) },
}

// BuilderByName returns the builder of the named policy, or an error if there is none.
func BuilderByName(name string) (Builder, error) {
	b := builders[name]
	if b == nil {
		return nil, errors.Errorf("unknown policy %q; known policies are %v", name, PolicyNames())
	}
	return b, nil
}

// PolicyNames returns the names of all policies in alphabetical order.
func PolicyNames() []string {
	var names []string
	for name := range builders {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
