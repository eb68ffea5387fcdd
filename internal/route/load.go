package route

// Load estimates the prefill work queued at one target, from the target's last
// report and the work that this entry has sent since. Times are in seconds on
// one clock. It is not safe for concurrent use.
type Load struct {
	// reportedAt is when the last report was made, and reportedUntil the time
	// until which the target had queued work by that report.
	reportedAt    float64
	reportedUntil float64
	// sent is the work that this entry has sent since the report, oldest
	// first.
	sent      []sentWork
	busyUntil float64
}

// sentWork is the prefill work of one request that this entry has sent.
type sentWork struct {
	at      float64
	seconds float64
}

// maxSentWork bounds how many sent requests are remembered between two reports.
const maxSentWork = 256

// Report records a report made at time at, by which the target had queued work
// until the time until. A report older than the last is ignored.
func (l *Load) Report(at, until float64) {
	if at < l.reportedAt {
		return
	}
	l.reportedAt, l.reportedUntil = at, until
	i := 0
	for i < len(l.sent) && l.sent[i].at <= at {
		i++
	}
	l.sent = append(l.sent[:0], l.sent[i:]...)
	l.busyUntil = max(until, at)
	for _, s := range l.sent {
		l.busyUntil = max(l.busyUntil, s.at) + s.seconds
	}
}

// Sent records a request with that many seconds of work, sent by this entry at
// time at.
func (l *Load) Sent(at, seconds float64) {
	if len(l.sent) < maxSentWork {
		l.sent = append(l.sent, sentWork{at: at, seconds: seconds})
	}
	l.busyUntil = max(l.busyUntil, at) + seconds
}

// ReportedWait returns the wait at the time of the last report, in seconds. While
// requests keep arriving it estimates the present wait better than the time from
// busyUntil, which does not include what other entries have sent since then.
func (l *Load) ReportedWait() float64 { return max(l.reportedUntil-l.reportedAt, 0) }

// BusyUntil returns the estimated time at which the target finishes its queued work.
func (l *Load) BusyUntil() float64 { return l.busyUntil }
