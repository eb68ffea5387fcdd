package limit

import "time"

// Estimate is the estimated timing of a request on arrival.
type Estimate struct {
	// Wait is the time until its work starts at the chosen target.
	Wait time.Duration
	// Work is the time that its own work takes from then on.
	Work time.Duration
	// Deadline is the time from now within which it must finish.
	Deadline time.Duration
}

// Verdict is the admission decision for a request.
type Verdict struct {
	Admit bool
	// RetryAfter is the time until the queue is short enough for a request
	// that was refused.
	RetryAfter time.Duration
}

// maxWaitShare is the share of the time left for waiting that the estimated wait
// may take. The rest is a margin for errors of the estimate.
const maxWaitShare = 0.8

// Admit admits a request that can finish before its deadline. A request that
// could not finish even on an idle target is admitted as well: the load is not
// the cause, so a retry after a while would not help.
func Admit(e Estimate) Verdict {
	maxWait := time.Duration(float64(e.Deadline-e.Work) * maxWaitShare)
	if maxWait <= 0 || e.Wait <= maxWait {
		return Verdict{Admit: true}
	}
	return Verdict{RetryAfter: e.Wait - maxWait}
}

// Pacer limits the work that one entry admits to its share of the targets'
// capacity. It models the entry's admitted work as a virtual queue, the backlog,
// that drains at the rate of that share. The backlog needs no reports, so that
// late reports cannot make all entries admit too much at once. Times are in
// seconds since an arbitrary start. It is not safe for concurrent use.
type Pacer struct {
	// backlog is the admitted work not yet drained at updatedAt, in seconds of
	// one target's work.
	backlog   float64
	updatedAt float64
	// boost is the number of equal shares that the entry may use beyond
	// rateFactor, while other entries leave theirs unused.
	boost float64
}

const (
	// idleRateFactor and busyRateFactor bound an entry's rate, as multiples of
	// its equal share. While the targets report long queues, the entry uses less
	// than its share so that the queues shrink.
	idleRateFactor = 1.05
	busyRateFactor = 0.95
	// shortWaitShare and longWaitShare are reported waits, as shares of the time
	// to the deadline, between which the rate falls from idleRateFactor to
	// busyRateFactor.
	shortWaitShare = 0.1
	longWaitShare  = 0.4
	// boostGrowthPerSecond is how fast the boost of an entry with a backlog
	// grows while short waits at the targets show that other entries leave
	// capacity unused. It is slow compared with the age of the reports, or all
	// entries would take the same unused share at once.
	boostGrowthPerSecond = 0.02
	// maxBacklogShare is the share of the time to the deadline within which the
	// backlog must drain.
	maxBacklogShare = 0.4
)

// Admit reports whether a request may be admitted at time now; if not, wait is
// the time until the backlog is short enough, in seconds. entries is the number
// of entries that share the targets, reported the mean wait of the targets at
// their last reports, and spare the time to the request's deadline less its own
// work, both in seconds.
func (p *Pacer) Admit(now float64, targets, entries int, reported, spare float64) (wait float64, ok bool) {
	elapsed := now - p.updatedAt
	p.updatedAt = now
	p.adjustBoost(elapsed, reported < shortWaitShare*spare, float64(entries))
	rate := float64(targets) / float64(max(entries, 1)) * (rateFactor(reported, spare) + p.boost)
	p.backlog = max(p.backlog-elapsed*rate, 0)
	if rate == 0 || spare <= 0 {
		return 0, true
	}
	over := p.backlog/rate - maxBacklogShare*spare
	return max(over, 0), over <= 0
}

// adjustBoost raises the boost while the entry has a backlog and the waits at
// the targets are short, and lowers it otherwise. elapsed is in seconds.
func (p *Pacer) adjustBoost(elapsed float64, short bool, entries float64) {
	if !short || p.backlog == 0 {
		p.boost = max(p.boost-elapsed, 0)
		return
	}
	p.boost = min(p.boost+elapsed*boostGrowthPerSecond, entries-1)
}

// Sent adds an admitted request's work, in seconds, to the backlog.
func (p *Pacer) Sent(seconds float64) { p.backlog += seconds }

// rateFactor returns the entry's rate as a multiple of its equal share, for the
// targets' mean reported wait and the time to the deadline, both in seconds.
func rateFactor(reported, spare float64) float64 {
	if spare <= 0 {
		return idleRateFactor
	}
	part := (reported/spare - shortWaitShare) / (longWaitShare - shortWaitShare)
	return idleRateFactor + min(max(part, 0), 1)*(busyRateFactor-idleRateFactor)
}
