package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// KeyPrefix is the prefix of the keys of member records in the store. The name of the data
	// centre and that of the VM follow, with a slash between them.
	KeyPrefix = "vm/"
	// copyWait is how long a VM waits for a copy of the members from another VM.
	copyWait = time.Second
	// registerSpread is the time over which the VMs of a group that starts for the first time
	// write their records, each at a random moment. The store executes about 150 writes a second,
	// one after another, and rejects writes that would wait for more than a second: 300 VMs
	// writing at once would each be rejected several times.
	registerSpread = 2 * time.Second
	// registerSlack is how long after registerSpread the VMs of such a group read the records. All
	// have been written by then, so that no VM has to announce itself to the others. The VMs start
	// within some tenths of a second of each other.
	registerSlack = 600 * time.Millisecond
	// firstReadDelay is the time after registration at which a VM reads the member records again,
	// because other VMs may have started at the same time. memberReadInterval is the minimum time
	// between later reads. That time is long, because a new VM announces itself to all members.
	firstReadDelay     = 3 * time.Second
	memberReadInterval = 30 * time.Second
	// memberReadIntervalPerVM times the number of VMs in the group is the time between later reads
	// in a large group, so that all VMs together read the records about once in
	// memberReadIntervalPerVM.
	memberReadIntervalPerVM = time.Second
)

// registerRetry is the policy for retries of calls to the store. It spreads them over time: a store
// that rejects calls because there are too many would otherwise receive as many again.
var registerRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: 3 * time.Second,
	Timeout: 2 * time.Second}

// registerLoop registers this VM in the store, announces it to the other VMs, and then reads the
// member records periodically until ctx ends.
func (p *Peers) registerLoop(ctx context.Context) {
	announced := p.join(ctx)
	close(p.joined)
	if !announced {
		p.sendHello()
	}
	kernel.Sleep(ctx, firstReadDelay)
	if !p.ForwardsChanges() {
		p.refreshMembers(ctx)
	}
	for ctx.Err() == nil {
		kernel.Sleep(ctx, max(memberReadInterval, time.Duration(p.Size())*memberReadIntervalPerVM))
		p.refreshMembers(ctx)
	}
}

// join writes this VM's record unless it already exists, and then reads the member records. Because
// each VM writes before it reads, at least one of two VMs that register at the same time sees the
// other. join returns whether the other VMs know this VM from its record.
func (p *Peers) join(ctx context.Context) (announced bool) {
	if p.firstStart {
		return p.joinNewGroup(ctx)
	}
	kernel.RetryUntilDone(ctx, registerRetry, p.readMembers)
	if p.registered() {
		return false
	}
	kernel.RetryUntilDone(ctx, registerRetry, p.writeRecord)
	kernel.RetryUntilDone(ctx, registerRetry, p.readMembers)
	return false
}

// joinNewGroup is join for a group that starts for the first time. A thousand VMs that announced
// themselves to each other would send half a million datagrams, and VMs that do not know each other
// yet would take each other's part in reading the store.
func (p *Peers) joinNewGroup(ctx context.Context) (announced bool) {
	began := clock.Now()
	kernel.Sleep(ctx, rand.N(registerSpread))
	kernel.RetryUntilDone(ctx, registerRetry, p.writeRecord)
	announced = clock.Since(began) <= registerSpread+registerSlack/3
	kernel.Sleep(ctx, registerSpread+registerSlack-clock.Since(began))
	kernel.RetryUntilDone(ctx, registerRetry, p.readMembers)
	return announced
}

// refreshMembers reads the member records and announces this VM to all members.
func (p *Peers) refreshMembers(ctx context.Context) {
	kernel.RetryUntilDone(ctx, registerRetry, p.readMembers)
	p.sendHello()
}

// registered returns whether the store holds this VM's current record, as of the last read. A
// restarted process finds the record that the previous process of the VM wrote.
func (p *Peers) registered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[p.self.VM].Member == p.self
}

