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
	// minBatchInterval is the least time between two batches sent to an entry.
	minBatchInterval = 100 * time.Millisecond
	// maxBatchInterval is the most time between two batches sent to an entry. An
	// empty batch serves as a keep-alive.
	maxBatchInterval = time.Second
)

// server is the steward's gRPC server for entries, other stewards and garnetctl.
type server struct {
	api.UnimplementedStewardServer

	listen          string
	store           *gossip.Store
	gossip          *member.Gossip
	tableSync       *tableSync
	tables          *table.Store
	leases          *leaseManager
	decisions       *decisionHistory
	burn            *burnTracker
	grantAllocators *grantAllocators
	dialer          *dialer
	traffic         *traffic
	log             *telemetry.Logger

	grpc *grpc.Server
	// serving is done when the gRPC server has stopped.
	serving sync.WaitGroup
	// stopping is closed by Stop. It is made before Start, because readiness is
	// checked as soon as the admin endpoint is up.
	stopping chan struct{}
	// connectedEntries is the number of entries with an open Watch stream.
	connectedEntries atomic.Int64
}

// Start starts listening for entries, other stewards and garnetctl.
func (s *server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.grpc = grpc.NewServer(grpc.StatsHandler(s.traffic))
	api.RegisterStewardServer(s.grpc, s)
	s.serving.Go(func() {
		if err := s.grpc.Serve(l); err != nil {
			s.log.Warn(telemetry.EventStopped, telemetry.F("cause", err))
		}
	})
	return nil
}

// Stop ends the streams to entries, which then connect to another steward, and waits
// for the calls in progress.
func (s *server) Stop(context.Context) error {
	close(s.stopping)
	s.grpc.GracefulStop()
	s.serving.Wait()
	return nil
}

// notReadyReason returns why the steward cannot serve entries, or "" if it can.
func (s *server) notReadyReason() string {
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

// Watch implements api.StewardServer. It sends an entry the store's changes, and
// receives the entry's reports, until either side ends the stream.
func (s *server) Watch(stream api.Steward_WatchServer) error {
	s.connectedEntries.Add(1)
	defer s.connectedEntries.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var reports sync.WaitGroup
	// The stream's context ends when Watch returns, which makes Recv return.
	reports.Go(func() {
		defer cancel()
		s.receiveReports(stream)
	})
	return s.sendBatches(ctx, stream)
}

// receiveReports stores an entry's usage and decision records until the stream ends.
func (s *server) receiveReports(stream api.Steward_WatchServer) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		s.burn.add(r)
		s.decisions.add(r.GetDecisions()...)
	}
}

// sendBatches sends an entry the items that changed since the last batch, as soon as
// minBatchInterval allows, and an empty batch after maxBatchInterval without changes.
// It returns nil when ctx ends or the server stops.
func (s *server) sendBatches(ctx context.Context, stream api.Steward_WatchServer) error {
	index := uint64(0)
	for {
		changed := s.store.Changed()
		items, next := s.store.Since(index, gossip.Scope{})
		if err := stream.Send(&api.Batch{Items: items}); err != nil {
			return err
		}
		index = next
		if !s.wait(ctx, minBatchInterval) {
			return nil
		}
		timer := time.NewTimer(maxBatchInterval)
		select {
		case <-ctx.Done():
		case <-s.stopping:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// wait waits for d and returns true. It returns false at once if ctx ends or the
// server stops.
func (s *server) wait(ctx context.Context, d time.Duration) bool {
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

// TableGet implements api.StewardServer. It returns the table in force as JSON.
func (s *server) TableGet(context.Context, *api.TableGetRequest) (*api.TableGetResponse, error) {
	data, err := json.Marshal(s.store.View().Table)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &api.TableGetResponse{TableJson: data}, nil
}

// TableApply implements api.StewardServer. A refused edit is reported in the response's
// Kind and Message.
func (s *server) TableApply(ctx context.Context, req *api.TableApplyRequest) (*api.TableApplyResponse, error) {
	version, err := s.tableSync.applyEdit(ctx, req)
	if err == nil {
		return &api.TableApplyResponse{Version: version}, nil
	}
	return &api.TableApplyResponse{Kind: string(applyErrorKind(err)), Message: err.Error()}, nil
}

// applyErrorKind returns the error kind for an error of tableSync.applyEdit.
func applyErrorKind(err error) errkind.Kind {
	var conflict *table.ConflictError
	var invalid table.InvalidError
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
		PlatformUp: s.tableSync.platformUp.Load(), Leases: s.leases.holders(), Entries: uint32(s.connectedEntries.Load()),
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

// peerStateName returns the name of a peer's state in the status response.
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
	return &api.ExplainResponse{Decisions: s.decisions.latest(req.GetService(), int(req.GetLimit()))}, nil
}

// Burn implements api.StewardServer.
func (s *server) Burn(context.Context, *api.BurnRequest) (*api.BurnResponse, error) {
	return &api.BurnResponse{Lines: s.burn.lines(s.store.View().Table)}, nil
}
