package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// How long a stopping gateway stays open. The balancer takes a VM out after two
// misses, a second apart; kept connections live on until their next answer
// closes them. Where few other VMs are left, the balancer sends callers to a
// stopping one until its end.
const (
	// quietFor is how long no request must have been in hand before an early end.
	quietFor = 1500 * time.Millisecond
	// leastDrain is the shortest time between the signal and the end.
	leastDrain = 2500 * time.Millisecond
	// graceMargin is kept free at the end of the grace, and lastAnswers is the
	// part of it in which the waits of requests in hand for their targets end, so
	// that their callers are told what is known instead of finding the connection
	// cut.
	graceMargin = 400 * time.Millisecond
	lastAnswers = 200 * time.Millisecond
	// lastWrites bounds the wait for answers to leave the server's buffers.
	lastWrites = 50 * time.Millisecond
	drainPoll  = 50 * time.Millisecond
	// elsewhereWait is the wait that a caller refused by a stopping VM is told:
	// another VM that does not stop can take its request at once.
	elsewhereWait = 10 * time.Millisecond
)

// drainState says whether the gateway stops and up to when its answers may take.
type drainState struct {
	end atomic.Pointer[time.Time]
}

func (d *drainState) stopping() bool { return d.end.Load() != nil }

// left is the time until the end, and false where the gateway does not stop.
func (d *drainState) left(now time.Time) (time.Duration, bool) {
	end := d.end.Load()
	if end == nil {
		return 0, false
	}
	return end.Sub(now), true
}

// stopCheck is what a stopping gateway weighs for one request: the time that its
// answer may need, and the time until the gateway's end.
type stopCheck struct {
	needed time.Duration
	left   time.Duration
}

// weigh returns nil where the gateway does not stop. needed is the time until the
// request's deadline, the one bound of an answer's time: the real length is up to six
// times the caller's estimate, and streams taken by their estimate were cut at the end.
func (d *drainState) weigh(needed time.Duration, now time.Time) *stopCheck {
	left, stopping := d.left(now)
	if !stopping {
		return nil
	}
	return &stopCheck{needed: needed, left: max(left, 0)}
}

// check refuses a request whose answer may not end before the gateway does. It has
// not run, and another VM can take it.
func (c *stopCheck) check() error {
	if c == nil || (c.needed <= c.left && c.left > 0) {
		return nil
	}
	e := errkind.New(errkind.Stopping, "this VM stops in %d ms", c.left.Milliseconds())
	e.RetryAfter = elsewhereWait
	return e
}

// Drain makes the gateway not ready and waits until the callers have gone or
// the grace is nearly over.
func (g *Gateway) Drain(ctx context.Context) {
	began := clock.Now()
	end := began.Add(g.limits.Load().Grace)
	if limit, ok := ctx.Deadline(); ok {
		// The grace may have been raised while the program ran, which keeps the one that it
		// began with.
		end = earlier(end, began.Add(time.Until(limit)))
	}
	end = end.Add(-graceMargin)
	g.drain.end.Store(&end)
	g.log.Info(telemetry.EventStopping, telemetry.F("in_flight", g.inFlight.Load()))
	g.awaitQuiet(ctx, began, end)
	// A request that comes from here on is refused, not sent to a target and cut.
	closing := clock.Now()
	g.drain.end.Store(&closing)
	g.awaitIdle(ctx, end)
	g.endingNow()
	g.awaitIdle(ctx, clock.Now().Add(lastAnswers))
	g.log.Info(telemetry.EventStopped, telemetry.F("in_flight", g.inFlight.Load()), telemetry.F("ms", clock.Since(began).Milliseconds()))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitQuiet waits until no request has come for a while, or until end.
func (g *Gateway) awaitQuiet(ctx context.Context, began, end time.Time) {
	quietSince := began
	for clock.Now().Before(end) && ctx.Err() == nil {
		kernel.Sleep(ctx, drainPoll)
		if g.inFlight.Load() > 0 {
			quietSince = clock.Now()
		}
		if clock.Since(began) > leastDrain && clock.Since(quietSince) > quietFor {
			return
		}
	}
}

// awaitIdle waits until no request is in hand, or until end.
func (g *Gateway) awaitIdle(ctx context.Context, end time.Time) {
	for g.inFlight.Load() > 0 && clock.Now().Before(end) && ctx.Err() == nil {
		kernel.Sleep(ctx, drainPoll)
	}
}
