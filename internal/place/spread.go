package place

import (
	"cmp"
	"slices"
	"time"
)

// staleLoadPicker picks one of several candidates by their costs, which are computed from the load
// as other VMs last reported it.
//
// Load pattern: many VMs with few requests each see each other's work with a delay. If each picked
// the cheapest target, all would pick the same one until the next report. The work that other VMs
// have placed since then, the unreported work, is therefore assumed to fill the cheapest targets up
// to a common level, and a candidate below that level is drawn with a probability proportional to
// its distance from it (Dahlin, Interpreting Stale Load Information, 1999). If the load is fresh,
// the cheapest candidate is drawn. The staler the load, the more evenly candidates are drawn.
type staleLoadPicker struct {
	costs []time.Duration
	// order holds the indexes of the candidates, sorted by cost.
	order []int
	// level is the cost to which the unreported work raises the cheapest candidates, and reached
	// the number of candidates below it, which come first in order.
	level   time.Duration
	reached int
	// unreported is the prefill time of the work that other VMs have not reported yet.
	unreported time.Duration
}

// newStaleLoadPicker returns a picker for candidates with these costs. unreported is the prefill
// time of the work that other VMs have not reported yet.
func newStaleLoadPicker(costs []time.Duration, unreported time.Duration) *staleLoadPicker {
	s := &staleLoadPicker{costs: costs, order: make([]int, len(costs)), unreported: unreported}
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	s.fill()
	return s
}

// fill computes level and reached.
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

// pick draws the index of a candidate, given a random number that is uniform in [0, 1).
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

// keepsSession reports whether to use candidate i, whose target has the request's session cached,
// instead of drawing one. Requests of other sessions have no reason to prefer that target, so it is
// assumed to have received an average share of the unreported work.
func (s *staleLoadPicker) keepsSession(i int) bool {
	return s.costs[i]+s.unreported/time.Duration(len(s.costs)) <= s.level
}

// workRate is an exponential moving average of the rate at which prefill work is placed at targets.
type workRate struct {
	// timeConstant is the time constant of the average.
	timeConstant time.Duration
	// rate is the prefill time placed per unit of time, as of the time at.
	rate float64
	at   time.Time
}

// peerInflowDecay is the time constant of the average rate at which other VMs place work at a
// service's targets. It is no longer than bursts, which last for seconds.
const peerInflowDecay = time.Second

// add records work that was placed at now.
func (r *workRate) add(work time.Duration, now time.Time) {
	r.decay(now)
	r.rate += float64(work) / float64(r.timeConstant)
}

// expectedWithin returns the work that is expected to be placed within a time span.
func (r *workRate) expectedWithin(span time.Duration, now time.Time) time.Duration {
	r.decay(now)
	return time.Duration(r.rate * float64(span))
}

// share returns the fraction of time for which a single target would be busy if all of the work were
// placed at it.
func (r *workRate) share(now time.Time) float64 {
	r.decay(now)
	return r.rate
}

// decay reduces the rate to its value at now.
func (r *workRate) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		r.rate *= decayFactor(dt, r.timeConstant)
		r.at = now
	}
}
