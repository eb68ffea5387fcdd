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
	"garnethoist.org/garnethoist/internal/telemetry"
)

// gapSamples is how many of the last gaps between reports the usual one rests on.
const gapSamples = 8

// maxDatagram bounds a datagram, below what UDP allows.
const maxDatagram = 60 << 10

// sender remembers the last report of one kind, so that one that says the same
// is sent seldom.
type sender struct {
	number uint64
	last   string
	lastAt time.Time
}

// due numbers r and reports whether it must be sent now.
func (s *sender) due(r *report) bool {
	uses, ages, clocks := r.Uses, r.AgesMS, r.ClocksMS
	r.Uses, r.AgesMS, r.ClocksMS = nil, nil, nil
	body := string(encode(r))
	r.Uses, r.AgesMS, r.ClocksMS = uses, ages, clocks
	if len(uses) == 0 && body == s.last && clock.Since(s.lastAt) < quietInterval {
		return false
	}
	s.last, s.lastAt = body, clock.Now()
	s.number++
	r.Number = s.number
	return true
}

// send reports to the VMs of this data centre and, where this VM is its relay, sends
// summaries to the other data centres and digests to its own.
func (p *Peers) send(ctx context.Context) {
	var own, summary, digest sender
	var nextSummary, nextDigest, nextEveryone time.Time
	for ; ctx.Err() == nil; kernel.Sleep(ctx, p.Interval()) {
		p.expire()
		p.measureAge()
		p.tellSuspects(clock.Now())
		r := p.ownReport()
		relays, fans := p.relays(), p.fans()
		p.follow(!relays && (fans || p.hearsDigests()))
		p.setPending(r.Uses, relays)
		now := clock.Now()
		if relays && !now.Before(nextSummary) {
			if s := p.summary(r); summary.due(s) {
				if !p.sendRemote(s) {
					p.keepPending(s.Uses)
				}
				nextSummary = now.Add(p.pause(s))
			}
		}
		if relays && fans && !now.Before(nextDigest) {
			if d := p.digest(r); digest.due(d) {
				p.toAll(datagram{Report: d}, p.neighbourAddrs())
				nextDigest = now.Add(p.pauseFor(d, digestShare))
			}
		}
		if own.due(r) {
			everyone := !now.Before(nextEveryone)
			p.sendOwn(r, everyone)
			if everyone {
				nextEveryone = now.Add(quietInterval)
			}
		}
	}
}

// sendOwn sends this VM's report.
func (p *Peers) sendOwn(r *report, everyone bool) {
	p.mu.Lock()
	p.keepTold(workOf(r.Work))
	p.mu.Unlock()
	p.toAll(datagram{Report: r}, p.reportTo(everyone))
}

// ownReport returns this VM's report. It takes the uses from the placer.
func (p *Peers) ownReport() *report {
	r := &report{
		From: p.self, Incarnation: p.incarnation, Work: itemsOf(p.placer.Own()),
		Uses: usesOf(p.placer.TakeUses(), mark(p.self.VM)), Changing: p.orders.Open(),
	}
	r.Holds = p.duty != nil && p.duty() != 0
	var readAt []time.Time
	for _, f := range p.followed {
		readAt = append(readAt, f.ReadAt())
		r.ClocksMS = append(r.ClocksMS, uint64(f.ReadClock().Milliseconds()))
		r.Newest = append(r.Newest, f.Newest())
	}
	r.AgesMS = agesOf(readAt, clock.Now())
	return r
}

// neighbourAddrs returns the addresses of the other VMs of this data centre.
func (p *Peers) neighbourAddrs() []netip.AddrPort {
	return p.addrsOf(p.self.DataCentre)
}

func (p *Peers) addrsOf(dataCentre string) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs(dataCentre)
}

// addrs is addrsOf for a caller that holds p.mu.
func (p *Peers) addrs(dataCentre string) []netip.AddrPort {
	to := make([]netip.AddrPort, 0, len(p.members))
	for vm, m := range p.members {
		if vm != p.self.VM && m.DataCentre == dataCentre {
			to = append(to, m.addr)
		}
	}
	return to
}

