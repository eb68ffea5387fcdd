package profile

import (
	"math"
	"slices"
)

// slidingMin tracks the minimum of the newest windowSize values.
type slidingMin struct {
	// values is a ring buffer, and next the index of the value to replace. Elements that have not
	// been set yet are infinite.
	values [windowSize]float64
	next   int
	// min is the minimum of values. It is infinite before the first value is added.
	min float64
}

// newSlidingMin returns a slidingMin without values, whose minimum is infinite.
func newSlidingMin() slidingMin {
	m := slidingMin{min: math.Inf(1)}
	for i := range m.values {
		m.values[i] = math.Inf(1)
	}
	return m
}

// add adds a value, which replaces the oldest one.
func (m *slidingMin) add(value float64) {
	removed := m.values[m.next]
	m.values[m.next] = value
	m.next = (m.next + 1) % windowSize
	switch {
	case value <= m.min:
		m.min = value
	case removed <= m.min:
		m.min = slices.Min(m.values[:])
	}
}
