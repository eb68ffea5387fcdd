package gateway

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"garnethoist.org/garnethoist/internal/fleet"
)

// callerListener accepts callers' connections. The header and idle timeouts of the configuration,
// which can change while the server runs, replace those of the http.Server.
type callerListener struct {
	net.Listener
	limits func() fleet.Limits
	conns  *callerConns
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

// newCallerListener returns a listener that accepts from l and registers connections with conns.
// limits returns the current limits of the configuration.
func newCallerListener(l net.Listener, limits func() fleet.Limits, conns *callerConns) *callerListener {
	return &callerListener{Listener: l, limits: limits, conns: conns, closed: make(chan struct{})}
}

// Accept implements net.Listener. Accept waits while the process has too many connections, and
// retries after a pause when no file descriptor is available.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		if l.conns.makeRoom() {
			c, err := l.Listener.Accept()
			switch {
			case err == nil:
				cc := &callerConn{Conn: c, limits: l.limits, conns: l.conns}
				l.conns.add(cc)
				return cc, nil
			case !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE):
				return nil, err
			}
			l.conns.noteShortage()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryInterval):
		}
	}
}

// Close implements net.Listener. It also ends an Accept that waits.
func (l *callerListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// withCallerConn stores the connection in the context of its requests; it is the server's
// ConnContext hook.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerGone reports whether the caller has closed the connection of the request. It checks the
// socket, because the request's context is canceled only a little after the close. If only the
// context were checked, a request that was read long after its caller left would still be sent to a
// target.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return ok && c.closed()
}

// maxReadAhead limits how many bytes of pipelined requests are read while a request is in flight.
const maxReadAhead = 64 << 10

// readAheadChunk is the buffer size for reading pipelined requests.
const readAheadChunk = 4 << 10

// callerConn is the connection of one caller. net/http sets a read deadline while it waits for a
// request and while it reads a header, and clears it otherwise.
type callerConn struct {
	net.Conn
	limits func() fleet.Limits
	// idle is true while the connection waits for its next request.
	idle atomic.Bool
	// noReadDeadline is true while net/http has cleared the read deadline.
	noReadDeadline atomic.Bool
	// unread holds bytes received after the request in flight. It needs no lock because net/http
	// reads a connection from one goroutine at a time.
	unread []byte

	conns *callerConns
	// idleElem is the connection's element in conns.idle, or nil. idleSince is when the connection
	// began to wait for a request. unused is true until the first request on the connection.
	// removed is true once the connection is closed. These four fields are guarded by conns.mu.
	idleElem  *list.Element
	idleSince time.Time
	unused    bool
	removed   bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// Read implements net.Conn. While a request is in flight, net/http clears the read deadline and
// reads a single byte to detect that the caller closes the connection. Once net/http has received
// that byte, it no longer detects a close. Targets would then go on working for a caller that
// pipelined its next request and left. So this read returns only when the connection is closed or
// maxReadAhead bytes have arrived, and those bytes are kept for later reads.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.noReadDeadline.Load() {
		if err := c.readAhead(p); err != nil {
			return 0, err
		}
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		if len(c.unread) == 0 {
			c.unread = nil
		}
		return n, nil
	}
	return c.Conn.Read(p)
}

// readAhead appends received bytes to c.unread until a read fails or maxReadAhead bytes are held.
// The first read uses buf. Usually that read only sees the connection close, so no other buffer has
// to be allocated.
func (c *callerConn) readAhead(buf []byte) error {
	for len(c.unread) < maxReadAhead {
		n, err := c.Conn.Read(buf)
		c.unread = append(c.unread, buf[:n]...)
		if err != nil {
			return err
		}
		if len(buf) < readAheadChunk {
			buf = make([]byte, readAheadChunk)
		}
	}
	return nil
}

// SetReadDeadline implements net.Conn. It replaces a deadline in the future by the configured idle
// or header timeout, if there is one.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.noReadDeadline.Store(t.IsZero())
	if now := time.Now(); t.After(now) {
		limits := c.limits()
		limit := limits.HeaderTimeout
		if c.idle.Load() {
			limit = limits.IdleTimeout
		}
		if limit > 0 {
			t = now.Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// closed reports whether either side has closed the connection.
func (c *callerConn) closed() bool {
	_, closed := c.peek()
	return closed
}

// pending reports whether received bytes are waiting to be read.
func (c *callerConn) pending() bool {
	pending, _ := c.peek()
	return pending
}

// peek returns whether received bytes are waiting to be read (pending) and whether either side has
// closed the connection (closed). It consumes no data and does not wait for a read in progress.
func (c *callerConn) peek() (pending, closed bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) { pending, closed = peekSocket(int(fd)) })
	return pending, closed || err != nil
}

// peekSocket returns whether the socket fd has unread bytes (pending) and whether either side has
// closed it (closed). It calls poll, because a read with MSG_PEEK does not show a close that
// follows unread bytes.
func peekSocket(fd int) (pending, closed bool) {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false, false
	case err != nil || n == 0:
		return false, true
	}
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(fds, 0)
	return true, err == nil && ready > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// CloseWrite shuts down the sending side. net/http calls it before it closes a connection with
// unread bytes, so that the caller still receives the response.
func (c *callerConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}

// onConnState tracks whether a connection is idle; it is the server's ConnState hook.
func onConnState(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.idle.Store(s == http.StateIdle)
	switch s {
	case http.StateIdle:
		cc.conns.markIdle(cc)
	case http.StateActive:
		cc.conns.markActive(cc)
	}
}
