package telemetry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
)

// adminHeaderTimeout bounds reading a request's header.
const adminHeaderTimeout = 5 * time.Second

// Admin serves /healthz, /readyz and /metrics.
type Admin struct {
	listen  string
	metrics *Metrics
	// ready says why the program is not ready, or "".
	ready  func() string
	server *http.Server
	served sync.WaitGroup
}

// NewAdmin returns the admin endpoint at the address listen. It is not ready
// until SetReady has been called.
func NewAdmin(listen string, m *Metrics) *Admin {
	return &Admin{listen: listen, metrics: m, ready: func() string { return "starting" }}
}

// SetReady sets the function that says why the program is not ready, or "".
// It must be called before Start. The module that decides readiness depends on
// the endpoint, not the other way round, so that the endpoint stops last and
// shows a program that drains as not ready.
func (a *Admin) SetReady(ready func() string) { a.ready = ready }

// Start listens.
func (a *Admin) Start(context.Context) error {
	l, err := net.Listen("tcp", a.listen)
	if err != nil {
		return errors.Wrap(err, "listen for admin")
	}
	g := gin.New()
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", a.serveReady)
	g.GET("/metrics", gin.WrapH(a.metrics.Handler()))
	a.server = &http.Server{Handler: g, ReadHeaderTimeout: adminHeaderTimeout}
	a.served.Go(func() {
		// The only other error is that of a listener closed by Stop.
		_ = a.server.Serve(l)
	})
	return nil
}

func (a *Admin) serveReady(c *gin.Context) {
	if why := a.ready(); why != "" {
		c.String(http.StatusServiceUnavailable, why+"\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// Stop closes the endpoint.
func (a *Admin) Stop(ctx context.Context) error {
	err := a.server.Shutdown(ctx)
	a.served.Wait()
	return errors.Wrap(err, "close admin")
}
