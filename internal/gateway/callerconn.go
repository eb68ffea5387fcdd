package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// callerListener accepts callers' connections. The configuration's limits of
// time, which may change while the server runs, replace the server's own.
type callerListener struct {
	net.Listener
	limits func() fleet.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is one caller's connection. net/http sets a read deadline when it
// waits for the next request, when it reads a head, and none otherwise.
type callerConn struct {
	net.Conn
	limits func() fleet.Limits
	idle   atomic.Bool
}

// SetReadDeadline implements net.Conn: a deadline in the future becomes that of
// the configuration, if it has one.
func (c *callerConn) SetReadDeadline(t time.Time) error {
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

// CloseWrite ends the sending side. net/http does so before it closes a
// connection with unread bytes, so that the caller gets the answer first.
func (c *callerConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}

// noteState follows a connection's state; it is the server's ConnState hook.
func noteState(c net.Conn, s http.ConnState) {
	if cc, ok := c.(*callerConn); ok {
		cc.idle.Store(s == http.StateIdle)
	}
}
