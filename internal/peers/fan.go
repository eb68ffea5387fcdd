package peers

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

// In a large data centre the VMs report to the few that stand first for its duties, and
// the relay sends all of them one digest of what it knows: of its own data centre and of
// the others. Were each to report to all, 60 VMs would exchange 47,000 datagrams a second, by
// their interval. With 21 VMs a data centre the processes' time was 35.9 s so, 43.9 s before
// (99 VMs, 28 s of a day, one play each).

const (
	// fanFrom is the size of a data centre from which its relay fans out: below it
	// everyone hears everyone within 40 ms.
	fanFrom = 32
	// fanMbpsPerVM is the link that a relay needs for each VM of its data centre: a digest
	// of 10 KB each 80 ms, by half of it.
	fanMbpsPerVM = 2.0
	// duties is how many VMs of a data centre are told everything: the relay, and the one
	// that takes its place. One more is heard by all, should both be lost at once.
	duties     = 2
	heardByAll = duties + 1
	// fanInterval is the time between reports, and between digests, in such a data centre.
	fanInterval = 20 * time.Millisecond
	// digestShare is the part of the relay's link that digests may take.
	digestShare = 0.5
)

// first returns the VMs of this data centre that are up, this one included, in the order of
// their duties; the caller holds p.mu.
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

// fans reports whether the relay of this data centre sends digests, so that the VMs need
// not report to each other.
func (p *Peers) fans() bool {
	n := p.neighbours()
	if n < fanFrom {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first()[0].LinkMbps >= fanMbpsPerVM*float64(n)
}

// hearsDigests reports whether digests come here. A VM that knows too few others to expect
// them must use them all the same: it hears of the others in no other way.
func (p *Peers) hearsDigests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.centres[p.self.DataCentre]
	return s != nil && s.fresh()
}

// reportTo returns where this VM's report goes: to the VMs on duty, or to all of the data
// centre. A VM on duty, or next to it, tells all the others from time to time that it is
// up; everyone says then says true.
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

// digest returns what is known of all VMs, own being this VM's report.
func (p *Peers) digest(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.sumOf(own, append(slices.Collect(maps.Values(p.heard)), p.elsewhere()...))
	r.Digest, r.Uses = true, p.digestUses
	p.digestUses = nil
	return r
}

// elsewhere is what the other data centres said; the caller holds p.mu.
func (p *Peers) elsewhere() []*heardState {
	var out []*heardState
	for dataCentre, s := range p.centres {
		if dataCentre != p.self.DataCentre {
			out = append(out, s)
		}
	}
	return out
}

// told remembers what this VM has reported of late, as the relay's digests hold it too.
type told struct {
	at   time.Time
	work map[string]place.Work
}

// keepTold remembers a report that is sent now; the caller holds p.mu.
func (p *Peers) keepTold(work map[string]place.Work) {
	p.told = append(p.told, told{time.Now(), work})
	if len(p.told) > maxTold {
		p.told = p.told[1:]
	}
}

// maxTold bounds the reports that are remembered: those of the time that a digest takes.
const maxTold = 16

// others takes this VM's own part out of a digest's work: what it had reported before the
// digest was made. The caller holds p.mu.
func (p *Peers) others(work map[string]place.Work) map[string]place.Work {
	var own map[string]place.Work
	made := time.Now().Add(-fanInterval / 2)
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

// follow chooses where the work of others is read: in the digests of the relay, or in
// everyone's reports.
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

// counts reports whether what was heard counts for the sums: digests hold all else. The
// caller holds p.mu.
func (p *Peers) counts(s *heardState) bool { return s.digest == p.digested }

// noteRelay notes that the relay of this data centre is up, as its digest says; the caller
// holds p.mu.
func (p *Peers) noteRelay(r *report, addr netip.AddrPort) {
	s := p.heard[r.From.VM]
	if s == nil {
		s = &heardState{from: r.From, addr: addr, incarnation: r.Incarnation}
		p.heard[r.From.VM] = s
	}
	s.at = time.Now()
}
