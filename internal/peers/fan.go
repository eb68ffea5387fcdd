package peers

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/place"
)

// In a large data centre the VMs send their reports only to the relay and to its standby, the VM
// that becomes relay next. The relay sends every VM of its data centre a digest: one report with
// the total work of all data centres. If every VM reported to every other one, 60 VMs would
// exchange 47,000 datagrams a second, as computed from their report interval.

const (
	// digestMinVMs is the minimum number of VMs in a data centre for its relay to send digests,
	// which contain the total work of all VMs. In a smaller data centre each VM receives a report
	// of each other VM at least every 40 ms.
	digestMinVMs = 32
	// digestMbpsPerVM is the relay bandwidth in Mbit/s required for each VM. Half of it carries a
	// digest of 10 KB every 80 ms.
	digestMbpsPerVM = 2.0
	// reportReceivers is the number of VMs that receive all reports of their data centre: the relay
	// and its standby.
	reportReceivers = 2
	// heartbeatSenders is the number of VMs of highest rank that send a report to the whole data
	// centre every heartbeatInterval. The third one becomes relay if the relay and its standby
	// fail together, so the other VMs must know that it is live.
	heartbeatSenders = reportReceivers + 1
	// digestInterval is the time between reports, and the shortest time between digests, in a
	// data centre whose relay sends digests.
	digestInterval = 20 * time.Millisecond
	// digestIntervalPerVM times the number of VMs of the data centre is the shortest time between
	// digests if that is longer: the relay sends 4,000 datagrams a second at most.
	digestIntervalPerVM = 250 * time.Microsecond
	// maxIdlePause is the longest time between two checks whether there is something to report.
	maxIdlePause = heartbeatInterval / 2
	// digestLinkShare is the fraction of the bandwidth of the relay's link that digests may use.
	digestLinkShare = 0.5
)

// sendsDigests returns whether the relay of this data centre sends digests, going by the members
// that this VM knows: whether the data centre has digestMinVMs VMs and the relay has a fast enough
// link.
func (p *Peers) sendsDigests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.currentTopology()
	n := len(t.local)
	if n < digestMinVMs {
		return false
	}
	return t.live[0].LinkMbps >= digestMbpsPerVM*float64(n)
}

// receivesDigests returns whether a recent digest has arrived. If this VM's member list is
// incomplete, sendsDigests may return false although the relay sends digests. The VM must use the
// digests even so, because the other VMs do not send it their reports.
func (p *Peers) receivesDigests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.dataCentreReports[p.self.DataCentre]
	return s != nil && s.isFresh()
}

// reportAddrs returns the destinations of this VM's report: the relay and its standby, or the whole
// data centre if its relay sends no digests. The whole data centre is also the destination if
// heartbeat is true and this VM is one of the heartbeatSenders VMs of highest rank.
func (p *Peers) reportAddrs(heartbeat bool) []netip.AddrPort {
	if !p.sendsDigests() && !p.receivesDigests() {
		return p.localAddrs()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.liveByRank()
	if heartbeat && slices.ContainsFunc(live[:min(heartbeatSenders, len(live))],
		func(m knownMember) bool { return m.VM == p.self.VM }) {
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

// digestPause returns how long to wait after sending digest d.
func (p *Peers) digestPause(d *report) time.Duration {
	return max(p.linkPause(d, digestLinkShare), time.Duration(p.localVMs())*digestIntervalPerVM)
}

// digest returns a digest: the total work of all VMs of all data centres, and the send records
// queued for the next digest, which it removes from the queue. own is this VM's report.
func (p *Peers) digest(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.aggregate(own, append(slices.Collect(maps.Values(p.vmReports)), p.remoteReports()...))
	r.Digest = true
	p.digestRecords.moveTo(r)
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

// sentReport is a recent report of this VM. Digests include this VM's own work, which subtractOwn
// determines from the sent reports and subtracts.
type sentReport struct {
	at   time.Time
	work map[string]place.Work
	// withUsed is set if the report stated what client accounts have used.
	withUsed bool
}

// recordSent adds a report that is being sent to sentReports. The caller must hold p.mu.
func (p *Peers) recordSent(work map[string]place.Work, withUsed bool) {
	p.sentReports = append(p.sentReports, sentReport{clock.Now(), work, withUsed})
	if len(p.sentReports) > maxSentReports {
		p.sentReports = p.sentReports[1:]
	}
}

// maxSentReports is the maximum length of sentReports. It exceeds the number of reports that this
// VM sends while a digest is in transit.
const maxSentReports = 16

// subtractOwn returns the work of a digest that has just arrived less this VM's own work in it.
// This VM's own work is taken from the last report that it sent before the digest was made. The
// digest is assumed to have been made digestInterval / 2 ago. The caller must hold p.mu.
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

// selectSource selects the source of the other VMs' work: the relay's digests if digests is true,
// otherwise the reports and summaries themselves. It recomputes p.sums if the source changes.
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

// inSums returns whether the work of s is included in p.sums. A digest already contains the work of
// all reports and summaries, so p.sums contains either the work of digests or the work of reports
// and summaries. The caller must hold p.mu.
func (p *Peers) inSums(s *receivedReport) bool { return s.digest == p.usesDigests }

// recordRelay records that the sender of a digest, the relay, is live. The caller must hold p.mu.
func (p *Peers) recordRelay(r *report, addr netip.AddrPort) {
	s := p.vmReports[r.From.VM]
	if s == nil {
		s = &receivedReport{from: r.From, addr: addr, incarnation: r.Incarnation}
		p.vmReports[r.From.VM] = s
	}
	s.receivedAt = clock.Now()
}
