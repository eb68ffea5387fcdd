package httpsend

import (
	"bufio"
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
	// readBuffer holds an answer's head and most plain bodies.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read. A target may answer before it has read a larger one.
	inlineBody = 8 << 10
	// maxStray bounds how many answers to other requests are skipped.
	maxStray = 4
)

// conn is one connection; one request uses it at a time.
type conn struct {
	nc        net.Conn
	br        *bufio.Reader
	id        string
	idleSince time.Time
	reused    bool
	// unacked is the bound that is set on unacknowledged bytes.
	unacked time.Duration
}

func newConn(nc net.Conn, id string) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), id: id}
}

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	// URI is the request target, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Before is asked once the connection is open, right before the first byte
	// is written; nothing is sent when it says no. It may be nil.
	Before func() bool
	// ResetOnFailure drops bytes that are still under way when the send fails,
	// so that they do not arrive later.
	ResetOnFailure bool
	// Unacked is how long written bytes may stay unacknowledged before the
	// connection is taken for silent; 0 is the client's own bound.
	Unacked time.Duration
}

// ErrWithheld: Before said no.
var ErrWithheld = errors.New("httpsend: withheld")

// Match says whose answer an answer's head is.
type Match func(status int, h http.Header) bool

// Response is an answer whose head has been read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 where the head does not say it.
	Length int64

	client  *Client
	conn    *conn
	resp    *http.Response
	unbind  func() bool
	written <-chan error
	ctx     context.Context
	once    sync.Once
	whole   bool
}

// Send writes r once and reads the head of its answer. Answers for which ours
// is false belong to earlier requests and are skipped. A failure is an *Error.
// The connection is closed when ctx ends; nothing is sent after that.
func (c *Client) Send(ctx context.Context, d Destination, r *Request, ours Match) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, failed(NotSent, err)
	}
	cn, err := c.take(ctx, d)
	if err != nil {
		return nil, failed(NotSent, err)
	}
	if err := ctx.Err(); err != nil {
		c.discard(cn)
		return nil, failed(NotSent, err)
	}
	if r.Before != nil && !r.Before() {
		c.discard(cn)
		return nil, failed(NotSent, ErrWithheld)
	}
	if tcp, ok := cn.nc.(*net.TCPConn); ok && r.ResetOnFailure {
		if err := tcp.SetLinger(0); err != nil {
			c.discard(cn)
			return nil, failed(NotSent, err)
		}
	}
	if err := c.bound(cn, r.Unacked); err != nil {
		c.discard(cn)
		return nil, failed(NotSent, err)
	}
	began := clock.Now()
	unbind := context.AfterFunc(ctx, func() { _ = cn.nc.Close() })
	resp, err := c.exchange(ctx, cn, r, ours)
	if err != nil {
		unbind()
		c.discard(cn)
		if cn.reused && silent(ctx, err) {
			c.dropResting(cn.id, began)
		}
		return nil, err
	}
	resp.unbind = unbind
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, cn *conn, r *Request, ours Match) (*Response, error) {
	written, err := cn.write(r)
	if err != nil {
		return nil, err
	}
	resp, err := cn.readHead(r, ours)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, failed(Unanswered, err)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		client: c, conn: cn, resp: resp, written: written, ctx: ctx,
	}, nil
}

// write sends the request. A large body is written beside the reading of the
// answer; the channel then has the outcome.
func (cn *conn) write(r *Request) (<-chan error, error) {
	data := encode(r)
	done := make(chan error, 1)
	if len(data) > inlineBody {
		go func() {
			_, err := cn.nc.Write(data)
			done <- err
		}()
		return done, nil
	}
	n, err := cn.nc.Write(data)
	switch {
	case err != nil && n == 0:
		return nil, failed(NotSent, errors.Wrap(err, "write request"))
	case err != nil:
		return nil, failed(Unanswered, errors.Wrap(err, "write request"))
	}
	done <- nil
	return done, nil
}

// encode returns the request's bytes. The body is framed by its length.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + len(r.Body))
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
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads the head of the first answer that belongs to the request.
func (cn *conn) readHead(r *Request, ours Match) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxStray {
		resp, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if ours(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
		if resp.Close {
			return nil, errors.New("connection ends with an answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// Read reads the body. io.EOF means that the body is complete; any other error
// is an *Error of phase Cut.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.whole = true
		return n, io.EOF
	case r.ctx.Err() != nil:
		err = context.Cause(r.ctx)
	}
	return n, failed(Cut, errors.Wrap(err, "read body"))
}

// Close keeps the connection for reuse after a complete exchange and closes it
// otherwise. A closed connection tells the target to stop working.
func (r *Response) Close() {
	r.once.Do(func() {
		if r.reusable() && r.unbind() {
			r.client.keep(r.conn)
			return
		}
		r.unbind()
		r.client.discard(r.conn)
	})
}

func (r *Response) reusable() bool {
	if !r.whole || r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		// The target answered before it had the whole request.
		return false
	}
}
