package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Link tracks whether this VM can reach the store, from the results of the calls of all tables that
// share the Link.
type Link struct {
	log   *telemetry.Logger
	clock storeClock

	mu sync.Mutex
	// downSince holds the tables whose last call failed, by name, with the time at which the first
	// of the successive failures was noticed.
	downSince map[string]time.Time
	// failedAt is the start time of the latest call that failed. The store was unreachable then.
	failedAt time.Time
	// recoveredAt is when the store is assumed to have become reachable again after the last
	// outage. It is zero if there has been none.
	recoveredAt time.Time
}

// maxRecoveryDelay is the maximum time, from the start of a failed call, for which the store is
// assumed to have stayed unreachable. According to the user documentation, a VM must meet its
// bounds 3 s after the last disturbance. A target whose entry has gone must not be kept for longer
// than these 3 s, of which 200 ms are left for requests on their way to the target.
const maxRecoveryDelay = 3*time.Second - removalGrace - 200*time.Millisecond

// NewLink returns a Link on which no call has failed yet.
func NewLink(log *telemetry.Logger) *Link {
	return &Link{log: log, downSince: make(map[string]time.Time)}
}

// recordFailure records that a call for a table has failed. The call began at began, and cause is
// its error.
func (l *Link) recordFailure(table string, began time.Time, cause error) {
	l.mu.Lock()
	if began.After(l.failedAt) {
		l.failedAt = began
	}
	_, wasDown := l.downSince[table]
	if !wasDown {
		l.downSince[table] = clock.Now()
	}
	l.mu.Unlock()
	if !wasDown {
		l.log.Warn(telemetry.EventStoreLost, telemetry.F("table", table), telemetry.F("cause", cause))
	}
}

// recordSuccess records that a call for a table has succeeded.
func (l *Link) recordSuccess(table string) {
	l.mu.Lock()
	since, wasDown := l.downSince[table]
	if wasDown {
		delete(l.downSince, table)
		l.recoveredAt = l.recoveryTime(clock.Now())
	}
	l.mu.Unlock()
	if wasDown {
		l.log.Info(telemetry.EventStoreRegained, telemetry.F("table", table),
			telemetry.F("away_ms", clock.Since(since).Milliseconds()))
	}
}

// recoveryTime returns when the store is assumed to have become reachable again if the first
// successful call after an outage ends at now. The result may be long before now, because a failed
// call had to time out and was followed by a pause. The caller must hold l.mu.
func (l *Link) recoveryTime(now time.Time) time.Time {
	if latest := l.failedAt.Add(maxRecoveryDelay); latest.Before(now) {
		return latest
	}
	return now
}

// isDown returns whether the last call for a table failed.
func (l *Link) isDown(table string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, down := l.downSince[table]
	return down
}

// peerRecovered records that another VM found the store reachable again sinceRecovery ago.
func (l *Link) peerRecovered(sinceRecovery time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := clock.Now().Add(-sinceRecovery); at.After(l.recoveredAt) {
		l.recoveredAt = at
	}
}

// SinceRecovery returns the time for which the store is assumed to have been reachable since the
// last outage. If calls still fail, it returns the time that would result if they succeeded now. It
// returns false if there has been no outage.
func (l *Link) SinceRecovery() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case len(l.downSince) > 0:
		return now.Sub(l.recoveryTime(now)), true
	case l.recoveredAt.IsZero():
		return 0, false
	}
	return now.Sub(l.recoveredAt), true
}
