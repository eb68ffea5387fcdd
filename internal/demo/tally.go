package demo

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"garnethoist.org/garnethoist/platform/platformtest"
)

// tally counts answers by what callers got.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	took   []time.Duration
}

func newTally() *tally { return &tally{counts: make(map[string]int)} }

func (t *tally) add(r platformtest.Reply, took time.Duration) {
	what := fmt.Sprint(r.Status)
	if r.Err != nil {
		what = "no whole answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[what]++
	if r.Status == 200 && r.Err == nil {
		t.took = append(t.took, took)
	}
}

// String returns the counts, and the median time of the whole answers.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for what, n := range t.counts {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(parts)
	out := strings.Join(parts, ", ")
	if len(t.took) > 0 {
		slices.Sort(t.took)
		out += fmt.Sprintf(" (median %.1f ms)", t.took[len(t.took)/2].Seconds()*1e3)
	}
	return out
}
