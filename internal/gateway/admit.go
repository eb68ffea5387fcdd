package gateway

import (
	"strconv"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/place"
)

// admit decides on a choice. One that has been sent somewhere goes on, and a route
// without an objective takes all.
func (x *exchange) admit(c place.Choice) place.Verdict {
	if x.arrivals > 0 || x.ran || x.route.Objective <= 0 {
		return place.Send
	}
	now := time.Now()
	asked := place.Asked{
		Objective: x.route.Objective,
		Waited:    x.g.waits.waited(x.route.Name, x.meta.Timeout) + now.Sub(x.arrived),
		Left:      x.deadline.Sub(now),
		Held:      now.Sub(x.arrived),
		Deferred:  x.deferredAhead(),
	}
	if x.route.Patience > 0 {
		asked.Patience = max(x.arrived.Add(x.route.Patience).Sub(now), 1)
	}
	return place.Judge(c, asked)
}

// deferredAhead is how long all engines together would take for what is deferred: as much
// as here is at each other VM.
func (x *exchange) deferredAhead() time.Duration {
	here := x.g.deferred.ahead(x.service, x)
	engines := max(len(x.view.Targets[x.service]), 1)
	return here * time.Duration(x.g.group.Size()) / time.Duration(engines)
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
	return min(wait, time.Until(x.deadline)/3).Round(time.Millisecond)
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
