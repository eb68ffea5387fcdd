package httpsend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer: large enough for the
	// head of a response and most bodies of plain services.
	readBufferSize = 4 << 10
	// maxInlineWrite is the size in bytes of the largest request that is written completely before
	// the response is read. A larger request is written while the response is read, as the target
	// may respond before it has read all of the request.
	maxInlineWrite = 8 << 10
	// maxSkipped limits how many responses are read for one request, all but the last of which belong to earlier
	// requests, and how many informational ones (1xx) may precede each.
	maxSkipped = 4
	// maxSkippedBody is the size in bytes of the largest body of a response to an earlier request that is
	// skipped.
	maxSkippedBody = 256 << 10
)

// conn is a connection to a target. Only one request uses it at a time.
type conn struct {
	nc net.Conn
	br *ResponseReader
	// destID is the Destination.ID of the pool that the connection belongs to.
	destID string
	// idleSince is when the connection was last returned to its pool.
	idleSince time.Time
	// reused is true if the connection was taken from the pool.
	reused bool
	// unackedTimeout is the socket's current limit on unacknowledged bytes.
	unackedTimeout time.Duration
}

// newConn returns a connection for the pool of a destination.
func newConn(nc net.Conn, id string) *conn {
	return &conn{nc: nc, br: NewResponseReader(nc, readBufferSize), destID: id}
}

// Request is a request to send. Host and Content-Length are added to its header.
type Request struct {
	Method string
	// URI is the request target of the request line, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is called once the connection is open, immediately before the first byte is
	// written. If it returns false, nothing is sent and Send fails with ErrWithheld. It may be
	// nil.
	BeforeSend func() bool
	// ResetOnFailure makes a failed send reset the connection. This drops the bytes that are still
	// in the send buffer, so that they do not arrive later.
	ResetOnFailure bool
	// UnackedTimeout is how long written bytes may stay unacknowledged before the kernel closes the
	// connection; 0 means the client's UnackedTimeout.
	UnackedTimeout time.Duration
}

// ErrWithheld reports that Request.BeforeSend returned false.
var ErrWithheld = errors.New("httpsend: request withheld")

// Match reports whether a response with this status and header belongs to the request that was
// sent.
type Match func(status int, h http.Header) bool

// Framing is what the end of a response's body is recognized by (RFC 9112, section 6.3).
type Framing int

// The framings of a body.
const (
	// FramedByLength means that the header states the length, or that there is no body.
	FramedByLength Framing = iota + 1
	// FramedByChunks means that a last chunk ends the body.
	FramedByChunks
	// FramedByConn means that the body ends with the connection.
	FramedByConn
)

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByConn:
		return "connection"
	}
	return "unknown"
}

// framingOf returns the framing of a response's body.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByConn
}

// Response is a response whose head has been read. Read returns the body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the header does not state it.
	Length  int64
	Framing Framing

	client *Client
	conn   *conn
	resp   *http.Response
	// stopWatch stops the watch that closes the connection when ctx ends. It returns false if the
	// connection is already being closed.
	stopWatch func() bool
	// upload is the writing of the request.
	upload *upload
	// ctx is the context of the send.
	ctx context.Context
	// once makes repeated calls of Close have no effect.
	once sync.Once
	// complete is true once the body was read to its end.
	complete bool
}

// Send writes r once and reads the head of its response. Responses for which match returns
// false belong to earlier requests and are skipped. Every error is an *Error. The connection is
// closed when ctx ends; nothing is sent after that.
func (c *Client) Send(ctx context.Context, d Destination, r *Request, match Match) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, newError(NotSent, err)
	}
	cn, err := c.acquire(ctx, d)
	if err != nil {
		return nil, newError(NotSent, err)
	}
	if err := ctx.Err(); err != nil {
		c.discard(cn)
		return nil, newError(NotSent, err)
	}
	if r.BeforeSend != nil && !r.BeforeSend() {
		c.discard(cn)
		return nil, newError(NotSent, ErrWithheld)
	}
	if l, ok := cn.nc.(interface{ SetLinger(sec int) error }); ok && r.ResetOnFailure {
		if err := l.SetLinger(0); err != nil {
			c.discard(cn)
			return nil, newError(NotSent, err)
		}
	}
	if err := c.setUnackedTimeout(cn, r.UnackedTimeout); err != nil {
		c.discard(cn)
		return nil, newError(NotSent, err)
	}
	start := clock.Now()
	stopWatch := context.AfterFunc(ctx, func() { _ = cn.nc.Close() })
	resp, err := c.exchange(ctx, cn, r, match)
	if err != nil {
		stopWatch()
		c.discard(cn)
		if cn.reused && connDead(ctx, err) {
			c.closeIdleSince(cn.destID, start)
		}
		return nil, err
	}
	resp.stopWatch = stopWatch
	return resp, nil
}

