// Package peers lets the VMs tell each other what they have in hand at each
// target, by datagrams. The numbers are soft: one that is lost is followed by
// the next, and one that is old is not counted.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// intervalPerVM is the time between reports while they change, for each VM
	// in the group: what one VM receives stays the same as the group grows,
	// about 800 datagrams a second.
	intervalPerVM = 1250 * time.Microsecond
	// minInterval is the shortest time between reports.
	minInterval = 10 * time.Millisecond
	// quietInterval is the time between reports that say the same.
	quietInterval = 480 * time.Millisecond
	// maxAge is when a report does not count any more.
	maxAge = 1200 * time.Millisecond
	// maxDatagram bounds a report.
	maxDatagram = 16 << 10
	// KeyPrefix is where members stand in the store.
	KeyPrefix = "vm/"
	// registerBackoff is the wait between tries to write one's own record.
	registerBackoff = 300 * time.Millisecond
	registerTimeout = 2 * time.Second
)

// Member is a VM's record in the store.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// report is one VM's work in hand.
type report struct {
	VM string `json:"vm"`
	// Incarnation and Number order the reports of one VM.
	Incarnation int64  `json:"inc"`
	Number      uint64 `json:"n"`
	Work        []item `json:"w"`
	// Uses are the prompts given to targets since the last report.
	Uses []use `json:"u,omitempty"`
}

type use struct {
	Target  string   `json:"t"`
	Parts   []uint64 `json:"h"`
	Missing int      `json:"m"`
}

type item struct {
	Target    string `json:"t"`
	PrefillUS int64  `json:"p"`
	Prefills  int    `json:"q"`
	Running   int    `json:"r"`
	Streams   int    `json:"s"`
	Tokens    int    `json:"k"`
}

// Placer is where this VM's own state is read and others' uses are told.
type Placer interface {
	Own() map[string]place.Work
	TakeUses() []place.Use
	Observe([]place.Use)
}

// Peers exchanges reports with the other VMs.
type Peers struct {
	kernel.Background
	self        Member
	incarnation int64
	table       store.Table
	log         *telemetry.Logger
	placer      Placer
	conn        *net.UDPConn

	mu      sync.Mutex
	members map[string]netip.AddrPort
	heard   map[string]*peerState
}

type peerState struct {
	incarnation int64
	number      uint64
	at          time.Time
	work        map[string]place.Work
}

// New returns peers that know only this VM.
func New(self Member, incarnation int64, table store.Table, log *telemetry.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, table: table, log: log,
		members: make(map[string]netip.AddrPort), heard: make(map[string]*peerState),
	}
}

// SetPlacer sets the placer that reports are about; it is called before Start.
func (p *Peers) SetPlacer(placer Placer) { p.placer = placer }

// Start listens, registers this VM in the store and begins to report.
func (p *Peers) Start(context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", p.self.Address)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	p.Run(p.register, p.send, p.receive)
	return nil
}

// Stop ends the exchange.
func (p *Peers) Stop(ctx context.Context) error {
	err := p.conn.Close()
	return errors.Wrap(firstOf(p.Background.Stop(ctx), err), "close peers")
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// register writes this VM's record until it stands.
func (p *Peers) register(ctx context.Context) {
	value, err := json.Marshal(p.self)
	if err != nil {
		// Only strings are encoded.
		panic("peers: encode member: " + err.Error())
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := p.table.Commit(call, store.Txn{Puts: []store.Put{{Key: KeyPrefix + p.self.VM, Value: value}}})
		cancel()
		if err == nil {
			return
		}
		kernel.Sleep(ctx, registerBackoff)
	}
}

// Apply takes in rows of the table that holds the members.
func (p *Peers) Apply(rows store.Rows, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		p.members = make(map[string]netip.AddrPort)
	}
	for _, row := range rows.Rows {
		if len(row.Key) <= len(KeyPrefix) || row.Key[:len(KeyPrefix)] != KeyPrefix {
			continue
		}
		vm := row.Key[len(KeyPrefix):]
		if row.Removed {
			delete(p.members, vm)
			continue
		}
		var m Member
		err := json.Unmarshal(row.Value, &m)
		addr, perr := netip.ParseAddrPort(m.Address)
		if err != nil || perr != nil {
			p.log.Warn(telemetry.EventBadRow, telemetry.F("key", row.Key), telemetry.F("revision", row.Version))
			continue
		}
		if _, known := p.members[vm]; !known {
			p.log.Info(telemetry.EventPeerState, telemetry.F("peer", vm), telemetry.F("address", m.Address), telemetry.F("revision", row.Version))
		}
		p.members[vm] = addr
	}
}

