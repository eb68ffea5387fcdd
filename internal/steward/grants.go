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
	// grantTTL is how long a grant is in force.
	grantTTL = 3 * time.Second
	// grantMargin allows for clocks that run at different rates, as a
	// predecessor's grants must have expired before the first new one.
	grantMargin = grantTTL / 10
)

// grantBooks keeps a book for each service whose lease is held here. It is
// safe for concurrent use.
type grantBooks struct {
	clock lease.Clock

	mu    sync.Mutex
	books map[string]*tenureBook
}

// tenureBook is the book of one tenure.
type tenureBook struct {
	fence uint64
	book  *limit.Book
}

func newGrantBooks(clock lease.Clock) *grantBooks {
	return &grantBooks{clock: clock, books: map[string]*tenureBook{}}
}

// grant deals out a share under the tenure t.
func (g *grantBooks) grant(row table.Row, t lease.Tenure, req *api.GrantRequest) limit.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.books[row.Service]
	if !ok || b.fence != t.Fence {
		b = &tenureBook{fence: t.Fence, book: limit.NewBook(t.Since + grantTTL + grantMargin)}
		g.books[row.Service] = b
	}
	pool := limit.Pool(limit.Limits{RatePerS: row.RatePerS, InFlight: row.InFlight}, len(row.Engines))
	return b.book.Grant(pool, limit.Ask{
		VM:   req.GetVm(),
		Want: limit.Limits{RatePerS: req.GetWantPerS(), InFlight: int(req.GetWantInFlight())},
		// The holder counts a grant for longer than the entry may use it.
		TTL: grantTTL + grantMargin, Linger: row.Deadline,
	}, g.clock())
}

// Grant implements api.StewardServer. A steward that does not hold the lease
// asks the holder, once.
func (s *server) Grant(ctx context.Context, req *api.GrantRequest) (*api.GrantResponse, error) {
	row, ok := s.store.RecentView(viewAge).Table.Row(req.GetService())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "there is no service called %q", req.GetService())
	}
	l := s.authority.leaseOf(req.GetService())
	if l == nil {
		return &api.GrantResponse{}, nil
	}
	if t, held := l.Held(); held {
		given := s.grants.grant(row, t, req)
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
