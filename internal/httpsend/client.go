// Package httpsend sends one HTTP/1.1 request on one connection, once. Unlike
// net/http's Transport it never sends a request again by itself, and it says
// of each failure whether the target may have run the request.
package httpsend

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/silence"
)

// Phase says how far a failed send got.
type Phase int

// The phases of a failed send.
const (
	// NotSent: no byte of the request reached the target.
	NotSent Phase = iota + 1
	// Unanswered: the request was sent, at least in part, and has no answer. It
	// may have run.
	Unanswered
	// Cut: the answer began and broke off. The request may have run.
	Cut
)

// String returns the phase as it appears in logs.
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

// Error is a failed send.
type Error struct {
	Phase Phase
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Phase.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func failed(p Phase, cause error) *Error { return &Error{Phase: p, Cause: cause} }

// ErrOverdue is the cause to end a send's context with whose answer is overdue, so
// that its connection may have fallen silent.
var ErrOverdue = errors.New("httpsend: the answer is overdue")

// ErrNoConn: the destination's share of connections is in use.
var ErrNoConn = errors.New("httpsend: all connections to the target are in use")

// Config bounds the client's connections.
type Config struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// MaxIdle is the longest time that a connection is kept unused.
	MaxIdle time.Duration
	// Unacked is how long written bytes may stay unacknowledged before a
	// connection is taken for silent, where a request does not say.
	Unacked time.Duration
}

// Destination names a target and bounds its connections.
type Destination struct {
	// ID keys the pool; connections of one ID are not used for another.
	ID      string
	Address string
	// MaxConns bounds the connections open at once; 0 is no bound.
	MaxConns int
	// Fresh asks for a new connection, for requests whose loss on a
	// connection that the target has just closed could not be made good.
	Fresh bool
	// MaxRest is the longest time that a kept connection may have rested to be
	// used; 0 is the client's MaxIdle.
	MaxRest time.Duration
}

// Client sends requests over connections that it keeps for reuse. It is safe
// for concurrent use.
type Client struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool
	open  int
}

// pool holds the connections to one destination; Client.mu guards it.
type pool struct {
	// idle is in order of last use.
	idle []*conn
	open int
}

// Open counts the connections that are open or being opened.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// New returns a client without connections.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// take returns an idle connection that is still good, or a new one.
func (c *Client) take(ctx context.Context, d Destination) (*conn, error) {
	if !d.Fresh {
		for cn := c.popIdle(d); cn != nil; cn = c.popIdle(d) {
			if clock.Since(cn.idleSince) < c.cfg.MaxIdle && cn.quiet() {
				cn.reused = true
				return cn, nil
			}
			c.discard(cn)
		}
	}
	if !c.reserve(d) {
		return nil, ErrNoConn
	}
	nc, err := silence.Dialer(c.cfg.DialTimeout, c.cfg.Unacked).DialContext(ctx, "tcp", d.Address)
	if err != nil {
		c.release(d.ID)
		return nil, err
	}
	cn := newConn(nc, d.ID)
	cn.unacked = c.cfg.Unacked
	return cn, nil
}

// probeWait is how long a probe's connection must stay open.
const probeWait = 50 * time.Millisecond

// ErrNobody: nothing listens at an address.
var ErrNobody = errors.New("httpsend: nobody listens")

// Probe opens a connection to an address and closes it. It returns ErrNobody where the host
// refuses it or, as balancers do that have no back end, accepts it and closes it unused.
func (c *Client) Probe(ctx context.Context, address string) error {
	nc, err := silence.Dialer(c.cfg.DialTimeout, c.cfg.Unacked).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(ErrNobody, err.Error())
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
		return errors.Wrap(ErrNobody, err.Error())
	}
	// A target waits for a request, or says something.
	return nil
}

// bound sets how long written bytes may stay unacknowledged on cn.
func (c *Client) bound(cn *conn, unacked time.Duration) error {
	if unacked <= 0 {
		unacked = c.cfg.Unacked
	}
	if unacked == cn.unacked {
		return nil
	}
	cn.unacked = unacked
	return silence.SetUnacked(cn.nc, unacked)
}

// silent reports whether a send without an answer tells that its connection has
// fallen silent: nobody ended it before its time.
func silent(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrOverdue)
}

// dropResting closes the connections to a destination that have rested since
// before a time: one that rested with them was found silent.
func (c *Client) dropResting(id string, before time.Time) {
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

// popIdle takes the connection that was used last, unless it has rested too long
// for the destination; then it stays for others.
func (c *Client) popIdle(d Destination) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d.ID]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	cn := p.idle[last]
	if d.MaxRest > 0 && clock.Since(cn.idleSince) > d.MaxRest {
		return nil
	}
	p.idle = p.idle[:last]
	return cn
}

// reserve counts a new connection, closing the oldest idle one where the
// destination's share is in use.
func (c *Client) reserve(d Destination) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[d.ID]
	if p == nil {
		p = &pool{}
		c.pools[d.ID] = p
	}
	if d.MaxConns > 0 && p.open >= d.MaxConns {
		if len(p.idle) == 0 {
			return false
		}
		// The connection's close is not awaited: its place is this one's.
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
		p.open--
		c.open--
	}
	p.open++
	c.open++
	return true
}

func (c *Client) release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	p.open--
	c.open--
	if p.open == 0 {
		delete(c.pools, id)
	}
}

// discard closes a connection and gives up its place. An error of Close means
// that the connection was closed already.
func (c *Client) discard(cn *conn) {
	_ = cn.nc.Close()
	c.release(cn.id)
}

// keep returns a connection to its pool.
func (c *Client) keep(cn *conn) {
	cn.idleSince = clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.id]
	p.idle = append(p.idle, cn)
}

// Prune closes idle connections that are too old, and all idle ones of
// destinations that keep refuses.
func (c *Client) Prune(keep func(id string) bool) {
	c.mu.Lock()
	var closing []*conn
	for id, p := range c.pools {
		n := 0
		if keep(id) {
			for n < len(p.idle) && clock.Since(p.idle[n].idleSince) >= c.cfg.MaxIdle {
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

// quiet reports whether an idle connection is open and nothing unread waits
// on it. A target that closed it, or sent bytes that answer no request, makes
// it unusable.
func (cn *conn) quiet() bool {
	if cn.br.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
