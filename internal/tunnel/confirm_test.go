package tunnel_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/tunnel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// slowReadBytes is how much a slow VM reads at once, less than a target reads of a head, and slowPause the time
	// between two of its reads.
	slowReadBytes = 512
	slowPause     = 20 * time.Millisecond
)

// slowListener accepts connections that are read in small pieces with pauses, as by a VM that is short of processor
// time.
type slowListener struct{ net.Listener }

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: c.(*net.TCPConn)}, nil
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	*net.TCPConn
	reads int
}

// Read implements net.Conn. The first read, of the CONNECT request, is not slow.
func (c *slowConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads > 2 {
		time.Sleep(slowPause)
	}
	return c.TCPConn.Read(p[:min(len(p), slowReadBytes)])
}

// startSlowVM starts a VM in between, in this process, that passes on slowly what it receives of other VMs.
func startSlowVM(t *testing.T, target string) *vmInBetween {
	t.Helper()
	dialer := tunnel.NewDialer(tunnel.Options{Direct: &net.Dialer{}, Log: telemetry.Discard()})
	s := tunnel.NewServer(tunnel.ServerOptions{Dial: dialer.DialDirect, Allowed: func(a string) bool { return a == target }, Limit: 64})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(slowListener{l}) }() // ends with the listener
	t.Cleanup(func() { _ = server.Close() })
	return &vmInBetween{address: l.Addr().String(), target: target}
}

// Guards against a part of a body that counts as complete: a target answers a long upload at once and closes the
// connection in order before the upload reaches it through another VM. The reset that follows came after that VM had
// stated the target's end.
func TestOrderlyCloseBeforeTheUploadArrivesIsNotComplete(t *testing.T) {
	is := is.New(t)
	const size, plays = 64 << 10, 10
	answer := platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na third" }, 0, platformtest.EndsUnread)
	target := platformtest.NewRawTarget(answer)
	defer target.Close()
	client := newIndirectClient(t, startSlowVM(t, target.Address()))
	is.Equal(sendEarly(t, client, target.Address(), size, plays, "a third"), 0)
}

// The whole response to an upload that a slow VM in between passes on is complete, whether or not the target reads the
// upload before it ends the response.
func TestResponseBehindASlowVMIsPassedOn(t *testing.T) {
	for name, ending := range map[string]platformtest.EarlyEnding{"after": platformtest.EndsAfterBody, "before": platformtest.EndsBeforeBody} {
		t.Run(name, func(t *testing.T) {
			answer := platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nthe whole body" }, 0, ending)
			target := platformtest.NewRawTarget(answer)
			defer target.Close()
			client := newIndirectClient(t, startSlowVM(t, target.Address()))
			for _, size := range []int{0, 1 << 10, 8 << 10} {
				is.New(t).Equal(sendEarly(t, client, target.Address(), size, 2, "the whole body"), 2)
			}
		})
	}
}

// sendEarly sends requests with a body of size bytes, and returns how many of the responses were complete.
func sendEarly(t *testing.T, client *httpsend.Client, address string, size, plays int, want string) (complete int) {
	t.Helper()
	is := is.New(t)
	for range plays {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		resp, err := client.Send(ctx, httpsend.Destination{ID: "i-plain", Address: address},
			&httpsend.Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: make([]byte, size)}, func(int, http.Header) bool { return true })
		if err == nil {
			body, err := io.ReadAll(resp)
			if err == nil {
				complete++
				is.Equal(string(body), want)
			}
			resp.Close()
		}
		cancel()
	}
	return complete
}

// A VM of another version may ask for no confirmation, or give none. The last chunk then states the target's end.
func TestTunnelWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	target := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nwhole" }))
	defer target.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveUnconfirmed(c)
		}
	}()
	client := newIndirectClient(t, &vmInBetween{address: l.Addr().String(), target: target.Address()})
	is.Equal(sendEarly(t, client, target.Address(), 10, 1, "whole"), 1)
}

// serveUnconfirmed answers a CONNECT request and one request on the tunnel as a VM does that knows no confirmation.
func serveUnconfirmed(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4<<10)
	for _, response := range []string{established, "31\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nX: 1\r\n\r\nwhole\r\n0\r\n"} {
		if _, err := c.Read(buf); err != nil {
			return
		}
		if _, err := fmt.Fprint(c, response); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c) // until the peer closes the connection
}
