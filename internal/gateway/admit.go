package gateway

import (
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/place"
)

// admit decides on a choice. One that has been sent somewhere goes on, and a route
// without an objective takes all.
func (x *exchange) admit(c place.Choice) place.Ruling {
	if x.sends.arrivals > 0 || x.ran || x.route.Objective <= 0 {
		return place.Ruling{Verdict: place.Send}
	}
	asked := x.asked(clock.Now())
	asked.Favor = x.g.sizes.Favor(x.route.Name, x.size())
	x.tellQueue(&asked, c)
	return place.Judge(c, asked)
}

// asked is what the admission of the request rests on, whatever the choice.
func (x *exchange) asked(now time.Time) place.Asked {
	asked := place.Asked{
		Objective: x.route.Objective,
		Waited:    x.g.waits.waited(x.route.Name, x.meta.Timeout) + now.Sub(x.arrived),
		Left:      x.deadline.Sub(now),
		Held:      now.Sub(x.arrived),
	}
	if x.route.Patience > 0 {
		asked.Patience = max(x.arrived.Add(x.route.Patience).Sub(now), 1)
	}
	return asked
}

// tellQueue states what is deferred on all VMs: to a new request how long all engines would
// take for it, and to one that waits what waits with it.
func (x *exchange) tellQueue(asked *place.Asked, c place.Choice) {
	waiting := x.g.placer.Waiting(x.service).Prefill
	if x.queued == nil {
		asked.Deferred = waiting / time.Duration(max(len(x.view.Targets[x.service]), 1))
		return
	}
	asked.Queue, asked.Look, asked.Random = waiting, lookAgain(c), x.g.float()
}

// refuseLate is the answer to a request that could not be served in time.
func (x *exchange) refuseLate(c place.Choice) error {
	x.note(c.Target, "full~"+strconv.FormatInt(c.Expected.Milliseconds(), 10), nil)
	e := errkind.New(errkind.CannotFinish, "the engines are full; the answer would begin in %d ms", c.Expected.Milliseconds())
	e.RetryAfter = x.comeBack()
	return e
}

// Bounds of the wait that a refused caller is told, in objectives. Callers
// heed at most a third of the time that they have left.
const (
	minComeBack = 1.2
	maxComeBack = 3.0
)

// comeBack spreads the returns of refused callers.
func (x *exchange) comeBack() time.Duration {
	objectives := minComeBack + (maxComeBack-minComeBack)*x.g.float()
	wait := time.Duration(objectives * float64(x.route.Objective))
	return min(wait, clock.Until(x.deadline)/3).Round(time.Millisecond)
}

// waits tells how long ago callers first asked. Each try says how long its caller
// still waits; the longest such time of a route is that of first tries.
type waits struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// waited returns how long the caller of a route has waited since its first try, as
// far as timeout, the time that it still waits, tells; 0 is no timeout.
func (w *waits) waited(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest == nil {
		w.longest = make(map[string]time.Duration)
	}
	w.longest[route] = max(w.longest[route], timeout)
	return w.longest[route] - timeout
}
