package peers

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quota"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// gapSamples sets the weight of a new value, 1/gapSamples, in the moving average of the time
// between two reports.
const gapSamples = 8

// maxDatagram is the maximum size of a datagram in bytes. It is below the limit of UDP.
const maxDatagram = 60 << 10

// sender numbers the reports of one kind and limits how often unchanged ones are sent.
type sender struct {
	// number is the number of the last report that was sent.
	number uint64
	// last is the encoding of the last report without the fields that due does not compare, and
	// lastAt is when that report was sent.
	last   string
	lastAt time.Time
	// nextUsed is when the use of client accounts is due again, and nextLimits the same for the limits
	// of targets.
	nextUsed   time.Time
	nextLimits time.Time
	// nextVersions is when the software versions are due again, and versionsNumber the number of those
	// that were sent last.
	nextVersions   time.Time
	versionsNumber uint64
}

// due returns whether r must be sent now: if it contains send records, outcomes, the
// use of client accounts, the limits of targets or new software versions, if it differs from the last
// report, or if the last report was sent at least heartbeatInterval ago. If so, due assigns r the next
// number. Ages and store times change all the time and are not compared.
func (s *sender) due(r *report) bool {
	compared := *r
	compared.SendRecords, compared.Outcomes, compared.Used, compared.Limits, compared.Versions = nil, nil, nil, nil, nil
	compared.AgesMS, compared.StoreTimesMS = nil, nil
	body := string(encode(&compared))
	urgent := len(r.SendRecords)+len(r.Outcomes)+len(r.Used)+len(r.Limits) > 0 || r.versionsChanged
	if !urgent && body == s.last && clock.Since(s.lastAt) < heartbeatInterval {
		return false
	}
	s.last, s.lastAt = body, clock.Now()
	if len(r.Versions) > 0 {
		s.versionsNumber, s.nextVersions = r.versionsNumber, s.lastAt.Add(versionsInterval)
	}
	s.number++
	r.Number = s.number
	return true
}

// sendLoop sends this VM's reports until ctx ends. If this VM is the relay, it also sends summaries
// to the other data centres and, in a large data centre, digests to its own.
func (p *Peers) sendLoop(ctx context.Context) {
	var own, summary, digest sender
	var nextSummary, nextDigest, nextHeartbeat time.Time
	for idle := false; ctx.Err() == nil; p.pause(ctx, idle) {
		idle = true
		p.expire()
		p.updateAge()
		p.sendSuspects(clock.Now())
		r := p.ownReport()
		relay, digests := p.isRelay(), p.sendsDigests()
		p.selectSource(!relay && (digests || p.receivesDigests()))
		p.queueOwnRecords(r, relay)
		now := clock.Now()
		if relay && (now.Before(nextSummary) || now.Before(nextDigest)) {
			// What has come in since may still have to be passed on.
			idle = false
		}
		if relay && !now.Before(nextSummary) {
			s := p.summary(r)
			p.addUsed(s, &summary, quota.Local)
			p.addLimits(s, &summary, p.receivedLimits(false))
			p.addVersions(s, &summary)
			if summary.due(s) {
				if !p.sendSummary(s) {
					p.requeueRecords(s)
				}
				nextSummary, idle = now.Add(p.summaryPause(s)), false
			}
		}
		if relay && digests && !now.Before(nextDigest) {
			d := p.digest(r)
			p.addUsed(d, &digest, quota.All)
			p.addLimits(d, &digest, p.receivedLimits(true))
			p.addVersions(d, &digest)
			if digest.due(d) {
				p.sendTo(datagram{Report: d}, p.localAddrs())
				nextDigest, idle = now.Add(p.digestPause(d)), false
			}
		}
		p.addUsed(r, &own, quota.Own)
		p.addLimits(r, &own, nil)
		p.addVersions(r, &own)
		if own.due(r) {
			idle = false
			heartbeat := !now.Before(nextHeartbeat)
			p.sendOwnReport(r, heartbeat)
			if heartbeat {
				nextHeartbeat = now.Add(heartbeatInterval)
			}
		}
	}
}

