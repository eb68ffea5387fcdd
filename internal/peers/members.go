package peers

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// KeyPrefix is where members stand in the store.
	KeyPrefix = "vm/"
	// registerBackoff is the wait between tries to write one's own record.
	registerBackoff = 300 * time.Millisecond
	registerTimeout = 2 * time.Second
	// How often the members are listed: soon after the start, when others start
	// too, and seldom later, as a new VM tells all that it has listed.
	firstList = 3 * time.Second
	laterList = 30 * time.Second
)

// register writes this VM's record until it stands, and then lists the others'.
func (p *Peers) register(ctx context.Context) {
	value, err := json.Marshal(p.self)
	if err != nil {
		// Only strings are encoded.
		panic("peers: encode member: " + err.Error())
	}
	p.until(ctx, func(call context.Context) error {
		_, err := p.table.Commit(call, store.Txn{Puts: []store.Put{{Key: KeyPrefix + p.self.VM, Value: value}}})
		return err
	})
	for wait := firstList; ctx.Err() == nil; wait = laterList {
		p.until(ctx, p.list)
		p.hello()
		kernel.Sleep(ctx, wait)
	}
}

// until calls f until it succeeds.
func (p *Peers) until(ctx context.Context, f func(context.Context) error) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		err := f(call)
		cancel()
		if err == nil {
			return
		}
		kernel.Sleep(ctx, registerBackoff)
	}
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

// hello tells the listed VMs of other data centres of this one, as reports do
// not reach them: shares of common limits count it at once.
func (p *Peers) hello() {
	p.mu.Lock()
	var to []netip.AddrPort
	for _, m := range p.members {
		if m.DataCentre != p.self.DataCentre {
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
	p.members[m.VM] = listed{Member: m, addr: addr}
	p.mu.Unlock()
	if !ok || known.addr != addr {
		p.log.Info(telemetry.EventPeerState, telemetry.F("peer", m.VM), telemetry.F("address", m.Address))
	}
}
