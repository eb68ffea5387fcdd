package gateway

import (
	"bytes"
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
	"garnethoist.org/garnethoist/internal/intake"
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

// connOf returns the connection of a request, or nil if the server of the request is not a Gateway's.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// callerGone reports whether the caller has closed the connection of the request. It checks the
// socket, because the request's context is canceled only a little after the close. If only the
// context were checked, a request that was read long after its caller left would still be sent to a
// target.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := connOf(ctx)
	return c != nil && c.closed()
}

// maxReadAhead limits how many bytes of pipelined requests are read while a request is in flight.
const maxReadAhead = 64 << 10

// discardTimeout limits the time in which the rest of a refused request is received.
const discardTimeout = 500 * time.Millisecond

// freeReadAhead is how many bytes of pipelined requests are read without a reservation.
const freeReadAhead = 8 << 10

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
	// part is the part of a request that is being read.
	part atomic.Int32
	// hasTurn is true while the connection holds one of conns.turns.
	hasTurn atomic.Bool
	// unread holds bytes received after the request in flight, and aheadBytes is what was reserved for
	// them. partBytes is the size of the part of the request received so far. These fields and those below
	// need no lock because net/http reads a connection from one goroutine at a time, and not while it
	// serves a request.
	unread     []byte
	aheadBytes int64
	partBytes  int64
	// headBytes is what the head received so far takes, and headReserved what was reserved for it.
	headBytes, headReserved int64
	// window is the size of the kernel's buffer for received bytes while it is not receiveWindow, and
	// windowBytes what is reserved for it.
	window, windowBytes int64

	conns *callerConns
	// holder is the connection's entry in conns.ledger, guarded by conns.mu.
	holder intake.Holder
}

// Parts of a request.
const (
	partHead int32 = iota
	partBody
	// partNone means that the request is complete.
	partNone
)

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
		return c.readUnread(p), nil
	}
	c.endTurn()
	n, err := c.readUnread(p), error(nil)
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.partBytes += int64(n)
	switch c.part.Load() {
	case partHead:
		if !c.reserveHead(p[:n]) {
			return 0, errMemoryShort
		}
	case partBody:
		c.takeTurn()
	}
	return n, err
}

// readUnread copies bytes that were received after the request before.
func (c *callerConn) readUnread(p []byte) int {
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 && c.aheadBytes > 0 {
		c.unread = nil
		c.conns.release(c, c.aheadBytes)
		c.aheadBytes = 0
	}
	return n
}

// reserveHead reserves memory for received bytes of a head, and reports whether there was enough. Each line
// takes lineBytes besides its text. readBytes covers the first freeHeadBytes.
func (c *callerConn) reserveHead(received []byte) bool {
	if c.headBytes == 0 {
		c.conns.enter(c, intake.Reading)
	}
	c.headBytes += int64(len(received)) + lineBytes*int64(bytes.Count(received, []byte{'\n'}))
	due := c.headBytes - freeHeadBytes
	if due <= c.headReserved {
		return true
	}
	due = (due + headStep - 1) / headStep * headStep
	if !c.conns.tryReserve(c, due-c.headReserved) {
		return false
	}
	c.headReserved = due
	return true
}

// takeTurn waits until the connection may have a further piece of a large body parsed. Bodies up to
// freeBodyBytes don't wait.
func (c *callerConn) takeTurn() {
	if c.partBytes > freeBodyBytes {
		c.conns.turns <- struct{}{}
		c.hasTurn.Store(true)
	}
}

// endTurn lets other connections have their bodies parsed.
func (c *callerConn) endTurn() {
	if c.hasTurn.CompareAndSwap(true, false) {
		<-c.conns.turns
	}
}

// beginBody starts the reading of the body of a request.
func (c *callerConn) beginBody() {
	c.partBytes = 0
	c.part.Store(partBody)
}

// widenWindow lets the kernel hold more of a body of at least size bytes. It reserves memory for a large one,
// for bulkWindow if nobody else has to give up memory for it.
func (c *callerConn) widenWindow(ctx context.Context, size int64) error {
	window := int64(bodyWindow)
	if size > freeBodyBytes && c.windowBytes == 0 {
		switch {
		case c.conns.reserveFree(c, bulkWindow):
			window = bulkWindow
		default:
			if err := c.conns.reserve(ctx, c, window); err != nil {
				return err
			}
		}
		c.windowBytes = window
	}
	if window > c.window {
		c.setReceiveBuffer(window)
	}
	return nil
}

// setReceiveBuffer sets the size of the kernel's buffer for received bytes.
func (c *callerConn) setReceiveBuffer(size int64) {
	c.window = size
	// An error means that the connection was closed, or has no socket.
	_ = c.control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, int(size)) })
}

// unreadInKernel returns the number of received bytes that were not read.
func (c *callerConn) unreadInKernel() (n int) {
	// An error means that the connection was closed, or has no socket.
	_ = c.control(func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return n
}

// endBody ends the reading of a body, or of a head without one. It reports whether the request is to be served:
// it is complete and was not told to end. If the caller has sent more, and the kernel holds it, its memory stays
// reserved until the request ends.
func (c *callerConn) endBody(complete bool) bool {
	c.endTurn()
	c.part.Store(partNone)
	reserved := c.windowBytes
	if c.window > receiveWindow {
		c.setReceiveBuffer(receiveWindow)
		if reserved > 0 && c.unreadInKernel() > receiveWindow {
			reserved = 0
		}
	}
	c.windowBytes -= reserved
	return c.conns.endBody(c, complete, reserved)
}

// limitDiscard limits the time in which net/http receives the rest of a request that is refused before it is
// complete, so that the response does not wait for it.
func (c *callerConn) limitDiscard() {
	// It fails only if the connection is already closed.
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
}

// endRequest records that a request was responded to. The next bytes are those of a head.
func (c *callerConn) endRequest() {
	c.conns.release(c, c.windowBytes)
	c.windowBytes = 0
	c.endHead()
	c.part.Store(partHead)
}

// ended reports whether the connection or its request was ended for a resource.
func (c *callerConn) ended() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.holder.Removed() || c.holder.Leaving()
}

// endHead returns the memory that a head took.
func (c *callerConn) endHead() {
	if c.headReserved > 0 {
		c.conns.release(c, c.headReserved)
	}
	c.headReserved, c.headBytes = 0, 0
}

// readAhead appends received bytes to c.unread until a read fails or maxReadAhead bytes are held. It
// fails, which ends the request in flight, if more than freeReadAhead bytes arrive and memory is short.
// The first read uses buf. Usually that read only sees the connection close, so no other buffer has
// to be allocated.
func (c *callerConn) readAhead(buf []byte) error {
	for len(c.unread) < maxReadAhead {
		if len(c.unread) > freeReadAhead && c.aheadBytes == 0 {
			if !c.conns.tryReserve(c, maxReadAhead+receiveWindow) {
				return errMemoryShort
			}
			c.aheadBytes = maxReadAhead + receiveWindow
		}
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
	err := c.control(func(fd int) error {
		pending, closed = peekSocket(fd)
		return nil
	})
	return pending, closed || (err != nil && !errors.Is(err, errNoSocket))
}

// errNoSocket means that a connection gives no access to a socket.
var errNoSocket = errors.New("no socket")

// control calls f with the socket of the connection.
func (c *callerConn) control(f func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
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
	c.conns.enter(c, intake.Closing)
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
	if s == http.StateIdle {
		cc.endHead()
		cc.conns.enter(cc, intake.Idle)
	}
}
