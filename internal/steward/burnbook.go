package steward

import (
	"sort"
	"sync"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/burn"
	"garnethoist.org/garnethoist/internal/table"
)

// The windows of the burn report.
const (
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour
	// sampleSpacing is the time between kept samples.
	sampleSpacing = 10 * time.Second
)

// burnBook keeps the counters of the entries that this steward feeds. It is
// safe for concurrent use.
type burnBook struct {
	start time.Time

	mu     sync.Mutex
	series map[seriesKey]*burn.Series
}

// seriesKey tells an entry's process and service.
type seriesKey struct {
	vm          string
	incarnation uint64
	service     string
}

func newBurnBook() *burnBook {
	return &burnBook{start: time.Now(), series: map[seriesKey]*burn.Series{}}
}

// add takes in one entry's report.
func (b *burnBook) add(r *api.EntryReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Since(b.start)
	b.forgetBefore(at - longWindow)
	for _, u := range r.GetUsage() {
		key := seriesKey{vm: r.GetVm(), incarnation: r.GetIncarnation(), service: u.GetService()}
		s, ok := b.series[key]
		if !ok {
			s = burn.NewSeries(sampleSpacing, longWindow)
			s.Add(burn.Sample{At: at})
			b.series[key] = s
		}
		s.Add(burn.Sample{At: at, Good: u.GetUsage().GetGood(), Bad: u.GetUsage().GetBad()})
	}
}

// forgetBefore drops the series of entries that have been gone for longer than
// any window; the caller holds the lock.
func (b *burnBook) forgetBefore(at time.Duration) {
	for key, s := range b.series {
		if last, ok := s.Last(); ok && last < at {
			delete(b.series, key)
		}
	}
}

// lines returns the counts of each service of the table.
func (b *burnBook) lines(t table.Table) []*api.BurnLine {
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