// exchange writes r to cn and reads the head of its response.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request, match Match) (*Response, error) {
	u, err := cn.write(r)
	if err != nil {
		return nil, err
	}
	cn.br.upload = u
	resp, err := cn.readHead(r, match)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, newError(Unanswered, err)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp),
		client: c, conn: cn, resp: resp, upload: u, ctx: ctx,
	}, nil
}

// write sends the request. A request larger than maxInlineWrite is written by a goroutine while the
// response is read.
func (cn *conn) write(r *Request) (*upload, error) {
	u := newUpload(cn.nc)
	if len(r.Body) > maxInlineWrite {
		// The body is not copied, as callers' bodies are accounted for once.
		data := net.Buffers{encodeHead(r, 0), r.Body}
		go func() {
			_, err := data.WriteTo(cn.nc)
			u.finish(err)
		}()
		return u, nil
	}
	data := append(encodeHead(r, len(r.Body)), r.Body...)
	if len(data) > maxInlineWrite {
		go func() {
			_, err := cn.nc.Write(data)
			u.finish(err)
		}()
		return u, nil
	}
	n, err := cn.nc.Write(data)
	switch {
	case err != nil && n == 0:
		return nil, newError(NotSent, errors.Wrap(err, "write request"))
	case err != nil:
		return nil, newError(Unanswered, errors.Wrap(err, "write request"))
	}
	u.finish(nil)
	return u, nil
}

// encodeHead returns the head of the request in wire format, with room for extra bytes. The body is framed by
// Content-Length.
func encodeHead(r *Request, extra int) []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + extra)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the first response for which match returns true. It skips those to other
// requests.
func (cn *conn) readHead(r *Request, match Match) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSkipped {
		resp, err := cn.br.ReadResponse(req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if match(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		_, err = io.CopyN(io.Discard, resp.Body, maxSkippedBody+1)
		if err == nil {
			return nil, errors.Wrap(ErrMalformed, "response to another request without end")
		}
		if !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "skip response to another request")
		}
		if resp.Close {
			return nil, errors.New("connection closed after a response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// ErrTruncated reports that a body lacks its end although its framing does not show it.
var ErrTruncated = errors.New("httpsend: the body is truncated")

// Truncated returns the error of a body that was read to its end and whose content shows that it was
// cut off. A body that ends with its connection may look complete when the target has exited.
func (r *Response) Truncated() error { return newError(Cut, ErrTruncated) }

// Read reads the body. It returns io.EOF at the end of a body that is complete by its framing; any other
// error is an *Error of phase Cut.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	case r.ctx.Err() != nil:
		err = context.Cause(r.ctx)
	}
	return n, newError(Cut, errors.Wrap(err, "read body"))
}

// Close returns the connection to the pool after a complete exchange and closes it otherwise.
// Closing the connection tells the target to stop working on the request.
func (r *Response) Close() {
	r.once.Do(func() {
		if r.reusable() && r.stopWatch() {
			r.client.putIdle(r.conn)
			return
		}
		r.stopWatch()
		r.client.discard(r.conn)
	})
}

// reusable reports whether the exchange is complete and the connection can carry another
// request.
func (r *Response) reusable() bool {
	// The target may have responded before it had received the whole request.
	return r.complete && !r.resp.Close && r.conn.br.Buffered() == 0 && r.upload.succeeded()
}
