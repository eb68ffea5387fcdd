package peers

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

// In a large data centre the VMs send their reports to the relay and its standby only, and
// the relay sends every VM one digest of the work of all data centres. If each VM reported to
// each, 60 VMs would exchange 47,000 datagrams a second (by their interval). Measured with 99
// VMs, 21 a data centre, over 28 s: the processes took 35.9 s of processor time with digests
// and 43.9 s without.

const (
	// fanFrom is the size of a data centre from which its relay sends digests. Below it
	// each VM hears each other one every 40 ms or more often.
	fanFrom = 32
	// fanMbpsPerVM is the bandwidth that the relay needs for each VM: half of it carries a
	// digest of 10 KB every 80 ms.
	fanMbpsPerVM = 2.0
	// duties is the number of VMs that receive all reports: the relay and its standby.
	// heardByAll VMs send heartbeats to the whole data centre, so that a successor is known
	// when the relay and its standby fail together.
	duties     = 2
	heardByAll = duties + 1
	// fanInterval is the time between reports, and between digests, in such a data centre.
	fanInterval = 20 * time.Millisecond
	// digestShare is the part of the relay's link that digests may take.
	digestShare = 0.5
)

// first returns the live VMs of this data centre, this one included, in the order in which
// they become relay; the caller holds p.mu.
func (p *Peers) first() []listed {
	up := []listed{{Member: p.self}}
	for _, m := range p.members {
		if m.VM != p.self.VM && m.DataCentre == p.self.DataCentre && p.up(m) {
			up = append(up, m)
		}
	}
	slices.SortFunc(up, func(a, b listed) int { return order(a.Member, b.Member) })
	return up
}

// fans reports whether the relay of this data centre sends digests, as far as this VM can
// tell from the members it knows.
func (p *Peers) fans() bool {
	n := p.neighbours()
	if n < fanFrom {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first()[0].LinkMbps >= fanMbpsPerVM*float64(n)
}

// hearsDigests reports whether a recent digest has arrived. A VM whose member list is
// incomplete must use it too, because nothing else tells it about the other VMs.
func (p *Peers) hearsDigests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.centres[p.self.DataCentre]
	return s != nil && s.fresh()
}

// reportTo returns the destinations of this VM's report: the relay and its standby, or the
// whole data centre where no digests are sent. If everyone is true, the VMs that are heard by
// all report to the whole data centre as a heartbeat.
func (p *Peers) reportTo(everyone bool) []netip.AddrPort {
	if !p.fans() && !p.hearsDigests() {
		return p.neighbourAddrs()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	up := p.first()
	if everyone && slices.ContainsFunc(up[:min(heardByAll, len(up))], func(m listed) bool { return m.VM == p.self.VM }) {
		return p.addrs(p.self.DataCentre)
	}
	var to []netip.AddrPort
	for _, m := range up[:min(duties, len(up))] {
		if m.VM != p.self.VM {
			to = append(to, m.addr)
		}
	}
	return to
}

// digest returns the work of all VMs of all data centres; own is this VM's report.
func (p *Peers) digest(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.sumOf(own, append(slices.Collect(maps.Values(p.heard)), p.elsewhere()...))
	r.Digest, r.Uses = true, p.digestUses
	p.digestUses = nil
	return r
}

// elsewhere returns the last summary of each other data centre; the caller holds p.mu.
func (p *Peers) elsewhere() []*heardState {
	var out []*heardState
	for dataCentre, s := range p.centres {
		if dataCentre != p.self.DataCentre {
			out = append(out, s)
		}
	}
	return out
}

// told is a recent report of this VM. Digests contain it, so it is subtracted from them.
type told struct {
	at   time.Time
	work map[string]place.Work
}

// keepTold records a report that is being sent; the caller holds p.mu.
func (p *Peers) keepTold(work map[string]place.Work) {
	p.told = append(p.told, told{clock.Now(), work})
	if len(p.told) > maxTold {
		p.told = p.told[1:]
	}
}

// maxTold is the number of own reports kept: more than are sent while a digest is on its way.
const maxTold = 16

// others subtracts this VM's own work, as reported before the digest was made, from the work
// of a digest. The caller holds p.mu.
func (p *Peers) others(work map[string]place.Work) map[string]place.Work {
	var own map[string]place.Work
	made := clock.Now().Add(-fanInterval / 2)
	for _, t := range p.told {
		if t.at.Before(made) {
			own = t.work
		}
	}
	for target, w := range own {
		if all, ok := work[target]; ok {
			work[target] = all.Minus(w).Positive()
		}
	}
	return work
}

// follow selects the source of the others' work: the relay's digests, or the reports and
// summaries of the VMs themselves.
func (p *Peers) follow(digests bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.digested == digests {
		return
	}
	p.digested = digests
	clear(p.sums)
	for _, all := range []map[string]*heardState{p.heard, p.centres} {
		for _, s := range all {
			if p.counts(s) {
				p.replace(nil, s.work)
			}
		}
	}
}

// counts reports whether s is added to the sums. A digest already contains all reports and
// summaries, so only one of the two kinds is added. The caller holds p.mu.
func (p *Peers) counts(s *heardState) bool { return s.digest == p.digested }

// noteRelay records that the sender of a digest is alive; the caller holds p.mu.
func (p *Peers) noteRelay(r *report, addr netip.AddrPort) {
	s := p.heard[r.From.VM]
	if s == nil {
		s = &heardState{from: r.From, addr: addr, incarnation: r.Incarnation}
		p.heard[r.From.VM] = s
	}
	s.at = clock.Now()
}
