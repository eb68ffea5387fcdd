package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// RouteRequest describes the attempt for which a Router chooses a target.
type RouteRequest struct {
	// Service is the service that the request is for.
	Service string
	// Role is the role that the target must have.
	Role target.Role
	// Prefix is the hash of the prompt's beginning; see Chat.Prefix.
	Prefix uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Exclude names targets on which this request has already failed.
	Exclude []string
	// Retry marks a further attempt of a request that was already admitted.
	Retry bool
}

// Outcome is the result of one attempt as far as it concerns the target's health.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK: the target sent a complete response.
	OutcomeOK Outcome = iota
	// OutcomeRefused: the target refused the request but is otherwise healthy.
	OutcomeRefused
	// OutcomeFailed: the target sent an incomplete response, none, or a server error.
	OutcomeFailed
	// OutcomeAbandoned: the attempt ended early for a reason unrelated to the target, such as
	// a caller that closed its connection.
	OutcomeAbandoned
)

// Route is a target chosen for one attempt. Done reports the attempt's outcome to the Router
// and must be called exactly once.
type Route struct {
	Name    string
	Address string
	Done    func(Outcome)
}

// Router chooses targets.
type Router interface {
	// Route chooses a target for an attempt. Its error is an *errkind.Error.
	Route(RouteRequest) (Route, error)
	// Find returns the address of the target called name, and whether that target is known.
	Find(name string) (address string, ok bool)
	// HasSeparatePrefill reports whether the service has separate prefill and decode engines, so that a
	// request should use one of each.
	HasSeparatePrefill(service string) bool
}

// Config holds the relay's limits.
type Config struct {
	// IdleTimeout is how long a stream may produce no event before its engine is considered
	// lost.
	IdleTimeout time.Duration
	// DialTimeout bounds connecting to an engine.
	DialTimeout time.Duration
	// MaxResponseBytes bounds a response that is read completely before it is used, such as
	// one that is buffered so that the request can be retried until it is complete.
	MaxResponseBytes int64
	// Bodies is the memory for responses that are read completely.
	Bodies *body.Staged
}

// DefaultBodiesBytes is the size in bytes of Config.Bodies unless it is set.
const DefaultBodiesBytes = 256 << 20

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{IdleTimeout: 4 * time.Second, DialTimeout: 2 * time.Second, MaxResponseBytes: 16 << 20, Bodies: body.NewStaged(DefaultBodiesBytes)}
}

// Relay forwards requests for language models to engines. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	router Router
	log    *telemetry.Logger
	http   *http.Client
}

// maxIdlePerEngine is the most idle connections kept to one engine.
const maxIdlePerEngine = 64

// maxHeadBytes is the largest head of a response that is read.
const maxHeadBytes = 64 << 10

// readBufferBytes is the size of the read buffer of a connection to an engine. An idle stream
// keeps it in memory.
const readBufferBytes = 64 << 10

// New returns a relay that uses the targets chosen by router.
func New(cfg Config, router Router, log *telemetry.Logger) *Relay {
	return &Relay{cfg: cfg, router: router, log: log, http: &http.Client{Transport: httpsend.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: maxHeadBytes,
	})}}
}

// Stop closes the idle connections to engines. It always returns nil.
func (r *Relay) Stop(context.Context) error {
	r.http.CloseIdleConnections()
	return nil
}

// Call is one request of a caller.
type Call struct {
	// ID identifies the request to engines and in the log.
	ID      string
	Service string
	Chat    *Chat
	// Resume is the last event that the caller received when it resumes a stream, or nil.
	Resume *EventID
	// Deadline ends a request for a buffered response, and the retries of a stream that has
	// not begun.
	Deadline time.Time
	// Budget is the service's retry budget.
	Budget *retry.Budget
}

// takeRetry reports whether another attempt is allowed now, and if so takes it from the retry
// budget. An attempt that certainly did not run counts as well, because the next one puts the
// same load on the fleet.
func (c *Call) takeRetry(now time.Time) bool {
	return now.Before(c.Deadline) && c.Budget.Retry()
}

