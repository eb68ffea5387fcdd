package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// plainDialTimeout bounds connecting to a target of a plain service.
	plainDialTimeout = 2 * time.Second
	// maxPlainAnswerBytes is the largest answer accepted from a plain service.
	maxPlainAnswerBytes = 32 << 20
	// maxPlainHeadBytes is the largest head of an answer that is read.
	maxPlainHeadBytes = 64 << 10
	// claimUpdateTimeout bounds storing the answer of a call that ran, and releasing
	// the claim of one that did not.
	claimUpdateTimeout = 5 * time.Second
)

// plainForwarder holds the HTTP clients for calls to plain services.
type plainForwarder struct {
	// keepAlive reuses connections. It is for calls that may be repeated, because
	// the HTTP client may send a request again on its own.
	keepAlive *http.Client
	// noReuse opens a new connection for each call. The HTTP client sends a
	// request again on its own only after a failure on a reused connection, so
	// that a call that must not be repeated is never sent twice.
	noReuse *http.Client
	// bodies is the memory for answers.
	bodies *body.Staged
}

func newPlainForwarder(bodies *body.Staged) *plainForwarder {
	return &plainForwarder{bodies: bodies, keepAlive: newPlainClient(true), noReuse: newPlainClient(false)}
}

// newPlainClient returns a client that follows no redirects, and that reuses
// connections only if keepAlive is set.
func newPlainClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: httpsend.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: plainDialTimeout}).DialContext,
			DisableKeepAlives:      !keepAlive,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: maxPlainHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Stop closes idle connections.
func (p *plainForwarder) Stop(context.Context) error {
	p.keepAlive.CloseIdleConnections()
	return nil
}

// servePlain serves a request to a plain service. A call that is neither repeatable
// nor safe runs at most once for each request. With an idempotency key it runs at most
// once for all of the account's requests with the key.
func (s *server) servePlain(w *answerWriter, r *http.Request, q *request) error {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline())
	defer cancel()
	if q.row.Repeatable || safeMethod(r.Method) {
		a, err := s.forwardRepeatable(ctx, r, q)
		if err != nil {
			return err
		}
		return writeAnswer(w, a)
	}
	if r.Header.Get(headerIdempotencyKey) == "" {
		a, err := s.forwardOnce(ctx, r, q)
		if err != nil {
			return err
		}
		return writeAnswer(w, a)
	}
	return s.serveWithIdempotencyKey(ctx, w, r, q)
}

// safeMethod reports whether the HTTP method is safe, that is without side effects.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// serveWithIdempotencyKey runs a call with an idempotency key at most once. It
// claims the key first; if a call with the key has run already, it writes the stored
// answer.
func (s *server) serveWithIdempotencyKey(ctx context.Context, w *answerWriter, r *http.Request, q *request) error {
	claim, storedAnswer, err := s.claims.Acquire(ctx, once.Call{
		Service: q.row.Service, Account: r.Header.Get("Authorization"), Key: r.Header.Get(headerIdempotencyKey),
		Token: q.id, BodyHash: once.HashBody(r.Method, r.URL.RequestURI(), q.body),
	})
	if err != nil {
		return err
	}
	if storedAnswer != nil {
		return writeAnswer(w, *storedAnswer)
	}
	// The call goes on even if the caller disconnects, so that its answer is
	// stored for when the caller asks again.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline())
	defer cancel()
	ctx, release := s.drain.bind(ctx)
	defer release()
	a, err := s.forwardOnce(ctx, r, q)
	if err != nil {
		return s.releaseIfNotRun(claim, q, err)
	}
	s.storeAnswer(claim, q, a)
	return writeAnswer(w, a)
}

