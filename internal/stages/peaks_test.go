package stages

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: 14 s of long answers, then 14 s of prompts, and in both the demand swings every
// 2.8 s.
const (
	// phaseLength is how long a phase of long answers or a phase of prompts lasts.
	phaseLength = 14 * time.Second
	// swingLength is the period of the swings of the demand within a phase.
	swingLength = 2800 * time.Millisecond
)

// observeFor calls p.observe with the demand once every stepInterval for the given span, which
// starts at *at, and advances *at to the end of the span. It returns the lowest and the highest
// result of the calls within the duration last before the end of the span.
func observeFor(p *demandPeaks, at *time.Duration, span, last time.Duration, backlogged bool, demand func(at time.Duration) float64) (lowest, highest float64) {
	lowest = 1e9
	for end := *at + span; *at < end; *at += stepInterval {
		n := p.observe(demand(*at), backlogged, *at)
		if end-*at <= last {
			lowest, highest = min(lowest, n), max(highest, n)
		}
	}
	return lowest, highest
}

// constant returns a demand that does not change over time.
func constant(n float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return n }
}

// Engines that were needed for decoding only by earlier long answers must not be kept as decode
// engines while prompts queue for prefill.
func TestBackloggedPrefillReleasesDecodeEngines(t *testing.T) {
	is := is.New(t)
	for _, backlogged := range []bool{false, true} {
		p, at := &demandPeaks{long: slidingPeak{window: peakWindow}, short: slidingPeak{window: backlogPeakWindow}}, time.Minute
		_, highest := observeFor(p, &at, phaseLength, stepInterval, false, constant(20))
		is.Equal(highest, 20.0)
		_, highest = observeFor(p, &at, 2*backlogPeakWindow+stepInterval, stepInterval, backlogged, constant(5))
		if backlogged {
			is.Equal(highest, 5.0)
		} else {
			is.Equal(highest, 20.0) // no prompts queue, so the peak is kept
		}
	}
}

// A stage change takes as long as a swing of the demand lasts, so the peak to plan for must not
// follow a swing, even while prompts queue.
func TestPlanDoesNotFollowDemandSwings(t *testing.T) {
	is := is.New(t)
	p, at := &demandPeaks{long: slidingPeak{window: peakWindow}, short: slidingPeak{window: backlogPeakWindow}}, time.Minute
	lowest, highest := observeFor(p, &at, 3*phaseLength, 2*phaseLength, true, func(at time.Duration) float64 {
		if at/swingLength%2 == 0 {
			return 20
		}
		return 5
	})
	is.Equal(lowest, 20.0)
	is.Equal(highest, 20.0)
}