// Size counts the VMs that the store lists, this one included. It does not
// fall when one cannot be heard: shares of common limits stay safe.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.members)
	if _, ok := p.members[p.self.VM]; !ok {
		n++
	}
	return n
}

// Work implements place.Others: what the other VMs said last.
func (p *Peers) Work(target string) place.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum place.Work
	now := time.Now()
	for _, s := range p.heard {
		if now.Sub(s.at) > maxAge {
			continue
		}
		w := s.work[target]
		sum.Prefill += w.Prefill
		sum.Prefills += w.Prefills
		sum.Running += w.Running
		sum.Streams += w.Streams
		sum.Tokens += w.Tokens
	}
	return sum
}

func (p *Peers) send(ctx context.Context) {
	var last []byte
	var lastAt time.Time
	number := uint64(0)
	for ; ctx.Err() == nil; kernel.Sleep(ctx, p.interval()) {
		items := itemsOf(p.placer.Own())
		body, err := json.Marshal(items)
		if err != nil {
			panic("peers: encode report: " + err.Error())
		}
		uses := usesOf(p.placer.TakeUses())
		if len(uses) == 0 && string(body) == string(last) && time.Since(lastAt) < quietInterval {
			continue
		}
		last, lastAt = body, time.Now()
		number++
		p.broadcast(report{VM: p.self.VM, Incarnation: p.incarnation, Number: number, Work: items, Uses: uses})
	}
}

// interval is the time to the next report.
func (p *Peers) interval() time.Duration {
	return max(minInterval, time.Duration(p.Size())*intervalPerVM)
}

func itemsOf(work map[string]place.Work) []item {
	items := make([]item, 0, len(work))
	for id, w := range work {
		items = append(items, item{Target: id, PrefillUS: w.Prefill.Microseconds(), Prefills: w.Prefills, Running: w.Running, Streams: w.Streams, Tokens: w.Tokens})
	}
	return items
}

func usesOf(uses []place.Use) []use {
	out := make([]use, 0, len(uses))
	for _, u := range uses {
		out = append(out, use(u))
	}
	return out
}

func (p *Peers) broadcast(r report) {
	data, err := json.Marshal(r)
	if err != nil {
		panic("peers: encode report: " + err.Error())
	}
	p.mu.Lock()
	to := make([]netip.AddrPort, 0, len(p.members))
	for vm, addr := range p.members {
		if vm != p.self.VM {
			to = append(to, addr)
		}
	}
	p.mu.Unlock()
	for _, addr := range to {
		// A report that cannot be sent is followed by the next.
		_, _ = p.conn.WriteToUDPAddrPort(data, addr)
	}
}

func (p *Peers) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var r report
		if err := json.Unmarshal(buf[:n], &r); err != nil || r.VM == p.self.VM {
			continue
		}
		if p.take(r) {
			p.observe(r.Uses)
		}
	}
}

// take takes in a report unless a newer one of the same VM is known.
func (p *Peers) take(r report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.heard[r.VM]
	if s != nil && time.Since(s.at) <= maxAge && (r.Incarnation < s.incarnation || (r.Incarnation == s.incarnation && r.Number <= s.number)) {
		return false
	}
	work := make(map[string]place.Work, len(r.Work))
	for _, i := range r.Work {
		work[i.Target] = place.Work{Prefill: time.Duration(i.PrefillUS) * time.Microsecond, Prefills: i.Prefills, Running: i.Running, Streams: i.Streams, Tokens: i.Tokens}
	}
	p.heard[r.VM] = &peerState{incarnation: r.Incarnation, number: r.Number, at: time.Now(), work: work}
	return true
}

func (p *Peers) observe(uses []use) {
	out := make([]place.Use, 0, len(uses))
	for _, u := range uses {
		out = append(out, place.Use(u))
	}
	p.placer.Observe(out)
}

var _ place.Others = (*Peers)(nil)
