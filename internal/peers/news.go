package peers

import (
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// changeGrace is how long comparePositions waits for changes that another VM has reported,
	// because this VM's own call or a sentinel's datagram may be about to deliver it.
	changeGrace = 600 * time.Millisecond
	// forwardMinVMs is the minimum group size in which sentinels forward the changes that they
	// read, so that the other VMs do not poll the store for them. In smaller groups, the calls
	// saved are worth less than the up-to-date data that each VM gets by reading the store itself.
	forwardMinVMs = 12
)

// ForwardsChanges returns whether the sentinels of the group forward the changes that they read.
func (p *Peers) ForwardsChanges() bool { return p.Size() >= forwardMinVMs }

// Publish sends changes of a followed table to the VMs of this data centre, if this VM is a
// sentinel of a group that forwards changes.
func (p *Peers) Publish(table string, d store.Delta) {
	if !p.ForwardsChanges() || !p.Sentinel() {
		return
	}
	for i, f := range p.followed {
		if f.Name() != table {
			continue
		}
		to := p.localAddrs()
		for _, part := range splitDelta(d, maxDeltaBytes) {
			delta := encodeDelta(i, part)
			forwarded := datagram{Delta: delta}
			if d.Until > 0 {
				forwarded = datagram{Difference: &tableDifference{Delta: *delta, Until: d.Until}}
			}
			if len(encode(forwarded)) > maxDatagram {
				delta.Rows, delta.Packed, delta.TooLarge = nil, nil, f.Position().Revision
				forwarded = datagram{Delta: delta}
			}
			p.sendTo(forwarded, to)
		}
	}
}

// maxDeltaBytes limits the rows of one part of forwarded changes, in bytes before they are compressed
// to about a fifth. A part may exceed it by one transaction.
const maxDeltaBytes = 160 << 10

// splitDelta splits changes into successive parts of at most maxBytes each, so that they fit into
// datagrams. The changes of one revision stay together. Each part can be applied once the one before
// has been. A difference stays whole: its rows are not those of the revisions in between.
//
// Load pattern: hundreds of targets change within the time between two calls of a sentinel. Changes
// that did not fit were read from the store by each VM, some of them seconds later.
func splitDelta(d store.Delta, maxBytes int) []store.Delta {
	if d.Until > 0 {
		return []store.Delta{d}
	}
	var parts []store.Delta
	part, size := d, 0
	part.Rows.Rows = nil
	for i, r := range d.Rows.Rows {
		newRevision := i > 0 && r.Version > d.Rows.Rows[i-1].Version
		if newRevision && size+len(r.Key)+len(r.Value) > maxBytes {
			part.Rows.Revision = d.Rows.Rows[i-1].Version
			parts = append(parts, part)
			part.From, part.Rows.Revision, part.Rows.Rows, size = part.Rows.Revision, d.Rows.Revision, nil, 0
		}
		part.Rows.Rows = append(part.Rows.Rows, r)
		size += len(r.Key) + len(r.Value)
	}
	return append(parts, part)
}

// SnapshotSources returns the addresses of the VMs of this data centre that are the first to have
// copies of the followed tables: those of the highest rank, among which are the sentinels.
func (p *Peers) SnapshotSources() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range p.liveByRank()[:min(heartbeatSenders, len(p.liveByRank()))] {
		if m.VM != p.self.VM {
			out = append(out, m.Address)
		}
	}
	return out
}

// handleDelta passes forwarded changes to the followed table that they belong to. until is store.Delta.Until.
func (p *Peers) handleDelta(n *tableDelta, until uint64) {
	switch {
	case n.TableIndex < 0 || n.TableIndex >= len(p.followed):
	case n.TooLarge > 0:
		if !p.Sentinel() {
			p.followed[n.TableIndex].NotifyNewer(n.TooLarge)
		}
	default:
		if err := n.unpack(); err != nil {
			p.log.Warn(telemetry.EventBadDatagram, telemetry.F("cause", err))
			return
		}
		d := n.decode()
		d.Until = until
		p.followed[n.TableIndex].Offer(d)
	}
}

// comparePositions passes the positions in a report to the followed tables. If this VM's copy of a table
// lacks changes that the other copy holds, and does not reach its revision within changeGrace,
// comparePositions calls NotifyNewer on the table.
func (p *Peers) comparePositions(r *report) {
	positions, asOf := r.positions(), r.readTimes(clock.Now())
	for i, f := range p.followed {
		if i >= min(len(positions), len(asOf)) {
			return
		}
		if !f.ObservePeer(positions[i], asOf[i], r.storeTime(i)) || !p.startGrace(i) {
			continue
		}
		revision := positions[i].Revision
		time.AfterFunc(changeGrace, func() {
			p.endGrace(i)
			f.NotifyNewer(revision)
		})
	}
}

// startGrace starts the grace period of the followed table with index i, for which comparePositions
// waits for changes. It returns false if a grace period of the table is running already, because many
// reports a second state the same position.
func (p *Peers) startGrace(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inGrace[i] {
		return false
	}
	p.inGrace[i] = true
	return true
}

// endGrace ends the grace period of the followed table with index i.
func (p *Peers) endGrace(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inGrace[i] = false
}
