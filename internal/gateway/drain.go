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

// Timing of a shutdown. The load balancer stops using a VM after two failed readiness checks, 1 s
// apart; kept-alive connections last until their next response closes them. If few other VMs are
// left, the load balancer sends callers to a stopping VM until it exits.
const (
	// quietPeriod is the time without any request in flight after which the drain ends early.
	quietPeriod = 1500 * time.Millisecond
	// minDrain is the minimum time between the signal and the end of the drain.
	minDrain = 2500 * time.Millisecond
	// graceMargin is kept free between the latest end of the drain and the end of the grace period.
	graceMargin = 400 * time.Millisecond
	// abortTimeout limits the wait for aborted requests to end. Requests that still wait for a
	// target at the end of the drain are aborted, so that their callers get an error response
	// instead of a closed connection. This wait is part of graceMargin.
	abortTimeout = 200 * time.Millisecond
	// flushTimeout limits the wait for finished responses to leave the server's buffers.
	flushTimeout = 50 * time.Millisecond
	// drainPollInterval is how often the drain checks the requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// stoppingRetryAfter is the retry delay for callers that a stopping VM refuses: another VM can
	// take the request at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// drainState holds the time at which the gateway ends, which is nil while it is not stopping.
type drainState struct {
	end atomic.Pointer[time.Time]
}

// stopping reports whether the gateway is shutting down.
func (d *drainState) stopping() bool { return d.end.Load() != nil }

// remaining returns the time until the gateway ends, and false if it is not stopping.
func (d *drainState) remaining(now time.Time) (time.Duration, bool) {
	end := d.end.Load()
	if end == nil {
		return 0, false
	}
	return end.Sub(now), true
}

// stopCheck compares, for one request to a stopping gateway, the time that the response may need
// with the time until the gateway ends.
type stopCheck struct {
	needed    time.Duration
	remaining time.Duration
}

// newStopCheck returns nil if the gateway is not stopping. needed is the time until the request's
// deadline. The deadline is used because no shorter bound is safe. A response takes up to six times
// the caller's estimate, and streams that were accepted on that estimate have been cut off when the
// gateway ended.
func (d *drainState) newStopCheck(needed time.Duration, now time.Time) *stopCheck {
	left, stopping := d.remaining(now)
	if !stopping {
		return nil
	}
	return &stopCheck{needed: needed, remaining: max(left, 0)}
}

// check returns an error if the response might not be complete before the gateway ends. A request
// that is refused with this error has not run, so another VM can take it.
func (c *stopCheck) check() error {
	if c == nil || (c.needed <= c.remaining && c.remaining > 0) {
		return nil
	}
	e := errkind.New(errkind.Stopping, "this VM stops in %d ms", c.remaining.Milliseconds())
	e.RetryAfter = stoppingRetryAfter
	return e
}

// Drain makes the gateway report that it is not ready, and waits until no more requests come or the
// grace period is nearly over. Then it refuses new requests and aborts those still in flight. ctx
// limits the whole shutdown.
func (g *Gateway) Drain(ctx context.Context) {
	began := clock.Now()
	end := began.Add(g.limits.Load().Grace)
	if limit, ok := ctx.Deadline(); ok {
		// The process keeps the grace period that it started with, even if the setting was raised
		// since.
		end = earlier(end, began.Add(time.Until(limit)))
	}
	end = end.Add(-graceMargin)
	g.drain.end.Store(&end)
	g.log.Info(telemetry.EventStopping, telemetry.F("in_flight", g.inFlight.Load()))
	g.awaitQuiet(ctx, began, end)
	// From here on, new requests are refused instead of being sent to a target and cut off.
	closing := clock.Now()
	g.drain.end.Store(&closing)
	g.awaitIdle(ctx, end)
	g.abort()
	g.awaitIdle(ctx, clock.Now().Add(abortTimeout))
	g.log.Info(telemetry.EventStopped, telemetry.F("in_flight", g.inFlight.Load()), telemetry.F("ms", clock.Since(began).Milliseconds()))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitQuiet waits until there has been no request in flight for quietPeriod, at least minDrain
// after began and at most until end.
func (g *Gateway) awaitQuiet(ctx context.Context, began, end time.Time) {
	quietSince := began
	for clock.Now().Before(end) && ctx.Err() == nil {
		kernel.Sleep(ctx, drainPollInterval)
		if g.inFlight.Load() > 0 {
			quietSince = clock.Now()
		}
		if clock.Since(began) > minDrain && clock.Since(quietSince) > quietPeriod {
			return
		}
	}
}

// awaitIdle waits until no request is in flight, at most until end.
func (g *Gateway) awaitIdle(ctx context.Context, end time.Time) {
	for g.inFlight.Load() > 0 && clock.Now().Before(end) && ctx.Err() == nil {
		kernel.Sleep(ctx, drainPollInterval)
	}
}
