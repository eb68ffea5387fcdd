package peers

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// MembersTable is the name under which copies of the members are provided.
const MembersTable = "members"

// Copier copies tables from other VMs. snapshot.Client implements it.
type Copier interface {
	// Fetch returns a copy of a table. If wait is set and no VM has one yet, Fetch asks again until
	// ctx ends.
	Fetch(ctx context.Context, table string, revision uint64, wait bool) (snapshot.Snapshot, error)
}

// SetCopier makes this VM copy the members of other data centres from VMs of its own. It must be
// called before Start.
func (p *Peers) SetCopier(c Copier) { p.copier = c }

// Snapshot implements snapshot.Provider. It returns a copy of the members, or false if this VM has
// not read those of all data centres.
func (p *Peers) Snapshot() (snapshot.Snapshot, bool) {
	if !p.readAll.Load() {
		return snapshot.Snapshot{}, false
	}
	p.mu.Lock()
	members := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		members = append(members, m.Member)
	}
	p.mu.Unlock()
	return snapshot.Snapshot{Data: snapshot.Compress(encode(members))}, true
}

// copyMembers copies the members from another VM of this data centre. It returns false if this VM
// has to read them itself: because it has one of the highest ranks, or because it has got no copy.
func (p *Peers) copyMembers(ctx context.Context) bool {
	p.mu.Lock()
	rank := p.rank()
	p.mu.Unlock()
	if p.copier == nil || rank < heartbeatSenders {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, copyWait)
	defer cancel()
	s, err := p.copier.Fetch(ctx, MembersTable, 0, true)
	var data []byte
	if err == nil {
		data, err = snapshot.Decompress(s.Data)
	}
	var members []Member
	if err == nil {
		err = cbor.Unmarshal(data, &members)
	}
	fields := []telemetry.Field{telemetry.F("table", MembersTable), telemetry.F("rows", len(members)), telemetry.F("bytes", len(s.Data))}
	if err != nil {
		p.log.Info(telemetry.EventCopied, append(fields, telemetry.F("cause", err))...)
		return false
	}
	p.log.Info(telemetry.EventCopied, fields...)
	for _, m := range members {
		addr, err := memberAddress(m)
		if err != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
			continue
		}
		p.setMember(m, addr)
	}
	p.readAll.Store(true)
	return true
}

// Checks at compile time that Peers implements snapshot.Provider.
var _ snapshot.Provider = (*Peers)(nil)
