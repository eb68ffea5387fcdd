package steward

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// feedInterval is the least time between two batches to an entry.
	feedInterval = 100 * time.Millisecond
	// feedKeepAlive is the most time between two batches; an empty one shows
	// that the steward is alive.
	feedKeepAlive = time.Second
)

// server is the steward's gRPC service.
type server struct {
	api.UnimplementedStewardServer

	listen    string
	store     *gossip.Store
	gossip    *member.Gossip
	sync      *tableSync
	tables    *table.Store
	authority *authority
	records   *decisionBook
	burns     *burnBook
	grants    *grantBooks
	dialer    *dialer
	traffic   *traffic
	log       *telemetry.Logger

	grpc   *grpc.Server
	served sync.WaitGroup
	// stopping is closed by Stop. It exists before Start, as readiness is
	// asked for as soon as the admin endpoint is up.
	stopping chan struct{}
	entries  atomic.Int64
}

// Start listens for entries, peers and garnetctl.
func (s *server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.grpc = grpc.NewServer(grpc.StatsHandler(s.traffic))
	api.RegisterStewardServer(s.grpc, s)
	s.served.Go(func() {
		if err := s.grpc.Serve(l); err != nil {
			s.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	})
	return nil
}

// Stop ends the feeds, which sends entries to another steward, and waits for
// the calls in hand.
func (s *server) Stop(context.Context) error {
	close(s.stopping)
	s.grpc.GracefulStop()
	s.served.Wait()
	return nil
}

// ready says why the steward is of no use to entries yet, or "".
func (s *server) ready() string {
	select {
	case <-s.stopping:
		return "stopping"
	default:
	}
	if s.store.TableVersion() == 0 {
		return "no table yet"
	}
	return ""
}

// Exchange implements api.StewardServer.
func (s *server) Exchange(_ context.Context, req *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	return s.gossip.Serve(req), nil
}

// Watch implements api.StewardServer.
func (s *server) Watch(stream api.Steward_WatchServer) error {
	s.entries.Add(1)
	defer s.entries.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var reports sync.WaitGroup
	// The stream's context ends when this method returns, which ends Recv.
	reports.Go(func() {
		defer cancel()
		s.takeReports(stream)
	})
	return s.feed(ctx, stream)
}

func (s *server) takeReports(stream api.Steward_WatchServer) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		s.burns.add(r)
		s.records.add(r.GetDecisions()...)
	}
}

// feed sends the entry what it lacks, at once after a change.
func (s *server) feed(ctx context.Context, stream api.Steward_WatchServer) error {
	index := uint64(0)
	for {
		changed := s.store.Changed()
		items, reached := s.store.Since(index, gossip.Scope{})
		if err := stream.Send(&api.Batch{Items: items}); err != nil {
			return err
		}
		index = reached
		if !s.pause(ctx, feedInterval) {
			return nil
		}
		timer := time.NewTimer(feedKeepAlive)
		select {
		case <-ctx.Done():
		case <-s.stopping:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// pause waits; false means that the feed is to end.
func (s *server) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.stopping:
		return false
	case <-timer.C:
		return true
	}
}

// TableGet implements api.StewardServer.
func (s *server) TableGet(context.Context, *api.TableGetRequest) (*api.TableGetResponse, error) {
	data, err := json.Marshal(s.store.View().Table)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &api.TableGetResponse{TableJson: data}, nil
}

// TableApply implements api.StewardServer.
func (s *server) TableApply(ctx context.Context, req *api.TableApplyRequest) (*api.TableApplyResponse, error) {
	version, err := s.sync.apply(ctx, req)
	if err == nil {
		return &api.TableApplyResponse{Version: version}, nil
	}
	return &api.TableApplyResponse{Kind: string(applyKind(err)), Message: err.Error()}, nil
}

// applyKind sorts the errors of table.Store.Apply.
func applyKind(err error) errkind.Kind {
	var conflict *table.Conflict
	var invalid table.Invalid
	switch {
	case errors.As(err, &conflict):
		return errkind.TableConflict
	case errors.As(err, &invalid):
		return errkind.TableInvalid
	case errors.Is(err, store.ErrUnknown):
		return errkind.OutcomeUnknown
	case errors.Is(err, store.ErrUnavailable):
		return errkind.PlatformDown
	}
	return errkind.BadRequest
}

// TableHistory implements api.StewardServer.
func (s *server) TableHistory(ctx context.Context, req *api.TableHistoryRequest) (*api.TableHistoryResponse, error) {
	accepted, err := s.tables.History(ctx, int(req.GetLimit()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	resp := &api.TableHistoryResponse{}
	for _, a := range accepted {
		changes, err := json.Marshal(a.Changes)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		resp.Entries = append(resp.Entries, &api.HistoryEntry{
			Version: a.Version, Who: a.Who, UnixMs: a.At.UnixMilli(), ChangesJson: changes,
		})
	}
	return resp, nil
}

// Status implements api.StewardServer.
func (s *server) Status(context.Context, *api.StatusRequest) (*api.StatusResponse, error) {
	v := s.store.View()
	self := s.gossip.Self()
	resp := &api.StatusResponse{
		Vm: self.VM, DataCentre: self.DataCentre, TableVersion: v.Table.Version,
		PlatformUp: s.sync.up.Load(), Leases: s.authority.holders(), Entries: uint32(s.entries.Load()),
	}
	for vm, it := range v.Peers {
		p := it.GetPeer()
		resp.Peers = append(resp.Peers, &api.PeerLine{
			Vm: vm, DataCentre: p.GetDataCentre(), State: peerStateName(p.GetState()), Address: p.GetAddress(),
		})
	}
	for name, t := range v.Targets {
		resp.Targets = append(resp.Targets, &api.TargetLine{
			Name: name, Service: t.Service, DataCentre: t.DataCentre, State: StateName(t.Status, t),
			Role: t.Status.GetRole(), Running: t.Status.GetRunning(), Waiting: t.Status.GetWaiting(), Version: t.Status.GetVersion(),
		})
	}
	sort.Slice(resp.Peers, func(i, j int) bool { return resp.Peers[i].GetVm() < resp.Peers[j].GetVm() })
	sort.Slice(resp.Targets, func(i, j int) bool { return resp.Targets[i].GetName() < resp.Targets[j].GetName() })
	return resp, nil
}

func peerStateName(s api.PeerState) string {
	switch s {
	case api.PeerState_PEER_ALIVE:
		return "alive"
	case api.PeerState_PEER_LEAVING:
		return "leaving"
	}
	return "suspect"
}

// Explain implements api.StewardServer.
func (s *server) Explain(_ context.Context, req *api.ExplainRequest) (*api.ExplainResponse, error) {
	if _, ok := s.store.View().Table.Row(req.GetService()); !ok {
		return nil, status.Errorf(codes.NotFound, "there is no service called %q", req.GetService())
	}
	return &api.ExplainResponse{Decisions: s.records.latest(req.GetService(), int(req.GetLimit()))}, nil
}

// Burn implements api.StewardServer.
func (s *server) Burn(context.Context, *api.BurnRequest) (*api.BurnResponse, error) {
	return &api.BurnResponse{Lines: s.burns.lines(s.store.View().Table)}, nil
}
