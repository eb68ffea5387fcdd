package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/retry"
)

// newSends returns the account of a request of so many attempts on a budget of so many
// retries.
func newSends(attempts, retries int) (*sends, *retry.Window) {
	w := retry.NewWindow(retry.WindowConfig{Slack: float64(retries), Span: 10 * time.Second})
	return &sends{budget: func() *retry.Window { return w }, clock: func() time.Duration { return 0 }, most: attempts}, w
}

// Whatever the sends of a request and their ends, each arrival beyond the first was drawn, no
// draw is lost, and a prompt is read apart once at most.
func TestEachArrivalBeyondTheFirstIsDrawnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retries = 3
		s, w := newSends(rapid.IntRange(1, 5).Draw(t, "attempts"), retries)
		arrivals, accepted, mayHaveRead := 0, 0, 0
		for range rapid.IntRange(1, 12).Draw(t, "sends") {
			reading := rapid.Bool().Draw(t, "reading")
			if rapid.Bool().Draw(t, "asks") && !s.reserve() {
				continue
			}
			sd, ok := s.begin(reading)
			if !ok {
				continue
			}
			out := rapid.SampledFrom([]outcome{sentNothing, refused, unknown, answered}).Draw(t, "out")
			s.settle(sd, out)
			if out != sentNothing {
				arrivals++
			}
			if reading && out == answered {
				accepted++
			}
			if reading && (out == answered || out == unknown) {
				mayHaveRead++
			}
		}
		s.close()
		extra := max(arrivals-min(accepted, 1)-1, 0)
		if s.drawn < extra {
			t.Fatalf("%d extra arrivals, %d drawn", extra, s.drawn)
		}
		if mayHaveRead > 1 {
			t.Fatalf("read %d times", mayHaveRead)
		}
		left := 0
		for w.Retry(0) {
			left++
		}
		if left+s.drawn != retries {
			t.Fatalf("%d drawn and %d left of %d", s.drawn, left, retries)
		}
	})
}

// A target that could not be reached costs neither an attempt nor a draw.
func TestTargetsThatAreNotReachedAreNoArrivals(t *testing.T) {
	is := is.New(t)
	s, _ := newSends(1, 0)
	for range 5 {
		sd, ok := s.begin(false)
		is.True(ok)
		s.settle(sd, sentNothing)
	}
	_, ok := s.begin(false)
	is.True(ok)
	_, ok = s.begin(false)
	is.True(!ok)
}
