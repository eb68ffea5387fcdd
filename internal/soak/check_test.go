package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/soak"
)

const s = time.Second

// Each check is shown a history that it must refuse, and one beside it that it
// must take.
func TestChecksRefuseBrokenHistories(t *testing.T) {
	good := soak.Answer{Succeeded: true, Engine: "e1", Whole: true}
	cases := []struct {
		name    string
		history func(c *soak.Checker)
		broken  soak.Promise
	}{
		{"a whole answer", func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Answered("q", good, s) }, ""},
		{"an answer of a target that did not run it", func(c *soak.Checker) { c.Ran("q", "e2", "", s); c.Answered("q", good, s) }, soak.Whole},
		{"a part taken for the whole", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Succeeded: true, Engine: "e1"}, s)
		}, soak.Whole},
		{"a repeatable request twice", func(c *soak.Checker) { c.Sent("r", "vm", false, 0); c.Ran("r", "e1", "", s); c.Ran("r", "e2", "", s) }, ""},
		{"one that may run once, twice", func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Ran("q", "e2", "", s) }, soak.Once},
		{"a true refusal", func(c *soak.Checker) { c.Answered("q", soak.Answer{Refused: true}, s) }, ""},
		{"refused though it ran", func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Answered("q", soak.Answer{Refused: true}, s) }, soak.Unrun},
		{"run after a refusal", func(c *soak.Checker) { c.Answered("q", soak.Answer{Refused: true}, s); c.Ran("q", "e1", "", 2*s) }, soak.Unrun},
		{"a request that nobody sent", func(c *soak.Checker) { c.Ran("x", "e1", "", s) }, soak.Asked},
		{"another's KV cache", func(c *soak.Checker) { c.Ran("q", "e1", "other", s) }, soak.Asked},
		{"its own KV cache", func(c *soak.Checker) { c.Ran("q", "e1", "q", s) }, ""},
		{"orders in turn, far apart", func(c *soak.Checker) { c.Ordered("e1", "a", 1, 0); c.Ordered("e1", "b", 2, 4*s) }, ""},
		{"orders of two holders close together", func(c *soak.Checker) { c.Ordered("e1", "a", 1, 0); c.Ordered("e1", "b", 2, s) }, soak.OneHolder},
		{"a lower fence after a higher one", func(c *soak.Checker) { c.Ordered("e1", "a", 2, 0); c.Ordered("e1", "a", 1, 9*s) }, soak.OneHolder},
		{"two holders with one fence", func(c *soak.Checker) { c.Ordered("e1", "a", 1, 0); c.Ordered("e1", "b", 1, 9*s) }, soak.OneHolder},
		{"a request soon after leaving", func(c *soak.Checker) { c.Leaves("e1", 10*s); c.Arrived("q", "e1", 11*s) }, ""},
		{"a request late after leaving", func(c *soak.Checker) { c.Leaves("e1", 10*s); c.Arrived("q", "e1", 13*s) }, soak.Left},
		{"the same from a disturbed VM", func(c *soak.Checker) { c.Disturbed("vm", 8*s, 9*s); c.Leaves("e1", 10*s); c.Arrived("q", "e1", 13*s) }, ""},
		{"the same with the store disturbed", func(c *soak.Checker) {
			c.Disturbed(soak.All, 11*s, 12*s)
			c.Leaves("e1", 10*s)
			c.Arrived("q", "e1", 13*s)
		}, ""},
		{"a version that goes back", func(c *soak.Checker) { c.Shown("vm", 1, 5, 0, s); c.Shown("vm", 1, 4, 2*s, 2*s) }, soak.Forward},
		{"an older version to a request sent before", func(c *soak.Checker) { c.Shown("vm", 1, 5, 0, s); c.Shown("vm", 1, 4, s/2, 2*s) }, ""},
		{"an older version after a restart", func(c *soak.Checker) { c.Shown("vm", 1, 5, 0, s); c.Shown("vm", 2, 4, 2*s, 2*s) }, ""},
		{"an old version long after a new one", func(c *soak.Checker) { c.Changed(5, s); c.Shown("vm", 1, 4, 4*s, 4*s) }, soak.InForce},
		{"an old version soon after a new one", func(c *soak.Checker) { c.Changed(5, s); c.Shown("vm", 1, 4, 2*s, 2*s) }, ""},
		{"an end of its own", func(c *soak.Checker) { c.EndedByItself("vm", s) }, soak.Alive},
		{"a whole answer cut on the way", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.Written)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.Uncut},
		{"cut by the VM while the target works", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.Uncut},
		{"the same while only the store is disturbed", func(c *soak.Checker) {
			c.Disturbed(soak.All, 0, s)
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.Uncut},
		{"cut, and only then known how the target ended", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Cut: true}, s)
			c.Ended("q", soak.HungUp)
		}, soak.Uncut},
		{"cut by a target that hung, which ends with its connection", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Cut: true}, s)
			c.Ended("q", soak.Spoiled)
		}, ""},
		{"cut by the target itself", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.Spoiled)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, ""},
		{"cut when its caller's time is over", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s/2+2*s)
		}, ""},
		{"cut just before its caller's time is over", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s/2+2*s-time.Millisecond)
		}, soak.Uncut},
		{"cut by the VM's kill", func(c *soak.Checker) {
			c.Disturbed("vm", s/2, s)
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.Written)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, ""},
		{"all serve again", func(c *soak.Checker) { c.Recovers("vm", 9, 10, s) }, ""},
		{"one does not", func(c *soak.Checker) { c.Recovers("vm", 8, 10, s) }, soak.Recovered},
		{"one is not even asked", func(c *soak.Checker) { c.Recovers("vm", 0, 0, s) }, soak.Recovered},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := soak.NewChecker()
			c.Sent("q", "vm", true, s/2)
			tc.history(c)
			broken, _ := c.Result()
			if tc.broken == "" {
				is.Equal(len(broken), 0)
				return
			}
			is.Equal(len(broken), 1)
			is.Equal(broken[0].Promise, tc.broken)
		})
	}
}
