package model

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// PolicyRun is the result of a day under one policy.
type PolicyRun struct {
	Policy string
	Result *Result
	// Bound assumes fixed stages and the cache hit rate that this run had.
	Bound Bound
}

// Report compares a day's results under several policies with the bounds on its worth.
type Report struct {
	Site *Site
	Day  *Day
	Seed uint64
	// Bound applies to any policy, and FixedStagesBound to policies that do not change stages.
	Bound            Bound
	FixedStagesBound Bound
	// HitRateBound assumes that the fraction BestHitRate of the shared tokens is found in cache.
	// It is an estimate, since a better assignment of sessions to engines may exist.
	HitRateBound Bound
	BestHitRate  float64
	Runs         []PolicyRun
}

// NewReport generates a day's requests and simulates the day under each named policy. It returns an
// error if a policy is unknown.
func NewReport(s *Site, d *Day, seed uint64, policies []string) (*Report, error) {
	requests := GenerateRequests(s, d, seed)
	r := &Report{Site: s, Day: d, Seed: seed, Bound: NewBound(s, d, requests, AnyPolicy())}
	r.FixedStagesBound = NewBound(s, d, requests, Assumptions{FixedStages: true, MissRate: -1})
	// A bound on any policy also applies to those with fixed stages.
	r.FixedStagesBound.Worth = min(r.FixedStagesBound.Worth, r.Bound.Worth)
	r.BestHitRate = BestHitRate(s, requests)
	r.HitRateBound = NewBound(s, d, requests, Assumptions{MissRate: 1 - r.BestHitRate})
	for _, name := range policies {
		build, err := BuilderByName(name)
		if err != nil {
			return nil, err
		}
		for _, q := range requests {
			q.refusalDelay = 0
		}
		run := PolicyRun{Policy: name, Result: Play(s, d, requests, seed, build)}
		missRate := 1 - run.Result.Tokens.hitRate()
		run.Bound = NewBound(s, d, requests, Assumptions{FixedStages: true, MissRate: missRate})
		r.Runs = append(r.Runs, run)
	}
	return r, nil
}

// Write writes the report as Markdown.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s, %s, seed %d\n\n", r.Site.Name, r.Day.Name, r.Seed)
	fmt.Fprintf(&b, "Bound on the worth of any policy: %.3f of what is owed; %.3f where engines keep their stages.\n", r.Bound.Share(), r.FixedStagesBound.Share())
	fmt.Fprintf(&b, "With %.3f of the shared tokens held, the most that a way to deal sessions to engines gave: %.3f.\n", r.BestHitRate, r.HitRateBound.Share())
	fmt.Fprintf(&b, "A policy's own bound is with fixed stages and as many shared tokens held as under it.\n")
	fmt.Fprintf(&b, "Worth counts from the first attempt, before prices; plain calls are taken as served in time.\n\n")
	b.WriteString("| policy | worth | own bound | in time | late | refused | failed | turned away at first | shared tokens held | tokens read | GB moved |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range r.Runs {
		t, tokens := run.Result.Total(), run.Result.Tokens
		fmt.Fprintf(&b, "| %s | %.3f | %.3f | %d | %d | %d | %d | %d | %.3f | %.1f M | %.0f |\n", run.Policy, ratio(t.Worth, t.OfferedWorth), run.Bound.Share(),
			t.InTime, t.Late, t.Refused, t.Failed, t.FirstRefused, tokens.hitRate(),
			float64(tokens.Prefilled)/million, float64(tokens.Moved)*r.Site.Engine.KVTokenBytes/billion)
	}
	for i, c := range r.Site.Classes {
		if c.Plain {
			continue
		}
		fmt.Fprintf(&b, "\n## %s\n\n| policy | size | asked | worth | in time | late | refused | failed | turned away at first |\n|---|---|---|---|---|---|---|---|---|\n", c.Name)
		for _, run := range r.Runs {
			writeCount(&b, run.Policy, "all", run.Result.Classes[i])
			for k, name := range bandNames {
				writeCount(&b, run.Policy, name, run.Result.Sizes[i][k])
			}
		}
	}
	b.WriteString("\n## Engine time asked for and there, by second\n\n| second | least | with nothing held | there | there with fixed stages |\n|---|---|---|---|---|\n")
	for i, c := range r.Bound.Seconds {
		fmt.Fprintf(&b, "| %d | %.1f | %.1f | %.1f | %.1f |\n", i, c.Min, c.Cold, r.Bound.Capacity, r.FixedStagesBound.Capacity)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write report")
}

// billion is the number of bytes in a gigabyte.
const billion = 1e9

// bandNames are the names of the size bands in the report.
var bandNames = [numBands]string{"largest tenth", "next fifth", "rest"}

// writeCount writes one row of a class's table.
func writeCount(b *strings.Builder, policy, size string, c Count) {
	fmt.Fprintf(b, "| %s | %s | %d | %.3f | %d | %d | %d | %d | %d |\n", policy, size, c.Offered, ratio(c.Worth, c.OfferedWorth),
		c.InTime, c.Late, c.Refused, c.Failed, c.FirstRefused)
}

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
