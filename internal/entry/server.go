package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// maxAccounts is how many client accounts of a service an entry limits
	// separately.
	maxAccounts = 16000
	// accountBurstSeconds is the burst of an account: as many requests as its rate
	// allows in so many seconds.
	accountBurstSeconds = 2
	// headerTimeout bounds the time that a caller takes to send a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may stay idle.
	idleTimeout = 2 * time.Minute
	// reasonNoConfig is the reason why an entry that has just started is not ready.
	reasonNoConfig = "table and targets not known yet"
	// headerIdempotencyKey is the header by which a caller marks repeats of one call.
	headerIdempotencyKey = "Idempotency-Key"
)

// server is the HTTP server for callers.
type server struct {
	cfg       *settings.Entry
	fleet     *fleet
	feed      *feed
	relay     *relay.Relay
	plain     *plainForwarder
	claims    *once.Store
	usage     *usage
	decisions *decisionLog
	shares    *shares
	log       *telemetry.Logger
	ids       *requestIDs
	start     time.Time

	httpServer *http.Server
	// serving is done when the HTTP server has stopped.
	serving sync.WaitGroup
	drain   *drain
	// inFlight is the number of requests of all services in flight.
	inFlight atomic.Int64

	// mu guards the account limits and retry budgets, which are keyed by service.
	mu       sync.Mutex
	accounts map[string]*limit.Accounts
	budgets  map[string]*retry.Budget
}

// Start starts listening for callers.
func (s *server) Start(context.Context) error {
	l, err := net.Listen("tcp", string(s.cfg.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.httpServer = &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	s.serving.Go(func() {
		if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	})
	return nil
}

// Stop fails readiness, keeps serving for the ready grace so that load balancers
// notice, and then waits for the requests in flight. Shortly before ctx ends, those that are left are answered with
// an error.
func (s *server) Stop(ctx context.Context) error {
	defer s.drain.begin(ctx)()
	s.log.Info(telemetry.EventStopping, telemetry.F("in_flight", s.inFlight.Load()))
	kernel.Sleep(ctx, s.cfg.ReadyGrace.D())
	err := s.httpServer.Shutdown(ctx)
	s.serving.Wait()
	return errors.Wrap(err, "wait for requests in flight")
}

// notReadyReason returns why the entry is not ready for requests, or "" if it is.
func (s *server) notReadyReason() string {
	switch {
	case s.drain.begun.Load():
		return "stopping"
	case !s.feed.isReady():
		return reasonNoConfig
	}
	return ""
}

// handler returns the handler for callers' requests.
func (s *server) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = false
	g.Any("/services/:service/*path", s.serve)
	g.NoRoute(func(c *gin.Context) {
		errkind.Write(c.Writer, errkind.New(errkind.UnknownPath, "paths start with /services/SERVICE/"))
	})
	return g
}

// request is one caller's request.
type request struct {
	id string
	// row is the service's row of the table. Its Service is empty until the service
	// is known to exist.
	row table.Row
	// path is the path below /services/SERVICE.
	path    string
	arrived time.Time
	body    []byte
	// account is the hash that identifies the client account.
	account uint64
}

// deadline returns when the request must have been answered.
func (q *request) deadline() time.Time { return q.arrived.Add(q.row.Deadline) }

// serve handles one request, writes the error body if it fails, and counts it once.
func (s *server) serve(c *gin.Context) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	q := &request{id: s.ids.next(), path: c.Param("path"), arrived: time.Now()}
	service := c.Param("service")
	w := &answerWriter{ResponseWriter: c.Writer}
	ctx, release := s.drain.bind(c.Request.Context())
	defer release()
	err := s.handle(w, c.Request.WithContext(ctx), service, q)
	if err == nil {
		s.recordAnswer(service, q, w, nil)
		return
	}
	e := s.drain.cause(errkind.From(err))
	started := w.started
	if !started {
		errkind.Write(w, e)
	}
	s.recordAnswer(service, q, w, e)
	if started {
		// The answer is incomplete. Aborting the connection keeps the caller from
		// taking it for complete.
		panic(http.ErrAbortHandler)
	}
}

