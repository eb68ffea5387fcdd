package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Need says what a route is wanted for.
type Need struct {
	Service string
	Role    target.Role
	// Prefix and PromptTokens describe the prompt.
	Prefix       uint64
	PromptTokens int
	// Avoid names targets that this request has already failed on.
	Avoid []string
	// Retry marks a further try of a request that was already admitted.
	Retry bool
}

// Outcome is how a target fared with one try.
type Outcome int

// The outcomes of a try.
const (
	// OutcomeOK: the target answered in full.
	OutcomeOK Outcome = iota
	// OutcomeRefused: the target refused and is otherwise well.
	OutcomeRefused
	// OutcomeFailed: the target broke off, did not answer or failed.
	OutcomeFailed
	// OutcomeAbandoned: the caller went away; nothing is known of the target.
	OutcomeAbandoned
)

// Route is one target chosen for one try. Done must be called once.
type Route struct {
	Name    string
	Address string
	Done    func(Outcome)
}

// Router chooses targets.
type Router interface {
	// Route chooses a target, or fails with an *errkind.Error.
	Route(Need) (Route, error)
	// Find returns the address of the target called name, if it is known.
	Find(name string) (address string, ok bool)
	// Split reports whether the service's engines are split into prefill and
	// decode, so that a request should use one of each.
	Split(service string) bool
}

// Config holds the relay's limits.
type Config struct {
	// IdleTimeout is how long a stream may give no event before its engine is
	// taken for lost.
	IdleTimeout time.Duration
	// DialTimeout bounds connecting to an engine.
	DialTimeout time.Duration
	// MaxAnswerBytes bounds a whole answer that is held for a retry.
	MaxAnswerBytes int64
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{IdleTimeout: 4 * time.Second, DialTimeout: 2 * time.Second, MaxAnswerBytes: 16 << 20}
}

// Relay carries language requests. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	router Router
	log    *telemetry.Logger
	http   *http.Client
}

// maxIdlePerEngine bounds the idle connections kept to one engine.
const maxIdlePerEngine = 64

// readBufferBytes is the read buffer of a connection to an engine; it is part
// of the memory of an idle stream.
const readBufferBytes = 64 << 10

// New returns a relay that asks router for targets.
func New(cfg Config, router Router, log *telemetry.Logger) *Relay {
	return &Relay{cfg: cfg, router: router, log: log, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEngine,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
	}}}
}

// Stop closes idle connections.
func (r *Relay) Stop(context.Context) error {
	r.http.CloseIdleConnections()
	return nil
}

// Call is one caller's language request.
type Call struct {
	ID      string
	Service string
	Chat    *Chat
	// Resume is the event after which the caller wants to go on, or nil.
	Resume *EventID
	// Deadline is when the answer stops being worth a retry.
	Deadline time.Time
	// Budget is the service's retry budget.
	Budget *retry.Budget
}

// mayRetry reports whether another try is allowed now. A try that certainly
// did not run costs nothing of the budget's purpose but still counts, as it
// loads the fleet the same.
func (c *Call) mayRetry(now time.Time) bool {
	return now.Before(c.Deadline) && c.Budget.Retry()
}

// post sends a body to an engine. The body is never rewound, so the HTTP
// client cannot send it twice by itself.
func (r *Relay) post(ctx context.Context, c *Call, address string, body []byte, lastEvent string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.HeaderRequestID, c.ID)
	if lastEvent != "" {
		req.Header.Set(target.HeaderLastEventID, lastEvent)
	}
	return r.http.Do(req)
}

// Whole serves a request for a whole answer.
func (r *Relay) Whole(ctx context.Context, w http.ResponseWriter, c *Call) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	need := Need{Service: c.Service, Role: target.RoleBoth, Prefix: c.Chat.Prefix, PromptTokens: c.Chat.PromptTokens}
	var last error
	for {
		route, err := r.router.Route(need)
		if err != nil {
			return firstOf(last, err)
		}
		a, err := r.wholeFrom(ctx, c, route)
		if err == nil {
			return a.writeTo(w)
		}
		if ctx.Err() != nil {
			return ctxError(ctx, err)
		}
		last = err
		need.Avoid = append(need.Avoid, route.Name)
		need.Retry = true
		if a.final || !c.mayRetry(time.Now()) {
			return last
		}
	}
}

// firstOf returns the failure that the caller should hear of: that of a target
// rather than that there is no further one.
func firstOf(last, err error) error {
	if last != nil {
		return last
	}
	return err
}

