package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/retry"
)

var bound = retry.WindowConfig{Ratio: 0.2, Slack: 5, Span: 10 * time.Second}

func TestSlackIsThereFromTheStart(t *testing.T) {
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

// After steady traffic a burst of failures finds more than the slack.
func TestTrafficSavesUpForABurst(t *testing.T) {
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

// Whatever comes when, no span holds more retries than the bound allows; the
// requests counted are those of the span or of the one before it.
func TestNoSpanIsOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := retry.NewWindow(bound)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			gap := time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
			greed := rapid.IntRange(0, 3).Draw(t, "greed")
			for range rapid.IntRange(1, 200).Draw(t, "requests") {
				now += gap
				w.Request(now)
				requests = append(requests, now)
				for range greed {
					if w.Retry(now) {
						retries = append(retries, now)
					}
				}
			}
		}
		for _, from := range retries {
			extra := count(retries, from, from+bound.Span)
			most := max(count(requests, from, from+bound.Span), count(requests, from-bound.Span, from), count(requests, from-bound.Span/2, from+bound.Span/2))
			if float64(extra) > bound.Slack+bound.Ratio*float64(most)+1 {
				t.Fatalf("%d retries in a span of %d requests from %s", extra, most, from)
			}
		}
	})
}

func count(at []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range at {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
