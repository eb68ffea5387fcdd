package snapshot

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/connlimit"
	"garnethoist.org/garnethoist/internal/silence"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// pathPrefix followed by the name of a table is the path of its copy.
	pathPrefix = "/snapshot/"
	// paramRevision is the query parameter with the lowest Revision that the copy must have.
	paramRevision = "newest"
	// headerFrom names the address of the VM that asks, and headerRevision and headerNewest the
	// fields of the copy.
	headerFrom     = "Snapshot-From"
	headerRevision = "Snapshot-Revision"
	headerNewest   = "Snapshot-Newest"
)

const (
	// maxTransfers is the number of copies that a VM sends at once.
	maxTransfers = 4
	// maxNamed is the number of VMs that a busy VM names.
	maxNamed = 8
	// transferTimeout limits the time of one transfer. A copy of ten thousand targets takes 0.3 s on
	// the slowest links, of 10 Mbit/s.
	transferTimeout = 8 * time.Second
	// maxConns limits the connections that are not tunnels. Hundreds of VMs may ask at once for copies, or for
	// tunnels, which have a limit of their own.
	maxConns = 512
	// silenceTimeout is how long a connection between VMs may stay silent.
	silenceTimeout = 700 * time.Millisecond
)

// Server sends this VM's copies to other VMs. It is safe for concurrent use.
type Server struct {
	address   string
	log       *telemetry.Logger
	http      *http.Server
	done      chan struct{}
	transfers chan struct{}

	// mu guards the fields below.
	mu        sync.Mutex
	providers map[string]Provider
	// connect handles CONNECT requests. It is nil if this VM handles none.
	connect http.Handler
	// received holds, by table, the addresses of the last VMs that have received a copy.
	received map[string][]string
}

// NewServer returns a server that listens on a TCP address once it is started.
func NewServer(address string, log *telemetry.Logger) *Server {
	return &Server{address: address, log: log, done: make(chan struct{}), transfers: make(chan struct{}, maxTransfers),
		providers: make(map[string]Provider), received: make(map[string][]string)}
}

// Provide sets the provider of a table.
func (s *Server) Provide(table string, p Provider) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.providers[table] = p
}

// HandleConnect sets the handler of the CONNECT requests of other VMs. It must be called before Start.
func (s *Server) HandleConnect(h http.Handler) { s.connect = h }

// Start listens and serves in the background.
func (s *Server) Start(ctx context.Context) error {
	l, err := silence.Listen(ctx, s.address, transferTimeout)
	if err != nil {
		return errors.Wrap(err, "listen for snapshots")
	}
	tables := gin.New()
	tables.GET(pathPrefix+":table", s.serve)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect && s.connect != nil {
			s.connect.ServeHTTP(w, r)
			return
		}
		tables.ServeHTTP(w, r)
	})
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: silenceTimeout, WriteTimeout: transferTimeout, ConnState: connlimit.Hijacked, ErrorLog: telemetry.StdLogger(s.log)}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(connlimit.New(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	}()
	return nil
}

// Stop ends all transfers.
func (s *Server) Stop(context.Context) error {
	err := s.http.Close()
	<-s.done
	return errors.Wrap(err, "stop the server of snapshots")
}

// serve sends a copy. It responds with 404 if this VM has none that is new enough, and with 503 and
// the addresses of other VMs if it is busy.
func (s *Server) serve(c *gin.Context) {
	table := c.Param("table")
	revision, err := strconv.ParseUint(c.Query(paramRevision), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.providers[table]
	named := slices.Clone(s.received[table])
	s.mu.Unlock()
	if p == nil {
		c.Status(http.StatusNotFound)
		return
	}
	select {
	case s.transfers <- struct{}{}:
		defer func() { <-s.transfers }()
	default:
		c.JSON(http.StatusServiceUnavailable, named)
		return
	}
	copied, ok := p.Snapshot()
	if !ok || copied.Revision < revision {
		c.Status(http.StatusNotFound)
		return
	}
	c.Header(headerRevision, strconv.FormatUint(copied.Revision, 10))
	c.Header(headerNewest, strconv.FormatUint(copied.Newest, 10))
	c.Data(http.StatusOK, "application/octet-stream", copied.Data)
	s.noteReceived(table, c.GetHeader(headerFrom))
}

// noteReceived records that the VM at an address has a copy of a table.
func (s *Server) noteReceived(table, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(s.received[table], address)
	s.received[table] = list[max(len(list)-maxNamed, 0):]
}
