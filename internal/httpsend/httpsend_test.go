package httpsend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
)

// fakeTarget answers each request with the next of its handlers, whichever connection the request
// arrives on. It counts requests and connections.
type fakeTarget struct {
	t         *testing.T
	l         net.Listener
	mu        sync.Mutex
	requests  int
	conns     int
	openConns []net.Conn
}

// handler writes a response to c and reports whether the connection stays open.
type handler func(c net.Conn) bool

// newFakeTarget starts a target on a loopback port. The handlers answer one request each, in order.
// After the last one, the target closes any connection on which a request arrives.
func newFakeTarget(t *testing.T, handlers ...handler) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ft := &fakeTarget{t: t, l: l}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			ft.mu.Lock()
			ft.conns++
			ft.openConns = append(ft.openConns, c)
			ft.mu.Unlock()
			served.Go(func() { ft.serve(c, handlers) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		ft.mu.Lock()
		for _, c := range ft.openConns {
			c.Close()
		}
		ft.mu.Unlock()
		served.Wait()
	})
	return ft
}

// serve reads requests from c until the connection ends, and passes each to the next handler.
func (ft *fakeTarget) serve(c net.Conn, handlers []handler) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		ft.mu.Lock()
		n := ft.requests
		ft.requests++
		ft.mu.Unlock()
		if n >= len(handlers) || !handlers[n](c) {
			return
		}
	}
}

// counts returns the requests and connections so far.
func (ft *fakeTarget) counts() (requests, conns int) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.requests, ft.conns
}

// emit returns a handler that writes text and then keeps the connection open or closes it.
func emit(text string, keepOpen bool) handler {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil && keepOpen
	}
}

// destination returns the target's address with a limit of two connections.
func (ft *fakeTarget) destination() httpsend.Destination {
	return httpsend.Destination{ID: "i-a", Address: ft.l.Addr().String(), MaxConns: 2}
}

// ok is a complete response to the request with the id q.
const ok = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nok"

// matches is the httpsend.Match of all requests of these tests, which have the id q.
func matches(_ int, h http.Header) bool { return h.Get("Request-Id") == "q" }

// newClient returns a client that keeps idle connections for longer than any test takes.
func newClient() *httpsend.Client {
	return httpsend.New(httpsend.Config{DialTimeout: time.Second, MaxIdleTime: time.Minute, UnackedTimeout: time.Second})
}

// send sends one request and returns the body of its response.
func send(ctx context.Context, c *httpsend.Client, d httpsend.Destination) (string, error) {
	resp, err := c.Send(ctx, d, &httpsend.Request{Method: "GET", URI: "/x", Host: "h"}, matches)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// phaseOf returns the phase of a failed send, or 0 if err is no *httpsend.Error.
func phaseOf(err error) httpsend.Phase {
	var e *httpsend.Error
	if errors.As(err, &e) {
		return e.Phase
	}
	return 0
}

// TestPhases checks the phase that Send reports for each fault of a target, and that no fault
// makes it send the request again.
func TestPhases(t *testing.T) {
	cases := []struct {
		name    string
		handler handler
		body    string
		phase   httpsend.Phase
	}{
		{"whole", emit(ok, true), "ok", 0},
		{"closed unanswered", emit("", false), "", httpsend.Unanswered},
		{"not HTTP", emit("nonsense\r\n\r\n", false), "", httpsend.Unanswered},
		{"head cut", emit("HTTP/1.1 200 OK\r\nCont", false), "", httpsend.Unanswered},
		{"body cut", emit("HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 5\r\n\r\nok", false), "ok", httpsend.Cut},
		{"chunk cut", emit("HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", false), "ok", httpsend.Cut},
		{"no length", emit("HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nall of it", false), "all of it", 0},
		{"no length, reset", func(c net.Conn) bool {
			emit("HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nall", true)(c)
			time.Sleep(20 * time.Millisecond)
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return false
		}, "all", httpsend.Cut},
		{"response to another request first", emit(strings.ReplaceAll(ok, "q", "z")+ok, true), "ok", 0},
		{"only a response to another request", emit(strings.ReplaceAll(ok, "q", "z"), false), "", httpsend.Unanswered},
		{"continue first", emit("HTTP/1.1 100 Continue\r\n\r\n"+ok, true), "ok", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ft := newFakeTarget(t, tc.handler, emit(ok, true))
			body, err := send(context.Background(), newClient(), ft.destination())
			is.Equal(body, tc.body)
			is.Equal(phaseOf(err), tc.phase)
			n, _ := ft.counts()
			is.Equal(n, 1)
		})
	}
}

// TestNothingListens checks that a refused connection is reported as NotSent.
func TestNothingListens(t *testing.T) {
	is := is.New(t)
	ft := newFakeTarget(t)
	d := ft.destination()
	ft.l.Close()
	_, err := send(context.Background(), newClient(), d)
	is.Equal(phaseOf(err), httpsend.NotSent)
}

// TestConnectionIsReusedAfterCompleteResponse checks that the next request uses the connection on
// which a complete response arrived.
func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	is := is.New(t)
	ft := newFakeTarget(t, emit(ok, true), emit(ok, true))
	c := newClient()
	for range 2 {
		body, err := send(context.Background(), c, ft.destination())
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	n, conns := ft.counts()
	is.Equal(n, 2)
	is.Equal(conns, 1)
}

