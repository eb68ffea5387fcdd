// Package httpsend is an HTTP/1.1 client that sends each request at most once. Unlike
// net/http's Transport, it never retries a request, and every failure states whether the target
// may have run the request. The head of a response is its status line and header.
package httpsend

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/silence"
)

// Phase is the stage of the exchange in which a send failed.
type Phase int

// The phases of a failed send.
const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent Phase = iota + 1
	// Unanswered means that the request was sent, at least in part, and no response head was read.
	// The request may have run.
	Unanswered
	// Cut means that the response broke off after its head. The request may have run.
	Cut
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	switch p {
	case NotSent:
		return "not_sent"
	case Unanswered:
		return "unanswered"
	case Cut:
		return "cut"
	}
	return "unknown"
}

// Error reports a failed send: the phase in which it failed and the cause.
type Error struct {
	Phase Phase
	// Cause is the wrapped error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Phase.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// newError returns an Error of phase p.
func newError(p Phase, cause error) *Error { return &Error{Phase: p, Cause: cause} }

// ErrOverdue is the cancellation cause for a send whose response is overdue. If the send reused an
// idle connection, that connection is considered dead, and so are all connections to the
// destination that were idle when the send began.
var ErrOverdue = errors.New("httpsend: the response is overdue")

// ErrConnLimit reports that the destination's MaxConns connections are all in use.
var ErrConnLimit = errors.New("httpsend: all connections to the target are in use")

// Dialer opens TCP connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config holds the time limits of a Client's connections, and how they are opened.
type Config struct {
	// Dialer opens the connections. If it is nil, they are opened directly, within DialTimeout.
	Dialer Dialer
	// OnDial, if not nil, is called with the result of each attempt to open a connection.
	OnDial func(err error)
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// MaxIdleTime is how long an idle connection is kept for reuse.
	MaxIdleTime time.Duration
	// UnackedTimeout is how long written bytes may stay unacknowledged before the kernel
	// closes the connection. A Request may set its own limit.
	UnackedTimeout time.Duration
}

// Destination identifies a target and limits the connections to it.
type Destination struct {
	// ID is the key of the connection pool. Connections of one ID are not used for another.
	ID string
	// Address is the TCP address of the target, with its port.
	Address string
	// MaxConns limits the connections that are open at once; 0 means no limit.
	MaxConns int
	// MaxKept limits the connections of which unused ones are kept; 0 means no limit. While more are open, one
	// is closed after its response.
	MaxKept int
	// NewConn requires a new connection. It is meant for requests that must not be retried: the
	// target may have just closed an idle connection, and the request would be lost on it.
	NewConn bool
	// MaxIdleTime is the longest time that a connection may have been idle to be reused; 0
	// means the client's MaxIdleTime.
	MaxIdleTime time.Duration
	// OnConnect, if not nil, is called with the time that it took to open a new connection, unless that
	// was opened through another VM.
	OnConnect func(took time.Duration)
}

// Client sends requests over connections that it keeps for reuse. It is safe for concurrent use.
type Client struct {
	cfg Config

	// mu guards the fields below.
	mu sync.Mutex
	// pools holds the connections by Destination.ID.
	pools map[string]*pool
	// openCount counts the connections of all pools that are open or being opened.
	openCount int
}

// pool holds the connections to one destination. Client.mu guards it.
type pool struct {
	// idle holds the unused connections, the least recently used first.
	idle []*conn
	// openCount counts the connections that are idle, in use or being opened.
	openCount int
	// maxKept is the latest Destination.MaxKept.
	maxKept int
}

// OpenConns returns the number of connections that are open or being opened.
func (c *Client) OpenConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.OnDial == nil {
		cfg.OnDial = func(error) {}
	}
	if cfg.Dialer == nil {
		cfg.Dialer = silence.Dialer(cfg.DialTimeout, cfg.UnackedTimeout)
	}
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// acquire returns a usable idle connection, or opens a new one. It fails with ErrConnLimit if the
// destination's MaxConns connections are all in use.
func (c *Client) acquire(ctx context.Context, d Destination) (*conn, error) {
	if !d.NewConn {
		for cn := c.popIdle(d); cn != nil; cn = c.popIdle(d) {
			if clock.Since(cn.idleSince) < c.cfg.MaxIdleTime && cn.usable() {
				cn.reused = true
				return cn, nil
			}
			c.discard(cn)
		}
	}
	if !c.reserveSlot(d) {
		return nil, ErrConnLimit
	}
	began := clock.Now()
	nc, err := c.cfg.Dialer.DialContext(ctx, "tcp", d.Address)
	c.cfg.OnDial(err)
	if err != nil {
		c.releaseSlot(d.ID)
		return nil, err
	}
	if d.OnConnect != nil && nc.RemoteAddr().String() == d.Address {
		d.OnConnect(clock.Since(began))
	}
	cn := newConn(nc, d.ID)
	cn.unackedTimeout = c.cfg.UnackedTimeout
	return cn, nil
}

// probeWait is how long the connection of a probe must stay open for a process to count as
// listening at the address.
const probeWait = 50 * time.Millisecond

// ErrNotListening reports that no process listens at an address.
var ErrNotListening = errors.New("httpsend: no process listens at the address")

// Probe opens a connection to address and closes it. It returns ErrNotListening if the connection
// is refused, or if it is accepted and closed within probeWait without data, as a load balancer
// without healthy targets does.
func (c *Client) Probe(ctx context.Context, address string) error {
	nc, err := c.cfg.Dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(ErrNotListening, err.Error())
	}
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer nc.Close()
	if err := nc.SetReadDeadline(time.Now().Add(probeWait)); err != nil {
		return errors.Wrap(err, "probe")
	}
	var b [1]byte
	_, err = nc.Read(b[:])
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return errors.Wrap(ErrNotListening, err.Error())
	}
	// A listening target waits for a request, or sends data unprompted.
	return nil
}

