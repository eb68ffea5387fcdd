package steward

import (
	"sort"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/burn"
	"garnethoist.org/garnethoist/internal/table"
)

// The time windows of the report on error budget burn.
const (
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour
	// sampleInterval is the time between two stored samples of a counter.
	sampleInterval = 10 * time.Second
)

// burnTracker stores samples of the answer counters of the entries connected to this
// steward, from which the burn of the services' error budgets is computed. It is safe
// for concurrent use.
type burnTracker struct {
	start time.Time

	mu     sync.Mutex
	series map[seriesKey]*burn.Series
}

// seriesKey identifies the counters of one service in one process of an entry.
type seriesKey struct {
	vm          string
	incarnation uint64
	service     string
}

// newBurnTracker returns a tracker without samples.
func newBurnTracker() *burnTracker {
	return &burnTracker{start: time.Now(), series: map[seriesKey]*burn.Series{}}
}

// add stores one entry's report. A new series starts from zero, as the entry's own
// counters did.
func (b *burnTracker) add(r *api.EntryReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Since(b.start)
	b.dropBefore(at - longWindow)
	for _, u := range r.GetUsage() {
		key := seriesKey{vm: r.GetVm(), incarnation: r.GetIncarnation(), service: u.GetService()}
		s, ok := b.series[key]
		if !ok {
			s = burn.NewSeries(sampleInterval, longWindow)
			s.Add(burn.Sample{At: at})
			b.series[key] = s
		}
		s.Add(burn.Sample{At: at, Good: u.GetUsage().GetGood(), Bad: u.GetUsage().GetBad()})
	}
}

// dropBefore drops the series whose last sample is older than at, so that entries
// that stopped reporting do not accumulate. The caller must hold b.mu.
func (b *burnTracker) dropBefore(at time.Duration) {
	for key, s := range b.series {
		if last, ok := s.Last(); ok && last < at {
			delete(b.series, key)
		}
	}
}

// lines returns the counts of good and bad answers in both windows for each service
// of the table, sorted by service.
func (b *burnTracker) lines(t table.Table) []*api.BurnLine {
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := map[string]*api.BurnLine{}
	var out []*api.BurnLine
	for _, r := range t.Rows {
		l := &api.BurnLine{
			Service: r.Service, Objective: r.Objective,
			ShortS: uint32(shortWindow / time.Second), LongS: uint32(longWindow / time.Second),
		}
		byService[r.Service] = l
		out = append(out, l)
	}
	for key, s := range b.series {
		l, ok := byService[key.service]
		if !ok {
			continue
		}
		good, bad := s.Counts(shortWindow)
		l.ShortGood, l.ShortBad = l.ShortGood+good, l.ShortBad+bad
		good, bad = s.Counts(longWindow)
		l.LongGood, l.LongBad = l.LongGood+good, l.LongBad+bad
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetService() < out[j].GetService() })
	return out
}
