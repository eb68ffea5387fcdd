// Package burn computes the burn rate of a service's error budget: the fraction of answers in a
// window that are bad, divided by the fraction that the objective allows. A rate of 1 uses up the
// budget exactly. The package has no clock and does no I/O.
package burn

import "time"

// Sample holds the cumulative counts of a service's good and bad answers at the time At, which
// counts from any fixed moment.
type Sample struct {
	At   time.Duration
	Good uint64
	Bad  uint64
}

// Series holds a service's samples at a fixed spacing, in bounded memory. It is not safe for
// concurrent use.
type Series struct {
	spacing  time.Duration
	capacity int
	samples  []Sample
}

// NewSeries returns an empty series that keeps one sample per spacing, and enough samples to cover
// window.
func NewSeries(spacing, window time.Duration) *Series {
	return &Series{spacing: spacing, capacity: int(window/spacing) + 1}
}

// Add adds a sample. It replaces the last sample if that is less than a spacing after the one
// before it.
func (s *Series) Add(x Sample) {
	if n := len(s.samples); n > 1 && s.samples[n-1].At-s.samples[n-2].At < s.spacing {
		s.samples[n-1] = x
		return
	}
	s.samples = append(s.samples, x)
	if len(s.samples) > s.capacity+1 {
		s.samples = append(s.samples[:0], s.samples[1:]...)
	}
}

// Last returns the time of the last sample, or false if there is none.
func (s *Series) Last() (time.Duration, bool) {
	if len(s.samples) == 0 {
		return 0, false
	}
	return s.samples[len(s.samples)-1].At, true
}

// Counts returns the numbers of good and bad answers in the window that ends with the last sample,
// accurate to the spacing.
func (s *Series) Counts(window time.Duration) (good, bad uint64) {
	if len(s.samples) == 0 {
		return 0, 0
	}
	last, first := s.samples[len(s.samples)-1], s.samples[0]
	for _, x := range s.samples {
		if last.At-x.At <= window {
			break
		}
		first = x
	}
	return last.Good - first.Good, last.Bad - first.Bad
}

// Rate returns the burn rate for an objective, the fraction of answers that should be good, such as
// 0.99. It is 0 if there were no answers.
func Rate(good, bad uint64, objective float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}
