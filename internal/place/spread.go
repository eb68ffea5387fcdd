package place

import (
	"cmp"
	"slices"
	"time"
)

// staleLoadPicker picks one of several candidates, given costs that were computed from stale load.
//
// Load pattern: many VMs with few requests each see each other's work with a delay. If each picked
// the cheapest target, all would pick the same one until the next report. The work that other VMs
// have placed since then, the unreported work, is therefore assumed to fill the cheapest targets up
// to a common level, and a candidate below that level is drawn with a probability proportional to
// its distance from it (Dahlin, Interpreting Stale Load Information, 1999). With fresh load this is
// the cheapest candidate; the staler the load, the more evenly candidates are drawn.
type staleLoadPicker struct {
	costs []time.Duration
	// order holds the indexes of the candidates by cost. The first reached of them are below level.
	order   []int
	level   time.Duration
	reached int
	// unreported is the prefill time of the work that other VMs have not reported yet.
	unreported time.Duration
}

// newStaleLoadPicker returns a picker for candidates with these costs.
func newStaleLoadPicker(costs []time.Duration, unreported time.Duration) *staleLoadPicker {
	s := &staleLoadPicker{costs: costs, order: make([]int, len(costs)), unreported: unreported}
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	s.fill()
	return s
}

// fill computes the level up to which the unreported work fills the cheapest candidates.
func (s *staleLoadPicker) fill() {
	sum := s.unreported
	for n, i := range s.order {
		if n > 0 && sum/time.Duration(n) <= s.costs[i] {
			break
		}
		sum += s.costs[i]
		s.reached = n + 1
		s.level = sum / time.Duration(s.reached)
	}
}

// pick draws the index of a candidate. random is uniform in [0, 1).
func (s *staleLoadPicker) pick(random float64) int {
	point := random * float64(s.unreported)
	for _, i := range s.order[:s.reached] {
		point -= float64(s.level - s.costs[i])
		if point < 0 {
			return i
		}
	}
	return s.order[0]
}

// keepsSession reports whether candidate i, whose target has the request's session cached, should
// be used. Other requests have no reason to prefer that target, so it is assumed to have received
// an average share of the unreported work.
func (s *staleLoadPicker) keepsSession(i int) bool {
	return s.costs[i]+s.unreported/time.Duration(len(s.costs)) <= s.level
}

// workRate is an exponential moving average of the rate at which work is placed at targets.
type workRate struct {
	// timeConstant is that of the average.
	timeConstant time.Duration
	// rate is the prefill time placed per unit of time, as of at.
	rate float64
	at   time.Time
}

// peerInflowDecay is the time constant for the work that other VMs place at a service's targets.
// Bursts last for seconds.
const peerInflowDecay = time.Second

// add records work placed at now.
func (r *workRate) add(work time.Duration, now time.Time) {
	r.decay(now)
	r.rate += float64(work) / float64(r.timeConstant)
}

// expectedWithin returns the work expected to be placed during span.
func (r *workRate) expectedWithin(span time.Duration, now time.Time) time.Duration {
	r.decay(now)
	return time.Duration(r.rate * float64(span))
}

// share returns the part of the time that the placed work takes.
func (r *workRate) share(now time.Time) float64 {
	r.decay(now)
	return r.rate
}

// decay brings the rate up to now.
func (r *workRate) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		r.rate *= decayFactor(dt, r.timeConstant)
		r.at = now
	}
}
