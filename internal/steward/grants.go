package steward

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/table"
)

const (
	// grantTTL is how long an entry may use a grant.
	grantTTL = 3 * time.Second
	// grantMargin allows for clocks that run at different rates: the grants of the
	// previous holder must have expired before the first new one.
	grantMargin = grantTTL / 10
)

// grantAllocators allocates the limits of the services whose leases this steward
// holds. It is safe for concurrent use.
type grantAllocators struct {
	clock lease.Clock

	mu        sync.Mutex
	byService map[string]*tenureAllocator
}

// tenureAllocator allocates a service's limits during the tenure with the fencing token
// fence.
type tenureAllocator struct {
	fence     uint64
	allocator *limit.Allocator
}

// newGrantAllocators returns allocators without grants.
func newGrantAllocators(clock lease.Clock) *grantAllocators {
	return &grantAllocators{clock: clock, byService: map[string]*tenureAllocator{}}
}

// grant allocates a share of the row's limits to the requesting entry, in the tenure t.
// A new tenure starts from an empty allocator, which grants nothing until the previous
// holder's grants have expired.
func (g *grantAllocators) grant(row table.Row, t lease.Tenure, req *api.GrantRequest) limit.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	alloc, ok := g.byService[row.Service]
	if !ok || alloc.fence != t.Fence {
		alloc = &tenureAllocator{fence: t.Fence, allocator: limit.NewAllocator(t.Since + grantTTL + grantMargin)}
		g.byService[row.Service] = alloc
	}
	pool := limit.Pool(limit.Limits{RatePerS: row.RatePerS, InFlight: row.InFlight}, len(row.Engines))
	return alloc.allocator.Grant(pool, limit.Demand{
		VM:   req.GetVm(),
		Want: limit.Limits{RatePerS: req.GetWantPerS(), InFlight: int(req.GetWantInFlight())},
		// The holder counts a grant for longer than the entry may use it, so that no
		// two entries use the same share at once.
		TTL: grantTTL + grantMargin, Linger: row.Deadline,
	}, g.clock())
}

// Grant implements api.StewardServer. A steward that does not hold the lease forwards
// the request to the holder. A forwarded request is not forwarded again.
func (s *server) Grant(ctx context.Context, req *api.GrantRequest) (*api.GrantResponse, error) {
	row, ok := s.store.RecentView(maxViewAge).Table.Row(req.GetService())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "there is no service called %q", req.GetService())
	}
	l := s.leases.leaseOf(req.GetService())
	if l == nil {
		return &api.GrantResponse{}, nil
	}
	if t, held := l.Held(); held {
		given := s.grantAllocators.grant(row, t, req)
		return &api.GrantResponse{
			RatePerS: given.RatePerS, InFlight: uint32(given.InFlight),
			TtlMs: uint32(grantTTL / time.Millisecond), Holder: true,
		}, nil
	}
	holder := s.store.Get(gossip.LeaseKey(s.gossip.Self().DataCentre, req.GetService())).GetLease().GetVm()
	if req.GetForwarded() || holder == "" || holder == s.gossip.Self().VM {
		return &api.GrantResponse{}, nil
	}
	return s.forwardGrant(ctx, holder, req)
}

// forwardGrant forwards a request for a grant to the steward on the VM holder. If the
// VM's address is not known, the response has no grant.
func (s *server) forwardGrant(ctx context.Context, holder string, req *api.GrantRequest) (*api.GrantResponse, error) {
	it := s.store.Get(gossip.PeerKey(holder))
	if it == nil {
		return &api.GrantResponse{}, nil
	}
	c, err := s.dialer.client(it.GetPeer().GetAddress())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return c.Grant(ctx, &api.GrantRequest{
		Service: req.GetService(), Vm: req.GetVm(), WantPerS: req.GetWantPerS(),
		WantInFlight: req.GetWantInFlight(), Forwarded: true,
	})
}
