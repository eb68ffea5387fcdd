package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/silence"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// maxHeaderBytes limits the size of a request header before the configuration is known.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout limits the time to read a request header before the configuration is
	// known.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is how long an idle caller connection is kept before the configuration is
	// known. It is longer than any idle timeout in the configurations in use, so that no caller has
	// its connection closed earlier than configured.
	defaultIdleTimeout = time.Minute
	// pruneInterval is how often connections to removed targets, and idle connections in excess,
	// are closed.
	pruneInterval = time.Second
	// callerSilenceTimeout is how long a caller's connection may stay silent, acknowledging neither
	// data nor keepalive probes. It is above the 2 s that callers wait for a stream to continue
	// (documented for users) and above the 5.5 s link outages in the users' load profiles, so that
	// a request delayed by an outage still finds its connection open.
	callerSilenceTimeout = 6 * time.Second
	// spareVMs is added to the number of known VMs when a limit is divided among the VMs, to allow
	// for VMs that are not yet known.
	spareVMs = place.SpareVMs
	// The memory for large parts of responses is that of the process divided by bodiesDivisor, but at least
	// minBodies bytes. A buffer that grows takes up to three times its size until the next collection.
	bodiesDivisor = 16
	minBodies     = 4 * maxEvent
)

// Limits are the gateway's settings that can change while it runs.
type Limits struct {
	// Grace is how long the process may run after SIGTERM.
	Grace time.Duration
	// RetryRatio and RetryBurst limit the retries at further targets of all VMs together: to the
	// fraction RetryRatio of the requests, plus RetryBurst.
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the sliding window to which RetryRatio and RetryBurst apply.
	RetryWindow time.Duration
	// NoDeferral makes the gateway refuse requests that would be late instead of deferring them.
	NoDeferral bool
}

// ConfigFreshness reports how current this VM's copy of the configuration is. Its methods are safe
// for concurrent use.
type ConfigFreshness interface {
	// Confirmed reports whether this VM has every change of the configuration that must be in
	// effect by now. A change must be in effect once settings.Node.ConfigBound has passed since it
	// was written; newer changes may be missing. A view that is read after a call that returned
	// true contains the changes that must be in effect.
	Confirmed(ctx context.Context) bool
	// KeysCurrent reports whether this VM knows of all API keys that had to be revoked by now, so
	// that the configured keys may be accepted.
	KeysCurrent() bool
	// Behind reports whether this VM lacks a newer configuration that other VMs know and that must
	// be in effect by now.
	Behind() bool
}

// Options holds the settings and the components that a Gateway uses.
type Options struct {
	// Listen is the TCP address that callers connect to.
	Listen string
	// Descriptors is how many file descriptors the process may open.
	Descriptors int
	// Memory is the memory in bytes that the process may use, and CallerMemory the part of it that callers
	// may take with their connections and requests.
	Memory       int64
	CallerMemory int64
	// Keeper supplies the configuration and the targets.
	Keeper *fleet.Keeper
	// Placer chooses the target of each attempt.
	Placer     *place.Placer
	Protocol   Protocol
	Group      Group
	Freshness  ConfigFreshness
	Quarantine Quarantine
	Usage      Usage
	Allowances Allowances
	Origins    Origins
	// Client sends the requests to targets.
	Client *httpsend.Client
	// Checker asks targets whether they are running.
	Checker TargetChecker
	// FirstStart says that the whole group of VMs starts for the first time, so that no earlier
	// process has used up retries.
	FirstStart bool
	Log        *telemetry.Logger
	Stats      *Stats
}

