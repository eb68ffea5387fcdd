package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/connlimit"
)

// limit is the number of connections of the tests.
const limit = 4

// request is a request that keeps its connection.
const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// serve serves handler behind a Listener and returns the address.
func serve(t *testing.T, handler http.HandlerFunc, open *atomic.Int64) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &http.Server{Handler: handler, ConnState: func(c net.Conn, state http.ConnState) {
		connlimit.Hijacked(c, state)
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}}
	done := make(chan error, 1)
	go func() { done <- s.Serve(connlimit.New(l, limit)) }()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return l.Addr().String()
}

// dial returns a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// Connections that are held open and used for nothing keep nobody out, and take no more than the limit.
func TestHeldConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	var open atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, &open)
	var held []net.Conn
	for range 10 * limit {
		c := dial(t, address)
		_, err := io.WriteString(c, "GET")
		is.NoErr(err)
		held = append(held, c)
	}
	c := dial(t, address)
	_, err := io.WriteString(c, request)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	_, err = held[0].Read(make([]byte, 1))
	is.True(err != nil)
	for deadline := time.Now().Add(10 * time.Second); open.Load() > limit && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(open.Load() <= limit)
}

// Connections that a handler has taken over are not closed for others.
func TestHijackedConnectionsStay(t *testing.T) {
	is := is.New(t)
	var open atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		c, received, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer c.Close()
		// The copy ends with the connection.
		_, _ = io.Copy(c, received)
	}, &open)
	first := dial(t, address)
	_, err := io.WriteString(first, request)
	is.NoErr(err)
	_, err = io.WriteString(first, "x")
	is.NoErr(err)
	_, err = io.ReadFull(first, make([]byte, 1))
	is.NoErr(err)
	for range 3 * limit {
		dial(t, address)
	}
	_, err = io.WriteString(first, "y")
	is.NoErr(err)
	_, err = io.ReadFull(first, make([]byte, 1))
	is.NoErr(err)
}
