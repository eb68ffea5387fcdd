package telemetry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/connlimit"
)

const (
	// adminHeaderTimeout limits the time to read the header of a request.
	adminHeaderTimeout = 5 * time.Second
	// maxAdminConns limits the connections.
	maxAdminConns = 16
)

// Admin is the HTTP server for /healthz, /readyz and /metrics.
type Admin struct {
	listen  string
	metrics *Metrics
	// ready returns why the program is not ready, or "" if it is.
	ready  func() string
	server *http.Server
	wg     sync.WaitGroup
}

// NewAdmin returns the admin server for the address listen. /readyz fails until SetReady has
// been called.
func NewAdmin(listen string, m *Metrics) *Admin {
	return &Admin{listen: listen, metrics: m, ready: func() string { return "starting" }}
}

// SetReady sets the function that returns why the program is not ready, or "" if it is. It must be
// called before Start. The module that decides readiness depends on the admin server, and not the
// other way round. The server therefore stops after that module and can report a draining program
// as not ready.
func (a *Admin) SetReady(ready func() string) { a.ready = ready }

// Start begins to listen and serve.
func (a *Admin) Start(context.Context) error {
	l, err := net.Listen("tcp", a.listen)
	if err != nil {
		return errors.Wrap(err, "listen on admin address")
	}
	g := gin.New()
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", a.serveReady)
	g.GET("/metrics", gin.WrapH(a.metrics.Handler()))
	a.server = &http.Server{Handler: g, ReadHeaderTimeout: adminHeaderTimeout}
	a.wg.Go(func() {
		// Serve returns an error only because Stop closes the listener.
		_ = a.server.Serve(connlimit.New(l, maxAdminConns))
	})
	return nil
}

// serveReady answers /readyz: 200, or 503 with the reason why the program is not ready.
func (a *Admin) serveReady(c *gin.Context) {
	if why := a.ready(); why != "" {
		c.String(http.StatusServiceUnavailable, why+"\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// Stop shuts the server down and waits for requests in flight until ctx ends.
func (a *Admin) Stop(ctx context.Context) error {
	err := a.server.Shutdown(ctx)
	a.wg.Wait()
	return errors.Wrap(err, "shut down admin server")
}