// setUnackedTimeout sets how long bytes written to cn may stay unacknowledged; 0 means the client's
// UnackedTimeout.
func (c *Client) setUnackedTimeout(cn *conn, unacked time.Duration) error {
	if unacked <= 0 {
		unacked = c.cfg.UnackedTimeout
	}
	if unacked == cn.unackedTimeout {
		return nil
	}
	cn.unackedTimeout = unacked
	return silence.SetUnackedTimeout(cn.nc, unacked)
}

// connDead reports whether a send that failed with err without a response indicates a dead
// connection. That is so if the send timed out at the socket or at the deadline of ctx, or was
// cancelled with ErrOverdue. Any other cancellation says nothing about the connection.
func connDead(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrOverdue)
}

// closeIdleSince closes the connections to a destination that have been idle since before the given
// time. It is called when one such connection turned out to be dead, because the other ones are
// probably dead too.
func (c *Client) closeIdleSince(id string, before time.Time) {
	c.mu.Lock()
	p := c.pools[id]
	n := 0
	for p != nil && n < len(p.idle) && p.idle[n].idleSince.Before(before) {
		n++
	}
	var closing []*conn
	if n > 0 {
		closing = append(closing, p.idle[:n]...)
		p.idle = p.idle[n:]
	}
	c.mu.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	var closing []*conn
	for _, p := range c.pools {
		closing = append(closing, p.idle...)
		p.idle = nil
	}
	c.mu.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}

// popIdle removes the most recently used connection from the pool and returns it. It returns nil if
// the pool has no idle connection. It also returns nil if the connection has been idle for longer
// than d.MaxIdleTime; that connection stays in the pool for requests without that limit.
func (c *Client) popIdle(d Destination) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d.ID]
	if p == nil {
		return nil
	}
	p.maxKept = d.MaxKept
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	cn := p.idle[last]
	if d.MaxIdleTime > 0 && clock.Since(cn.idleSince) > d.MaxIdleTime {
		return nil
	}
	p.idle = p.idle[:last]
	return cn
}

// reserveSlot counts a connection that is about to be opened. If the destination already has
// MaxConns connections, it closes the one that has been idle the longest, and returns false if
// none is idle.
func (c *Client) reserveSlot(d Destination) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d.ID]
	if p == nil {
		p = &pool{}
		c.pools[d.ID] = p
	}
	p.maxKept = d.MaxKept
	if d.MaxConns > 0 && p.openCount >= d.MaxConns {
		if len(p.idle) == 0 {
			return false
		}
		// The new connection takes over the slot, so a failed Close changes nothing.
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
		p.openCount--
		c.openCount--
	}
	p.openCount++
	c.openCount++
	return true
}

// releaseSlot uncounts a connection that was closed or could not be opened.
func (c *Client) releaseSlot(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	p.openCount--
	c.openCount--
	if p.openCount == 0 {
		delete(c.pools, id)
	}
}

// discard closes a connection and releases its slot. Close fails only if the connection is
// already closed, so its error is ignored.
func (c *Client) discard(cn *conn) {
	_ = cn.nc.Close()
	c.releaseSlot(cn.destID)
}

// putIdle returns a connection to its pool, or closes it if more than maxKept are open.
func (c *Client) putIdle(cn *conn) {
	if !c.keep(cn) {
		c.discard(cn)
	}
}

// keep adds an unused connection to its pool. It returns false if more than maxKept are open.
func (c *Client) keep(cn *conn) bool {
	cn.idleSince = clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.destID]
	if p.maxKept > 0 && p.openCount > p.maxKept {
		return false
	}
	p.idle = append(p.idle, cn)
	return true
}

// Prune closes connections that have been idle for MaxIdleTime or longer, and all idle connections
// of destinations for which keep returns false.
func (c *Client) Prune(keep func(id string) bool) {
	c.mu.Lock()
	var closing []*conn
	for id, p := range c.pools {
		n := 0
		if keep(id) {
			for n < len(p.idle) && clock.Since(p.idle[n].idleSince) >= c.cfg.MaxIdleTime {
				n++
			}
		} else {
			n = len(p.idle)
		}
		closing = append(closing, p.idle[:n]...)
		p.idle = p.idle[n:]
	}
	c.mu.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}

// usable reports whether an idle connection is open and has no unread data. It peeks at the
// socket without blocking: a target that closed the connection, or sent data that belongs to no
// request, makes it unusable.
func (cn *conn) usable() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	if b, ok := cn.nc.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
