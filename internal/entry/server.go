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
	// maxAccounts is how many client accounts one entry tells apart.
	maxAccounts = 16000
	// accountBurstSeconds is the seconds' worth of requests that an account
	// may send at once.
	accountBurstSeconds = 2
	// headerTimeout bounds the time a caller takes to send its header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a caller's idle connection.
	idleTimeout = 2 * time.Minute
	// notReady is why an entry that has just started takes no requests.
	notReady = "table and targets not known yet"
	// headerIdempotencyKey marks a call that may be asked again.
	headerIdempotencyKey = "Idempotency-Key"
)

// server is the callers' HTTP edge.
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

	http     *http.Server
	served   sync.WaitGroup
	stopping atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	accounts map[string]*limit.Accounts
	budgets  map[string]*retry.Budget
}

// Start listens for callers.
func (s *server) Start(context.Context) error {
	l, err := net.Listen("tcp", string(s.cfg.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.http = &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	s.served.Go(func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	})
	return nil
}

// Stop fails readiness, keeps serving while the balancer takes note, and then
// waits for every request in hand.
func (s *server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.log.Info(telemetry.EventStopping, telemetry.F("in_flight", s.inFlight.Load()))
	kernel.Sleep(ctx, s.cfg.ReadyGrace.D())
	err := s.http.Shutdown(ctx)
	s.served.Wait()
	return errors.Wrap(err, "wait for requests in hand")
}

// ready says why the entry cannot take requests, or "".
func (s *server) ready() string {
	switch {
	case s.stopping.Load():
		return "stopping"
	case !s.feed.usable():
		return notReady
	}
	return ""
}

func (s *server) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = false
	g.Any("/services/:service/*path", s.serve)
	g.NoRoute(func(c *gin.Context) {
		errkind.Write(c.Writer, errkind.New(errkind.UnknownPath, "paths start with /services/SERVICE/"))
	})
	return g
}

// request is one caller's request on its way through the entry.
type request struct {
	id      string
	row     table.Row
	path    string
	arrived time.Time
	body    []byte
	account uint64
}

// serve takes one request through its whole path and counts it once.
func (s *server) serve(c *gin.Context) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	q := &request{id: s.ids.next(), path: c.Param("path"), arrived: time.Now()}
	service := c.Param("service")
	w := &statusWriter{ResponseWriter: c.Writer}
	err := s.handle(w, c.Request, service, q)
	if err == nil {
		s.finish(service, q, w, nil)
		return
	}
	e := errkind.From(err)
	begun := w.wrote
	if !begun {
		errkind.Write(w, e)
	}
	s.finish(service, q, w, e)
	if begun {
		// The answer is cut short; the caller must not take it for complete.
		panic(http.ErrAbortHandler)
	}
}

// finish counts the answer and logs a refusal or failure.
func (s *server) finish(service string, q *request, w *statusWriter, e *errkind.Error) {
	took := time.Since(q.arrived)
	if q.row.Service == "" {
		// Names that callers make up must not fill the counters.
		service = ""
	}
	inTime := q.row.Deadline == 0 || took <= q.row.Deadline
	if q.row.Kind == table.Language && w.first > 0 {
		inTime = w.first <= q.row.Deadline
	}
	s.usage.result(service, inTime, e, took.Seconds())
	if e == nil {
		return
	}
	event := telemetry.EventRequestFailed
	if e.Answer().Outcome == errkind.NotRun {
		event = telemetry.EventRequestRefused
		s.decisions.refused(service, e, time.Now())
	}
	s.log.Warn(event, telemetry.F("request", q.id), telemetry.F("service", service),
		telemetry.F("kind", e.Kind), telemetry.F("cause", e.Error()))
}

func (s *server) handle(w *statusWriter, r *http.Request, service string, q *request) error {
	if s.ready() == notReady {
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
	s.usage.arrive(service)
	q.account = accountOf(r)
	if err := s.limits(q); err != nil {
		return err
	}
	if err := s.takePlace(row); err != nil {
		return err
	}
	defer s.usage.end(service)
	if err := s.readBody(w, r, q); err != nil {
		return err
	}
	s.budget(service).Request()
	if row.Kind == table.Language {
		return s.language(w, r, q)
	}
	return s.plainCall(w, r, q)
}

// takePlace takes one of the entry's places, as far as the service's weight and
// its share of the limit in flight allow.
func (s *server) takePlace(row table.Row) error {
	// The request itself is counted already.
	total := int(s.inFlight.Load()) - 1
	_, own := s.usage.demand(row.Service)
	if !limit.Fits(own, total, s.cfg.MaxInFlight, row.Weight, s.fleet.totalWeight()) {
		return errkind.New(errkind.InFlightLimited, "this entry holds as many requests as it can")
	}
	_, inFlight := s.shares.limits(row, time.Now())
	if !s.usage.begin(row.Service, inFlight) {
		return errkind.New(errkind.InFlightLimited, "the service's limit of requests in flight is reached")
	}
	return nil
}

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

// accountOf identifies the client account: by its credentials, else by its
// address.
func accountOf(r *http.Request) uint64 {
	if auth := r.Header.Get("Authorization"); auth != "" {
		return xxhash.Sum64String(auth)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return xxhash.Sum64String(host)
}

// limits takes the request's tokens from its account and its service.
func (s *server) limits(q *request) error {
	now := time.Since(s.start)
	if q.row.AccountRate > 0 {
		wait, ok := s.takeAccount(q, now)
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

func (s *server) takeAccount(q *request, now time.Duration) (time.Duration, bool) {
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

func (s *server) budget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		s.budgets[service] = b
	}
	return b
}

// readBody reads the caller's body within its size and time limits.
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

func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errkind.Wrap(errkind.SlowBody, err, "the body did not arrive in time")
	}
	e := errkind.Wrap(errkind.ClientGone, err, "the body broke off")
	e.Outcome = errkind.NotRun
	return e
}

// language serves a chat completion.
func (s *server) language(w *statusWriter, r *http.Request, q *request) error {
	chat, err := relay.ParseChat(q.body)
	if err != nil {
		return err
	}
	call := &relay.Call{
		ID: q.id, Service: q.row.Service, Chat: chat,
		Deadline: q.arrived.Add(q.row.Deadline), Budget: s.budget(q.row.Service),
	}
	if last := r.Header.Get(target.HeaderLastEventID); last != "" && chat.Stream {
		id, err := relay.ParseEventID(last)
		if err != nil {
			return errkind.Wrap(errkind.BadEventID, err, "Last-Event-ID: %v", err)
		}
		call.Resume = &id
	}
	if !chat.Stream {
		return s.relay.Whole(r.Context(), w, call)
	}
	err = s.relay.Stream(r.Context(), w, call)
	if err == nil && w.first > 0 {
		s.fleet.observeFirst(q.row.Service, chat.PromptTokens, w.first)
	}
	return err
}

// statusWriter notes when and whether an answer has begun.
type statusWriter struct {
	http.ResponseWriter
	arrived time.Time
	first   time.Duration
	wrote   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.note()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(p []byte) (int, error) {
	w.note()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *statusWriter) note() {
	if w.wrote {
		return
	}
	w.wrote = true
	w.first = time.Since(w.arrived)
}

// trimService returns the URI as the target sees it.
func trimService(r *http.Request, service string) string {
	uri := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service)
	if uri == "" || uri[0] != '/' {
		uri = "/" + uri
	}
	return uri
}