// pause waits until the next reports may be due. If nothing was due last time, a VM of a large data
// centre waits until there is something to report, or for maxIdlePause.
//
// Load pattern: a thousand VMs with a request a second each. If each of them looked for changes every
// digestInterval, that would be most of what it does.
func (p *Peers) pause(ctx context.Context, idle bool) {
	if !idle || !(p.sendsDigests() || p.receivesDigests()) {
		kernel.Sleep(ctx, p.ReportInterval())
		return
	}
	timer := time.NewTimer(maxIdlePause)
	defer timer.Stop()
	select {
	case <-p.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// NotifyWork ends a pause of the reports because there is something to report. It does not block.
func (p *Peers) NotifyWork() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sendOwnReport sends r, this VM's report, to the VMs that reportAddrs(heartbeat) returns.
// heartbeat is true at most once per heartbeatInterval.
func (p *Peers) sendOwnReport(r *report, heartbeat bool) {
	p.mu.Lock()
	p.recordSent(decodeWork(r.Work), len(r.Used) > 0)
	p.mu.Unlock()
	p.sendTo(datagram{Report: r}, p.reportAddrs(heartbeat))
}

// ownReport returns this VM's report. The report has no number until due assigns one. ownReport
// takes the send records since the last report from the placer.
func (p *Peers) ownReport() *report {
	r := &report{
		From: p.self, Incarnation: p.incarnation, Work: encodeWork(p.placer.Own()),
		SendRecords: encodeSendRecords(p.placer.TakeSendRecords(), originHash(p.self.VM)),
		Changing:    p.orders.OpenOrders(), Outcomes: p.takeOutcomes(),
	}
	if p.pathLost != nil && p.pathLost() {
		r.WithoutPath = []string{p.self.VM}
	}
	r.HoldsDuties = p.dutyFence != nil && p.dutyFence() != 0
	var readTimes []time.Time
	for _, f := range p.followed {
		readTimes = append(readTimes, f.ReadAt())
		r.StoreTimesMS = append(r.StoreTimesMS, uint64(f.ReadStoreTime().Milliseconds()))
		r.addPosition(f.Position())
	}
	r.AgesMS = agesMS(readTimes, clock.Now())
	return r
}

// localAddrs returns the addresses of the other VMs of this data centre.
func (p *Peers) localAddrs() []netip.AddrPort {
	return p.addrsOf(p.self.DataCentre)
}

// addrsOf returns the addresses of the other VMs of a data centre.
func (p *Peers) addrsOf(dataCentre string) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrsLocked(dataCentre)
}

// addrsLocked is like addrsOf, but the caller must hold p.mu.
func (p *Peers) addrsLocked(dataCentre string) []netip.AddrPort {
	to := make([]netip.AddrPort, 0, len(p.members))
	for vm, m := range p.members {
		if vm != p.self.VM && m.DataCentre == dataCentre {
			to = append(to, m.addr)
		}
	}
	return to
}

// sendTo sends a datagram to each address. It logs and drops a datagram that is too large.
func (p *Peers) sendTo(d datagram, to []netip.AddrPort) {
	data := encode(d)
	if len(data) > maxDatagram {
		// Dropping it is safe: VMs that miss a delta poll the store, and a report that is not
		// followed by another one expires.
		p.log.Warn(telemetry.EventBadDatagram, telemetry.F("bytes", len(data)),
			telemetry.F("limit", maxDatagram))
		return
	}
	for _, addr := range to {
		// Errors are ignored: the next report replaces one that could not be sent.
		_, _ = p.conn.WriteToUDPAddrPort(data, addr)
	}
}

// encode returns v as CBOR. It panics on an error, which the types of this package cannot cause.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("peers: encode: " + err.Error())
	}
	return data
}

// receiveLoop handles datagrams until the socket is closed. It logs and skips invalid ones.
func (p *Peers) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Warn(telemetry.EventBadDatagram, telemetry.F("cause", err))
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			p.log.Warn(telemetry.EventBadDatagram, telemetry.F("bytes", n), telemetry.F("cause", err))
			continue
		}
		switch {
		case d.Hello != nil:
			p.handleHello(*d.Hello)
		case d.Delta != nil:
			p.handleDelta(d.Delta, 0)
		case d.Difference != nil:
			p.handleDelta(&d.Difference.Delta, d.Difference.Until)
		case d.UsageQuestion != nil:
			p.handleUsageQuestion(d.UsageQuestion)
		case d.UsageReply != nil:
			p.handleUsageReply(d.UsageReply)
		case d.Suspects != nil:
			p.handleSuspects(d.Suspects)
		case d.Origins != nil:
			p.handleOrigins(d.Origins)
		case d.OriginQuestion != nil:
			p.handleOriginQuestion(d.OriginQuestion)
		case d.Collect != nil:
			p.handleCollect(d.Collect)
		case d.StoredQuestion != nil:
			p.handleStoredQuestion(ctx, d.StoredQuestion)
		case d.OriginReply != nil:
			p.handleOriginReply(d.OriginReply)
		case d.Report != nil && d.Report.From.VM != p.self.VM:
			p.handleReport(d.Report)
		}
	}
}

