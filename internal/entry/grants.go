package entry

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/table"
)

// grantInterval is the time between two requests for grants, and the time limit of
// each request.
const grantInterval = time.Second

// renewGrants asks the steward for grants of the services' limits every
// grantInterval until ctx ends. Without an answer the entry falls back to its base
// part when the grant expires.
func (f *feed) renewGrants(ctx context.Context, c api.StewardClient) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, grantInterval)
		for _, row := range f.fleet.rows() {
			perS, inFlight := f.usage.demand(row.Service)
			want := extraDemand(row, f.shares.maxEntries, perS, inFlight)
			// Most services stay within their base part and need no grant.
			if want != (limit.Limits{}) {
				f.renewGrant(ctx, c, row.Service, want)
			}
		}
	}
}

// extraDemand returns how much of the row's limits the entry needs beyond its base
// part for a demand of perS requests a second and inFlight requests in flight. A
// limit that the row doesn't set is zero in the result.
func extraDemand(row table.Row, maxEntries int, perS float64, inFlight int) limit.Limits {
	total := limit.Limits{RatePerS: row.RatePerS, InFlight: row.InFlight}
	base := limit.BasePart(total, len(row.Engines), maxEntries)
	var want limit.Limits
	if total.RatePerS > 0 {
		want.RatePerS = max(perS*demandHeadroom-base.RatePerS, 0)
	}
	if total.InFlight > 0 {
		want.InFlight = max(int(float64(inFlight)*demandHeadroom)-base.InFlight, 0)
	}
	return want
}

// demandHeadroom is the factor by which an entry asks for more than its recent
// demand, so that rising demand does not reach the limit before the next renewal.
const demandHeadroom = 1.3

// renewGrant asks for one service's grant and puts it in force if the answer comes
// from the lease's holder.
func (f *feed) renewGrant(ctx context.Context, c api.StewardClient, service string, want limit.Limits) {
	ctx, cancel := context.WithTimeout(ctx, grantInterval)
	defer cancel()
	asked := time.Now()
	resp, err := c.Grant(ctx, &api.GrantRequest{
		Service: service, Vm: f.vm, WantPerS: want.RatePerS, WantInFlight: uint32(want.InFlight),
	})
	if err != nil || !resp.GetHolder() {
		return
	}
	// The grant's time runs from before the request, so that it expires here
	// before it expires at the holder.
	f.shares.setGrant(service, grant{
		rate: resp.GetRatePerS(), inFlight: int(resp.GetInFlight()),
		expires: asked.Add(time.Duration(resp.GetTtlMs()) * time.Millisecond),
	})
}