// postChat sends a chat completion request to an engine. lastEventID is the engine's id of the
// event after which to resume a stream, or "". GetBody is unset so that the HTTP client cannot
// send the body a second time by itself.
func (r *Relay) postChat(ctx context.Context, c *Call, address string, body []byte, lastEventID string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.HeaderRequestID, c.ID)
	if lastEventID != "" {
		req.Header.Set(target.HeaderLastEventID, lastEventID)
	}
	return r.http.Do(req)
}

// ServeBuffered serves a non-streaming request. The response is buffered until it is complete, so a
// request that fails on one engine can be retried on another. Its error is an *errkind.Error;
// nothing has been written to w then.
func (r *Relay) ServeBuffered(ctx context.Context, w http.ResponseWriter, c *Call) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	need := RouteRequest{Service: c.Service, Role: target.RoleBoth, Prefix: c.Chat.Prefix, PromptTokens: c.Chat.PromptTokens}
	var targetErr error
	for {
		route, err := r.router.Route(need)
		if err != nil {
			return preferTargetError(targetErr, err)
		}
		resp, err := r.fetchResponse(ctx, c, route)
		if err == nil {
			return resp.writeTo(w)
		}
		if ctx.Err() != nil {
			return contextError(ctx, err)
		}
		targetErr = err
		need.Exclude = append(need.Exclude, route.Name)
		need.Retry = true
		if resp.final || !c.takeRetry(time.Now()) {
			return targetErr
		}
	}
}

// preferTargetError returns the error to report when no target is left: that of the last
// target tried, if any, else routeErr, the router's.
func preferTargetError(targetErr, routeErr error) error {
	if targetErr != nil {
		return targetErr
	}
	return routeErr
}

// contextError wraps err, of an attempt that ended with ctx, according to whether the deadline
// passed or the caller closed its connection.
func contextError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the response was not complete by the service's deadline")
	}
	return errkind.Wrap(errkind.ClientGone, err, "the caller closed the connection")
}

// response is a target's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
	// final marks a failure that must not be retried, as another target would give the same
	// result.
	final bool
}

// writeTo writes the response to a caller. It always returns nil.
func (r response) writeTo(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	w.WriteHeader(r.status)
	// A failed write means that the caller has closed the connection. The response itself is
	// complete.
	_, _ = w.Write(r.body)
	return nil
}

// fetchResponse sends the request to the target of route and reads its complete response. It
// reports the attempt's outcome to the route. With an error, only the response's final field
// is set.
func (r *Relay) fetchResponse(ctx context.Context, c *Call, route Route) (response, error) {
	resp, err := r.postChat(ctx, c, route.Address, c.Chat.body, "")
	if err != nil {
		route.Done(failureOutcome(ctx))
		return response{}, dialError(err)
	}
	defer resp.Body.Close()
	data, err := r.readBody(ctx, resp)
	if errors.Is(err, body.ErrTooLarge) {
		route.Done(OutcomeOK)
		return response{final: true}, r.tooLarge()
	}
	if err != nil {
		route.Done(failureOutcome(ctx))
		return response{}, errkind.Wrap(errkind.TargetLost, err, "the connection to the engine was lost before the response was complete")
	}
	return r.classifyResponse(resp, data, route)
}

// readBody reads the body of a response completely. It fails with body.ErrTooLarge if that exceeds MaxResponseBytes.
// The memory is kept until ctx ends.
func (r *Relay) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	return r.cfg.Bodies.ReadAll(ctx, ctx, resp.Body, resp.ContentLength, r.cfg.MaxResponseBytes)
}

// tooLarge returns the error for a response that exceeds MaxResponseBytes.
func (r *Relay) tooLarge() *errkind.Error {
	return errkind.New(errkind.TargetFailed, "the engine's response is larger than %d bytes", r.cfg.MaxResponseBytes)
}

