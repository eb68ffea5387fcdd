package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Link tracks whether the store is reachable, from the results of its followers' calls.
type Link struct {
	log   *telemetry.Logger
	clock storeClock

	mu        sync.Mutex
	downSince map[string]time.Time
	// failedAt is when the last failed call began: the store was unreachable then.
	failedAt   time.Time
	regainedAt time.Time
}

// maxDetection limits how long after the start of a failed call the store is still assumed to
// have been unreachable. A VM must meet its bounds 3 s after the last disturbance, according to
// the user documentation. A target whose entry has gone must not be kept beyond that, and 200 ms
// are left for requests on their way to it.
const maxDetection = 3*time.Second - lapseGrace - 200*time.Millisecond

// NewLink returns a Link that is up.
func NewLink(log *telemetry.Logger) *Link {
	return &Link{log: log, downSince: make(map[string]time.Time)}
}

// down records that a call for a table, begun at began, has failed.
func (l *Link) down(table string, began time.Time, cause error) {
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

// up records that a call for a table has succeeded.
func (l *Link) up(table string) {
	l.mu.Lock()
	since, wasDown := l.downSince[table]
	if wasDown {
		delete(l.downSince, table)
		l.regainedAt = l.backAt(clock.Now())
	}
	l.mu.Unlock()
	if wasDown {
		l.log.Info(telemetry.EventStoreRegained, telemetry.F("table", table),
			telemetry.F("away_ms", clock.Since(since).Milliseconds()))
	}
}

// backAt returns when the store is assumed to have become reachable if that is noticed at now. A
// call that had to time out, and the pause after it, may have hidden it for long. The caller must
// hold l.mu.
func (l *Link) backAt(now time.Time) time.Time {
	if latest := l.failedAt.Add(maxDetection); latest.Before(now) {
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

// peerRegained records that another VM found the store reachable again sinceBack ago.
func (l *Link) peerRegained(sinceBack time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := clock.Now().Add(-sinceBack); at.After(l.regainedAt) {
		l.regainedAt = at
	}
}

// SinceBack returns for at least how long the store has been reachable again. If a table's calls
// still fail, it returns the time as if they succeeded now. It returns false if the store has not
// been unreachable.
func (l *Link) SinceBack() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case len(l.downSince) > 0:
		return now.Sub(l.backAt(now)), true
	case l.regainedAt.IsZero():
		return 0, false
	}
	return now.Sub(l.regainedAt), true
}