// writeRecord replaces this VM's record in the store, on the condition that it has not changed since it was
// last read. A write of an earlier process of the VM that is executed late has no effect then.
func (p *Peers) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(p.self)
	if err != nil {
		// Strings and numbers always encode.
		panic("peers: encode member: " + err.Error())
	}
	key := RecordKey(p.self)
	_, err = p.table.Commit(ctx, store.Txn{
		Conds: []store.Cond{{Key: key, Version: p.recordVersion}}, Puts: []store.Put{{Key: key, Value: value}}})
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if err := p.readRecords(ctx, key); err != nil {
		return err
	}
	if p.registered() {
		return nil
	}
	return err
}

// RecordKey returns the key of a VM's member record.
func RecordKey(m Member) string { return KeyPrefix + m.DataCentre + "/" + m.VM }

// readMembers reads the member records of this data centre from the store, and those of all others
// too if this VM has one of the highest ranks. The other VMs copy them from such a VM.
func (p *Peers) readMembers(ctx context.Context) error {
	if err := p.readRecords(ctx, RecordKey(Member{DataCentre: p.self.DataCentre})); err != nil {
		return err
	}
	if p.copyMembers(ctx) {
		return nil
	}
	if err := p.readRecords(ctx, KeyPrefix); err != nil {
		return err
	}
	p.readAll.Store(true)
	return nil
}

// readRecords reads the member records whose keys have the given prefix. It logs and skips invalid
// ones.
func (p *Peers) readRecords(ctx context.Context, prefix string) error {
	records, err := p.table.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Key == RecordKey(p.self) {
			p.recordVersion = r.Version
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			p.log.BadRow(r.Key, r.Version, err)
			continue
		}
		addr, err := memberAddress(m)
		if err == nil && r.Key != RecordKey(m) {
			err = errors.Errorf("the record is that of VM %q in data centre %q", m.VM, m.DataCentre)
		}
		if err != nil {
			p.log.BadRow(r.Key, r.Version, err)
			continue
		}
		p.setMember(m, addr)
	}
	p.log.Info(telemetry.EventPeerState, telemetry.F("read", prefix), telemetry.F("rows", len(records)))
	return nil
}

// memberAddress returns the address of a member. It fails if no datagram can be sent to it.
func memberAddress(m Member) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return addr, err
	}
	if m.VM == "" || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return addr, errors.Errorf("VM %q has the address %s", m.VM, m.Address)
	}
	return addr, nil
}

// sendHello announces this VM to all known VMs. They must count this VM at once when they compute
// their shares of common limits, and this VM's reports do not reach all of them.
func (p *Peers) sendHello() {
	p.mu.Lock()
	var to []netip.AddrPort
	for _, m := range p.members {
		if m.VM != p.self.VM {
			to = append(to, m.addr)
		}
	}
	p.mu.Unlock()
	p.sendTo(datagram{Hello: &p.self}, to)
}

// handleHello adds a VM that has announced itself.
func (p *Peers) handleHello(m Member) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
		return
	}
	p.addMember(m, addr)
}

// addMember adds a member, or updates it if the VM is known already, and logs that.
func (p *Peers) addMember(m Member, addr netip.AddrPort) {
	if p.setMember(m, addr) {
		p.log.Info(telemetry.EventPeerState, telemetry.F("peer", m.VM), telemetry.F("address", m.Address))
	}
}

// setMember adds or updates a member. It returns whether the VM was not known, or not with this
// address.
func (p *Peers) setMember(m Member, addr netip.AddrPort) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.members[m.VM]
	since := known.since
	if known.addr != addr {
		since = clock.Now()
	}
	if !ok || known.Member != m || known.addr != addr {
		p.members[m.VM] = knownMember{Member: m, addr: addr, since: since}
		p.membersChanged = true
	}
	return !ok || known.addr != addr
}
