package peers

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

// In a large data centre the VMs send their reports only to the relay and its standby, and the
// relay sends every VM one digest of the work of all data centres. If every VM reported to every
// other one, 60 VMs would exchange 47,000 datagrams a second, as computed from their report
// interval. Measured with 99 VMs, 21 per data centre, over 28 s: the processes used 35.9 s of CPU
// time with digests and 43.9 s without.

const (
	// digestMinVMs is the number of VMs in a data centre from which its relay sends digests. In
	// smaller ones each VM receives a report of each other VM at least every 40 ms.
	digestMinVMs = 32
	// digestMbpsPerVM is the relay bandwidth in Mbit/s required for each VM. Half of it carries a
	// digest of 10 KB every 80 ms.
	digestMbpsPerVM = 2.0
	// reportReceivers is the number of VMs that receive all reports: the relay and its standby.
	// heartbeatSenders is the number of VMs that send heartbeats to the whole data centre, so
	// that the VMs know a successor when the relay and its standby fail together.
	reportReceivers  = 2
	heartbeatSenders = reportReceivers + 1
	// digestInterval is the time between reports, and the shortest time between digests, in a
	// data centre whose relay sends digests.
	digestInterval = 20 * time.Millisecond
	// digestLinkShare is the share of the relay's link that digests may use.
	digestLinkShare = 0.5
)

// liveByRank returns the live VMs of this data centre, this one included, in the order in which
// they become relay. The caller must hold p.mu.
func (p *Peers) liveByRank() []listedMember {
	live := []listedMember{{Member: p.self}}
	for _, m := range p.members {
		if m.VM != p.self.VM && m.DataCentre == p.self.DataCentre && p.isLive(m) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b listedMember) int { return compareRank(a.Member, b.Member) })
	return live
}

// sendsDigests returns whether the relay of this data centre sends digests, judged by the members
// that this VM knows.
func (p *Peers) sendsDigests() bool {
	n := p.localVMs()
	if n < digestMinVMs {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveByRank()[0].LinkMbps >= digestMbpsPerVM*float64(n)
}

// receivesDigests returns whether a recent digest has arrived. A VM whose member list is
// incomplete must use digests too, because nothing else tells it about the other VMs.
func (p *Peers) receivesDigests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.dataCentreReports[p.self.DataCentre]
	return s != nil && s.isFresh()
}

// reportAddrs returns the destinations of this VM's report: the relay and its standby, or the
// whole data centre where no digests are sent. If heartbeat is true, the heartbeatSenders VMs of
// highest rank report to the whole data centre.
func (p *Peers) reportAddrs(heartbeat bool) []netip.AddrPort {
	if !p.sendsDigests() && !p.receivesDigests() {
		return p.localAddrs()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.liveByRank()
	if heartbeat && slices.ContainsFunc(live[:min(heartbeatSenders, len(live))],
		func(m listedMember) bool { return m.VM == p.self.VM }) {
		return p.addrsLocked(p.self.DataCentre)
	}
	var to []netip.AddrPort
	for _, m := range live[:min(reportReceivers, len(live))] {
		if m.VM != p.self.VM {
			to = append(to, m.addr)
		}
	}
	return to
}

// digest returns the total work of all VMs of all data centres. own is this VM's report.
func (p *Peers) digest(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.aggregate(own, append(slices.Collect(maps.Values(p.vmReports)), p.remoteReports()...))
	r.Digest, r.Uses = true, p.digestUses
	p.digestUses = nil
	return r
}

// remoteReports returns the last summary of each other data centre. The caller must hold p.mu.
func (p *Peers) remoteReports() []*receivedReport {
	var out []*receivedReport
	for dataCentre, s := range p.dataCentreReports {
		if dataCentre != p.self.DataCentre {
			out = append(out, s)
		}
	}
	return out
}

// sentReport is a recent report of this VM. Digests include its work, so it is subtracted from
// them.
type sentReport struct {
	at   time.Time
	work map[string]place.Work
}

// recordSent keeps a report that is being sent. The caller must hold p.mu.
func (p *Peers) recordSent(work map[string]place.Work) {
	p.sentReports = append(p.sentReports, sentReport{clock.Now(), work})
	if len(p.sentReports) > maxSentReports {
		p.sentReports = p.sentReports[1:]
	}
}

// maxSentReports is the number of own reports kept. It exceeds the number of reports sent while a
// digest is in transit.
const maxSentReports = 16

// subtractOwn subtracts this VM's own work, as reported before the digest was made, from the work
// of a digest. The caller must hold p.mu.
func (p *Peers) subtractOwn(work map[string]place.Work) map[string]place.Work {
	var own map[string]place.Work
	madeAt := clock.Now().Add(-digestInterval / 2)
	for _, t := range p.sentReports {
		if t.at.Before(madeAt) {
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

// selectSource selects the source of the other VMs' work: the relay's digests, or the reports and
// summaries themselves.
func (p *Peers) selectSource(digests bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usesDigests == digests {
		return
	}
	p.usesDigests = digests
	clear(p.sums)
	for _, all := range []map[string]*receivedReport{p.vmReports, p.dataCentreReports} {
		for _, s := range all {
			if p.inSums(s) {
				p.replaceWork(nil, s.work)
			}
		}
	}
}

// inSums returns whether the work of s is included in the sums. A digest already contains all
// reports and summaries, so only one of the two kinds is added. The caller must hold p.mu.
func (p *Peers) inSums(s *receivedReport) bool { return s.digest == p.usesDigests }

// recordRelay records that the sender of a digest is alive. The caller must hold p.mu.
func (p *Peers) recordRelay(r *report, addr netip.AddrPort) {
	s := p.vmReports[r.From.VM]
	if s == nil {
		s = &receivedReport{from: r.From, addr: addr, incarnation: r.Incarnation}
		p.vmReports[r.From.VM] = s
	}
	s.receivedAt = clock.Now()
}
