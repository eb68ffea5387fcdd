package watch

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Link notes whether the store can be reached, as its followers find.
type Link struct {
	log   *telemetry.Logger
	clock storeClock

	mu   sync.Mutex
	away map[string]time.Time
	// failedAt is when the last call that failed was begun: the store was away
	// then.
	failedAt   time.Time
	regainedAt time.Time
}

// maxNoticing bounds how long the store may be taken to have been away after the
// begin of a failed call. A VM is held to its bounds 3 s after it was disturbed last
// (users' pages); a target whose entry has gone must not be kept beyond, and 200 ms
// are left for requests on their way to it.
const maxNoticing = 3*time.Second - lapseGrace - 200*time.Millisecond

// NewLink returns a link that is up.
func NewLink(log *telemetry.Logger) *Link {
	return &Link{log: log, away: make(map[string]time.Time)}
}

// down notes that a call begun at a time has failed.
func (l *Link) down(table string, began time.Time, cause error) {
	l.mu.Lock()
	if began.After(l.failedAt) {
		l.failedAt = began
	}
	_, already := l.away[table]
	if !already {
		l.away[table] = clock.Now()
	}
	l.mu.Unlock()
	if !already {
		l.log.Warn(telemetry.EventStoreLost, telemetry.F("table", table), telemetry.F("cause", cause))
	}
}

func (l *Link) up(table string) {
	l.mu.Lock()
	since, was := l.away[table]
	if was {
		delete(l.away, table)
		l.regainedAt = l.backAt(clock.Now())
	}
	l.mu.Unlock()
	if was {
		l.log.Info(telemetry.EventStoreRegained, telemetry.F("table", table), telemetry.F("away_ms", clock.Since(since).Milliseconds()))
	}
}

// backAt is when the store is taken to have come back, where that is found now: a
// call that has to time out, and the pause behind it, may have hidden it for long. The
// caller holds l.mu.
func (l *Link) backAt(now time.Time) time.Time {
	if latest := l.failedAt.Add(maxNoticing); latest.Before(now) {
		return latest
	}
	return now
}

// lost reports whether a table's last call failed.
func (l *Link) lost(table string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, away := l.away[table]
	return away
}

// heard takes in that the store is back, as another VM found.
func (l *Link) heard(sinceBack time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := clock.Now().Add(-sinceBack); at.After(l.regainedAt) {
		l.regainedAt = at
	}
}

// Since returns how long the store has been back, at least; where a table is still
// away, how long it would have been if it came back now. It is false where the store
// has not been away.
func (l *Link) Since() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case len(l.away) > 0:
		return now.Sub(l.backAt(now)), true
	case l.regainedAt.IsZero():
		return 0, false
	}
	return now.Sub(l.regainedAt), true
}
