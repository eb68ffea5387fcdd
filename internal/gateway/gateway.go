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
	// maxHeaderBytes bounds a caller's head before the configuration is known.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout bounds the time that a caller takes for its head
	// before the configuration is known.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout closes a caller's idle connection before the
	// configuration is known. It is above any that the users' configurations
	// hold, so that a caller never finds its connection closed too early.
	defaultIdleTimeout = time.Minute
	// pruneInterval is how often idle connections and forgotten targets are
	// looked through.
	pruneInterval = time.Second
	// callerSilence is how long a caller's connection may be silent: above the two
	// seconds for which callers wait for a stream to go on (users' pages) and the
	// 5.5 s for which the users' days cut links, so that a request held up by a cut
	// still finds its connection.
	callerSilence = 6 * time.Second
	// spareVMs leaves room in a target's connections for VMs that are
	// not known yet.
	spareVMs = 3
)

// Limits are the gateway's settings that may change while it runs.
type Limits struct {
	// Grace is how long after SIGTERM the process may go on.
	Grace time.Duration
	// RetryRatio and RetryBurst bound the sends to further targets, as a share
	// of the requests and at once, for all VMs together.
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the span that both are counted in.
	RetryWindow time.Duration
	// NoDeferral has requests that would be late refused instead of deferred.
	NoDeferral bool
}

// Knowledge says how far the view may be trusted.
type Knowledge interface {
	// Confirmed reports whether the configuration is the newest, but for changes
	// that need not be in force yet. A view that is read after it holds that one.
	Confirmed(ctx context.Context) bool
	// KeysCurrent reports whether the keys of the configuration may be served.
	KeysCurrent() bool
	// Behind reports whether other VMs know a configuration that must be in force
	// and this one does not.
	Behind() bool
}

// Parts is what a gateway is made of and works with.
type Parts struct {
	// Listen is the address for callers.
	Listen string
	// Descriptors is how many the process may open.
	Descriptors int
	Keeper      *fleet.Keeper
	Placer      *place.Placer
	Protocol    Protocol
	Group       Group
	Known       Knowledge
	Quarantine  Quarantine
	Usage       Usage
	Client      *httpsend.Client
	// FirstStart says that the whole group starts for the first time.
	FirstStart bool
	Log        *telemetry.Logger
	Stats      *Stats
}

// Gateway is the callers' HTTP edge.
type Gateway struct {
	listen string
	limits atomic.Pointer[Limits]
	keeper *fleet.Keeper
	placer *place.Placer
	proto  Protocol
	group  Group
	known  Knowledge
	// quarantine knows requests that end targets, and endChecks finds out whether a target
	// that broke off has ended.
	quarantine Quarantine
	usage      Usage
	endChecks  singleflight.Group
	client     *httpsend.Client
	log        *telemetry.Logger
	stats      *Stats

	server *http.Server
	served sync.WaitGroup
	// listening is set while callers are accepted.
	listening atomic.Bool
	conns     *callerConns
	bg        kernel.Background
	drain     drainState
	// ending is done when the drain is over: requests in hand are answered with
	// what is known then.
	ending    context.Context
	endingNow context.CancelFunc
	inFlight  atomic.Int64
	waits     waits
	sizes     fair.Sizes

	budgets *budgets

	mu     sync.Mutex
	random *mathrand.Rand

	// started is the zero of the retry budgets' clock.
	started time.Time
}

// New returns a gateway; it does not listen yet.
func New(p Parts, limits Limits) *Gateway {
	g := &Gateway{
		listen: p.Listen, keeper: p.Keeper, placer: p.Placer, proto: p.Protocol, group: p.Group, known: p.Known, quarantine: p.Quarantine, usage: p.Usage,
		client: p.Client, log: p.Log, stats: p.Stats, random: newRandom(),
		started: clock.Now(), conns: newCallerConns(p.Descriptors, p.Client.Open, p.Log),
	}
	g.limits.Store(&limits)
	g.budgets = newBudgets(&g.limits, p.Group, p.FirstStart, g.sinceStart)
	g.ending, g.endingNow = context.WithCancel(context.Background())
	return g
}

// SetLimits changes the limits of a running gateway.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.budgets.renew()
}

func newRandom() *mathrand.Rand {
	var seed [32]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
}

// Start listens for callers.
func (g *Gateway) Start(ctx context.Context) error {
	l, err := silence.Listen(ctx, g.listen, callerSilence)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	handler := gin.New()
	handler.NoRoute(func(c *gin.Context) { g.serve(c.Writer, c.Request) })
	g.server = &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ConnContext: withCaller, ConnState: noteState, ErrorLog: telemetry.StdLogger(g.log),
	}
	g.listening.Store(true)
	g.served.Go(func() {
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

// callerLimits returns the configuration's limits, or none before it is known.
func (g *Gateway) callerLimits() fleet.Limits {
	if c := g.keeper.View().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// prune closes connections to targets that are not listed any more, and those of
// idle callers where there are too many.
func (g *Gateway) prune() {
	g.conns.room()
	v := g.keeper.View()
	listed := make(map[string]bool)
	for _, ts := range v.Targets {
		for _, t := range ts {
			listed[t.RunID()] = true
		}
	}
	has := func(id string) bool { return listed[id] }
	g.client.Prune(has)
	g.placer.Forget(has)
}

// Stop drains and closes.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Drain(ctx)
	err := g.closeServer(ctx)
	g.served.Wait()
	if bgErr := g.bg.Stop(ctx); err == nil {
		err = bgErr
	}
	return errors.Wrap(err, "close gateway")
}

// closeServer gives answers that have just ended the time to be sent, and closes all
// connections.
func (g *Gateway) closeServer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lastWrites)
	defer cancel()
	if err := g.server.Shutdown(ctx); err == nil {
		return nil
	}
	return g.server.Close()
}

// Ready says why no new callers should come, or "".
func (g *Gateway) Ready() string {
	switch {
	case g.drain.stopping():
		return "stopping"
	case !g.listening.Load():
		return "callers are not listened for"
	case !g.keeper.View().Usable():
		return "configuration or targets not known yet"
	case g.known.Behind():
		return "other VMs know a newer configuration"
	case g.keeper.View().Config.Keyed() && !g.known.KeysCurrent():
		return "not known which keys were removed lately"
	}
	return g.conns.ready()
}

// serve takes one request through its whole path.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: clock.Now(), view: g.keeper.View()}
	err := x.run()
	if err != nil && !x.began {
		x.fail(errkind.From(err))
	}
	x.report(err)
	if x.cut || (err != nil && x.began && x.status == 0) {
		// The answer is cut short; the caller must not take it for complete.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) float() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// sinceStart is the retry budgets' clock.
func (g *Gateway) sinceStart() time.Duration { return clock.Since(g.started) }

// destination bounds a target's connections to this VM's share.
func (g *Gateway) destination(v *fleet.View, t *fleet.Target, fresh bool) httpsend.Destination {
	d := httpsend.Destination{ID: t.RunID(), Address: t.Address, Fresh: fresh}
	if s := v.Config.Services[t.Service]; s != nil && s.MaxConns > 0 {
		d.MaxConns = max(s.MaxConns/(g.group.Size()+spareVMs), 1)
	}
	return d
}

// pathOf returns the path that routes are matched on, as the caller sent it.
func pathOf(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	return uri
}
