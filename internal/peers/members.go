package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// KeyPrefix is the prefix of the keys of member records in the store.
	KeyPrefix = "vm/"
	// registerSpread is the time over which the VMs of a group that starts for the first time
	// write their records. The store executes about 150 writes a second, one after another, and
	// rejects writes that would wait for more than a second: 300 VMs writing at once would each
	// be rejected several times.
	registerSpread = 2 * time.Second
	// Members are listed soon after the start, when other VMs start too, and rarely after that,
	// because a new VM announces itself to all members that it has listed.
	firstListDelay = 3 * time.Second
	listInterval   = 30 * time.Second
	// listIntervalPerVM scales the interval with the group: all VMs together list about once in
	// this time.
	listIntervalPerVM = time.Second
)

// registerRetry spreads retries over time. Without it, a store that rejects calls because of
// their number would receive just as many again.
var registerRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: 3 * time.Second,
	Timeout: 2 * time.Second}

// registerLoop registers this VM in the store and then lists the members periodically.
func (p *Peers) registerLoop(ctx context.Context) {
	p.join(ctx)
	close(p.joined)
	p.sendHello()
	kernel.Sleep(ctx, firstListDelay)
	if !p.ForwardsChanges() {
		p.relist(ctx)
	}
	for ctx.Err() == nil {
		kernel.Sleep(ctx, max(listInterval, time.Duration(p.Size())*listIntervalPerVM))
		p.relist(ctx)
	}
}

// join writes this VM's record unless it already exists, and lists the members after that: if two
// VMs register at the same time, at least one of them sees the other.
func (p *Peers) join(ctx context.Context) {
	if p.firstStart {
		kernel.Sleep(ctx, rand.N(registerSpread))
	} else {
		kernel.RetryUntilDone(ctx, registerRetry, p.listMembers)
		if p.registered() {
			return
		}
	}
	kernel.RetryUntilDone(ctx, registerRetry, p.writeRecord)
	kernel.RetryUntilDone(ctx, registerRetry, p.listMembers)
}

// relist lists the members and announces this VM to them.
func (p *Peers) relist(ctx context.Context) {
	kernel.RetryUntilDone(ctx, registerRetry, p.listMembers)
	p.sendHello()
}

// registered returns whether the store lists this VM's record unchanged. A restarted process
// finds the record of its predecessor.
func (p *Peers) registered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[p.self.VM].Member == p.self
}

// writeRecord writes this VM's record to the store.
func (p *Peers) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(p.self)
	if err != nil {
		// Strings and numbers always encode.
		panic("peers: encode member: " + err.Error())
	}
	_, err = p.table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: KeyPrefix + p.self.VM, Value: value}}})
	return err
}

// listMembers reads the member records of all VMs. It logs and skips invalid ones.
func (p *Peers) listMembers(ctx context.Context) error {
	records, err := p.table.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	for _, r := range records {
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("key", r.Key),
				telemetry.F("revision", r.Version), telemetry.F("cause", err))
			continue
		}
		addr, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
			continue
		}
		p.addMember(m, addr)
	}
	return nil
}

// sendHello announces this VM to all listed VMs. Reports do not reach all of them, and they must
// count this VM at once for their shares of common limits.
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

// addMember adds or updates a member.
func (p *Peers) addMember(m Member, addr netip.AddrPort) {
	p.mu.Lock()
	known, ok := p.members[m.VM]
	since := known.since
	if known.addr != addr {
		since = clock.Now()
	}
	p.members[m.VM] = listedMember{Member: m, addr: addr, since: since}
	p.mu.Unlock()
	if !ok || known.addr != addr {
		p.log.Info(telemetry.EventPeerState, telemetry.F("peer", m.VM), telemetry.F("address", m.Address))
	}
}
