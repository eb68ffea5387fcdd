package peers

import (
	"cmp"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// limitsInterval is the shortest time between two reports of one sender that state the limits of
	// targets.
	limitsInterval = 100 * time.Millisecond
	// maxReportedLimits is the maximum number of limits in one report. Of more limits, those received
	// last are reported; a VM learns of the others from the responses that it receives itself.
	maxReportedLimits = 256
)

// Limits keeps the limits that targets state on requests. place.Placer implements it.
type Limits interface {
	// Limits returns the limits that this VM has received lately.
	Limits(now time.Time) []place.LimitReport
	// ObserveLimits takes in the limits that other VMs report.
	ObserveLimits(reports []place.LimitReport, now time.Time)
}

// limitItem is the wire form of place.LimitReport. AgeMS is the time in ms since the VM received the
// response. The other fields are those of place.LimitReport and place.RateLimit.
type limitItem struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Stated bool
	PerS   float64
	AgeMS  uint32
}

// SetLimits sets what keeps the limits of targets. It must be called before Start.
func (p *Peers) SetLimits(l Limits) { p.limits = l }

// Membership implements place.Membership. VMs are indexed in the order of their names.
func (p *Peers) Membership() (index, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentTopology().index, max(p.knownVMs(), p.maxKnownVMs)
}

// addLimits adds the limits that this VM has received, and those in others, to a report of s, if they
// are due.
func (p *Peers) addLimits(r *report, s *sender, others []place.LimitReport) {
	now := clock.Now()
	if p.limits == nil || now.Before(s.nextLimits) {
		return
	}
	s.nextLimits = now.Add(limitsInterval)
	r.Limits = encodeLimits(append(p.limits.Limits(now), others...), now)
}

// receivedLimits returns the limits in the fresh reports of other VMs: those of this data centre and,
// if all is set, those of the others too.
func (p *Peers) receivedLimits(all bool) []place.LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []place.LimitReport
	for _, s := range p.vmReports {
		if s.isFresh() {
			out = append(out, s.limits...)
		}
	}
	if !all {
		return out
	}
	for _, s := range p.remoteReports() {
		if s.isFresh() {
			out = append(out, s.limits...)
		}
	}
	return out
}

// encodeLimits returns the wire form of the latest report on each target, at most maxReportedLimits.
func encodeLimits(reports []place.LimitReport, now time.Time) []limitItem {
	slices.SortStableFunc(reports, func(a, b place.LimitReport) int { return b.HeardAt.Compare(a.HeardAt) })
	seen := make(map[string]bool, len(reports))
	var out []limitItem
	for _, r := range reports {
		if seen[r.Target] || len(out) == maxReportedLimits {
			continue
		}
		seen[r.Target] = true
		out = append(out, limitItem{Target: r.Target, Stated: r.Limit.Stated, PerS: r.Limit.PerS, AgeMS: agesMS([]time.Time{r.HeardAt}, now)[0]})
	}
	slices.SortFunc(out, func(a, b limitItem) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// decodeLimits returns the limits of a report that was received at now.
func decodeLimits(items []limitItem, now time.Time) []place.LimitReport {
	out := make([]place.LimitReport, 0, len(items))
	for _, i := range items {
		out = append(out, place.LimitReport{Target: i.Target, Limit: place.RateLimit{Stated: i.Stated, PerS: i.PerS},
			HeardAt: now.Add(-time.Duration(i.AgeMS) * time.Millisecond)})
	}
	return out
}
