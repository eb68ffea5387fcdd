// Package httpstore implements the interfaces of package store for a platform that offers them
// over HTTP, with conditional requests. garnet-standin serves the same protocol.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/store"
)

// Paths of the HTTP protocol.
const (
	PathRecord  = "/table/record"
	PathRecords = "/table/records"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathWeights = "/weights/reserve"
)

// maxResponseBytes is the maximum number of bytes of a response body that are read.
const maxResponseBytes = 64 << 20

// Client implements store.Table, store.Objects, store.VMList and store.WeightStore. It is safe
// for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

var (
	_ store.Table       = (*Client)(nil)
	_ store.Objects     = (*Client)(nil)
	_ store.VMList      = (*Client)(nil)
	_ store.WeightStore = (*Client)(nil)
)

// New returns a client of the platform at address, a host with a port. timeout limits each
// request.
func New(address string, timeout time.Duration) *Client {
	return NewCounted(address, timeout, func(c net.Conn) net.Conn { return c })
}

// NewCounted is like New, but passes each new connection through wrap, which can count its
// bytes.
func NewCounted(address string, timeout time.Duration, wrap func(net.Conn) net.Conn) *Client {
	d := net.Dialer{Timeout: timeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
	return &Client{
		baseURL: "http://" + address,
		timeout: timeout,
		http: &http.Client{Transport: httpsend.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     time.Minute,
		})},
	}
}

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.http.CloseIdleConnections()
	return nil
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, key string) (store.Record, error) {
	var r store.Record
	err := c.getJSON(ctx, PathRecord+"?key="+url.QueryEscape(key), &r)
	return r, err
}

// List implements store.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Record, error) {
	var rs []store.Record
	err := c.getJSON(ctx, PathRecords+"?prefix="+url.QueryEscape(prefix), &rs)
	return rs, err
}

// CommitResponse is the body of the response to a commit. Version is the result of Commit.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	var a CommitResponse
	err = c.write(ctx, http.MethodPost, PathCommit, body, &a)
	return a.Version, err
}

// PutObject implements store.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data, nil)
}

// GetObject implements store.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := c.get(ctx, PathObjects+url.PathEscape(name))
	return data, err
}

// VMs implements store.VMList.
func (c *Client) VMs(ctx context.Context, known uint64) (store.VMListing, error) {
	var l store.VMListing
	data, err := c.getIfChanged(ctx, PathVMs, RevisionETag(known))
	if err != nil || data == nil {
		return store.VMListing{Revision: known}, err
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrapf(store.ErrUnavailable, "decode VM list: %v", err)
	}
	return l, nil
}

// RevisionETag returns the HTTP ETag of a revision of the VM list.
func RevisionETag(r uint64) string { return `"` + strconv.FormatUint(r, 10) + `"` }

// ReserveResponse is the body of the weight store's response. WaitMS is 0 if the load is granted.
type ReserveResponse struct {
	WaitMS int64 `json:"wait_ms"`
}

// ReserveRequest is the body of a request to the weight store. Bytes is the size of the load.
type ReserveRequest struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

// Reserve implements store.WeightStore.
func (c *Client) Reserve(ctx context.Context, model string, size int64) (time.Duration, error) {
	body, err := json.Marshal(ReserveRequest{Model: model, Bytes: size})
	if err != nil {
		return 0, errors.Wrap(err, "encode reservation")
	}
	var a ReserveResponse
	err = c.write(ctx, http.MethodPost, PathWeights, body, &a)
	return time.Duration(a.WaitMS) * time.Millisecond, err
}

// getJSON sends a GET request for path and decodes the response body into dst.
func (c *Client) getJSON(ctx context.Context, path string, dst any) error {
	data, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return errors.Wrapf(store.ErrUnavailable, "decode %s: %v", path, err)
	}
	return nil
}

// get sends a GET request for path and returns the response body.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	return c.getIfChanged(ctx, path, "")
}

// getIfChanged sends a GET request for path and returns the response body, or nil if the resource
// still has the ETag tag. If tag is empty, it always returns the body. It returns
// store.ErrUnavailable if there is no complete response, and otherwise the error of statusError.
func (c *Client) getIfChanged(ctx context.Context, path, tag string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	defer resp.Body.Close()
	if tag != "" && resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	data, err := readAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	return data, statusError(resp.StatusCode, store.ErrUnavailable)
}

// write sends a write request and decodes the response body into dst, unless dst is nil. It clears
// GetBody, so that the HTTP client cannot retry the request: a retry could make the write take
// effect twice.
func (c *Client) write(ctx context.Context, method, path string, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(classifyWriteError(err), "%v", err)
	}
	defer resp.Body.Close()
	data, err := readAll(resp.Body)
	if err != nil {
		return errors.Wrapf(store.ErrUnknown, "%v", err)
	}
	if err := statusError(resp.StatusCode, store.ErrUnknown); err != nil {
		return err
	}
	if dst == nil {
		return nil
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return errors.Wrapf(store.ErrUnknown, "decode response: %v", err)
	}
	return nil
}

// readAll reads the body of a response. It fails if that is larger than maxResponseBytes.
func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		return nil, errors.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	return data, err
}

// classifyWriteError returns the error of package store for err, which the HTTP client returned for
// a write: store.ErrUnavailable if the write was certainly not sent, otherwise store.ErrUnknown. It
// is certain only if the connection could not be established.
func classifyWriteError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// statusError returns the error of package store for the HTTP status of a response, or nil for
// success. For a status that the protocol does not define, the error is fallback.
func statusError(status int, fallback error) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusPreconditionFailed:
		return store.ErrConflict
	case http.StatusServiceUnavailable:
		return store.ErrUnavailable
	}
	return errors.Wrapf(fallback, "status %d", status)
}