func (p *Peers) toAll(d datagram, to []netip.AddrPort) {
	data := encode(d)
	if len(data) > maxDatagram {
		// News that is not sent is asked for; a report that is not sent lapses.
		p.log.Warn(telemetry.EventBadDatagram, telemetry.F("bytes", len(data)), telemetry.F("limit", maxDatagram))
		return
	}
	for _, addr := range to {
		// A datagram that cannot be sent is followed by the next report.
		_, _ = p.conn.WriteToUDPAddrPort(data, addr)
	}
}

// encode returns v as CBOR. Only this package's types are encoded, which cannot
// fail.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("peers: encode: " + err.Error())
	}
	return data
}

func (p *Peers) receive(ctx context.Context) {
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
			p.takeHello(*d.Hello)
		case d.News != nil:
			p.takeNews(d.News)
		case d.Question != nil:
			p.takeQuestion(d.Question)
		case d.Answer != nil:
			p.takeAnswer(d.Answer)
		case d.Words != nil:
			p.takeWords(d.Words)
		case d.Report != nil && d.Report.From.VM != p.self.VM:
			p.takeReport(d.Report)
		}
	}
}

// takeReport takes in a report, and passes a summary of another data centre on
// where this VM is its own data centre's relay.
func (p *Peers) takeReport(r *report) {
	addr, err := netip.ParseAddrPort(r.From.Address)
	if err != nil {
		p.log.Warn(telemetry.EventBadDatagram, telemetry.F("peer", r.From.VM), telemetry.F("cause", err))
		return
	}
	if own := r.From.DataCentre == p.self.DataCentre; own == r.Summary {
		// Reports and digests are for the own data centre, summaries for the others.
		return
	}
	taken, counts := p.note(r, addr)
	if !taken {
		return
	}
	if counts {
		p.placer.Observe(placeUses(r.Uses, mark(p.self.VM)), clock.Now())
	}
	p.learn(r.From, addr)
	p.compare(r)
	if r.Summary && !r.Forwarded {
		p.passOn(r)
	}
}

// passOn passes a summary of another data centre on to the VMs of this one. Where
// this VM is not the relay, as its sender believes, the relay gets it.
func (p *Peers) passOn(r *report) {
	if relay, ok := p.relayAddr(); ok {
		p.toAll(datagram{Report: r}, []netip.AddrPort{relay})
		return
	}
	if p.fans() {
		// The next digest holds it.
		return
	}
	r.Forwarded = true
	p.toAll(datagram{Report: r}, p.neighbourAddrs())
}

// note remembers a report unless a newer one is known. It returns whether it was taken, and
// whether it counts for what is known of the others' work.
func (p *Peers) note(r *report, addr netip.AddrPort) (taken, counts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, key := p.heard, r.From.VM
	if r.Summary || r.Digest {
		all, key = p.centres, r.From.DataCentre
	}
	s := all[key]
	if s != nil && s.fresh() && s.from.VM == r.From.VM &&
		(r.Incarnation < s.incarnation || (r.Incarnation == s.incarnation && r.Number <= s.number)) {
		return false, false
	}
	next := &heardState{
		from: r.From, addr: addr, incarnation: r.Incarnation, number: r.Number, at: clock.Now(), digest: r.Digest,
		work: workOf(r.Work), newest: r.Newest, changing: r.Changing, readAt: r.readAt(clock.Now()),
		clocks: r.ClocksMS, holds: r.Holds,
	}
	var before map[string]place.Work
	if s != nil {
		before = s.work
		next.gap = s.gap + (next.at.Sub(s.at)-s.gap)/gapSamples
	}
	if r.Digest {
		p.noteRelay(r, addr)
		next.work = p.others(next.work)
	} else {
		p.keepUses(r.Uses, !r.Summary)
	}
	p.mostListed = max(p.mostListed, r.Listed)
	if p.counts(next) {
		p.replace(before, next.work)
	}
	all[key] = next
	return true, p.counts(next)
}
