package burn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Counts covers the given window to within the spacing of the samples, and the series stays
// bounded.
func TestCountsOverWindows(t *testing.T) {
	is := is.New(t)
	s := NewSeries(10*time.Second, time.Hour)
	s.Add(Sample{})
	// Two hours with one answer per second. The answers of the last minute are bad.
	for i := 1; i <= 7200; i++ {
		bad := max(0, i-7140)
		s.Add(Sample{At: time.Duration(i) * time.Second, Good: uint64(i - bad), Bad: uint64(bad)})
	}
	good, bad := s.Counts(5 * time.Minute)
	is.Equal(bad, uint64(60))
	is.True(good >= 240 && good <= 260) // accurate to the spacing of the samples
	good, bad = s.Counts(time.Hour)
	is.Equal(bad, uint64(60))
	is.True(good >= 3540 && good <= 3560)
	is.True(len(s.samples) <= 362)
}

// The rate is the fraction of bad answers in units of what the objective allows, and 0 without any
// answers.
func TestRate(t *testing.T) {
	is := is.New(t)
	is.Equal(Rate(0, 0, 0.99), 0.0)
	r := Rate(98, 2, 0.99)
	is.True(r > 1.99 && r < 2.01) // twice what the objective allows
}
