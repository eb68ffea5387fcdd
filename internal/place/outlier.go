package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// recentDecay is the time constant of the counts of recent sends and failures.
	recentDecay = 300 * time.Millisecond
	// minRecentFailures is the smallest number of recent failures at which a target counts as failing.
	minRecentFailures = 3
	// failingShare is the fraction of the recent sends that fail at a failing target. A target that fails
	// some requests, or one kind of them, stays below it.
	failingShare = 0.6
	// maxFailingShare is the largest fraction of a service's targets of one stage that may count as failing.
	// If more fail at once, the cause is likely not theirs.
	maxFailingShare = 0.5
	// firstTrialDelay is the time until a failing target gets a first trial. The time until the next one
	// doubles with each trial, up to maxTrialDelay.
	firstTrialDelay = 100 * time.Millisecond
	maxTrialDelay   = 800 * time.Millisecond
)

// outlier tracks whether nearly all requests to a target fail. Such a target must not be chosen, whatever
// it costs, except for trials: a penalty does not keep requests away from it once all other targets are
// full.
type outlier struct {
	// recent counts the sends and failures of all VMs with a time constant of recentDecay.
	recent sendCounts
	// failing is set until the target answers a request. nextTrial is when it may be tried then, and
	// trialDelay the time from that trial to the one after it.
	failing    bool
	nextTrial  time.Time
	trialDelay time.Duration
}

// isFailing reports whether most of the recent sends failed.
func (o *outlier) isFailing(now time.Time) bool {
	o.recent.decayBy(now, recentDecay)
	return o.recent.failed >= minRecentFailures && o.recent.failed >= failingShare*o.recent.sent
}

// addSend counts a request sent to the target.
func (o *outlier) addSend(now time.Time) {
	o.recent.decayBy(now, recentDecay)
	o.recent.sent++
}

// mayTry reports whether the target may be chosen: if it is not failing, or for a trial. A request that must
// not be repeated leaves the trial to others for as long as the delay before it.
func (o *outlier) mayTry(repeatable bool, now time.Time) bool {
	if !o.failing {
		return true
	}
	at := o.nextTrial
	if !repeatable {
		at = at.Add(o.trialDelay)
	}
	return !now.Before(at)
}

// chosen records that the target was chosen.
func (o *outlier) chosen(now time.Time) {
	if o.failing {
		o.nextTrial = now.Add(o.trialDelay)
		o.trialDelay = min(2*o.trialDelay, maxTrialDelay)
	}
}

// noteOutlierFailure counts a failed request to the target run with this id, whose state is s, and marks the
// target as failing if most requests fail. The caller holds p.mu.
func (p *Placer) noteOutlierFailure(id string, s *state, now time.Time) {
	o := &s.outlier
	o.recent.decayBy(now, recentDecay)
	o.recent.failed++
	if o.failing || !o.isFailing(now) {
		return
	}
	pool := targetPool{s.service, s.stage}
	failing := p.failing[pool]
	if failing == nil {
		failing = make(map[string]*state)
		p.failing[pool] = failing
	}
	for other, state := range failing {
		if !state.outlier.failing || p.states[other] != state {
			delete(failing, other)
		}
	}
	if float64(len(failing)+1) > maxFailingShare*float64(p.poolSize(pool)) {
		return
	}
	failing[id] = s
	o.failing, o.nextTrial, o.trialDelay = true, now.Add(firstTrialDelay), firstTrialDelay
}

// targetPool identifies the targets of a service that are of one stage.
type targetPool struct {
	service string
	stage   fleet.Stage
}

// poolSize returns the number of targets in a pool, as of the latest choice. The caller holds p.mu.
func (p *Placer) poolSize(pool targetPool) int {
	n := 0
	for _, t := range p.latestTargets[pool.service] {
		if t.Stage == pool.stage {
			n++
		}
	}
	return n
}

// noteTargets keeps the targets of a service for poolSize. The caller holds p.mu.
func (p *Placer) noteTargets(targets []*fleet.Target) {
	if len(targets) > 0 {
		p.latestTargets[targets[0].Service] = targets
	}
}
