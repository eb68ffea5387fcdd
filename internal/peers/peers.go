// Package peers lets the VMs tell each other what they have in hand at each
// target, by datagrams. The numbers are soft: one that is lost is followed by
// the next, and one that is old is not counted.
package peers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// intervalPerVM is the time between reports while they change, for each VM
	// in the group: what one VM receives stays the same as the group grows,
	// about 800 datagrams of some 200 bytes a second.
	intervalPerVM = 1250 * time.Microsecond
	// minInterval is the shortest time between reports.
	minInterval = 10 * time.Millisecond
	// quietInterval is the time between reports that say the same.
	quietInterval = 480 * time.Millisecond
	// maxAge is when a report does not count any more.
	maxAge = 1200 * time.Millisecond
	// maxDatagram bounds a report.
	maxDatagram = 16 << 10
	// sentinels is how many VMs of each group watch the store closely.
	sentinels = 4
	// newsGrace is how long after another VM's word the own call may bring the
	// same news.
	newsGrace = 600 * time.Millisecond
	// nudgeInterval is the least time between two calls made anew, above what
	// a call to a slow store takes.
	nudgeInterval = 1200 * time.Millisecond
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

// Member is a VM's record in the store.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Placer is where this VM's own state is read and others' uses are told.
type Placer interface {
	Own() map[string]place.Work
	TakeUses() []place.Use
	Observe([]place.Use)
}

// Followed is a table of the store that this VM follows.
type Followed interface {
	Newest() uint64
	Newer()
}

// Orders says which engines this VM has ordered to change their stage.
type Orders interface {
	Open() map[string]fleet.Stage
}

// Peers exchanges reports with the other VMs.
type Peers struct {
	kernel.Background
	self        Member
	incarnation int64
	table       store.Table
	log         *telemetry.Logger
	placer      Placer
	followed    []Followed
	orders      Orders
	conn        *net.UDPConn

	mu      sync.Mutex
	members map[string]netip.AddrPort
	heard   map[string]*peerState
	// nudged is when each followed table's call was last made anew.
	nudged map[int]time.Time
}

type peerState struct {
	incarnation int64
	number      uint64
	at          time.Time
	work        map[string]place.Work
	changing    map[string]fleet.Stage
}

// New returns peers that know only this VM.
func New(self Member, incarnation int64, table store.Table, log *telemetry.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, table: table, log: log,
		members: make(map[string]netip.AddrPort), heard: make(map[string]*peerState), nudged: make(map[int]time.Time),
	}
}

// SetPlacer sets the placer that reports are about; it is called before Start.
func (p *Peers) SetPlacer(placer Placer) { p.placer = placer }

// Follow sets the tables that reports tell the news of; it is called before
// Start, with the same tables in the same order on every VM.
func (p *Peers) Follow(tables ...Followed) { p.followed = tables }

// SetOrders sets whose orders reports tell; it is called before Start.
func (p *Peers) SetOrders(o Orders) { p.orders = o }

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
	if bgErr := p.Background.Stop(ctx); err == nil {
		err = bgErr
	}
	return errors.Wrap(err, "close peers")
}

// Sentinel reports whether this VM is one of the few that watch the store
// closely: the first ones by name of those that are heard.
func (p *Peers) Sentinel() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for vm, s := range p.heard {
		if vm < p.self.VM && time.Since(s.at) <= maxAge {
			before++
		}
	}
	return before < sentinels
}

// Changing returns the stage that another VM has ordered an engine to take.
func (p *Peers) Changing(engine string) (fleet.Stage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.heard {
		if stage, ok := s.changing[engine]; ok && time.Since(s.at) <= maxAge {
			return stage, true
		}
	}
	return fleet.NoStage, false
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
	for ; ctx.Err() == nil; kernel.Sleep(ctx, p.Interval()) {
		r := report{VM: p.self.VM, Address: p.self.Address, Incarnation: p.incarnation, Work: itemsOf(p.placer.Own()), Changing: p.orders.Open()}
		for _, f := range p.followed {
			r.Newest = append(r.Newest, f.Newest())
		}
		body, err := cbor.Marshal(r)
		if err != nil {
			panic("peers: encode report: " + err.Error())
		}
		r.Uses = usesOf(p.placer.TakeUses())
		if len(r.Uses) == 0 && string(body) == string(last) && time.Since(lastAt) < quietInterval {
			continue
		}
		last, lastAt = body, time.Now()
		number++
		r.Number = number
		p.broadcast(r)
	}
}

// Interval is the time between this VM's reports while they change: what is
// known of the others' work is half as old on average.
func (p *Peers) Interval() time.Duration {
	return max(minInterval, time.Duration(p.Size())*intervalPerVM)
}

func (p *Peers) broadcast(r report) {
	data, err := cbor.Marshal(r)
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
		if err := cbor.Unmarshal(buf[:n], &r); err != nil || r.VM == p.self.VM {
			continue
		}
		if p.take(r) {
			p.observe(r.Uses)
			p.learnFrom(r)
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
	p.heard[r.VM] = &peerState{incarnation: r.Incarnation, number: r.Number, at: time.Now(), work: work, changing: r.Changing}
	return true
}

func (p *Peers) observe(uses []use) {
	out := make([]place.Use, 0, len(uses))
	for _, u := range uses {
		out = append(out, place.Use{Target: u.Target, Parts: u.Parts, Missing: u.Missing})
	}
	p.placer.Observe(out)
}

var _ place.Others = (*Peers)(nil)

// learnFrom takes in a reporter that is not listed yet and its news of the
// store.
func (p *Peers) learnFrom(r report) {
	p.mu.Lock()
	addr, known := p.members[r.VM]
	p.mu.Unlock()
	if !known || addr.String() != r.Address {
		p.learn(Member{VM: r.VM, Address: r.Address})
	}
	for i, f := range p.followed {
		if i < len(r.Newest) && r.Newest[i] > f.Newest() && p.mayNudge(i) {
			version := r.Newest[i]
			time.AfterFunc(newsGrace, func() {
				if f.Newest() < version {
					f.Newer()
				}
			})
		}
	}
}

// mayNudge bounds how often a followed table's call is made anew.
func (p *Peers) mayNudge(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.nudged[i]) < nudgeInterval {
		return false
	}
	p.nudged[i] = time.Now()
	return true
}
