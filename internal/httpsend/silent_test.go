package httpsend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/proc"
)

const (
	// requestTimeout is the time limit of the requests, far longer than the detection of a dead
	// connection may take.
	requestTimeout = 10 * time.Second
	// unackedTimeout is the requests' limit on unacknowledged bytes.
	unackedTimeout = 250 * time.Millisecond
	// detectedWithin is the longest time that a send may take to fail if its bytes are not
	// acknowledged.
	detectedWithin = time.Second
	// probedWithin is the longest time that a send on a dead connection may take to fail if nothing
	// is written and only the keep-alive probes, one a second, detect the loss.
	probedWithin = 3500 * time.Millisecond
)

// newRelayedTarget returns a target behind a relay that can drop the packets of its connections.
func newRelayedTarget(t *testing.T, handlers ...handler) (*fakeTarget, *proc.Relay, httpsend.Destination) {
	t.Helper()
	ft := newFakeTarget(t, handlers...)
	r, err := proc.NewRelay(ft.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return ft, r, httpsend.Destination{ID: "i-a", Address: r.Addr(), MaxConns: 8}
}

// timedSend is send with requestTimeout and unackedTimeout. It also returns how long the send took.
func timedSend(c *httpsend.Client, d httpsend.Destination) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	resp, err := c.Send(ctx, d, &httpsend.Request{Method: "GET", URI: "/x", Host: "h", UnackedTimeout: unackedTimeout}, matches)
	if err != nil {
		return "", time.Since(start), err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), time.Since(start), err
}

// TestReusedConnectionDies checks that a request on a reused connection whose packets are lost
// fails long before its deadline, and that the next request uses a new connection.
func TestReusedConnectionDies(t *testing.T) {
	is := is.New(t)
	_, r, d := newRelayedTarget(t, emit(ok, true), emit(ok, true))
	c := newClient()
	_, _, err := timedSend(c, d)
	is.NoErr(err)
	r.Inject(proc.Drop)
	_, took, err := timedSend(c, d)
	is.Equal(phaseOf(err), httpsend.Unanswered)
	t.Logf("failed after %s: %v", took, err)
	is.True(took < detectedWithin)
	body, _, err := timedSend(c, d)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestIdleConnectionsAreClosedWithDeadOne checks that if a send finds its connection dead, the
// connections that were idle when the send began are closed too. Otherwise each of them could fail
// one more request.
func TestIdleConnectionsAreClosedWithDeadOne(t *testing.T) {
	is := is.New(t)
	const kept = 4
	allArrived := make(chan struct{})
	var handlers []handler
	for range kept {
		handlers = append(handlers, func(c net.Conn) bool { <-allArrived; return emit(ok, true)(c) })
	}
	ft, r, d := newRelayedTarget(t, append(handlers, emit(ok, true))...)
	c := newClient()
	done := make(chan error, kept)
	for range kept {
		go func() {
			_, _, err := timedSend(c, d)
			done <- err
		}()
	}
	for end := time.Now().Add(requestTimeout); ; time.Sleep(time.Millisecond) {
		if n, _ := ft.counts(); n == kept || time.Now().After(end) {
			break
		}
	}
	close(allArrived)
	for range kept {
		is.NoErr(<-done)
	}
	r.Inject(proc.Drop)
	_, _, err := timedSend(c, d)
	is.Equal(phaseOf(err), httpsend.Unanswered)
	body, _, err := timedSend(c, d)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestConnectionDiesDuringRequest checks that keep-alive probes fail a request whose packets are
// lost before its response, or in the middle of it.
func TestConnectionDiesDuringRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 5\r\n\r\nok"
	for name, tc := range map[string]struct {
		sent  string
		phase httpsend.Phase
	}{
		"before the response": {"", httpsend.Unanswered},
		"in the response":     {head, httpsend.Cut},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan struct{})
			done := make(chan struct{})
			defer close(done)
			_, r, d := newRelayedTarget(t, func(c net.Conn) bool {
				emit(tc.sent, true)(c)
				close(arrived)
				<-done
				return false
			})
			go func() {
				<-arrived
				time.Sleep(50 * time.Millisecond)
				r.Inject(proc.Drop)
			}()
			_, took, err := timedSend(newClient(), d)
			is.Equal(phaseOf(err), tc.phase)
			t.Logf("failed after %s: %v", took, err)
			is.True(took < probedWithin)
		})
	}
}

// TestSlowTargetIsWaitedFor checks that a request does not fail if its target sends nothing for
// probedWithin: the kernel of the target's host acknowledges the probes.
func TestSlowTargetIsWaitedFor(t *testing.T) {
	is := is.New(t)
	_, _, d := newRelayedTarget(t, func(c net.Conn) bool { time.Sleep(probedWithin); return emit(ok, true)(c) })
	body, _, err := timedSend(newClient(), d)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestAcknowledgedButLostRequest covers a connection on which written bytes are acknowledged but
// not delivered. Nothing but the deadline of the context ends a send on such a connection. The send
// must then close the connections that were idle, so that the next request succeeds.
func TestAcknowledgedButLostRequest(t *testing.T) {
	is := is.New(t)
	_, r, d := newRelayedTarget(t, emit(ok, true), emit(ok, true))
	c := newClient()
	_, _, err := timedSend(c, d)
	is.NoErr(err)
	r.Inject(proc.Discard)
	ctx, cancel := context.WithTimeout(context.Background(), unackedTimeout)
	defer cancel()
	_, err = send(ctx, c, d)
	is.Equal(phaseOf(err), httpsend.Unanswered)
	is.True(errors.Is(err, context.DeadlineExceeded))
	body, _, err := timedSend(c, d)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestIdleLimitOfDestination checks that a connection that has been idle for longer than one
// request's Destination.MaxIdleTime is kept for other requests.
func TestIdleLimitOfDestination(t *testing.T) {
	is := is.New(t)
	ft, _, d := newRelayedTarget(t, emit(ok, true), emit(ok, true), emit(ok, true))
	c := newClient()
	d.MaxIdleTime = 50 * time.Millisecond
	for _, wait := range []time.Duration{0, 2 * d.MaxIdleTime} {
		time.Sleep(wait)
		_, _, err := timedSend(c, d)
		is.NoErr(err)
	}
	time.Sleep(2 * d.MaxIdleTime)
	d.MaxIdleTime = 0
	_, _, err := timedSend(c, d)
	is.NoErr(err)
	_, conns := ft.counts()
	is.Equal(conns, 2)
}
