package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/connlimit"
)

const (
	// readyHeaderTimeout limits reading the header of a readiness check.
	readyHeaderTimeout = 5 * time.Second
	// maxReadyConns limits the connections for readiness checks.
	maxReadyConns = 16
)

// ReadyServer answers the load balancer's readiness checks.
type ReadyServer struct {
	listen string
	path   string
	ready  func() string
	server *http.Server
	wg     sync.WaitGroup
}

// NewReadyServer returns a server that answers readiness checks of path at the TCP address listen.
// It reports not ready until SetReady has been called, which must happen before Start.
func NewReadyServer(listen, path string) *ReadyServer {
	return &ReadyServer{listen: listen, path: path, ready: func() string { return "starting" }}
}

// SetReady sets the function that returns why the VM should get no new callers, or "" if it is
// ready. It must be called before Start.
func (s *ReadyServer) SetReady(ready func() string) { s.ready = ready }

// Start listens and serves in the background.
func (s *ReadyServer) Start(context.Context) error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.path, s.serve)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
	s.wg.Go(func() {
		// Serve returns an error only because Stop closes the listener.
		_ = s.server.Serve(connlimit.New(l, maxReadyConns))
	})
	return nil
}

// serve responds 200 if the VM is ready, else 503.
func (s *ReadyServer) serve(w http.ResponseWriter, _ *http.Request) {
	if s.ready() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop closes the server and waits until it has ended.
func (s *ReadyServer) Stop(context.Context) error {
	err := s.server.Close()
	s.wg.Wait()
	return errors.Wrap(err, "close the readiness server")
}
