package place

import (
	"cmp"
	"slices"
	"time"
)

// spread chooses among ways whose prices are the costs as far as they are known here.
//
// Load pattern: many VMs, each with few requests, that know each other's work only as it
// was some time ago. Were the cheapest chosen, all would choose the same target until
// they hear of each other. So unseen, the work that others have placed meanwhile, is taken
// to fill the cheapest targets up to one level, and a way below it is drawn with the
// probability that levels them (Dahlin, Interpreting Stale Load Information, 1999). With
// fresh knowledge this is the cheapest, with old knowledge a random one.
type spread struct {
	price []time.Duration
	// order is the ways by price; reached of them are below level.
	order   []int
	level   time.Duration
	reached int
	unseen  time.Duration
}

func newSpread(price []time.Duration, unseen time.Duration) *spread {
	s := &spread{price: price, order: make([]int, len(price)), unseen: unseen}
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(price[a], price[b]) })
	s.fill()
	return s
}

// fill sets the level to which unseen fills the cheapest ways.
func (s *spread) fill() {
	sum := s.unseen
	for n, i := range s.order {
		if n > 0 && sum/time.Duration(n) <= s.price[i] {
			break
		}
		sum += s.price[i]
		s.reached = n + 1
		s.level = sum / time.Duration(s.reached)
	}
}

// draw returns a way; random is uniform in [0, 1).
func (s *spread) draw(random float64) int {
	point := random * float64(s.unseen)
	for _, i := range s.order[:s.reached] {
		point -= float64(s.level - s.price[i])
		if point < 0 {
			return i
		}
	}
	return s.order[0]
}

// stays reports whether way i, whose target alone holds the request's session, is worth
// taking: others have no reason to choose it, so that it has its even part of the unseen
// work only.
func (s *spread) stays(i int) bool {
	return s.price[i]+s.unseen/time.Duration(len(s.price)) <= s.level
}

// inflow measures how much work a service's targets are given, by all VMs.
type inflow struct {
	// rate is work in time units a second, as of at.
	rate float64
	at   time.Time
}

// inflowMemory is the time over which inflow is averaged: a burst lasts some seconds.
const inflowMemory = time.Second

// add takes in work that was given to a target now.
func (f *inflow) add(work time.Duration, now time.Time) {
	f.fade(now)
	f.rate += float64(work) / float64(inflowMemory)
}

// within is the work that comes within a time.
func (f *inflow) within(span time.Duration, now time.Time) time.Duration {
	f.fade(now)
	return time.Duration(f.rate * float64(span))
}

// fade brings the rate to now.
func (f *inflow) fade(now time.Time) {
	if dt := now.Sub(f.at); dt > 0 {
		f.rate *= fading(dt, inflowMemory)
		f.at = now
	}
}
