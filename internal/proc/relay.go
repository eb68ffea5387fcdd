package proc

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Relay is a small TCP relay that can be cut: a network partition between two
// processes.
type Relay struct {
	listener net.Listener
	backend  string
	served   sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewRelay listens on a loopback address for connections to backend.
func NewRelay(backend string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: l, backend: backend, conns: map[net.Conn]bool{}}
	r.served.Go(r.serve)
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut breaks every connection and refuses new ones.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		c.Close()
	}
}

// Heal lets connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Close ends the relay and waits for it.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
	r.served.Wait()
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.served.Go(func() { r.pass(in) })
	}
}

// hold notes a connection, unless the relay is cut.
func (r *Relay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		r.conns[c] = true
	}
	return !r.cut
}

func (r *Relay) release(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

func (r *Relay) pass(in net.Conn) {
	defer r.release(in)
	if !r.hold(in) {
		return
	}
	out, err := net.Dial("tcp", r.backend)
	if err != nil {
		return
	}
	defer r.release(out)
	if !r.hold(out) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() {
		// Either end closing ends both ways.
		_, _ = io.Copy(in, out)
		in.Close()
	})
	_, _ = io.Copy(out, in)
	out.Close()
	back.Wait()
}
