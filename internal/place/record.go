package place

import (
	"math"
	"time"
)

const (
	// sendCountsDecay is the time constant with which the sends and failures of all VMs are
	// forgotten. A target that recovers is tried again within a few seconds.
	sendCountsDecay = 4 * time.Second
	// priorSends is the number of successful sends assumed for a target in advance, so that a
	// single failure has little weight.
	priorSends = 4
)

// decayFactor returns the part of an exponentially decaying value that remains after dt.
func decayFactor(dt, timeConstant time.Duration) float64 {
	return math.Exp(-float64(dt) / float64(timeConstant))
}

// sendCounts counts the recent sends of all VMs to a target and the failed ones, with exponential
// decay.
type sendCounts struct {
	sent   float64
	failed float64
	at     time.Time
}

// decay brings the counts up to now.
func (c *sendCounts) decay(now time.Time) {
	if dt := now.Sub(c.at); dt > 0 {
		factor := decayFactor(dt, sendCountsDecay)
		c.sent *= factor
		c.failed *= factor
		c.at = now
	}
}

// addSend counts a send to the target.
func (c *sendCounts) addSend(now time.Time) {
	c.decay(now)
	c.sent++
}

// addFailure counts a failed request.
func (c *sendCounts) addFailure(now time.Time) {
	c.decay(now)
	c.failed++
}

// addSuccess records that a request to the target succeeded, which reduces the weight of earlier
// failures.
func (c *sendCounts) addSuccess() { c.failed -= failureWeight * c.failed }

// failureRate returns the share of the sends that failed, from 0 to 1.
func (c *sendCounts) failureRate(now time.Time) float64 {
	c.decay(now)
	return min(c.failed/(c.sent+priorSends), 1)
}

const (
	// failurePenalty is the cost of a target at which every request fails.
	failurePenalty = time.Second
	// refusalPenalty is the cost of a target that refuses every request. It is lower than
	// failurePenalty, as a refused request loses little time.
	refusalPenalty = 300 * time.Millisecond
)

// maxFailureRate bounds the share of failed and refused requests that is considered, so that a
// failing target is tried again.
const maxFailureRate = 0.9

// expectedTries returns how many sends it takes on average for a request to be served. A cached
// prompt is worth nothing at a target that fails.
func (s *state) expectedTries(now time.Time) float64 {
	share := max(s.failureRate, s.sends.failureRate(now), s.currentRefusalRate(now))
	return 1 / (1 - min(share, maxFailureRate))
}

// healthPenalty returns the cost of a target that fails, refuses requests or cannot be reached.
func (p *Placer) healthPenalty(s *state, now time.Time) time.Duration {
	failing := max(s.failureRate, s.sends.failureRate(now))
	penalty := time.Duration(failing*float64(failurePenalty) + s.currentRefusalRate(now)*float64(refusalPenalty))
	if !s.reachable(now) {
		penalty += failurePenalty
	}
	return penalty
}
