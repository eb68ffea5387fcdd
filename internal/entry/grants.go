package entry

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/table"
)

// grantInterval is the time between requests for a share of limits.
const grantInterval = time.Second

// renewGrants asks for shares of the services' limits until ctx ends. Without
// an answer the entry falls back to its base part when its grant expires.
func (f *feed) renewGrants(ctx context.Context, c api.StewardClient) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, grantInterval)
		for _, row := range f.fleet.rows() {
			perS, inFlight := f.usage.demand(row.Service)
			want := wantOf(row, f.shares.maxEntries, perS, inFlight)
			// Most services stay within their base part and ask nobody.
			if want != (limit.Limits{}) {
				f.renewGrant(ctx, c, row.Service, want)
			}
		}
	}
}

// wantOf is how much of the row's limits the demand needs beyond the entry's
// base part.
func wantOf(row table.Row, maxEntries int, perS float64, inFlight int) limit.Limits {
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

// demandHeadroom is how much more than its recent demand an entry asks for, so
// that a rising demand does not meet the limit before the next renewal.
const demandHeadroom = 1.3

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
	// The grant counts from before it was asked for, so that it ends here
	// before it ends in the holder's book.
	f.shares.set(service, grant{
		rate: resp.GetRatePerS(), inFlight: int(resp.GetInFlight()),
		until: asked.Add(time.Duration(resp.GetTtlMs()) * time.Millisecond),
	})
}