// handleReport stores a report, passes its records to those that use them and its versions to the
// followed tables, and forwards a summary of another data centre within this one. It ignores a
// report that is older than one already stored.
func (p *Peers) handleReport(r *report) {
	addr, err := netip.ParseAddrPort(r.From.Address)
	if err != nil {
		p.log.Warn(telemetry.EventBadDatagram, telemetry.F("peer", r.From.VM), telemetry.F("cause", err))
		return
	}
	if own := r.From.DataCentre == p.self.DataCentre; own == r.Summary {
		// Reports and digests are for VMs of the sender's data centre, summaries for those of
		// others.
		return
	}
	stored, included := p.storeReport(r, addr)
	if !stored {
		return
	}
	if included {
		p.placer.Observe(decodeSendRecords(r.SendRecords, originHash(p.self.VM)), clock.Now())
		p.observeOutcomes(r.Outcomes)
		p.observeUsed(r)
		if p.limits != nil {
			now := clock.Now()
			p.limits.ObserveLimits(decodeLimits(r.Limits, now), now)
		}
	}
	p.observeVersions(r)
	if p.sendsDigests() && p.isRelay() {
		p.NotifyWork()
	}
	p.addMember(r.From, addr)
	p.comparePositions(r)
	if r.Summary && !r.Forwarded {
		p.forwardSummary(r)
	}
}

// forwardSummary forwards a summary of another data centre to the VMs of this one. If this VM is
// not the relay, it forwards the summary to the relay instead.
func (p *Peers) forwardSummary(r *report) {
	if relay, ok := p.relayAddr(); ok {
		p.sendTo(datagram{Report: r}, []netip.AddrPort{relay})
		return
	}
	if p.sendsDigests() {
		// The next digest will contain the summary.
		return
	}
	r.Forwarded = true
	p.sendTo(datagram{Report: r}, p.localAddrs())
}

// storeReport stores a report unless it is older than one of the same sender that is still fresh.
// It returns whether the report was stored, and whether its work is included in p.sums.
func (p *Peers) storeReport(r *report, addr netip.AddrPort) (stored, included bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, key := p.vmReports, r.From.VM
	if r.Summary || r.Digest {
		all, key = p.dataCentreReports, r.From.DataCentre
	}
	s := all[key]
	if s != nil && s.isFresh() && s.from.VM == r.From.VM &&
		(r.Incarnation < s.incarnation || (r.Incarnation == s.incarnation && r.Number <= s.number)) {
		return false, false
	}
	next := &receivedReport{
		from: r.From, addr: addr, incarnation: r.Incarnation, number: r.Number,
		receivedAt: clock.Now(), digest: r.Digest, work: decodeWork(r.Work), positions: r.positions(),
		changing: r.Changing, readTimes: r.readTimes(clock.Now()),
		storeTimesMS: r.StoreTimesMS, holdsDuties: r.HoldsDuties, liveVMs: r.LiveVMs,
		limits: decodeLimits(r.Limits, clock.Now()), withoutPath: r.WithoutPath,
	}
	var before map[string]place.Work
	if s != nil {
		before = s.work
		next.gap = s.gap + (next.receivedAt.Sub(s.receivedAt)-s.gap)/gapSamples
	}
	if r.Digest {
		p.recordRelay(r, addr)
		next.work = p.subtractOwn(next.work)
	} else {
		p.queueRecords(r, !r.Summary)
	}
	p.maxKnownVMs = max(p.maxKnownVMs, r.KnownVMs)
	if p.inSums(next) {
		p.replaceWork(before, next.work)
	}
	if s == nil || !s.isFresh() {
		// The sender may have become live.
		p.topology.at = time.Time{}
	}
	all[key] = next
	return true, p.inSums(next)
}