// recordAnswer counts the answer, and logs the refusal or failure e unless it is nil.
// An answer in time is one that was complete by the deadline, or for a language
// service one that had begun by then.
func (s *server) recordAnswer(service string, q *request, w *answerWriter, e *errkind.Error) {
	took := time.Since(q.arrived)
	if q.row.Service == "" {
		// Names of services that do not exist must not add counters.
		service = ""
	}
	inTime := q.row.Deadline == 0 || took <= q.row.Deadline
	if q.row.Kind == table.Language && w.timeToFirstByte > 0 {
		inTime = w.timeToFirstByte <= q.row.Deadline
	}
	s.usage.countAnswer(service, inTime, e, took.Seconds())
	if e == nil {
		return
	}
	event := telemetry.EventRequestFailed
	if e.Response().Outcome == errkind.NotRun {
		event = telemetry.EventRequestRefused
		s.decisions.recordRefusal(service, e, time.Now())
	}
	s.log.Warn(event, telemetry.F("request", q.id), telemetry.F("service", service),
		telemetry.F("kind", e.Kind), telemetry.F("cause", e.Error()))
}

// handle checks the request against the service's limits, reads its body and
// serves it. Arrivals are counted before the limits are checked.
func (s *server) handle(w *answerWriter, r *http.Request, service string, q *request) error {
	if s.notReadyReason() == reasonNoConfig {
		return errkind.New(errkind.NotReady, "this entry does not know the table and its targets yet")
	}
	row, ok := s.fleet.row(service)
	if !ok {
		return errkind.New(errkind.UnknownService, "there is no service called %q", service)
	}
	q.row = row
	w.arrived = q.arrived
	if err := s.checkPath(r, q); err != nil {
		return err
	}
	s.usage.countArrival(service)
	q.account = accountID(r)
	if err := s.checkRateLimits(q); err != nil {
		return err
	}
	if err := s.acquireSlot(row); err != nil {
		return err
	}
	defer s.usage.release(service)
	if err := s.readBody(w, r, q); err != nil {
		return err
	}
	if err := s.drain.check(q.deadline()); err != nil {
		return err
	}
	s.retryBudget(service).Request()
	if row.Kind == table.Language {
		return s.serveLanguage(w, r, q)
	}
	return s.servePlain(w, r, q)
}

// acquireSlot counts the request as in flight, if the entry's limit, the service's
// weighted part of it and the entry's share of the service's own limit allow it. The
// caller releases the slot by s.usage.release.
func (s *server) acquireSlot(row table.Row) error {
	// s.inFlight counts this request already.
	total := int(s.inFlight.Load()) - 1
	_, own := s.usage.demand(row.Service)
	if !limit.HasCapacity(own, total, s.cfg.MaxInFlight, row.Weight, s.fleet.totalWeight()) {
		return errkind.New(errkind.InFlightLimited, "this entry's limit of requests in flight is reached")
	}
	_, inFlight := s.shares.limits(row, time.Now())
	if !s.usage.acquire(row.Service, inFlight) {
		return errkind.New(errkind.InFlightLimited, "the service's limit of requests in flight is reached")
	}
	return nil
}

// checkPath refuses a request to a language service that is not a POST to the chat
// completions path.
func (s *server) checkPath(r *http.Request, q *request) error {
	if q.row.Kind != table.Language {
		return nil
	}
	if q.path != target.PathChat {
		return errkind.New(errkind.UnknownPath, "a language service has only the path %s", target.PathChat)
	}
	if r.Method != http.MethodPost {
		return errkind.New(errkind.WrongMethod, "%s takes POST", target.PathChat)
	}
	return nil
}

