package place

import (
	"math"
	"time"
)

const (
	// sendCountsDecay is the time constant with which the counts of the sends and failures of all
	// VMs decay. A target that recovers is therefore tried again within a few seconds.
	sendCountsDecay = 4 * time.Second
	// priorSends is the number of successful sends assumed for a target in advance, so that a
	// single failure has little weight.
	priorSends = 4
)

// decayFactor returns the fraction of an exponentially decaying value that remains after dt.
func decayFactor(dt, timeConstant time.Duration) float64 {
	return math.Exp(-float64(dt) / float64(timeConstant))
}

// sendCounts counts the recent requests that all VMs sent to a target, and those of them that
// failed. Both counts decay exponentially.
type sendCounts struct {
	sent   float64
	failed float64
	// at is the time for which the counts are given.
	at time.Time
}

// decay reduces the counts to their values at now.
func (c *sendCounts) decay(now time.Time) {
	if dt := now.Sub(c.at); dt > 0 {
		factor := decayFactor(dt, sendCountsDecay)
		c.sent *= factor
		c.failed *= factor
		c.at = now
	}
}

// addSend counts a request sent to the target.
func (c *sendCounts) addSend(now time.Time) {
	c.decay(now)
	c.sent++
}

// addFailure counts a failed request.
func (c *sendCounts) addFailure(now time.Time) {
	c.decay(now)
	c.failed++
}

// addSuccess records that a request to the target succeeded, which reduces the count of earlier
// failures by the fraction failureWeight.
func (c *sendCounts) addSuccess() { c.failed -= failureWeight * c.failed }

// failureRate returns the fraction of the requests sent that failed, from 0 to 1.
func (c *sendCounts) failureRate(now time.Time) float64 {
	c.decay(now)
	return min(c.failed/(c.sent+priorSends), 1)
}

const (
	// failurePenalty is the cost that is added to a target at which every request fails, and to one
	// that cannot be reached.
	failurePenalty = time.Second
	// refusalPenalty is the cost that is added to a target that refuses every request. It is lower
	// than failurePenalty, as a refused request loses little time.
	refusalPenalty = 300 * time.Millisecond
)

// maxFailureRate is the largest rate of failures or refusals that expectedTries assumes, so that a
// failing target is tried again.
const maxFailureRate = 0.9

// expectedTries returns how often a request must be sent to the target on average to be served
// there. The cost of the target is multiplied by this number, since a cached prompt is worth
// nothing at a target that fails. The caller holds Placer.mu.
func (s *state) expectedTries(now time.Time) float64 {
	share := max(s.failing(now), s.currentRefusalRate(now))
	return 1 / (1 - min(share, maxFailureRate))
}

// failing returns the fraction of the recent requests to the target that failed, this VM's or those of
// all VMs. The caller holds Placer.mu.
func (s *state) failing(now time.Time) float64 {
	return max(s.failureRate, s.sends.failureRate(now))
}

// healthPenalty returns the cost that is added to a target that fails, refuses requests or cannot
// be reached. The caller holds p.mu.
func (p *Placer) healthPenalty(s *state, now time.Time) time.Duration {
	penalty := time.Duration(s.failing(now)*float64(failurePenalty) + s.currentRefusalRate(now)*float64(refusalPenalty))
	if !s.reachable(now) {
		penalty += failurePenalty
	}
	return penalty
}
