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

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// plainDialTimeout bounds connecting to a plain service.
	plainDialTimeout = 2 * time.Second
	// maxPlainAnswer bounds an answer of a plain service.
	maxPlainAnswer = 32 << 20
	// keepTimeout bounds keeping the answer of a call that ran.
	keepTimeout = 5 * time.Second
)

// plainForwarder sends calls to plain services.
type plainForwarder struct {
	// repeatable keeps connections; its calls may be sent again.
	repeatable *http.Client
	// single opens a connection for each call. The HTTP client sends a
	// request again by itself only on a connection that it has used before,
	// so a call that may not be repeated never leaves twice.
	single *http.Client
}

func newPlainForwarder() *plainForwarder {
	return &plainForwarder{repeatable: plainClient(true), single: plainClient(false)}
}

func plainClient(keep bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: plainDialTimeout}).DialContext,
			DisableKeepAlives:   !keep,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Stop closes idle connections.
func (p *plainForwarder) Stop(context.Context) error {
	p.repeatable.CloseIdleConnections()
	return nil
}

// plainCall serves a request to a plain service.
func (s *server) plainCall(w *statusWriter, r *http.Request, q *request) error {
	ctx, cancel := context.WithDeadline(r.Context(), q.arrived.Add(q.row.Deadline))
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
	return s.claimedCall(ctx, w, r, q)
}

// safeMethod reports whether the HTTP method promises to have no effect.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// claimedCall runs a call with an idempotency key at most once.
func (s *server) claimedCall(ctx context.Context, w *statusWriter, r *http.Request, q *request) error {
	claim, kept, err := s.claims.Acquire(ctx, once.Call{
		Service: q.row.Service, Account: r.Header.Get("Authorization"), Key: r.Header.Get(headerIdempotencyKey),
		Token: q.id, BodyHash: once.HashBody(r.Method, r.URL.RequestURI(), q.body),
	})
	if err != nil {
		return err
	}
	if kept != nil {
		return writeAnswer(w, *kept)
	}
	// The call goes on even if the caller leaves now, so that its answer is
	// kept for when it asks again.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.arrived.Add(q.row.Deadline))
	defer cancel()
	a, err := s.forwardOnce(ctx, r, q)
	if err != nil {
		return s.settleFailed(claim, q, err)
	}
	s.keep(claim, q, a)
	return writeAnswer(w, a)
}

// settleFailed frees the key of a call that certainly did not run.
func (s *server) settleFailed(claim *once.Claim, q *request, err error) error {
	if errkind.From(err).Answer().Outcome != errkind.NotRun {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if rerr := claim.Release(ctx); rerr != nil {
		s.log.Warn(telemetry.EventClaimUnknown, telemetry.F("request", q.id), telemetry.F("cause", rerr))
	}
	return err
}

func (s *server) keep(claim *once.Claim, q *request, a once.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if err := claim.Keep(ctx, a); err != nil {
		s.log.Warn(telemetry.EventClaimUnknown, telemetry.F("request", q.id), telemetry.F("cause", err))
	}
}

// forwardRepeatable sends a call that may be repeated, to other targets too
// within the retry budget.
func (s *server) forwardRepeatable(ctx context.Context, r *http.Request, q *request) (once.Answer, error) {
	return s.forwardTries(ctx, s.plain.repeatable, r, q, func(*errkind.Error) bool { return true })
}

// forwardOnce sends a call that may not be repeated. Another target is tried
// only after a failure that proves that the call was not run.
func (s *server) forwardOnce(ctx context.Context, r *http.Request, q *request) (once.Answer, error) {
	notRun := func(e *errkind.Error) bool { return e.Answer().Outcome == errkind.NotRun }
	a, err := s.forwardTries(ctx, s.plain.single, r, q, notRun)
	if err != nil && !notRun(errkind.From(err)) {
		return a, unknownOutcome(errkind.From(err))
	}
	return a, err
}

// forwardTries sends a call to one target after the other while failures allow
// it and the retry budget lasts.
func (s *server) forwardTries(ctx context.Context, client *http.Client, r *http.Request, q *request, again func(*errkind.Error) bool) (once.Answer, error) {
	need := relay.Need{Service: q.row.Service, Role: target.RoleBoth}
	var last error
	for {
		route, err := s.fleet.Route(need)
		if err != nil {
			return once.Answer{}, firstError(last, err)
		}
		a, err := s.forward(ctx, client, r, q, route)
		if err == nil {
			return a, nil
		}
		last = err
		need.Avoid = append(need.Avoid, route.Name)
		need.Retry = true
		if ctx.Err() != nil || !again(errkind.From(err)) || !s.budget(q.row.Service).Retry() {
			return once.Answer{}, last
		}
	}
}

func firstError(last, err error) error {
	if last != nil {
		return last
	}
	return err
}

// unknownOutcome tells the caller that a call that may not be repeated may
// have run.
func unknownOutcome(e *errkind.Error) error {
	return errkind.Wrap(errkind.OutcomeUnknown, e, "the target did not answer after the call was sent; it may have run")
}

// forward sends the call to one target and reads its whole answer.
func (s *server) forward(ctx context.Context, client *http.Client, r *http.Request, q *request, route relay.Route) (once.Answer, error) {
	req, err := outgoing(ctx, r, q, route.Address)
	if err != nil {
		route.Done(relay.OutcomeAbandoned)
		return once.Answer{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		route.Done(forwardOutcome(ctx))
		e := errkind.Wrap(errkind.TargetLost, err, "the target did not answer")
		if relay.NeverSent(err) {
			e.Outcome = errkind.NotRun
		}
		return once.Answer{}, forwardError(ctx, e)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer+1))
	if err != nil {
		route.Done(forwardOutcome(ctx))
		return once.Answer{}, forwardError(ctx, errkind.Wrap(errkind.TargetLost, err, "the target broke off its answer"))
	}
	if len(body) > maxPlainAnswer {
		route.Done(relay.OutcomeOK)
		return once.Answer{}, errkind.New(errkind.TargetFailed, "the answer is larger than %d bytes", maxPlainAnswer)
	}
	if code := relay.ErrorCode(body); resp.StatusCode == http.StatusServiceUnavailable && target.VouchesNotRun(code) {
		route.Done(relay.OutcomeRefused)
		e := errkind.New(errkind.TargetFailed, "the target refused: %s", code)
		e.Outcome = errkind.NotRun
		return once.Answer{}, e
	}
	route.Done(relay.OutcomeOK)
	header := http.Header{}
	relay.CopyHeader(header, resp.Header)
	return once.Answer{Status: resp.StatusCode, Header: header, Body: body}, nil
}

func forwardOutcome(ctx context.Context) relay.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return relay.OutcomeAbandoned
	}
	return relay.OutcomeFailed
}

// forwardError names the deadline or the caller as the cause where they are.
// Whether the call left stays as it was found out.
func forwardError(ctx context.Context, e *errkind.Error) error {
	if ctx.Err() == nil {
		return e
	}
	kind := errkind.ClientGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineExceeded
	}
	out := errkind.Wrap(kind, e, "no answer in time")
	out.Outcome = e.Answer().Outcome
	return out
}

func outgoing(ctx context.Context, r *http.Request, q *request, address string) (*http.Request, error) {
	uri := trimService(r, q.row.Service)
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+uri, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the path cannot be passed on")
	}
	// Set after NewRequest, so that the body cannot be rewound and sent again.
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

func writeAnswer(w http.ResponseWriter, a once.Answer) error {
	relay.CopyHeader(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	// A failed write means that the caller has gone; it may ask again.
	_, _ = w.Write(a.Body)
	return nil
}