// Gateway is the HTTP server for callers. It is safe for concurrent use.
type Gateway struct {
	listen    string
	limits    atomic.Pointer[Limits]
	keeper    *fleet.Keeper
	placer    *place.Placer
	proto     Protocol
	group     Group
	freshness ConfigFreshness
	// quarantine records the requests that may crash targets.
	quarantine Quarantine
	// usableSince is when the view was first seen to be usable before the quarantines were known.
	usableSince atomic.Pointer[time.Time]
	usage       Usage
	allowances  Allowances
	origins     Origins
	// exitChecks merges concurrent checks of whether the process of a target has exited.
	exitChecks singleflight.Group
	client     *httpsend.Client
	checker    TargetChecker
	log        *telemetry.Logger
	stats      *Stats

	server *http.Server
	// wg counts the goroutines of the server and of calls that no request waits for.
	wg sync.WaitGroup
	// listening is true while the server accepts callers.
	listening atomic.Bool
	conns     *callerConns
	bg        kernel.Background
	drain     drainState
	// abortCtx is canceled by abort at the end of the drain. Each request that is still in flight
	// at that time stops waiting for its target, and its caller gets an error that says whether the
	// request may have run.
	abortCtx context.Context
	abort    context.CancelFunc
	// inFlight counts the requests of callers that are being served.
	inFlight atomic.Int64
	// callerWaits estimates how long ago callers first sent a request.
	callerWaits waitEstimator
	// sizes classifies requests by their size, relative to the latest requests of their route.
	sizes fair.Sizes
	// bodies is the memory for large parts of responses.
	bodies *body.Memory

	retryBudgets *retryBudgets

	// listed holds the run ids of all targets of listedView. Only prune uses them.
	listedView *fleet.View
	listed     map[string]bool

	// mu guards rng.
	mu  sync.Mutex
	rng *mathrand.Rand

	// started is the origin of the retry budgets' clock.
	started time.Time
}

// New returns a gateway that does not listen yet.
func New(p Options, limits Limits) *Gateway {
	g := &Gateway{
		listen: p.Listen, keeper: p.Keeper, placer: p.Placer, proto: p.Protocol, group: p.Group, freshness: p.Freshness, quarantine: p.Quarantine, usage: p.Usage, allowances: p.Allowances, origins: p.Origins,
		client: p.Client, checker: p.Checker, log: p.Log, stats: p.Stats, rng: newRNG(),
		started: clock.Now(), conns: newCallerConns(p.Descriptors, p.CallerMemory, p.Client.OpenConns, p.Log),
	}
	if p.Stats != nil {
		g.conns.onEnd = p.Stats.CallerEnded
		p.Stats.watchCallers(g.conns.usedBytes)
	}
	g.limits.Store(&limits)
	g.bodies = body.NewMemory(max(p.Memory/bodiesDivisor, minBodies))
	g.bodies.SetOnShort(g.conns.endWriter)
	g.sizes.SetGroupSize(func() int { return g.group.Size() })
	g.retryBudgets = newRetryBudgets(&g.limits, p.Group, p.FirstStart, g.sinceStart)
	g.abortCtx, g.abort = context.WithCancel(context.Background())
	return g
}

// Sizes returns what counts the admissions of this VM by size, to be shared with the other VMs.
func (g *Gateway) Sizes() *fair.Sizes { return &g.sizes }

// SetLimits replaces the limits of a running gateway and empties its retry budgets.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.retryBudgets.reset()
}

// newRNG returns a random number generator with a random seed.
func newRNG() *mathrand.Rand {
	var seed [32]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
}

// Start listens for callers and serves them in the background.
func (g *Gateway) Start(ctx context.Context) error {
	l, err := silence.ListenBuffered(ctx, g.listen, callerSilenceTimeout, receiveWindow, sendWindow)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	handler := gin.New()
	handler.NoRoute(func(c *gin.Context) { g.serve(c.Writer, c.Request) })
	g.server = &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ConnContext: withCallerConn, ConnState: onConnState, ErrorLog: telemetry.StdLogger(g.log),
	}
	g.listening.Store(true)
	g.wg.Go(func() {
		defer g.listening.Store(false)
		if err := g.server.Serve(newCallerListener(l, g.callerLimits, g.conns)); !errors.Is(err, http.ErrServerClosed) {
			g.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	})
	g.bg.Run(clock.Watch, func(ctx context.Context) {
		kernel.Every(ctx, pruneInterval, func(context.Context) { g.prune() })
	})
	return nil
}

