package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
)

const (
	// maxStatusBytes is the largest body of a status report that is read.
	maxStatusBytes = 1 << 20
	// maxHeadBytes is the largest head of a response that is read.
	maxHeadBytes = 16 << 10
	// readBufferBytes is the size of the read buffer of a connection for an order.
	readBufferBytes = 4 << 10
)

// Client reads the status of targets and sends orders to engines. It is safe for concurrent
// use.
type Client struct {
	timeout time.Duration
	http    *http.Client
	// wrap is applied to each new connection; it can count the connection's bytes.
	wrap func(net.Conn) net.Conn
}

// NewClient returns a client. timeout limits each request.
func NewClient(timeout time.Duration) *Client {
	return NewCountedClient(timeout, func(c net.Conn) net.Conn { return c })
}

// NewCountedClient is like NewClient, but passes each new connection through wrap, which can
// count its bytes.
func NewCountedClient(timeout time.Duration, wrap func(net.Conn) net.Conn) *Client {
	c := &Client{timeout: timeout, wrap: wrap}
	c.http = &http.Client{Transport: httpsend.NewTransport(&http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	})}
	return c
}

// dial opens a connection and wraps it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.timeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.wrap(conn), nil
}

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.http.CloseIdleConnections()
	return nil
}

// Status reads the status of the target at address. Every failure to get a valid report is
// ErrUnreachable.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return Status{}, errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Status{}, errors.Wrapf(ErrUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, errors.Wrapf(ErrUnreachable, "decode status: %v", err)
	}
	return s, nil
}

// Order sends o to the engine at address, at most once. It opens the connection, then calls
// leaseHeld, and then writes the order. This process may be paused between the call to leaseHeld
// and the write. If the pause is longer than the engine's read timeout, the engine has closed the
// connection by the end of the pause and the late bytes have no effect. Order fails with ErrFenced
// if leaseHeld returns false or the engine rejects the fencing number, and with ErrRefused or
// ErrUnreachable otherwise.
func (c *Client) Order(ctx context.Context, address string, o Order, leaseHeld func() bool) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return errors.Wrapf(ErrUnreachable, "%v", err)
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+PathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Close = true
	if !leaseHeld() {
		return errors.Wrap(ErrFenced, "lease lapsed before the order was sent")
	}
	return sendOrder(conn, req)
}

// sendOrder writes the order to conn. It returns nil, ErrFenced or ErrRefused according to the
// engine's response, or ErrUnreachable if there is no valid response.
func sendOrder(conn net.Conn, req *http.Request) error {
	if err := req.Write(conn); err != nil {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	resp, err := httpsend.NewResponseReader(conn, readBufferBytes).ReadResponse(req)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	}
	return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
}
