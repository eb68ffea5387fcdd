package peers

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// maxQueuedRecords is the maximum number of records of a kind in each of the two queues, one for the
	// next summary and one for the next digest. It covers the send records of about half a second in
	// the largest installations.
	maxQueuedRecords = 512
	// maxWithoutPath is the maximum number of VMs without a path that a report names. Others decline when
	// they are asked for connections.
	maxWithoutPath = 512
	// sentinelCount is the intended number of sentinels in all data centres together. Sentinels are
	// the VMs that read changes from the store promptly.
	sentinelCount = 4
	// summaryLinkShare is the fraction of the bandwidth of a relay's link that forwarding the
	// summaries of one data centre may use.
	summaryLinkShare = 0.2
	// maxSummaryPause is the maximum time between summaries, or between digests, that the limit on
	// bandwidth may cause. It is well below maxReportAge, so that they do not expire.
	maxSummaryPause = 400 * time.Millisecond
	// twoSentinelsMinVMs is the minimum number of VMs for a data centre to have at least two
	// sentinels, so that one remains if the other fails.
	twoSentinelsMinVMs = 5
)

// compareRank orders the VMs of a data centre by rank: by bandwidth, fastest first, then by name.
func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.VM, b.VM))
}

// isLive returns whether a VM of this data centre is considered live: its last report is fresh, or
// none has arrived yet but the VM was added at most maxReportAge ago. Without the second rule each
// VM of a starting group would consider itself relay and sentinel, and would call the store on
// behalf of all. The caller must hold p.mu.
func (p *Peers) isLive(m knownMember) bool {
	if s := p.vmReports[m.VM]; s != nil {
		return s.isFresh()
	}
	return clock.Since(m.since) <= maxReportAge
}

// isRelay returns whether this VM is the relay of its data centre, which exchanges summaries with
// the relays of the other data centres.
func (p *Peers) isRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank() == 0
}

// relayAddr returns the address of this data centre's relay, or false if this VM is the relay.
func (p *Peers) relayAddr() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.liveByRank()[0].addr
	return addr, addr.IsValid()
}

// Sentinel returns whether this VM is one of the few that long-poll the store with a short
// timeout. In a large group they do so on behalf of the other VMs.
func (p *Peers) Sentinel() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank() < p.localSentinels()
}

// localSentinels returns the number of sentinels in this data centre: an equal share of
// sentinelCount, but at least one, or two in a data centre of twoSentinelsMinVMs VMs. The caller
// must hold p.mu.
func (p *Peers) localSentinels() int {
	t := p.currentTopology()
	n := max(int(math.Round(sentinelCount/float64(len(t.dataCentres)))), 1)
	if len(t.local) >= twoSentinelsMinVMs {
		n = max(n, 2)
	}
	return n
}

// queueRecords adds the records of a report to the next digest and, if local is true, to the next
// summary. local says whether they come from VMs of this data centre. The caller must hold p.mu.
func (p *Peers) queueRecords(r *report, local bool) {
	if local {
		p.summaryRecords.add(r)
	}
	p.digestRecords.add(r)
}

// queueOwnRecords queues the records of r, this VM's report, for the next summary and digest if relay
// is true, that is, if this VM is the relay. Otherwise it drops all queued records, because the relay
// has received them too.
func (p *Peers) queueOwnRecords(r *report, relay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !relay {
		p.summaryRecords, p.digestRecords = recordQueue{}, recordQueue{}
		return
	}
	p.queueRecords(r, true)
}

// summaryPause returns how long to wait after sending summary r. The relay of another data centre
// forwards the summary to each VM of that data centre, which takes up much of the relay's link if
// the fleet and thus the summary is large. summaryPause limits that to summaryLinkShare, assuming
// that the other data centre has as many VMs, and its relay as fast a link, as this one.
func (p *Peers) summaryPause(r *report) time.Duration { return p.linkPause(r, summaryLinkShare) }

// linkPause returns the time that sending r to all VMs of this data centre takes with the given
// fraction of the bandwidth of this VM's link, at most maxSummaryPause. It is 0 if the bandwidth is
// unknown.
func (p *Peers) linkPause(r *report, fraction float64) time.Duration {
	if p.self.LinkMbps <= 0 {
		return 0
	}
	bits := 8 * float64(len(encode(r))) * float64(p.localVMs())
	us := bits / (fraction * p.self.LinkMbps)
	return min(time.Duration(us*float64(time.Microsecond)), maxSummaryPause)
}

