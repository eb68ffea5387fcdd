package peers

import (
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
)

// topologyTTL is how long a topology is used. It is short compared with maxReportAge, after which a
// VM no longer counts as live. Without it each datagram would have all members looked at.
const topologyTTL = 100 * time.Millisecond

// topology is what this VM derives from the members and their last reports.
type topology struct {
	// at is when live was determined.
	at time.Time
	// local holds the VMs of this data centre in the order of compareRank, and live those of them
	// that are considered live. Both include this VM.
	local []knownMember
	live  []knownMember
	// rank is this VM's index in live.
	rank int
	// index is the number of known VMs of all data centres whose names sort before this VM's.
	index int
	// others holds all known VMs but this one.
	others []knownMember
	// withoutPath holds the VMs that, by their last reports, reach no target directly.
	withoutPath map[string]bool
	// dataCentres holds the names of all data centres.
	dataCentres []string
}

// currentTopology returns the topology. The caller must hold p.mu and not change the result.
func (p *Peers) currentTopology() *topology {
	now := clock.Now()
	t := &p.topology
	if p.membersChanged || t.local == nil {
		p.membersChanged = false
		*t = p.newTopology()
	} else if now.Sub(t.at) < topologyTTL {
		return t
	}
	t.at, t.live, t.rank = now, t.live[:0], 0
	t.withoutPath = p.vmsWithoutPath()
	for _, m := range t.local {
		if m.VM == p.self.VM {
			t.rank = len(t.live)
		} else if !p.isLive(m) {
			continue
		}
		t.live = append(t.live, m)
	}
	return t
}

// newTopology returns a topology in which no VM is live. The caller must hold p.mu.
func (p *Peers) newTopology() topology {
	t := topology{local: []knownMember{{Member: p.self}}, dataCentres: []string{p.self.DataCentre}}
	seen := map[string]bool{p.self.DataCentre: true}
	for vm, m := range p.members {
		if vm < p.self.VM {
			t.index++
		}
		if vm != p.self.VM {
			t.others = append(t.others, m)
		}
		if vm != p.self.VM && m.DataCentre == p.self.DataCentre {
			t.local = append(t.local, m)
		}
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			t.dataCentres = append(t.dataCentres, m.DataCentre)
		}
	}
	slices.SortFunc(t.local, func(a, b knownMember) int { return compareRank(a.Member, b.Member) })
	return t
}

// liveByRank returns the live VMs of this data centre, this one included, in the order in which
// they become relay. The caller must hold p.mu and not keep the result.
func (p *Peers) liveByRank() []knownMember { return p.currentTopology().live }

// rank returns this VM's index among the live VMs of its data centre, ordered by compareRank. The
// VM with rank 0 is the relay. The caller must hold p.mu.
func (p *Peers) rank() int { return p.currentTopology().rank }

// localVMs returns the number of known VMs of this data centre, this one included.
func (p *Peers) localVMs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.currentTopology().local)
}
