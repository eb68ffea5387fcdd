package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readyHeaderTimeout bounds reading the balancer's question.
const readyHeaderTimeout = 5 * time.Second

// ReadyServer tells the balancer whether the VM takes callers.
type ReadyServer struct {
	listen string
	path   string
	ready  func() string
	server *http.Server
	served sync.WaitGroup
}

// NewReadyServer returns a server that answers path at the address listen. It
// is not ready until SetReady has been called, which must be before Start.
func NewReadyServer(listen, path string) *ReadyServer {
	return &ReadyServer{listen: listen, path: path, ready: func() string { return "starting" }}
}

// SetReady sets the function that says why the VM takes no callers, or "".
func (s *ReadyServer) SetReady(ready func() string) { s.ready = ready }

// Start listens.
func (s *ReadyServer) Start(context.Context) error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.path, s.serve)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
	s.served.Go(func() {
		// The only other error is that of a listener closed by Stop.
		_ = s.server.Serve(l)
	})
	return nil
}

func (s *ReadyServer) serve(w http.ResponseWriter, _ *http.Request) {
	if s.ready() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop closes the server.
func (s *ReadyServer) Stop(context.Context) error {
	err := s.server.Close()
	s.served.Wait()
	return errors.Wrap(err, "close readiness")
}
