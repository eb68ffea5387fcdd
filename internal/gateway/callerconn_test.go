package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// unlimitedMemory is more than callers of the tests take.
const unlimitedMemory = 1 << 40

// newTestListener wraps l in a callerListener without limits.
func newTestListener(l net.Listener) net.Listener {
	conns := newCallerConns(unlimitedDescriptors, unlimitedMemory, func() int { return 0 }, telemetry.NewLogger(io.Discard, "test", "vm-1"))
	return newCallerListener(l, func() fleet.Limits { return fleet.Limits{} }, conns)
}

// Checks that callerConn has a working CloseWrite. net/http calls it before it closes a connection
// with unread bytes. Without the call, the caller may lose the response.
func TestCallerConnCloseWrite(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.SetDeadline(time.Now().Add(5 * time.Second)))
	c, err := newTestListener(l).Accept()
	is.NoErr(err)
	defer c.Close()
	half, ok := c.(interface{ CloseWrite() error })
	is.True(ok)
	is.NoErr(half.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(caller, "x") // the other direction is still open
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}

// serveCallers serves handler on loopback and returns a client connection to it.
func serveCallers(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, ConnState: onConnState}
	done := make(chan error, 1)
	go func() {
		done <- s.Serve(newTestListener(l))
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// getRequest is a complete request without a body.
const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Pipelined requests must not hide that the caller closes the connection.
func TestCloseAfterPipelinedRequestsIsDetected(t *testing.T) {
	for _, pipelined := range []int{0, 1, 100, 1000} {
		t.Run(fmt.Sprintf("%d pipelined requests", pipelined), func(t *testing.T) {
			is := is.New(t)
			begun, left := make(chan struct{}, 1), make(chan bool, 1)
			c := serveCallers(t, func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				select {
				case <-r.Context().Done():
					left <- true
				case <-time.After(2 * time.Second):
					left <- false
				}
				panic(http.ErrAbortHandler)
			})
			_, err := io.WriteString(c, getRequest)
			is.NoErr(err)
			<-begun
			for range pipelined {
				_, err := io.WriteString(c, getRequest)
				is.NoErr(err)
			}
			is.NoErr(c.Close())
			is.True(<-left)
		})
	}
}

// Pipelined requests are served in order and unchanged, even if they are larger than the read-ahead
// limit.
func TestPipelinedRequestsAreServed(t *testing.T) {
	is := is.New(t)
	const requests, size = 5, 3 * maxReadAhead
	c := serveCallers(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s %d %t", r.URL.Path, len(body), string(body) == strings.Repeat(r.URL.Path[1:], size))
	})
	go func() {
		for n := range requests {
			// An error shows as a missing response.
			_, _ = fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, size, strings.Repeat(fmt.Sprint(n), size))
		}
	}()
	br := bufio.NewReader(c)
	for n := range requests {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(body), fmt.Sprintf("/%d %d true", n, size))
	}
}

// A close is detected at once even with unread data, and an open connection is not taken for
// closed.
func TestCallerConnDetectsClose(t *testing.T) {
	ways := map[string]func(c *net.TCPConn) error{
		"open":        func(*net.TCPConn) error { return nil },
		"closed":      (*net.TCPConn).Close,
		"half-closed": (*net.TCPConn).CloseWrite,
		"with data":   func(c *net.TCPConn) error { _, err := io.WriteString(c, "x"); return errors.Join(err, c.Close()) },
		"data only":   func(c *net.TCPConn) error { _, err := io.WriteString(c, "x"); return err },
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			c, err := newTestListener(l).Accept()
			is.NoErr(err)
			defer c.Close()
			is.NoErr(leave(caller.(*net.TCPConn)))
			time.Sleep(20 * time.Millisecond)
			ctx := withCallerConn(context.Background(), c)
			is.Equal(callerGone(ctx), name != "open" && name != "data only")
			is.NoErr(c.Close())
			is.True(callerGone(ctx))
		})
	}
}
