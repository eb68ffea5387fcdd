// Package tunnel opens connections to targets through other VMs, for a VM that cannot reach the targets
// itself.
//
// A VM asks another one for a connection with an HTTP CONNECT request (RFC 9110, section 9.3.6). The
// other VM opens a connection to the target and copies the bytes of both directions, those of the target
// in chunks, so that the target's end can be told from its own. It does not read them: requests are
// counted, limited and retried by the VM that a caller has sent them to. A VM opens connections for
// others only directly, so that tunnels are never chained.
package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
)

const (
	// bufferBytes is the size of the buffer of each direction of a tunnel.
	bufferBytes = 16 << 10
	// quietTime is how long a tunnel must be without data after a response for no request to be in
	// flight on it. It is above the gaps between the events of a stream.
	quietTime = time.Second
	// maxDrain limits how long a VM that stops waits for the tunnels of others, and drainMargin is kept
	// free between the end of that wait and the time by which the VM has to end.
	maxDrain    = 3 * time.Second
	drainMargin = 400 * time.Millisecond
	// drainPoll is the time between two checks of whether tunnels are in use.
	drainPoll = 50 * time.Millisecond
)

// ServerOptions holds the settings of a Server.
type ServerOptions struct {
	// Dial opens connections to targets directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Allowed reports whether a target has the given address.
	Allowed func(address string) bool
	// Limit is the maximum number of tunnels.
	Limit int
}

// Server opens connections to targets on behalf of other VMs. It is safe for concurrent use.
type Server struct {
	opts     ServerOptions
	draining atomic.Bool

	mu      sync.Mutex
	tunnels map[*tunnel]bool
}

// NewServer returns a server without tunnels.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, tunnels: make(map[*tunnel]bool)}
}

// ServeHTTP handles a CONNECT request. It responds with 403 if no target has the address, with 503 if
// this VM opens no tunnel now, with 502 if the target refuses the connection, and with 504 if the
// target cannot be reached.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.opts.Allowed(r.Host) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := &tunnel{}
	if !s.add(t) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.remove(t)
	target, err := s.opts.Dial(r.Context(), r.Host)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	defer target.Close()
	peer, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer peer.Close()
	agreed := termsOf(r.Header)
	if _, err := io.WriteString(peer, agreed.established()); err != nil {
		return
	}
	t.relay(peer, target, agreed)
}

// statusOf returns the status for a target that could not be connected to.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errNoPath):
		return http.StatusServiceUnavailable
	case errors.Is(err, syscall.ECONNREFUSED):
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

// add registers a tunnel. It returns false if there are too many, or if this VM stops.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || len(s.tunnels) >= s.opts.Limit {
		return false
	}
	s.tunnels[t] = true
	return true
}

// remove unregisters a tunnel.
func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// Count returns the number of tunnels.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// Stop refuses new tunnels and waits for the requests on the open ones.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain(ctx)
	return nil
}

// Drain refuses new tunnels, and waits until no request is in flight on the open ones, but for
// maxDrain at most and no longer than drainMargin before the deadline of ctx.
func (s *Server) Drain(ctx context.Context) {
	limit := maxDrain
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)-drainMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.draining.Store(true)
	for s.busy() && ctx.Err() == nil {
		kernel.Sleep(ctx, drainPoll)
	}
}

// busy reports whether a request may be in flight on some tunnel.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if !t.quiet(clock.Now()) {
			return true
		}
	}
	return false
}

// tunnel is a connection of another VM to a target.
type tunnel struct {
	mu sync.Mutex
	// waiting is set if the other VM has sent data after the target, and respondedAt is when the target
	// last sent data.
	waiting     bool
	respondedAt time.Time
	// ended is set once the other VM has been told that the target has closed the connection, and ending before
	// that.
	ended, ending bool
}

// quiet reports whether no request is in flight.
func (t *tunnel) quiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.waiting && now.Sub(t.respondedAt) >= quietTime
}

// relay copies data between the other VM and the target until one of them closes its connection, and
// then closes both. A reset is passed on, so that what the other VM has withdrawn does not reach the
// target later. In a framed tunnel the other VM knows the target's end from the last chunk, and closes the
// connection, or its sending side, once it has sent the rest of its request, which the target may still read.
func (t *tunnel) relay(peer, targetSocket net.Conn, agreed terms) {
	target := &targetConn{Conn: targetSocket}
	var responses sync.WaitGroup
	responses.Go(func() {
		w := newChunkWriter(peer, agreed.framed)
		err := t.copy(w, target, true)
		if err == nil {
			t.noteEnding()
			err = w.End()
		}
		if err == nil && agreed.framed {
			err = t.awaitRest(peer)
			if err == nil {
				return
			}
		}
		end(peer, targetSocket, err)
	})
	err := t.copy(target, peer, false)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = nil
	case err == nil && agreed.confirmed && t.isEnding():
		responses.Wait()
		err = confirm(peer, target)
	}
	end(peer, targetSocket, err)
	responses.Wait()
}

// confirm states to the other VM that the target's kernel has received all that was written, if it has.
func confirm(peer net.Conn, target *targetConn) error {
	if err := target.checkWrites(); err != nil {
		return err
	}
	_, err := io.WriteString(peer, confirmation)
	return err
}

// end closes both connections, with a reset if err is not nil. Either may be closed already.
func end(a, b net.Conn, err error) {
	for _, c := range []net.Conn{a, b} {
		if l, ok := c.(interface{ SetLinger(sec int) error }); ok && err != nil {
			_ = l.SetLinger(0)
		}
		_ = c.Close()
	}
}

// copy copies data until src ends, or until either connection fails. response says that src is the
// target.
func (t *tunnel) copy(dst io.Writer, src net.Conn, response bool) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			t.note(response)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !response && t.hasEnded() {
			if err := t.awaitRest(src); err != nil {
				return err
			}
		}
	}
}

// awaitRest limits the wait for further data of a request to whose response the target's end has been stated.
func (t *tunnel) awaitRest(peer net.Conn) error {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	return peer.SetReadDeadline(time.Now().Add(quietTime))
}

// hasEnded reports whether the target's end has been stated.
func (t *tunnel) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// noteEnding records that the target has closed the connection, before the other VM is told so.
func (t *tunnel) noteEnding() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ending = true
}

// isEnding reports whether the target has closed the connection.
func (t *tunnel) isEnding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending
}

// note records that data was received from the target or from the other VM.
func (t *tunnel) note(response bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = !response
	if response {
		t.respondedAt = clock.Now()
	}
}
