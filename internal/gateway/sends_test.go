package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/retry"
)

// newTestTracker returns the tracker of a request with the given number of attempts, and its budget
// with the given number of retries.
func newTestTracker(attempts, retries int) (*attemptTracker, *retry.Window) {
	w := retry.NewWindow(retry.WindowConfig{Slack: float64(retries), Span: 10 * time.Second})
	return &attemptTracker{budget: func() *retry.Window { return w }, clock: func() time.Duration { return 0 }, maxAttempts: attempts}, w
}

// Whatever the attempts and their outcomes, each arrival after the first is taken from the budget,
// no retry is lost, and a prompt is prefilled separately once at most.
func TestEachArrivalAfterTheFirstUsesOneRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retries = 3
		s, w := newTestTracker(rapid.IntRange(1, 5).Draw(t, "attempts"), retries)
		arrivals, accepted, mayHavePrefilled := 0, 0, 0
		for range rapid.IntRange(1, 12).Draw(t, "sends") {
			prefillOnly := rapid.Bool().Draw(t, "prefill only")
			if rapid.Bool().Draw(t, "reserve first") && !s.reserve() {
				continue
			}
			a, ok := s.begin(prefillOnly)
			if !ok {
				continue
			}
			out := rapid.SampledFrom([]outcome{outcomeNotSent, outcomeRefused, outcomeUnknown, outcomeAnswered}).Draw(t, "out")
			s.finish(a, out)
			if out != outcomeNotSent {
				arrivals++
			}
			if prefillOnly && out == outcomeAnswered {
				accepted++
			}
			if prefillOnly && (out == outcomeAnswered || out == outcomeUnknown) {
				mayHavePrefilled++
			}
		}
		s.releaseReserved()
		extra := max(arrivals-min(accepted, 1)-1, 0)
		if s.retriesUsed < extra {
			t.Fatalf("%d arrivals after the first, but %d retries used", extra, s.retriesUsed)
		}
		if mayHavePrefilled > 1 {
			t.Fatalf("prefilled separately %d times", mayHavePrefilled)
		}
		left := 0
		for w.Retry(0) {
			left++
		}
		if left+s.retriesUsed != retries {
			t.Fatalf("%d retries used and %d left of %d", s.retriesUsed, left, retries)
		}
	})
}

// A target that cannot be reached uses up neither an attempt nor a retry.
func TestUnreachableTargetsAreNotArrivals(t *testing.T) {
	is := is.New(t)
	s, _ := newTestTracker(1, 0)
	for range 5 {
		a, ok := s.begin(false)
		is.True(ok)
		s.finish(a, outcomeNotSent)
	}
	_, ok := s.begin(false)
	is.True(ok)
	_, ok = s.begin(false)
	is.True(!ok)
}
