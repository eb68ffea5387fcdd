package relay

import (
	"sync"
	"time"
)

// idleChecksPerLimit is how often per limit an idleWatch checks for progress. Idleness is
// detected at most one check interval after the limit.
const idleChecksPerLimit = 4

// idleWatch calls a function once when a stream has made no progress for too long. Recording
// progress does not read the clock.
type idleWatch struct {
	limit  time.Duration
	onIdle func()

	// mu guards the fields below.
	mu sync.Mutex
	// timer waits for the first progress and then for the next check.
	timer *time.Timer
	// progressed is set by recordProgress and cleared by each check.
	progressed bool
	// checksWithoutProgress is zero before the first progress. After that it is one plus the
	// number of consecutive checks that found no progress.
	checksWithoutProgress int
	stopped               bool
}

// newIdleWatch returns a watch that calls onIdle in a goroutine of its own if there is no
// progress within first, or within limit after any later progress. The caller must stop it.
func newIdleWatch(first, limit time.Duration, onIdle func()) *idleWatch {
	w := &idleWatch{limit: limit, onIdle: onIdle}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, onIdle)
	return w
}

// recordProgress records that the stream has made progress.
func (w *idleWatch) recordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.progressed {
		return
	}
	w.progressed = true
	if w.checksWithoutProgress == 0 && w.timer.Stop() {
		w.checksWithoutProgress = 1
		w.timer = time.AfterFunc(w.limit/idleChecksPerLimit, w.check)
	}
}

// check runs at each check interval after the first progress. It calls onIdle, without holding
// w.mu, after idleChecksPerLimit consecutive checks without progress.
func (w *idleWatch) check() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if w.progressed {
		w.progressed, w.checksWithoutProgress = false, 1
	} else {
		w.checksWithoutProgress++
	}
	over := w.checksWithoutProgress > idleChecksPerLimit
	if !over {
		w.timer = time.AfterFunc(w.limit/idleChecksPerLimit, w.check)
	}
	w.mu.Unlock()
	if over {
		w.onIdle()
	}
}

// stop ends the watch. A call of onIdle that has begun is not awaited.
func (w *idleWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
