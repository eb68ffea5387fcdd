package snapshot

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/silence"
)

const (
	// retryInterval is the mean pause before VMs that were busy, or had no copy yet, are asked
	// again.
	retryInterval = 150 * time.Millisecond
	// maxAsked limits the VMs that are asked in one round.
	maxAsked = 6
	// maxNamedSize limits the size of a list of addresses.
	maxNamedSize = 4 << 10
)

// Client copies tables from other VMs. It is safe for concurrent use.
type Client struct {
	// self is this VM's own address.
	self string
	// sources returns the addresses of the VMs to ask first.
	sources func() []string
	http    *http.Client
}

// NewClient returns a client. self is the address at which this VM serves snapshots itself, and
// sources returns the addresses of the VMs that are the most likely to have a copy.
func NewClient(self string, sources func() []string) *Client {
	transport := httpsend.NewTransport(&http.Transport{DialContext: silence.Dialer(silenceTimeout, silenceTimeout).DialContext, DisableKeepAlives: true,
		DisableCompression: true, ResponseHeaderTimeout: silenceTimeout})
	return &Client{self: self, sources: sources, http: &http.Client{Transport: transport, Timeout: transferTimeout}}
}

// Fetch returns a copy of a table whose Revision is at least revision. While VMs are busy, it asks again
// until ctx ends and then fails with ErrBusy. If no VM has such a copy it fails with ErrNone, unless
// wait is set: then it asks again for that too.
func (c *Client) Fetch(ctx context.Context, table string, revision uint64, wait bool) (Snapshot, error) {
	for {
		s, err := c.askAll(ctx, table, revision)
		if err == nil || (errors.Is(err, ErrNone) && !wait) {
			return s, err
		}
		kernel.Sleep(ctx, retryInterval/2+rand.N(retryInterval))
		if ctx.Err() != nil {
			return Snapshot{}, err
		}
	}
}

// askAll asks the sources, and the VMs that busy ones name, in one round.
func (c *Client) askAll(ctx context.Context, table string, revision uint64) (Snapshot, error) {
	asked := map[string]bool{c.self: true}
	queue, busy := c.sources(), false
	for len(queue) > 0 && len(asked) <= maxAsked && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		s, named, err := c.ask(ctx, address, table, revision)
		if err == nil {
			return s, nil
		}
		busy = busy || errors.Is(err, ErrBusy)
		rand.Shuffle(len(named), func(i, j int) { named[i], named[j] = named[j], named[i] })
		queue = append(queue, named...)
	}
	if busy {
		return Snapshot{}, ErrBusy
	}
	return Snapshot{}, ErrNone
}

// ask asks one VM for a copy. With ErrBusy it returns the VMs that the asked one has named.
func (c *Client) ask(ctx context.Context, address, table string, revision uint64) (Snapshot, []string, error) {
	u := url.URL{Scheme: "http", Host: address, Path: pathPrefix + table, RawQuery: url.Values{paramRevision: {strconv.FormatUint(revision, 10)}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Snapshot{}, nil, errors.Wrap(err, "build request for a snapshot")
	}
	req.Header.Set(headerFrom, c.self)
	resp, err := c.http.Do(req)
	if err != nil {
		return Snapshot{}, nil, errors.Wrapf(ErrNone, "%v", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		s, err := readSnapshot(resp)
		return s, nil, err
	case http.StatusServiceUnavailable:
		var named []string
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxNamedSize)).Decode(&named); err != nil {
			named = nil
		}
		return Snapshot{}, named, ErrBusy
	}
	return Snapshot{}, nil, errors.Wrapf(ErrNone, "status %d", resp.StatusCode)
}

// readSnapshot reads a copy from a response.
func readSnapshot(resp *http.Response) (Snapshot, error) {
	var s Snapshot
	var err error
	if s.Revision, err = strconv.ParseUint(resp.Header.Get(headerRevision), 10, 64); err != nil {
		return s, errors.Wrap(ErrNone, "invalid revision")
	}
	if s.Newest, err = strconv.ParseUint(resp.Header.Get(headerNewest), 10, 64); err != nil {
		return s, errors.Wrap(ErrNone, "invalid version")
	}
	if s.Data, err = io.ReadAll(io.LimitReader(resp.Body, maxDataSize)); err != nil {
		return s, errors.Wrapf(ErrNone, "%v", err)
	}
	if resp.ContentLength >= 0 && int64(len(s.Data)) != resp.ContentLength {
		return s, errors.Wrap(ErrNone, "incomplete copy")
	}
	return s, nil
}
