package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// A stopping gateway accepts a request only if its deadline is before the gateway's end, however
// short the response is expected to be. Otherwise the response might be cut off.
func TestStoppingGatewayAcceptsOnlyWhatItCanFinish(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		// needed is the time until the request's deadline, and remaining the time until the
		// gateway ends.
		needed    time.Duration
		remaining time.Duration
		accepted  bool
	}{
		{"plain, early", 600 * time.Millisecond, 7 * time.Second, true},
		{"plain, at the end", 600 * time.Millisecond, 300 * time.Millisecond, false},
		{"short stream", 2 * time.Second, 2 * time.Second, true},
		{"short stream, one ms too long", 2 * time.Second, 1999 * time.Millisecond, false},
		{"long stream, right after the signal", 15 * time.Second, 7600 * time.Millisecond, false},
		{"long stream, long grace", 15 * time.Second, 20 * time.Second, true},
		{"after the end", 10 * time.Millisecond, -time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := &drainState{}
			is.NoErr(d.newStopCheck(tc.needed, now).check()) // a gateway that is not stopping accepts all
			end := now.Add(tc.remaining)
			d.end.Store(&end)
			err := d.newStopCheck(tc.needed, now).check()
			is.Equal(err == nil, tc.accepted)
			if err != nil {
				is.True(errkind.Is(err, errkind.Stopping))
			}
		})
	}
}

// A gateway that ends early because no more requests come must refuse requests from then on,
// although its grace period is not over.
func TestDrainedGatewayRefusesRequests(t *testing.T) {
	is := is.New(t)
	g := idleGateway(time.Minute)
	began := time.Now()
	g.Drain(context.Background())
	is.True(time.Since(began) < 10*time.Second) // long before the grace period ends
	is.True(g.drain.newStopCheck(time.Second, time.Now()).check() != nil)
}

// If the grace setting is raised while the process runs, a drain must still end within the context
// of the shutdown, which has the grace period that the process started with.
func TestDrainEndsWithinShutdownContext(t *testing.T) {
	is := is.New(t)
	g := idleGateway(time.Minute)
	g.inFlight.Add(1) // ends only when the gateway aborts its requests
	defer context.AfterFunc(g.abortCtx, func() { g.inFlight.Add(-1) })()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	checked := make(chan error)
	time.AfterFunc(100*time.Millisecond, func() { checked <- g.drain.newStopCheck(2*time.Second, time.Now()).check() })
	done := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(done)
		g.Drain(ctx)
	}()
	is.True(<-checked != nil) // refused: it may take longer than the process has
	t.Logf("checked after %s", time.Since(began))
	<-done
	t.Logf("drained after %s", time.Since(began))
	is.NoErr(ctx.Err()) // there was time left to answer the request in flight
}

// idleGateway returns a gateway that does not listen and has no requests.
func idleGateway(grace time.Duration) *Gateway {
	return New(Options{Log: telemetry.NewLogger(io.Discard, "test", "vm-1")}, Limits{Grace: grace})
}