// releaseIfNotRun releases the claim of a failed call if err proves that the call
// did not run. It returns err.
func (s *server) releaseIfNotRun(claim *once.Claim, q *request, err error) error {
	if errkind.From(err).Response().Outcome != errkind.NotRun {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	if releaseErr := claim.Release(ctx); releaseErr != nil {
		s.log.Warn(telemetry.EventClaimUnknown, telemetry.F("request", q.id), telemetry.F("cause", releaseErr))
	}
	return err
}

// storeAnswer stores the answer of a call under its idempotency key. A failure is only
// logged, and the caller still gets the answer.
func (s *server) storeAnswer(claim *once.Claim, q *request, a once.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	if err := claim.StoreAnswer(ctx, a); err != nil {
		s.log.Warn(telemetry.EventClaimUnknown, telemetry.F("request", q.id), telemetry.F("cause", err))
	}
}

// forwardRepeatable sends a call that may be repeated. After any failure it tries
// another target while the retry budget lasts.
func (s *server) forwardRepeatable(ctx context.Context, r *http.Request, q *request) (once.Answer, error) {
	return s.forwardWithRetries(ctx, s.plain.keepAlive, r, q, func(*errkind.Error) bool { return true })
}

// forwardOnce sends a call that must not be repeated. It tries another target only
// after a failure that proves that the call did not run. Any other failure is
// returned as OutcomeUnknown.
func (s *server) forwardOnce(ctx context.Context, r *http.Request, q *request) (once.Answer, error) {
	notRun := func(e *errkind.Error) bool { return e.Response().Outcome == errkind.NotRun }
	a, err := s.forwardWithRetries(ctx, s.plain.noReuse, r, q, notRun)
	if err != nil && !notRun(errkind.From(err)) {
		return a, outcomeUnknown(errkind.From(err))
	}
	return a, err
}

// forwardWithRetries sends a call to one target after the other until one answers,
// as long as mayRetry allows it for the last failure, ctx lasts and the retry budget
// is not used up.
func (s *server) forwardWithRetries(ctx context.Context, client *http.Client, r *http.Request, q *request, mayRetry func(*errkind.Error) bool) (once.Answer, error) {
	need := relay.RouteRequest{Service: q.row.Service, Role: target.RoleBoth}
	var last error
	for {
		if err := s.drain.check(q.deadline()); err != nil && (last == nil || errkind.From(last).Response().Outcome == errkind.NotRun) {
			return once.Answer{}, err
		}
		route, err := s.fleet.Route(need)
		if err != nil {
			return once.Answer{}, firstNonNil(last, err)
		}
		a, err := s.forward(ctx, client, r, q, route)
		if err == nil {
			return a, nil
		}
		last = err
		need.Exclude = append(need.Exclude, route.Name)
		need.Retry = true
		if ctx.Err() != nil || !mayRetry(errkind.From(err)) || !s.retryBudget(q.row.Service).Retry() {
			return once.Answer{}, last
		}
	}
}

// firstNonNil returns last unless it is nil, and err otherwise.
func firstNonNil(last, err error) error {
	if last != nil {
		return last
	}
	return err
}

// outcomeUnknown wraps the failure of a call that must not be repeated and that may
// have run.
func outcomeUnknown(e *errkind.Error) error {
	return errkind.Wrap(errkind.OutcomeUnknown, e, "the target did not answer after the call was sent; it may have run")
}

// forward sends the call to one target, reads its whole answer and reports the
// outcome to the route. The outcome NotRun of an error means that the call certainly
// did not run.
func (s *server) forward(ctx context.Context, client *http.Client, r *http.Request, q *request, route relay.Route) (once.Answer, error) {
	req, err := newTargetRequest(ctx, r, q, route.Address)
	if err != nil {
		route.Done(relay.OutcomeAbandoned)
		return once.Answer{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		route.Done(failureOutcome(ctx))
		e := errkind.Wrap(errkind.TargetLost, err, "the target did not answer")
		if relay.NeverSent(err) {
			e.Outcome = errkind.NotRun
		}
		return once.Answer{}, withContextCause(ctx, e)
	}
	defer resp.Body.Close()
	data, err := s.plain.bodies.ReadAll(ctx, r.Context(), resp.Body, resp.ContentLength, maxPlainAnswerBytes)
	if errors.Is(err, body.ErrTooLarge) {
		route.Done(relay.OutcomeOK)
		return once.Answer{}, errkind.New(errkind.TargetFailed, "the answer is larger than %d bytes", maxPlainAnswerBytes)
	}
	if err != nil {
		route.Done(failureOutcome(ctx))
		return once.Answer{}, withContextCause(ctx, errkind.Wrap(errkind.TargetLost, err, "the connection failed before the target's answer was complete"))
	}
	if code := relay.ErrorCode(data); resp.StatusCode == http.StatusServiceUnavailable && target.MeansNotRun(code) {
		route.Done(relay.OutcomeRefused)
		e := errkind.New(errkind.TargetFailed, "the target refused the call: %s", code)
		e.Outcome = errkind.NotRun
		return once.Answer{}, e
	}
	route.Done(relay.OutcomeOK)
	header := http.Header{}
	relay.CopyHeader(header, resp.Header)
	return once.Answer{Status: resp.StatusCode, Header: header, Body: data}, nil
}

// failureOutcome returns the outcome of a failed call: abandoned if the caller
// disconnected, and a failure of the target otherwise.
func failureOutcome(ctx context.Context) relay.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return relay.OutcomeAbandoned
	}
	return relay.OutcomeFailed
}

// withContextCause returns e with the kind DeadlineExceeded or ClientGone if ctx has
// ended, and e itself otherwise. Whether the call may have run stays as in e.
func withContextCause(ctx context.Context, e *errkind.Error) error {
	if ctx.Err() == nil {
		return e
	}
	kind := errkind.ClientGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineExceeded
	}
	out := errkind.Wrap(kind, e, "the request ended before the target answered")
	out.Outcome = e.Response().Outcome
	return out
}

// newTargetRequest returns the request that is sent to the target at address.
func newTargetRequest(ctx context.Context, r *http.Request, q *request, address string) (*http.Request, error) {
	uri := targetURI(r, q.row.Service)
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+uri, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the path is not valid in a URL")
	}
	// The body is set after NewRequest, so that the request has no GetBody and the
	// client cannot rewind the body to send it again.
	req.Body = io.NopCloser(bytes.NewReader(q.body))
	req.ContentLength = int64(len(q.body))
	if len(q.body) == 0 {
		req.Body = http.NoBody
	}
	relay.CopyHeader(req.Header, r.Header)
	req.Header.Set(target.HeaderRequestID, q.id)
	req.Host = r.Host
	return req, nil
}

// writeAnswer writes a target's answer to the caller.
func writeAnswer(w http.ResponseWriter, a once.Answer) error {
	relay.CopyHeader(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	// A failed write means that the caller has disconnected; it may ask again.
	_, _ = w.Write(a.Body)
	return nil
}
