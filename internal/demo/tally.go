package demo

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"garnethoist.org/garnethoist/platform/platformtest"
)

// outcomes counts answers by status and collects the durations of successful requests. counts also
// has a key for requests without a complete answer. It is safe for concurrent use.
type outcomes struct {
	mu        sync.Mutex
	counts    map[string]int
	durations []time.Duration
}

func newOutcomes() *outcomes { return &outcomes{counts: make(map[string]int)} }

// add counts the answer to one request, which took the given duration.
func (o *outcomes) add(r platformtest.Result, took time.Duration) {
	what := fmt.Sprint(r.Status)
	if r.Err != nil {
		what = "no whole answer"
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
	if r.Status == 200 && r.Err == nil {
		o.durations = append(o.durations, took)
	}
}

// String returns the counts, and the median duration of the successful requests.
func (o *outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var parts []string
	for what, n := range o.counts {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(parts)
	out := strings.Join(parts, ", ")
	if len(o.durations) > 0 {
		slices.Sort(o.durations)
		out += fmt.Sprintf(" (median %.1f ms)", o.durations[len(o.durations)/2].Seconds()*1e3)
	}
	return out
}
