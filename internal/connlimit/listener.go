// Package connlimit limits the connections of servers whose callers hold one for a short time.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Listener accepts at most a number of connections at once. A further one replaces the oldest, so that callers
// that hold connections don't keep out those that use theirs at once.
type Listener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// open holds the *conn of the accepted connections, oldest first.
	open list.List
}

// New returns a Listener for at most limit connections of l.
func New(l net.Listener, limit int) *Listener { return &Listener{Listener: l, limit: limit} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open.Len() >= l.limit {
		oldest := l.open.Front().Value.(*conn)
		l.forgetLocked(oldest)
		// An error means that the connection was already closed.
		_ = oldest.Conn.Close()
	}
	c := &conn{Conn: nc, listener: l}
	c.elem = l.open.PushBack(c)
	return c, nil
}

// forgetLocked stops counting a connection. The caller must hold l.mu.
func (l *Listener) forgetLocked(c *conn) {
	if c.elem != nil {
		l.open.Remove(c.elem)
		c.elem = nil
	}
}

// Hijacked is the ConnState hook of servers whose handlers take over connections and limit those themselves.
func Hijacked(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateHijacked {
		c.forget()
	}
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	// elem is the connection's element in listener.open, or nil. It is guarded by listener.mu.
	elem *list.Element
}

// forget stops counting the connection.
func (c *conn) forget() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.forgetLocked(c)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.forget()
	return c.Conn.Close()
}