// accountID returns a hash that identifies the client account: of its credentials
// if the request has any, and otherwise of its IP address.
func accountID(r *http.Request) uint64 {
	if auth := r.Header.Get("Authorization"); auth != "" {
		return xxhash.Sum64String(auth)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return xxhash.Sum64String(host)
}

// checkRateLimits takes one token from the account's bucket and one from the
// service's. The error tells when to retry.
func (s *server) checkRateLimits(q *request) error {
	now := time.Since(s.start)
	if q.row.AccountRate > 0 {
		wait, ok := s.takeAccountToken(q, now)
		if !ok {
			e := errkind.New(errkind.AccountLimited, "this account's limit of %g requests a second is reached", q.row.AccountRate)
			e.RetryAfter = wait
			return e
		}
	}
	wait, ok := s.shares.take(q.row, time.Now())
	if !ok {
		e := errkind.New(errkind.RateLimited, "the service's limit of %g requests a second is reached", q.row.RatePerS)
		e.RetryAfter = wait
		return e
	}
	return nil
}

// takeAccountToken takes one token from the account's bucket for the service. If
// there is none it returns how long to wait for one. now is the time since the server
// was created.
func (s *server) takeAccountToken(q *request, now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	accounts, ok := s.accounts[q.row.Service]
	if !ok {
		accounts = limit.NewAccounts(maxAccounts)
		s.accounts[q.row.Service] = accounts
	}
	burst := max(q.row.AccountRate*accountBurstSeconds, 1)
	return accounts.Take(q.account, now, q.row.AccountRate, burst)
}

// retryBudget returns the service's retry budget.
func (s *server) retryBudget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		s.budgets[service] = b
	}
	return b
}

// readBody reads the request's body into q, within MaxBodyBytes and BodyTimeout.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, q *request) error {
	if r.ContentLength > s.cfg.MaxBodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", s.cfg.MaxBodyBytes)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout.D())); err != nil {
		return errkind.Wrap(errkind.Internal, err, "set read deadline")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, s.cfg.MaxBodyBytes+1))
	if err != nil {
		return bodyError(err)
	}
	if int64(len(body)) > s.cfg.MaxBodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", s.cfg.MaxBodyBytes)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return errkind.Wrap(errkind.Internal, err, "clear read deadline")
	}
	q.body = body
	return nil
}

// bodyError returns the refusal for an error of reading the caller's body. No target
// has seen the request at that point.
func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errkind.Wrap(errkind.SlowBody, err, "the body did not arrive in time")
	}
	e := errkind.Wrap(errkind.ClientGone, err, "the connection failed before the body was complete")
	e.Outcome = errkind.NotRun
	return e
}

// serveLanguage serves a chat completion, and resumes a stream if the caller sends a
// Last-Event-ID. The time to the first token of a stream updates the prefill speed.
func (s *server) serveLanguage(w *answerWriter, r *http.Request, q *request) error {
	chat, err := relay.ParseChat(q.body)
	if err != nil {
		return err
	}
	call := &relay.Call{
		ID: q.id, Service: q.row.Service, Chat: chat,
		Deadline: q.deadline(), Budget: s.retryBudget(q.row.Service),
	}
	if last := r.Header.Get(target.HeaderLastEventID); last != "" && chat.Stream {
		id, err := relay.ParseEventID(last)
		if err != nil {
			return errkind.Wrap(errkind.BadEventID, err, "Last-Event-ID: %v", err)
		}
		call.Resume = &id
	}
	if !chat.Stream {
		return s.relay.ServeBuffered(r.Context(), w, call)
	}
	err = s.relay.ServeStream(r.Context(), w, call)
	if err == nil && w.timeToFirstByte > 0 {
		s.fleet.observeFirstToken(q.row.Service, chat.PromptTokens, w.timeToFirstByte)
	}
	return err
}

// answerWriter records whether the answer has begun and how long after the request's
// arrival.
type answerWriter struct {
	http.ResponseWriter
	arrived         time.Time
	timeToFirstByte time.Duration
	started         bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.markStarted()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.markStarted()
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// markStarted records the first write of the answer.
func (w *answerWriter) markStarted() {
	if w.started {
		return
	}
	w.started = true
	w.timeToFirstByte = time.Since(w.arrived)
}

// targetURI returns the request's URI without the prefix /services/SERVICE, as it is
// sent to the target.
func targetURI(r *http.Request, service string) string {
	uri := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service)
	if uri == "" || uri[0] != '/' {
		uri = "/" + uri
	}
	return uri
}
