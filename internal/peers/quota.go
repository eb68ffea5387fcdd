package peers

import (
	"strconv"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/quota"
)

// usedInterval is the shortest time between two reports of one sender that state what client accounts
// have used. The accounts' balances are as old as that at each step of the exchange.
const usedInterval = 50 * time.Millisecond

// Quota keeps what client accounts have used. quota.Keeper implements it.
type Quota interface {
	// Used returns the use of the accounts that have used something recently, at the VMs of the
	// scope.
	Used(s quota.Scope, now time.Time) []quota.Used
	// Observe takes in a report of other VMs, which are of this data centre if local is set.
	Observe(source string, local bool, items []quota.Used, now time.Time)
	// ObserveAll takes in a report that covers all VMs. It was made at madeAt.
	ObserveAll(source string, items []quota.Used, madeAt, now time.Time)
}

// usedItem is the wire form of quota.Used. Its fields are those of quota.Used with the same names.
type usedItem struct {
	_       struct{} `cbor:",toarray"`
	Account uint64
	Total   int64
	Recent  int64
}

// SetQuota sets what keeps the use of client accounts. It must be called before Start.
func (p *Peers) SetQuota(q Quota) { p.quota = q }

// addUsed adds the use of client accounts at the VMs of the scope to a report of s, if it is due.
func (p *Peers) addUsed(r *report, s *sender, scope quota.Scope) {
	now := clock.Now()
	if p.quota == nil || now.Before(s.nextUsed) {
		return
	}
	s.nextUsed = now.Add(usedInterval)
	for _, u := range p.quota.Used(scope, now) {
		r.Used = append(r.Used, usedItem{Account: u.Account, Total: u.Total, Recent: u.Recent})
	}
}

// observeUsed takes in the use of client accounts that a report states.
func (p *Peers) observeUsed(r *report) {
	if p.quota == nil || len(r.Used) == 0 {
		return
	}
	items := make([]quota.Used, 0, len(r.Used))
	for _, u := range r.Used {
		items = append(items, quota.Used{Account: u.Account, Total: u.Total, Recent: u.Recent})
	}
	source, now := r.From.VM+"/"+strconv.FormatInt(r.Incarnation, 36), clock.Now()
	switch {
	case r.Digest:
		p.quota.ObserveAll(source+"/digest", items, p.ownUsedAsOf(now), now)
	case r.Summary:
		p.quota.Observe(source+"/summary", false, items, now)
	default:
		p.quota.Observe(source, true, items, now)
	}
}

// ownUsedAsOf returns the time as of which a digest that has just arrived contains this VM's own use:
// when this VM sent the last report with it before the digest was made (see subtractOwn).
func (p *Peers) ownUsedAsOf(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var at time.Time
	for _, t := range p.sentReports {
		if t.withUsed && t.at.Before(now.Add(-digestInterval/2)) {
			at = t.at
		}
	}
	return at
}

// Coverage implements quota.Group: it returns the fraction of the known VMs whose recent reports,
// or those of their relays, have arrived, this VM included.
func (p *Peers) Coverage() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	covered := p.coveredVMs()
	return float64(covered) / float64(max(p.knownVMs(), p.maxKnownVMs, covered))
}

// coveredVMs returns the number of VMs whose work is known from recent reports, this one included.
// The caller must hold p.mu.
func (p *Peers) coveredVMs() int {
	if p.usesDigests {
		if s := p.dataCentreReports[p.self.DataCentre]; s != nil && s.isFresh() {
			return max(s.liveVMs, 1)
		}
		return 1
	}
	n := 1
	for vm, s := range p.vmReports {
		if vm != p.self.VM && s.isFresh() {
			n++
		}
	}
	for _, s := range p.remoteReports() {
		if s.isFresh() {
			n += max(s.liveVMs, 1)
		}
	}
	return n
}

// Checks at compile time that Peers implements quota.Group.
var _ quota.Group = (*Peers)(nil)
