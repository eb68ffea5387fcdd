package stages

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: 14 s of long answers, then prompts, and within both a swing each 2.8 s.
const (
	phase = 14 * time.Second
	swing = 2800 * time.Millisecond
)

// needs plays a need for a span and returns the least and the most that counted in its last part.
func needs(p *peaks, at *time.Duration, span, last time.Duration, pressed bool, need func(at time.Duration) float64) (least, most float64) {
	least = 1e9
	for end := *at + span; *at < end; *at += tick {
		n := p.take(need(*at), pressed, *at)
		if end-*at <= last {
			least, most = min(least, n), max(most, n)
		}
	}
	return least, most
}

func constant(n float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return n }
}

// Engines that long answers needed a while ago were kept for them while prompts queued.
func TestEnginesPassToPromptsThatQueue(t *testing.T) {
	is := is.New(t)
	for _, pressed := range []bool{false, true} {
		p, at := &peaks{long: peak{span: peakSpan}, short: peak{span: pressedSpan}}, time.Minute
		_, most := needs(p, &at, phase, tick, false, constant(20))
		is.Equal(most, 20.0)
		_, most = needs(p, &at, 2*pressedSpan+tick, tick, pressed, constant(5))
		if pressed {
			is.Equal(most, 5.0)
		} else {
			is.Equal(most, 20.0) // no prompt wants them
		}
	}
}

// An engine takes as long to change its stage as a swing lasts: none changes with it.
func TestEnginesDoNotFollowASwing(t *testing.T) {
	is := is.New(t)
	p, at := &peaks{long: peak{span: peakSpan}, short: peak{span: pressedSpan}}, time.Minute
	least, most := needs(p, &at, 3*phase, 2*phase, true, func(at time.Duration) float64 {
		if at/swing%2 == 0 {
			return 20
		}
		return 5
	})
	is.Equal(least, 20.0)
	is.Equal(most, 20.0)
}
