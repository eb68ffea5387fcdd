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
	// maxPendingUses bounds the uses that wait to be told to other data centres:
	// those of about half a second at the grown sites.
	maxPendingUses = 512
	// sentinels is how many VMs of all data centres watch the store closely.
	sentinels = 4
	// relayShare is the part of a relay's link that summaries may take, and
	// maxPause the longest pause between them, well below maxAge.
	relayShare = 0.2
	maxPause   = 400 * time.Millisecond
	// largeCentre is the number of VMs from which a data centre has two
	// sentinels at least, so that the loss of one leaves the other.
	largeCentre = 5
)

// order compares the VMs of a data centre for its duties: those with the faster
// link come first, then by name.
func order(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.VM, b.VM))
}

// rank is this VM's place among those of its data centre that are up, as far as is
// known; the caller holds p.mu.
func (p *Peers) rank() int {
	return slices.IndexFunc(p.first(), func(m listed) bool { return m.VM == p.self.VM })
}

// up reports whether a VM of this data centre is taken for up: it is heard, or has been
// listed so short a time ago that it need not have been heard. Else each VM of a group
// that starts would take the duties of all, and call the store for them. The caller
// holds p.mu.
func (p *Peers) up(m listed) bool {
	if s := p.heard[m.VM]; s != nil {
		return s.fresh()
	}
	return clock.Since(m.since) <= maxAge
}

// relays reports whether this VM is its data centre's relay.
func (p *Peers) relays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank() == 0
}

// relayAddr returns the address of this data centre's relay, or false where that
// is this VM.
func (p *Peers) relayAddr() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.first()[0].addr
	return addr, addr.IsValid()
}

// Sentinel reports whether this VM is one of the few that watch the store
// closely.
func (p *Peers) Sentinel() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank() < p.sentinelsHere()
}

// sentinelsHere is the number of sentinels of this data centre; the caller holds
// p.mu.
func (p *Peers) sentinelsHere() int {
	centres := map[string]bool{p.self.DataCentre: true}
	own := 1
	for vm, m := range p.members {
		centres[m.DataCentre] = true
		if vm != p.self.VM && m.DataCentre == p.self.DataCentre {
			own++
		}
	}
	n := max(int(math.Round(sentinels/float64(len(centres)))), 1)
	if own >= largeCentre {
		n = max(n, 2)
	}
	return n
}

// keepUses keeps uses for the next summary, where they are of this data centre, and for the
// next digest. The caller holds p.mu.
func (p *Peers) keepUses(uses []use, here bool) {
	if here && len(p.pendingUses) < maxPendingUses {
		p.pendingUses = append(p.pendingUses, uses...)
	}
	if len(p.digestUses) < maxPendingUses {
		p.digestUses = append(p.digestUses, uses...)
	}
}

// setPending keeps this VM's uses for the next summary and digest where this VM makes them.
// Else all are dropped: the relay has them too.
func (p *Peers) setPending(uses []use, relays bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !relays {
		p.pendingUses, p.digestUses = nil, nil
		return
	}
	p.keepUses(uses, true)
}

// pause is how long after a summary the next one waits: the relay of the other
// data centre passes it on to each of its VMs, which may take a part of its link
// only. In a large fleet summaries are large.
func (p *Peers) pause(r *report) time.Duration { return p.pauseFor(r, relayShare) }

// pauseFor is how long a report to as many VMs as there are in this data centre takes up a
// share of this VM's link.
func (p *Peers) pauseFor(r *report, share float64) time.Duration {
	if p.self.LinkMbps <= 0 {
		return 0
	}
	bits := 8 * float64(len(encode(r))) * float64(p.neighbours())
	us := bits / (share * p.self.LinkMbps)
	return min(time.Duration(us*float64(time.Microsecond)), maxPause)
}

// summary returns the sums of this data centre, own being this VM's report.
func (p *Peers) summary(own *report) *report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.sumOf(own, slices.Collect(maps.Values(p.heard)))
	r.Summary, r.Uses = true, p.pendingUses
	p.pendingUses = nil
	return r
}

// sumOf returns the sums of this VM's report and what others said; the caller holds p.mu.
func (p *Peers) sumOf(own *report, others []*heardState) *report {
	work := workOf(own.Work)
	newest := append([]uint64(nil), own.Newest...)
	// No row was newer than a copy's newest at its time, and none of the copies is
	// newer than the sum's: the latest of the times holds for that.
	now := clock.Now()
	holds := own.Holds
	readAt, clocks := own.readAt(now), slices.Clone(own.ClocksMS)
	changing := make(map[string]fleet.Stage, len(own.Changing))
	maps.Copy(changing, own.Changing)
	for _, s := range others {
		if !s.fresh() {
			continue
		}
		for target, more := range s.work {
			work[target] = work[target].Plus(more)
		}
		for i := range min(len(newest), len(s.newest)) {
			newest[i] = max(newest[i], s.newest[i])
		}
		maps.Copy(changing, s.changing)
		holds = holds || s.holds
		readAt = latest(readAt, s.readAt)
		for i := range min(len(clocks), len(s.clocks)) {
			clocks[i] = max(clocks[i], s.clocks[i])
		}
	}
	r := &report{From: p.self, Incarnation: p.incarnation, Work: itemsOf(work), Newest: newest, Changing: changing}
	r.Holds = holds
	r.AgesMS, r.ClocksMS, r.Listed = agesOf(readAt, now), clocks, p.count()
	return r
}

// latest returns the later one of each two times.
func latest(a, b []time.Time) []time.Time {
	for i := range min(len(a), len(b)) {
		if b[i].After(a[i]) {
			a[i] = b[i]
		}
	}
	return a
}

// sendRemote sends a summary to the relay of each other data centre, or to all
// of its VMs where none has been heard of late. It returns false where there are others and
// none was sent to.
func (p *Peers) sendRemote(r *report) bool {
	d, relays := datagram{Report: r}, p.remoteRelays()
	sent := len(relays) == 0
	for dataCentre, relay := range relays {
		switch {
		case relay != nil:
			p.toAll(d, []netip.AddrPort{relay.addr})
		case p.mayAnnounce(dataCentre):
			p.toAll(d, p.addrsOf(dataCentre))
		default:
			continue
		}
		sent = true
	}
	return sent
}

// keepPending keeps uses for the next summary: what is told once only is not to be lost while
// no other data centre's relay has been heard yet.
func (p *Peers) keepPending(uses []use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingUses) < maxPendingUses {
		p.pendingUses = append(p.pendingUses, uses...)
	}
}

// remoteRelays returns the relay of each other data centre that has members, nil
// where none is heard.
func (p *Peers) remoteRelays() map[string]*heardState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*heardState)
	for _, m := range p.members {
		if m.DataCentre == p.self.DataCentre {
			continue
		}
		out[m.DataCentre] = nil
		if s := p.centres[m.DataCentre]; s != nil && s.fresh() {
			out[m.DataCentre] = s
		}
	}
	return out
}

// mayAnnounce bounds how often all VMs of a data centre without a known relay are
// sent a summary.
func (p *Peers) mayAnnounce(dataCentre string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clock.Since(p.announced[dataCentre]) < quietInterval {
		return false
	}
	p.announced[dataCentre] = clock.Now()
	return true
}
