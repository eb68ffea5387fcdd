package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/soak"
)

// s keeps the times in the tables short.
const s = time.Second

// The checker finds the violation in sequences of events that violate one invariant each, and none
// in similar sequences that violate no invariant.
func TestCheckerFindsViolations(t *testing.T) {
	good := soak.Answer{Succeeded: true, Target: "e1", Whole: true}
	cases := []struct {
		name     string
		events   func(c *soak.Checker)
		violated soak.Invariant
	}{
		{"complete answer", func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Answered("q", good, s) }, ""},
		{"answer of a target that did not run the request",
			func(c *soak.Checker) { c.Ran("q", "e2", "", s); c.Answered("q", good, s) }, soak.WholeAnswer},
		{"truncated answer reported as a success", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Succeeded: true, Target: "e1"}, s)
		}, soak.WholeAnswer},
		{"a stream goes on at another version", func(c *soak.Checker) {
			c.StreamEnded("q", []string{"s1", "s1"}, s)
			c.StreamEnded("q", []string{"s1", "s2"}, s)
		}, soak.OneVersion},
		{"idempotent request runs twice",
			func(c *soak.Checker) { c.Sent("r", "vm", false, 0); c.Ran("r", "e1", "", s); c.Ran("r", "e2", "", s) },
			""},
		{"non-idempotent request runs twice",
			func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Ran("q", "e2", "", s) }, soak.AtMostOnce},
		{"refused and not run",
			func(c *soak.Checker) { c.Answered("q", soak.Answer{Refused: true}, s) }, ""},
		{"refused after it ran",
			func(c *soak.Checker) { c.Ran("q", "e1", "", s); c.Answered("q", soak.Answer{Refused: true}, s) },
			soak.RefusalNotRun},
		{"run after it was refused",
			func(c *soak.Checker) { c.Answered("q", soak.Answer{Refused: true}, s); c.Ran("q", "e1", "", 2*s) },
			soak.RefusalNotRun},
		{"request that no caller sent",
			func(c *soak.Checker) { c.Ran("x", "e1", "", s) }, soak.SentByCaller},
		{"KV cache of another request",
			func(c *soak.Checker) { c.Ran("q", "e1", "other", s) }, soak.SentByCaller},
		{"KV cache of the same request", func(c *soak.Checker) { c.Ran("q", "e1", "q", s) }, ""},
		{"orders of two holders far apart",
			func(c *soak.Checker) { c.OrderAccepted("e1", "a", 1, 0); c.OrderAccepted("e1", "b", 2, 4*s) },
			""},
		{"orders of two holders close together",
			func(c *soak.Checker) { c.OrderAccepted("e1", "a", 1, 0); c.OrderAccepted("e1", "b", 2, s) },
			soak.OneHolder},
		{"lower fencing number after a higher one",
			func(c *soak.Checker) { c.OrderAccepted("e1", "a", 2, 0); c.OrderAccepted("e1", "a", 1, 9*s) },
			soak.OneHolder},
		{"two holders with the same fencing number",
			func(c *soak.Checker) { c.OrderAccepted("e1", "a", 1, 0); c.OrderAccepted("e1", "b", 1, 9*s) },
			soak.OneHolder},
		{"request soon after the target began to leave",
			func(c *soak.Checker) { c.Leaves("e1", 10*s); c.Arrived("q", "e1", 11*s) }, ""},
		{"request long after the target began to leave",
			func(c *soak.Checker) { c.Leaves("e1", 10*s); c.Arrived("q", "e1", 13*s) },
			soak.NoneAfterLeaving},
		{"request from a disturbed VM long after the target began to leave",
			func(c *soak.Checker) { c.Disturbed("vm", 8*s, 9*s); c.Leaves("e1", 10*s); c.Arrived("q", "e1", 13*s) },
			""},
		{"request long after the target began to leave, store disturbed", func(c *soak.Checker) {
			c.Disturbed(soak.All, 11*s, 12*s)
			c.Leaves("e1", 10*s)
			c.Arrived("q", "e1", 13*s)
		}, ""},
		{"older version to a request sent later",
			func(c *soak.Checker) { c.VersionObserved("vm", 1, 5, 0, s); c.VersionObserved("vm", 1, 4, 2*s, 2*s) },
			soak.VersionMonotonic},
		{"older version to a request sent before",
			func(c *soak.Checker) { c.VersionObserved("vm", 1, 5, 0, s); c.VersionObserved("vm", 1, 4, s/2, 2*s) },
			""},
		{"older version after a restart",
			func(c *soak.Checker) { c.VersionObserved("vm", 1, 5, 0, s); c.VersionObserved("vm", 2, 4, 2*s, 2*s) },
			""},
		{"replaced version long after the new one was written",
			func(c *soak.Checker) { c.ConfigWritten(5, s); c.VersionObserved("vm", 1, 4, 4*s, 4*s) },
			soak.VersionInForce},
		{"replaced version soon after the new one was written",
			func(c *soak.Checker) { c.ConfigWritten(5, s); c.VersionObserved("vm", 1, 4, 2*s, 2*s) }, ""},
		{"unexpected exit", func(c *soak.Checker) { c.UnexpectedExit("vm", s) }, soak.NoCrash},
		{"complete answer truncated on the way", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.Completed)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.NoTruncation},
		{"truncated by the VM while the target works", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.NoTruncation},
		{"truncated by the VM while only the store is disturbed", func(c *soak.Checker) {
			c.Disturbed(soak.All, 0, s)
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, soak.NoTruncation},
		{"truncated by the VM, target's work ends later", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Cut: true}, s)
			c.Ended("q", soak.HungUp)
		}, soak.NoTruncation},
		{"truncated by a target that hangs until its connection closes", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Answered("q", soak.Answer{Cut: true}, s)
			c.Ended("q", soak.BrokenOff)
		}, ""},
		{"truncated by the target", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.BrokenOff)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, ""},
		{"truncated at the caller's timeout", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s/2+2*s)
		}, ""},
		{"truncated just before the caller's timeout", func(c *soak.Checker) {
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.HungUp)
			c.Answered("q", soak.Answer{Cut: true}, s/2+2*s-time.Millisecond)
		}, soak.NoTruncation},
		{"truncated as the VM is killed", func(c *soak.Checker) {
			c.Disturbed("vm", s/2, s)
			c.Ran("q", "e1", "", s)
			c.Ended("q", soak.Completed)
			c.Answered("q", soak.Answer{Cut: true}, s)
		}, ""},
		{"VM serves again", func(c *soak.Checker) { c.CheckRecovery("vm", 9, 10, s) }, ""},
		{"VM fails too many requests",
			func(c *soak.Checker) { c.CheckRecovery("vm", 8, 10, s) }, soak.Recovered},
		{"VM was sent no request", func(c *soak.Checker) { c.CheckRecovery("vm", 0, 0, s) }, soak.Recovered},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := soak.NewChecker()
			c.Sent("q", "vm", true, s/2)
			tc.events(c)
			violations, _ := c.Result()
			if tc.violated == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Invariant, tc.violated)
		})
	}
}
