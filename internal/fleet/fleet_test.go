package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Match ignores the port of the host and the case of its letters, but not the slash at the end of a
// prefix.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	c := fleet.NewConfig(1, []*fleet.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, fleet.Limits{})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/xy", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/z", "other"},
		{"c.example", "/x/", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			is := is.New(t)
			name := ""
			if r := c.Match(tc.host, tc.path); r != nil {
				name = r.Name
			}
			is.Equal(name, tc.want)
		})
	}
}

// Pick divides the range of random numbers in proportion to the weights of the shares. It returns
// the last share's service if no weight is positive or random is out of range.
func TestPickFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := fleet.Route{Shares: []fleet.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	is.Equal(r.Pick(0), "a")
	is.Equal(r.Pick(0.899), "a")
	is.Equal(r.Pick(0.901), "b")
	is.Equal(r.Pick(1), "b")
	zero := fleet.Route{Shares: []fleet.Share{{Service: "a"}, {Service: "b"}}}
	is.Equal(zero.Pick(0.5), "b")
}

// A configuration that is not newer than the current one is not published.
func TestKeeperIgnoresOlderConfigurations(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	is.True(!k.View().Usable())
	is.True(k.SetConfig(fleet.NewConfig(7, nil, nil, fleet.Limits{})))
	is.True(!k.SetConfig(fleet.NewConfig(6, nil, nil, fleet.Limits{})))
	is.True(!k.SetConfig(fleet.NewConfig(7, nil, nil, fleet.Limits{})))
	is.Equal(k.View().Config.Version, uint64(7))
}

// A target that has been removed stays in the views that were published before.
func TestViewIsNotChangedByLaterUpdates(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	a := &fleet.Target{ID: "i-a", Service: "s"}
	k.ApplyTargets([]fleet.TargetChange{{ID: a.ID, Target: a}}, 3)
	before := k.View()
	k.ApplyTargets([]fleet.TargetChange{{ID: a.ID}}, 4)
	is.True(before.Has(a))
	is.True(!k.View().Has(a))
	is.Equal(k.View().TargetsRevision, uint64(4))
}

// View.Has returns false for a leaving target, although the view holds the target.
func TestHasIgnoresLeavingTargets(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	a := &fleet.Target{ID: "i-a", Service: "s", Leaving: true}
	k.ApplyTargets([]fleet.TargetChange{{ID: a.ID, Target: a}}, 1)
	is.True(!k.View().Has(a))
}

// A target of a service that is not in the configuration, as an entry written by another program
// may be, does not make the view usable.
func TestViewIsUsableWithATargetOfAConfiguredService(t *testing.T) {
	is := is.New(t)
	k := fleet.NewKeeper()
	k.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "s"}}, fleet.Limits{}))
	k.ApplyTargets([]fleet.TargetChange{{ID: "x", Target: &fleet.Target{ID: "x", Service: "unknown"}}}, 1)
	is.True(!k.View().Usable())
	k.ApplyTargets([]fleet.TargetChange{{ID: "a", Target: &fleet.Target{ID: "a", Service: "s"}}}, 2)
	is.True(k.View().Usable())
}
