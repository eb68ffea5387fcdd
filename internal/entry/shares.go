package entry

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/table"
)

// shares holds this entry's part of each service's limits: a base part that is
// safe without asking anyone, and a grant of the lease's holder that expires.
// It is safe for concurrent use.
type shares struct {
	maxEntries int
	start      time.Time

	mu     sync.Mutex
	rates  map[string]*limit.Rate
	grants map[string]grant
}

// grant is a share given by the lease's holder.
type grant struct {
	rate     float64
	inFlight int
	until    time.Time
}

func newShares(maxEntries int) *shares {
	return &shares{maxEntries: maxEntries, start: time.Now(), rates: map[string]*limit.Rate{}, grants: map[string]grant{}}
}

// set puts a grant in force until a time that must not be later than what the
// holder counts with.
func (s *shares) set(service string, g grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants[service] = g
}

// limits returns the entry's present part of the row's limits; zero is no
// limit.
func (s *shares) limits(row table.Row, now time.Time) (ratePerS float64, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(row, now)
}

func (s *shares) current(row table.Row, now time.Time) (ratePerS float64, inFlight int) {
	part := limit.BasePart(limit.Limits{RatePerS: row.RatePerS, InFlight: row.InFlight}, len(row.Engines), s.maxEntries)
	ratePerS, inFlight = part.RatePerS, part.InFlight
	if g, ok := s.grants[row.Service]; ok && now.Before(g.until) {
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

// take takes one request from the service's rate.
func (s *shares) take(row table.Row, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, _ := s.current(row, now)
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
