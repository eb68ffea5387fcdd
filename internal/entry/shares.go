package entry

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/table"
)

// shares holds this entry's share of each service's limits: a base part that needs
// no coordination, and a grant of the lease's holder that expires. It is safe for
// concurrent use.
type shares struct {
	// maxEntries is the most entries that a data centre can have; the base parts
	// are sized by it.
	maxEntries int
	start      time.Time

	mu     sync.Mutex
	rates  map[string]*limit.Rate
	grants map[string]grant
}

// grant is a temporary addition to the entry's base part of a service's limits.
type grant struct {
	// rate is in requests per second.
	rate     float64
	inFlight int
	expires  time.Time
}

func newShares(maxEntries int) *shares {
	return &shares{maxEntries: maxEntries, start: time.Now(), rates: map[string]*limit.Rate{}, grants: map[string]grant{}}
}

// setGrant replaces the service's grant. It must not expire later here than at the
// lease's holder, which gives the share to other entries after that.
func (s *shares) setGrant(service string, g grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants[service] = g
}

// limits returns the entry's share of the row's limits at the time now. Zero is no
// limit.
func (s *shares) limits(row table.Row, now time.Time) (ratePerS float64, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLimits(row, now)
}

// currentLimits is limits for callers that hold s.mu.
func (s *shares) currentLimits(row table.Row, now time.Time) (ratePerS float64, inFlight int) {
	part := limit.BasePart(limit.Limits{RatePerS: row.RatePerS, InFlight: row.InFlight}, len(row.Engines), s.maxEntries)
	ratePerS, inFlight = part.RatePerS, part.InFlight
	if g, ok := s.grants[row.Service]; ok && now.Before(g.expires) {
		ratePerS += g.rate
		inFlight += g.inFlight
	}
	if row.RatePerS == 0 {
		ratePerS = 0
	}
	if row.InFlight == 0 {
		inFlight = 0
	}
	return ratePerS, inFlight
}

// take takes one token from the service's bucket. If there is none it returns false
// and how long to wait for one.
func (s *shares) take(row table.Row, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, _ := s.currentLimits(row, now)
	if row.RatePerS == 0 {
		return 0, true
	}
	r, ok := s.rates[row.Service]
	if !ok {
		r = &limit.Rate{}
		s.rates[row.Service] = r
	}
	return r.Take(now.Sub(s.start), rate)
}