// callerLimits returns the configured limits, or zero limits while the configuration is unknown.
func (g *Gateway) callerLimits() fleet.Limits {
	if c := g.keeper.View().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// prune closes connections to targets that are no longer listed and drops the placer's data about
// them. If there are too many connections, prune also closes idle connections of callers.
func (g *Gateway) prune() {
	g.conns.makeRoom()
	if v := g.keeper.View(); v != g.listedView {
		g.listedView, g.listed = v, make(map[string]bool)
		for _, ts := range v.Targets {
			for _, t := range ts {
				g.listed[t.RunID()] = true
			}
		}
	}
	isListed := func(id string) bool { return g.listed[id] }
	g.client.Prune(isListed)
	g.placer.Forget(isListed)
}

// Stop drains the gateway and closes all connections.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Drain(ctx)
	err := g.closeServer(ctx)
	g.wg.Wait()
	if bgErr := g.bg.Stop(ctx); err == nil {
		err = bgErr
	}
	return errors.Wrap(err, "close gateway")
}

// closeServer waits up to flushTimeout for finished responses to be sent, then closes all
// connections.
func (g *Gateway) closeServer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := g.server.Shutdown(ctx); err == nil {
		return nil
	}
	return g.server.Close()
}

// Ready returns why the VM should get no new callers, or "" if it is ready.
func (g *Gateway) Ready() string {
	switch {
	case g.drain.stopping():
		return "stopping"
	case !g.listening.Load():
		return "not listening for callers"
	case !g.keeper.View().Usable():
		return "configuration or targets not known yet"
	case g.freshness.Behind():
		return "other VMs know a newer configuration"
	case g.awaitsQuarantines():
		return "requests that crash targets are not known yet"
	case g.keeper.View().Config.RequiresKeys() && !g.freshness.KeysCurrent():
		return "recently revoked keys are not known"
	}
	return g.conns.notReadyReason()
}

// serve handles one request from arrival to log line.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, conn: connOf(r.Context()), arrived: clock.Now(), view: g.keeper.View()}
	defer x.conn.endRequest()
	defer x.releaseBody()
	err := x.run()
	if err != nil && !x.responseStarted {
		if !x.received && r.ContentLength != 0 {
			x.conn.limitDiscard()
		}
		x.writeError(errkind.From(err))
	}
	x.report(err)
	if x.abortConn || (err != nil && x.responseStarted && x.status == 0) {
		// The response is incomplete: abort the connection, so that the caller does not take it for
		// a whole one.
		panic(http.ErrAbortHandler)
	}
}

// randomFloat returns a random number in [0, 1).
func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// sinceStart is the clock of the retry budgets: the time since the gateway was created.
func (g *Gateway) sinceStart() time.Duration { return clock.Since(g.started) }

// destination returns the connection settings for t. MaxConns is this VM's share of the connections
// that the service allows per target. fresh asks for a new connection.
func (g *Gateway) destination(v *fleet.View, t *fleet.Target, fresh bool) httpsend.Destination {
	d := httpsend.Destination{ID: t.RunID(), Address: t.Address, NewConn: fresh,
		OnConnect: func(took time.Duration) { g.placer.ObserveRoundTrip(t.DataCentre, took) }}
	if s := v.Config.Services[t.Service]; s != nil && s.MaxConns > 0 {
		d.MaxConns, d.MaxKept = g.placer.ConnLimit(t.RunID(), s.MaxConns, g.group.Size(), clock.Now())
	}
	return d
}

// requestPath returns the path of a request URI, without the query and not unescaped, for route
// matching.
func requestPath(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	return uri
}
