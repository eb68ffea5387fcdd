package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/store"
)

// Server serves one stand-in. It is a module of package kernel, which starts and stops it.
type Server struct {
	cfg    *settings.Standin
	http   *http.Server
	served sync.WaitGroup
}

// NewServer returns a server for the stand-in that cfg describes.
func NewServer(cfg *settings.Standin) *Server {
	s := &Server{cfg: cfg}
	switch cfg.Kind {
	case "platform":
		m := store.NewMemory()
		for _, vm := range cfg.VMs {
			m.SetVM(store.VM{
				Name: vm.Name, DataCentre: vm.DataCentre, Address: string(vm.Address),
				Kind: store.VMKind(vm.Kind), State: store.VMLive,
			})
		}
		s.http = &http.Server{Handler: (&Platform{Memory: m}).Handler()}
	case "plain":
		s.http = &http.Server{Handler: NewPlain().Handler()}
	default:
		s.http = NewEngine(EngineConfig{
			Name: cfg.Name, TokenInterval: cfg.TokenInterval.D(),
			PrefillPerToken: cfg.PrefillPerToken.D(),
			RoleChange:      cfg.RoleChange.D(), IgnoreFencing: cfg.IgnoreFencing,
			ReadTimeout: cfg.ReadTimeout.D(),
		}).Server()
	}
	return s
}

// Start listens and serves in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", string(s.cfg.Listen))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.served.Go(func() {
		// Serve always returns an error: the expected one is that Stop closed the listener.
		_ = s.http.Serve(l)
	})
	return nil
}

// Stop closes the server at once, with all open connections.
func (s *Server) Stop(context.Context) error {
	err := s.http.Close()
	s.served.Wait()
	return errors.Wrap(err, "close")
}
