package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/retry"
)

// bound is the bound on retries that these tests check.
var bound = retry.WindowConfig{Ratio: 0.2, Slack: 5, Span: 10 * time.Second}

// A new window allows Slack retries without any request, and an emptied one allows none.
func TestSlackIsAvailableFromTheStart(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(bound)
	n := 0
	for w.Retry(0) {
		n++
	}
	is.Equal(n, 5)
	w.Empty()
	is.True(!w.Retry(0))
}

// After steady traffic, more retries than Slack are available at once for a burst of failures.
func TestTrafficSavesRetriesForABurst(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(bound)
	now := time.Duration(0)
	for range 2000 {
		now += 20 * time.Millisecond // 50 a second
		w.Request(now)
	}
	n := 0
	for w.Retry(now) {
		n++
	}
	is.True(n > 20 && n <= 30)
}

// Whatever the pattern of requests, no span has more retries than the bound allows. The bound is
// taken for the largest of three numbers of requests (see findExcess).
func TestNoSpanIsOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var phases []phase
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			gap := time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
			retriesPerRequest := rapid.IntRange(0, 3).Draw(t, "greed")
			phases = append(phases, phase{gap: gap, retriesPerRequest: retriesPerRequest, requests: rapid.IntRange(1, 200).Draw(t, "requests")})
		}
		if excess := simulate(phases); excess != "" {
			t.Fatal(excess)
		}
	})
}

// Guards against counting requests for longer than a span. With an exponentially decaying count, a
// burst still counted after that time: there were 17 retries in a span of 54 requests, where the
// bound is 15.8 and findExcess tolerates 1 more. TestNoSpanIsOverTheBound found these phases (rapid
// seed 6034037910942258090).
func TestBurstIsForgottenAfterTheSpan(t *testing.T) {
	excess := simulate([]phase{
		{gap: time.Millisecond, requests: 47},
		{gap: 8 * time.Millisecond, requests: 135},
		{gap: 384 * time.Millisecond, requests: 25},
		{gap: 169 * time.Millisecond, retriesPerRequest: 1, requests: 54},
	})
	if excess != "" {
		t.Fatal(excess)
	}
}

// The bound also holds for a window that starts empty and is filled later.
func TestWindowThatIsFilledLaterKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := retry.NewWindow(bound)
		w.Empty()
		fillAt := rapid.IntRange(0, 300).Draw(t, "fill")
		gap := time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
		retriesPerRequest := rapid.IntRange(1, 3).Draw(t, "greed")
		var requests, retries []time.Duration
		now := time.Duration(0)
		for i := range 400 {
			now += gap
			if i == fillAt {
				w.Fill(now)
			}
			w.Request(now)
			requests = append(requests, now)
			for range retriesPerRequest {
				if w.Retry(now) {
					retries = append(retries, now)
				}
			}
		}
		if excess := findExcess(requests, retries); excess != "" {
			t.Fatal(excess)
		}
	})
}

// phase is a series of requests with a fixed time between them, gap. Each of them asks for
// retriesPerRequest retries.
type phase struct {
	gap               time.Duration
	retriesPerRequest int
	requests          int
}

// simulate runs the phases one after the other. It returns a description of a span in which the
// retries exceed the bound, or "" if there is none.
func simulate(phases []phase) string {
	w := retry.NewWindow(bound)
	var requests, retries []time.Duration
	now := time.Duration(0)
	for _, p := range phases {
		for range p.requests {
			now += p.gap
			w.Request(now)
			requests = append(requests, now)
			for range p.retriesPerRequest {
				if w.Retry(now) {
					retries = append(retries, now)
				}
			}
		}
	}
	return findExcess(requests, retries)
}

// findExcess returns a description of a span in which the retries exceed the bound by more than 1,
// or "" if there is none. The bound is taken for the requests of that span, of the span before it,
// or of the last half of the span before it and the first half of the span itself, whichever are
// most.
func findExcess(requests, retries []time.Duration) string {
	for _, from := range retries {
		extra := count(retries, from, from+bound.Span)
		maxRequests := max(count(requests, from, from+bound.Span), count(requests, from-bound.Span, from), count(requests, from-bound.Span/2, from+bound.Span/2))
		if float64(extra) > bound.Slack+bound.Ratio*float64(maxRequests)+1 {
			return fmt.Sprintf("%d retries in a span of %d requests from %s", extra, maxRequests, from)
		}
	}
	return ""
}

// count returns how many of the times in at are in [from, to).
func count(at []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range at {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