// summary returns a summary: the totals of this data centre, and the send records queued for the
// next summary, which it removes from the queue. own is this VM's report.
func (p *Peers) summary(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.aggregate(own, slices.Collect(maps.Values(p.vmReports)))
	r.Summary = true
	p.summaryRecords.moveTo(r)
	return r
}

// aggregate returns a report with the totals of this VM's report, which is own, and of those
// reports in others that are fresh. The caller must hold p.mu.
func (p *Peers) aggregate(own *report, others []*receivedReport) *report {
	work := decodeWork(own.Work)
	positions := own.positions()
	// A copy held all rows of the store at its read time, so no change was then later than the revision
	// of that copy, nor than the highest revision of all copies. The latest read time is therefore valid
	// for the copy of the highest revision.
	now := clock.Now()
	holdsDuties, liveVMs := own.HoldsDuties, 1
	withoutPath := slices.Clone(own.WithoutPath)
	readTimes, storeTimes := own.readTimes(now), slices.Clone(own.StoreTimesMS)
	changing := make(map[string]fleet.Stage, len(own.Changing))
	maps.Copy(changing, own.Changing)
	for _, s := range others {
		if !s.isFresh() {
			continue
		}
		liveVMs += max(s.liveVMs, 1)
		for target, more := range s.work {
			work[target] = work[target].Plus(more)
		}
		for i := range min(len(positions), len(s.positions)) {
			if s.positions[i].Revision > positions[i].Revision {
				positions[i] = s.positions[i]
			}
		}
		maps.Copy(changing, s.changing)
		withoutPath = append(withoutPath, s.withoutPath...)
		holdsDuties = holdsDuties || s.holdsDuties
		readTimes = latestTimes(readTimes, s.readTimes)
		for i := range min(len(storeTimes), len(s.storeTimesMS)) {
			storeTimes[i] = max(storeTimes[i], s.storeTimesMS[i])
		}
	}
	r := &report{From: p.self, Incarnation: p.incarnation, Work: encodeWork(work), Changing: changing}
	for _, position := range positions {
		r.addPosition(position)
	}
	r.HoldsDuties, r.LiveVMs = holdsDuties, liveVMs
	// Equal lists must have equal encodings, so that due recognises an unchanged report.
	slices.Sort(withoutPath)
	r.WithoutPath = withoutPath[:min(len(withoutPath), maxWithoutPath)]
	r.AgesMS, r.StoreTimesMS, r.KnownVMs = agesMS(readTimes, now), storeTimes, p.knownVMs()
	return r
}

// latestTimes returns a after it has set each element of a to the later of that element and the
// element of b with the same index.
func latestTimes(a, b []time.Time) []time.Time {
	for i := range min(len(a), len(b)) {
		if b[i].After(a[i]) {
			a[i] = b[i]
		}
	}
	return a
}

// sendSummary sends a summary to the relay of each other data centre, or to all VMs of a data
// centre whose relay is not known from a fresh report. It returns false if there are other data
// centres but the summary was sent to none of them.
func (p *Peers) sendSummary(r *report) bool {
	d, relays := datagram{Report: r}, p.remoteRelays()
	sent := len(relays) == 0
	for dataCentre, relay := range relays {
		switch {
		case relay != nil:
			p.sendTo(d, []netip.AddrPort{relay.addr})
		case p.allowBroadcast(dataCentre):
			p.sendTo(d, p.addrsOf(dataCentre))
		default:
			continue
		}
		sent = true
	}
	return sent
}

// requeueRecords puts the records of a summary that could not be sent back into the queue for the next
// summary. A record is sent only once, so it must not be lost while no relay of another data centre is
// known.
func (p *Peers) requeueRecords(r *report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summaryRecords.add(r)
}

// remoteRelays returns the last report of the relay of each other data centre that has members, or
// nil if that report is not fresh.
func (p *Peers) remoteRelays() map[string]*receivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*receivedReport)
	for _, name := range p.currentTopology().dataCentres {
		if name == p.self.DataCentre {
			continue
		}
		out[name] = nil
		if s := p.dataCentreReports[name]; s != nil && s.isFresh() {
			out[name] = s
		}
	}
	return out
}

// allowBroadcast limits how often a summary is sent to all VMs of a data centre whose relay is
// not known. It returns true at most once every heartbeatInterval.
func (p *Peers) allowBroadcast(dataCentre string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clock.Since(p.lastBroadcast[dataCentre]) < heartbeatInterval {
		return false
	}
	p.lastBroadcast[dataCentre] = clock.Now()
	return true
}
