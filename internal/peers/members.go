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
	// KeyPrefix is where members stand in the store.
	KeyPrefix = "vm/"
	// registerSpread is the time over which the VMs of a group that starts for the
	// first time write their records. The store carries out some 150 writes a second,
	// one after another, and refuses those that would wait for over a second: 300 VMs
	// at once would be refused several times each.
	registerSpread = 2 * time.Second
	// How often the members are listed: soon after the start, when others start
	// too, and seldom later, as a new VM tells all that it has listed.
	firstList = 3 * time.Second
	laterList = 30 * time.Second
	// listPerVM makes it seldomer in a large group: all VMs together list once in it.
	listPerVM = time.Second
)

// registering spreads calls that fail: a store that refuses too many calls would be called as
// often again by as many VMs.
var registering = kernel.Retrying{First: 300 * time.Millisecond, Most: 3 * time.Second, Timeout: 2 * time.Second}

// register sees to it that this VM's record stands, and lists the others', again and
// again.
func (p *Peers) register(ctx context.Context) {
	p.join(ctx)
	close(p.joined)
	p.hello()
	kernel.Sleep(ctx, firstList)
	if !p.PassesOn() {
		p.relist(ctx)
	}
	for ctx.Err() == nil {
		kernel.Sleep(ctx, max(laterList, time.Duration(p.Size())*listPerVM))
		p.relist(ctx)
	}
}

// join writes this VM's record, unless it stands, and lists the members after that: of
// two VMs that register at once, one at least finds the other.
func (p *Peers) join(ctx context.Context) {
	if p.firstStart {
		kernel.Sleep(ctx, rand.N(registerSpread))
	} else {
		kernel.Until(ctx, registering, p.list)
		if p.registered() {
			return
		}
	}
	kernel.Until(ctx, registering, p.write)
	kernel.Until(ctx, registering, p.list)
}

func (p *Peers) relist(ctx context.Context) {
	kernel.Until(ctx, registering, p.list)
	p.hello()
}

// registered reports whether this VM's record was listed as it must stand: a restarted
// process finds the one of the process before.
func (p *Peers) registered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[p.self.VM].Member == p.self
}

// write writes this VM's record.
func (p *Peers) write(ctx context.Context) error {
	value, err := json.Marshal(p.self)
	if err != nil {
		// Only strings and numbers are encoded.
		panic("peers: encode member: " + err.Error())
	}
	_, err = p.table.Commit(ctx, store.Txn{Puts: []store.Put{{Key: KeyPrefix + p.self.VM, Value: value}}})
	return err
}

// list reads the members' records.
func (p *Peers) list(ctx context.Context) error {
	records, err := p.table.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	for _, r := range records {
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("key", r.Key), telemetry.F("revision", r.Version), telemetry.F("cause", err))
			continue
		}
		addr, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
			continue
		}
		p.learn(m, addr)
	}
	return nil
}

// hello tells the listed VMs of this one, as reports do not reach all of them: shares of
// common limits count it at once.
func (p *Peers) hello() {
	p.mu.Lock()
	var to []netip.AddrPort
	for _, m := range p.members {
		if m.VM != p.self.VM {
			to = append(to, m.addr)
		}
	}
	p.mu.Unlock()
	p.toAll(datagram{Hello: &p.self}, to)
}

func (p *Peers) takeHello(m Member) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
		return
	}
	p.learn(m, addr)
}

// learn takes in a member.
func (p *Peers) learn(m Member, addr netip.AddrPort) {
	p.mu.Lock()
	known, ok := p.members[m.VM]
	since := known.since
	if known.addr != addr {
		since = clock.Now()
	}
	p.members[m.VM] = listed{Member: m, addr: addr, since: since}
	p.mu.Unlock()
	if !ok || known.addr != addr {
		p.log.Info(telemetry.EventPeerState, telemetry.F("peer", m.VM), telemetry.F("address", m.Address))
	}
}