// classifyResponse returns a complete response that is to be passed on to the caller, whether a
// success or the caller's own error, and an error for a refusal or failure of the engine. It
// reports the attempt's outcome to the route.
func (r *Relay) classifyResponse(resp *http.Response, body []byte, route Route) (response, error) {
	whole := response{status: resp.StatusCode, header: resp.Header, body: body}
	switch {
	case target.MeansNotRun(ErrorCode(body)):
		route.Done(OutcomeRefused)
		e := errkind.New(errkind.TargetFailed, "the engine refused the request: %s", ErrorCode(body))
		e.Outcome = errkind.NotRun
		return response{}, e
	case resp.StatusCode >= http.StatusInternalServerError:
		route.Done(OutcomeFailed)
		return response{}, errkind.New(errkind.TargetFailed, "the engine responded with status %d", resp.StatusCode)
	}
	route.Done(OutcomeOK)
	return whole, nil
}

// dialError wraps the error of a failed round trip. The request certainly did not run only if
// connecting failed.
func dialError(err error) *errkind.Error {
	e := errkind.Wrap(errkind.TargetLost, err, "the target did not respond")
	if NeverSent(err) {
		e.Outcome = errkind.NotRun
	}
	return e
}

// NeverSent reports whether err, of an HTTP round trip, proves that no byte of the request was
// sent, because connecting failed.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failureOutcome returns the outcome of a failed attempt under ctx: the target is not to blame
// if the caller closed its connection.
func failureOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeAbandoned
	}
	return OutcomeFailed
}

// hopByHopHeaders apply to a single connection and are not forwarded; neither is
// Content-Length, which net/http sets anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// CopyHeader adds the end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) { copyHeader(dst, src) }

// copyHeader adds all headers of src but the hop-by-hop ones to dst.
func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if hopByHopHeaders[k] {
			continue
		}
		dst[k] = append(dst[k], vs...)
	}
}

// cancelTimeout bounds the request that cancels a stream on an engine.
const cancelTimeout = 2 * time.Second

// cancelStream asks the engine at address to stop generating the stream. Failures are ignored.
func (r *Relay) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+target.PathStreams+stream, nil)
	if err != nil {
		return
	}
	resp, err := r.http.Do(req)
	if err != nil {
		// The engine ends an abandoned stream by itself after its grace period.
		return
	}
	resp.Body.Close()
}

// prefillResponse is the part of a prefill engine's response that the decode engine needs.
type prefillResponse struct {
	KV *target.KVTransfer `json:"kv_transfer_params"`
}

// prefill processes the prompt on a prefill engine and returns a reference to the resulting KV
// cache. After an error, the request falls back to a single engine for prefill and decode.
func (r *Relay) prefill(ctx context.Context, c *Call) (target.KVTransfer, error) {
	route, err := r.router.Route(RouteRequest{
		Service: c.Service, Role: target.RolePrefill, Prefix: c.Chat.Prefix, PromptTokens: c.Chat.PromptTokens,
	})
	if err != nil {
		return target.KVTransfer{}, err
	}
	body, err := c.Chat.prefillBody()
	if err != nil {
		route.Done(OutcomeAbandoned)
		return target.KVTransfer{}, err
	}
	resp, err := r.postChat(ctx, c, route.Address, body, "")
	if err != nil {
		route.Done(failureOutcome(ctx))
		return target.KVTransfer{}, errors.Wrap(err, "prefill")
	}
	defer resp.Body.Close()
	readCtx, release := context.WithCancel(ctx)
	defer release()
	data, err := r.readBody(readCtx, resp)
	if err != nil || resp.StatusCode != http.StatusOK {
		route.Done(OutcomeFailed)
		return target.KVTransfer{}, errors.Errorf("prefill: status %d, %v", resp.StatusCode, err)
	}
	route.Done(OutcomeOK)
	var p prefillResponse
	if err := json.Unmarshal(data, &p); err != nil || p.KV == nil {
		return target.KVTransfer{}, errors.New("prefill: the response has no kv_transfer_params")
	}
	return *p.KV, nil
}