// TestUnusableConnectionIsNotReused covers connections that the target closed, or on which it
// sent more than the response.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]handler{
		"closed after the response": emit(ok, false),
		"second response at once":   emit(ok+ok, true),
		"second response later":     func(c net.Conn) bool { emit(ok, true)(c); time.Sleep(20 * time.Millisecond); return emit(ok, true)(c) },
		"Connection: close":         emit(strings.Replace(ok, "\r\n", "\r\nConnection: close\r\n", 1), true),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ft := newFakeTarget(t, first, emit(ok, true))
			c := newClient()
			_, err := send(context.Background(), c, ft.destination())
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			body, err := send(context.Background(), c, ft.destination())
			is.NoErr(err)
			is.Equal(body, "ok")
			_, conns := ft.counts()
			is.Equal(conns, 2)
		})
	}
}

// TestMaxConns checks that a send fails at once when the destination's connections are all in
// use, and that the next one succeeds when they are free again.
func TestMaxConns(t *testing.T) {
	is := is.New(t)
	hold := func(net.Conn) bool { time.Sleep(200 * time.Millisecond); return false }
	ft := newFakeTarget(t, hold, hold, emit(ok, true))
	c := newClient()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			_, err := send(context.Background(), c, ft.destination())
			if phaseOf(err) != httpsend.Unanswered {
				t.Error(err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	_, err := send(context.Background(), c, ft.destination())
	is.Equal(phaseOf(err), httpsend.NotSent)
	is.True(errors.Is(err, httpsend.ErrConnLimit))
	wg.Wait()
	body, err := send(context.Background(), c, ft.destination())
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestContextEndClosesConnection checks that a send ends at the deadline of its context, and that
// the target sees the connection close and can stop working.
func TestContextEndClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	ft := newFakeTarget(t, func(c net.Conn) bool {
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := send(ctx, newClient(), ft.destination())
	is.Equal(phaseOf(err), httpsend.Unanswered)
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open at the target")
	}
}

// TestNothingIsSentAfterContextEnd guards against writing a request whose context has already
// ended. Dialing fails with the context, but an idle connection is not dialed, so Send must check
// the context.
func TestNothingIsSentAfterContextEnd(t *testing.T) {
	is := is.New(t)
	handlers := make([]handler, 20)
	for i := range handlers {
		handlers[i] = emit(ok, true)
	}
	ft := newFakeTarget(t, handlers...)
	c := newClient()
	_, err := send(context.Background(), c, ft.destination())
	is.NoErr(err)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 10 {
		_, err := send(cancelled, c, ft.destination())
		is.Equal(phaseOf(err), httpsend.NotSent)
		is.True(errors.Is(err, context.Canceled))
	}
	_, err = send(context.Background(), c, ft.destination())
	is.NoErr(err)
	requests, conns := ft.counts()
	is.Equal(requests, 2)
	is.Equal(conns, 1) // the idle connection was kept
}

// TestWithheldRequestIsNotSent checks that nothing is sent if Request.BeforeSend returns false.
func TestWithheldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	ft := newFakeTarget(t, emit(ok, true))
	_, err := newClient().Send(context.Background(), ft.destination(), &httpsend.Request{Method: "GET", URI: "/", Host: "h", BeforeSend: func() bool { return false }}, matches)
	is.Equal(phaseOf(err), httpsend.NotSent)
	is.True(errors.Is(err, httpsend.ErrWithheld))
	n, _ := ft.counts()
	is.Equal(n, 0)
}

// TestEarlyResponseToLongBody covers a target that responds before it has read a long body. The
// connection must not be reused, as the rest of the body is still to be written to it.
func TestEarlyResponseToLongBody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}
		emit(ok, true)(c)
		time.Sleep(300 * time.Millisecond)
	}()
	c := newClient()
	d := httpsend.Destination{ID: "i", Address: l.Addr().String()}
	resp, err := c.Send(context.Background(), d, &httpsend.Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, 16<<20)}, matches)
	is.NoErr(err)
	body, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	resp.Close()
	l.Close()
	_, err = send(context.Background(), c, d)
	is.Equal(phaseOf(err), httpsend.NotSent) // the connection was not kept
}

// TestPruneClosesConnectionsOfRemovedDestinations checks that Prune closes the idle connections of
// a destination that its callback does not keep.
func TestPruneClosesConnectionsOfRemovedDestinations(t *testing.T) {
	is := is.New(t)
	ft := newFakeTarget(t, emit(ok, true), emit(ok, true))
	c := newClient()
	_, err := send(context.Background(), c, ft.destination())
	is.NoErr(err)
	c.Prune(func(string) bool { return false })
	_, err = send(context.Background(), c, ft.destination())
	is.NoErr(err)
	_, conns := ft.counts()
	is.Equal(conns, 2)
}

// TestProbe checks that a connection that stays open counts as a listening process, and that
// ErrNotListening is returned for one that is refused, or closed unused as by a load balancer
// without healthy targets.
func TestProbe(t *testing.T) {
	is := is.New(t)
	c := httpsend.New(httpsend.Config{DialTimeout: time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	closing := make(chan bool, 1)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case <-closing:
				nc.Close()
			default:
				defer nc.Close()
			}
		}
	}()
	is.NoErr(c.Probe(context.Background(), address))
	closing <- true
	is.True(errors.Is(c.Probe(context.Background(), address), httpsend.ErrNotListening))
	l.Close()
	is.True(errors.Is(c.Probe(context.Background(), address), httpsend.ErrNotListening))
}
