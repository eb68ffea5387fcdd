package peers

import (
	"context"
	"encoding/json"
	"net/netip"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
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
		p.learn(m)
	}
	return nil
}

// learn takes in a member.
func (p *Peers) learn(m Member) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		p.log.Warn(telemetry.EventBadRow, telemetry.F("peer", m.VM), telemetry.F("cause", err))
		return
	}
	p.mu.Lock()
	before, known := p.members[m.VM]
	p.members[m.VM] = addr
	p.mu.Unlock()
	if !known || before != addr {
		p.log.Info(telemetry.EventPeerState, telemetry.F("peer", m.VM), telemetry.F("address", m.Address))
	}
}
