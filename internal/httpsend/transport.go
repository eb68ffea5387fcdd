package httpsend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is a net/http Transport that reads responses as a Client does: one whose head is malformed, or whose body
// ends with a connection that has failed, is an error. It is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// defaultMaxHead limits the head of a response in bytes unless a Transport has another limit.
const defaultMaxHead = 64 << 10

// NewTransport returns a Transport with the settings of t, which must have a DialContext and must not be used on its
// own.
func NewTransport(t *http.Transport) *Transport {
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = defaultMaxHead
	}
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(nc), nil
	}
	return &Transport{http: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var sending sending
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { sending.begin(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { sending.finish(info.Err) },
	}
	return t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// sending is the writing of a request, which net/http may repeat on another connection if the first one turns out to
// be closed.
type sending struct {
	mu sync.Mutex
	// upload is the writing that has not ended, or nil.
	upload *upload
}

// begin is called when a connection has been chosen, before the request is written to it.
func (s *sending) begin(nc net.Conn) {
	c, ok := nc.(*checkedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upload = newUpload(c.Conn)
	c.begin(s.upload)
}

// finish is called when the request has been written, or could not be.
func (s *sending) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upload != nil {
		s.upload.finish(err)
		s.upload = nil
	}
}

// checkedConn is a connection whose responses are checked as they are read. It does not pass on syscall.Conn, as
// net/http would write files past it.
type checkedConn struct {
	net.Conn
	in incoming
}

// newCheckedConn returns a checked connection.
func newCheckedConn(nc net.Conn) *checkedConn { return &checkedConn{Conn: nc, in: incoming{r: nc}} }

// begin prepares for the response to a request. A connection with unread bytes is not used for another request, and
// what is wrong with bytes that have been read fails the next read.
func (c *checkedConn) begin(u *upload) { _ = c.in.begin(u, nil) }

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.in.Read(p) }