// ctxError tells a caller that went away from a deadline that passed.
func ctxError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the answer was not ready by the service's deadline")
	}
	return errkind.Wrap(errkind.ClientGone, err, "the caller went away")
}

// answer is a target's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// final answers are the caller's own fault; another target would say the
	// same.
	final bool
}

func (a answer) writeTo(w http.ResponseWriter) error {
	copyHeader(w.Header(), a.header)
	w.WriteHeader(a.status)
	// A failed write means that the caller has gone; the answer is complete.
	_, _ = w.Write(a.body)
	return nil
}

func (r *Relay) wholeFrom(ctx context.Context, c *Call, route Route) (answer, error) {
	resp, err := r.post(ctx, c, route.Address, c.Chat.body, "")
	if err != nil {
		route.Done(outcomeOf(ctx))
		return answer{}, dialError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.cfg.MaxAnswerBytes+1))
	if err != nil {
		route.Done(outcomeOf(ctx))
		return answer{}, errkind.Wrap(errkind.TargetLost, err, "the engine broke off its answer")
	}
	if int64(len(body)) > r.cfg.MaxAnswerBytes {
		route.Done(OutcomeOK)
		return answer{final: true}, errkind.New(errkind.TargetFailed, "the engine's answer is larger than %d bytes", r.cfg.MaxAnswerBytes)
	}
	return r.judge(resp, body, route)
}

// judge sorts a complete answer into success, caller's fault and failure.
func (r *Relay) judge(resp *http.Response, body []byte, route Route) (answer, error) {
	a := answer{status: resp.StatusCode, header: resp.Header, body: body}
	switch {
	case target.VouchesNotRun(ErrorCode(body)):
		route.Done(OutcomeRefused)
		e := errkind.New(errkind.TargetFailed, "the engine refused: %s", ErrorCode(body))
		e.Outcome = errkind.NotRun
		return answer{}, e
	case resp.StatusCode >= http.StatusInternalServerError:
		route.Done(OutcomeFailed)
		return answer{}, errkind.New(errkind.TargetFailed, "the engine answered %d", resp.StatusCode)
	}
	route.Done(OutcomeOK)
	return a, nil
}

// dialError sorts a failed round trip: only a failed dial is certain not to
// have run.
func dialError(err error) *errkind.Error {
	e := errkind.Wrap(errkind.TargetLost, err, "the target did not answer")
	if NeverSent(err) {
		e.Outcome = errkind.NotRun
	}
	return e
}

// NeverSent reports whether err, of an HTTP round trip, is certain proof that
// no byte of the request left.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func outcomeOf(ctx context.Context) Outcome {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeAbandoned
	}
	return OutcomeFailed
}

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// CopyHeader adds the end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) { copyHeader(dst, src) }

func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if hopHeaders[k] {
			continue
		}
		dst[k] = append(dst[k], vs...)
	}
}

// cancelTimeout bounds telling an engine that a stream is not wanted.
const cancelTimeout = 2 * time.Second

// cancelStream tells the engine to stop generating.
func (r *Relay) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+target.PathStreams+stream, nil)
	if err != nil {
		return
	}
	resp, err := r.http.Do(req)
	if err != nil {
		// The engine drops the stream by itself after its grace period.
		return
	}
	resp.Body.Close()
}

// kvParams is the part of a prefill answer that the decode engine needs.
type kvParams struct {
	KV *target.KVTransfer `json:"kv_transfer_params"`
}

// prefill runs the prompt on a prefill engine and returns the reference to its
// KV cache. Any failure only means that the caller falls back to one engine.
func (r *Relay) prefill(ctx context.Context, c *Call) (target.KVTransfer, error) {
	route, err := r.router.Route(Need{
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
	resp, err := r.post(ctx, c, route.Address, body, "")
	if err != nil {
		route.Done(outcomeOf(ctx))
		return target.KVTransfer{}, errors.Wrap(err, "prefill")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, r.cfg.MaxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		route.Done(OutcomeFailed)
		return target.KVTransfer{}, errors.Errorf("prefill: status %d, %v", resp.StatusCode, err)
	}
	route.Done(OutcomeOK)
	var p kvParams
	if err := json.Unmarshal(data, &p); err != nil || p.KV == nil {
		return target.KVTransfer{}, errors.New("prefill: the answer holds no kv_transfer_params")
	}
	return *p.KV, nil
}
