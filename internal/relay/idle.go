package relay

import (
	"sync"
	"time"
)

// idleChecks is how often within its limit an idle watch looks for progress;
// silence is found out at most that part of the limit late.
const idleChecks = 4

// idleWatch calls a function once a stream has made no progress for too long.
// Progress costs no look at the clock.
type idleWatch struct {
	limit  time.Duration
	silent func()

	mu    sync.Mutex
	timer *time.Timer
	// moved is set by progress and cleared by each check.
	moved bool
	// still counts the checks without progress.
	still   int
	stopped bool
}

// watchIdle waits up to first for the first progress and up to limit between
// further ones.
func watchIdle(first, limit time.Duration, silent func()) *idleWatch {
	w := &idleWatch{limit: limit, silent: silent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, silent)
	return w
}

// progress notes that something has come.
func (w *idleWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.moved {
		return
	}
	w.moved = true
	if w.still == 0 && w.timer.Stop() {
		w.still = 1
		w.timer = time.AfterFunc(w.limit/idleChecks, w.check)
	}
}

func (w *idleWatch) check() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if w.moved {
		w.moved, w.still = false, 1
	} else {
		w.still++
	}
	over := w.still > idleChecks
	if !over {
		w.timer = time.AfterFunc(w.limit/idleChecks, w.check)
	}
	w.mu.Unlock()
	if over {
		w.silent()
	}
}

func (w *idleWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
