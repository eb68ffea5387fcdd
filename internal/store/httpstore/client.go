// Package httpstore is the adapter from the platform interfaces to a
// platform that speaks HTTP with conditional requests.
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

	"garnethoist.org/garnethoist/internal/store"
)

// Paths of the HTTP protocol, shared with the stand-in.
const (
	PathRecord  = "/table/record"
	PathRecords = "/table/records"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathWeights = "/weights/reserve"
)

// maxAnswerBytes bounds one answer of the platform.
const maxAnswerBytes = 64 << 20

// Client implements all four platform interfaces. It is safe for concurrent
// use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var (
	_ store.Table       = (*Client)(nil)
	_ store.Objects     = (*Client)(nil)
	_ store.VMList      = (*Client)(nil)
	_ store.WeightStore = (*Client)(nil)
)

// New returns a client of the platform at address. Each request ends after
// timeout.
func New(address string, timeout time.Duration) *Client {
	return NewCounted(address, timeout, func(c net.Conn) net.Conn { return c })
}

// NewCounted is New with wrap applied to each connection, to count its bytes.
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
		base:    "http://" + address,
		timeout: timeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     time.Minute,
		}},
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
	err := c.read(ctx, PathRecord+"?key="+url.QueryEscape(key), &r)
	return r, err
}

// List implements store.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Record, error) {
	var rs []store.Record
	err := c.read(ctx, PathRecords+"?prefix="+url.QueryEscape(prefix), &rs)
	return rs, err
}

// CommitAnswer is the body of a commit's answer.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	var a CommitAnswer
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
	data, err := c.getUnless(ctx, PathVMs, Revision(known))
	if err != nil || data == nil {
		return store.VMListing{Revision: known}, err
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrapf(store.ErrUnavailable, "decode VM list: %v", err)
	}
	return l, nil
}

// Revision is the entity tag of a revision of the VM list.
func Revision(r uint64) string { return `"` + strconv.FormatUint(r, 10) + `"` }

// ReserveAnswer is the body of the weight store's answer.
type ReserveAnswer struct {
	WaitMS int64 `json:"wait_ms"`
}

// ReserveRequest is the body of a request to the weight store.
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
	var a ReserveAnswer
	err = c.write(ctx, http.MethodPost, PathWeights, body, &a)
	return time.Duration(a.WaitMS) * time.Millisecond, err
}

func (c *Client) read(ctx context.Context, path string, dst any) error {
	data, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return errors.Wrapf(store.ErrUnavailable, "decode %s: %v", path, err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	return c.getUnless(ctx, path, "")
}

// getUnless reads path; an entity that still has the tag is answered with nil.
func (c *Client) getUnless(ctx context.Context, path, tag string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	return data, statusError(resp.StatusCode, store.ErrUnavailable)
}

// write sends one write and never repeats it: GetBody is cleared, so that the
// HTTP client cannot send the body twice.
func (c *Client) write(ctx context.Context, method, path string, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(writeFailure(err), "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
		return errors.Wrapf(store.ErrUnknown, "decode answer: %v", err)
	}
	return nil
}

// writeFailure tells a write that never left this machine from one whose
// outcome is unknown. Only a failed dial is certain.
func writeFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// statusError maps a status to the platform's errors; any status that the
// protocol does not name becomes other.
func statusError(status int, other error) error {
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
	return errors.Wrapf(other, "status %d", status)
}
