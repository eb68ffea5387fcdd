// Package peers lets the VMs tell each other, by datagrams, what they have in
// hand at each target and what they have read from the store.
//
// A VM reports to the others of its data centre. One VM of each data centre, its
// relay, sends the sums of all to the relays of the other data centres, and
// passes on what it gets from them: little goes between data centres, and what
// a VM receives grows with its own data centre only. The numbers are soft: one
// that is lost is followed by the next, and one that is old is not counted.
package peers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// intervalPerVM is the time between reports while they change, for each VM
	// of the data centre: what one VM receives stays the same as the data centre
	// grows, about 800 datagrams of some 200 bytes a second.
	intervalPerVM = 1250 * time.Microsecond
	// minInterval is the shortest time between reports.
	minInterval = 10 * time.Millisecond
	// quietInterval is the time between reports that say the same.
	quietInterval = 480 * time.Millisecond
	// maxAge is when a report does not count any more.
	maxAge = 1200 * time.Millisecond
)

// Member is a VM's record in the store and in its reports.
type Member struct {
	VM         string `json:"vm"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the speed of the VM's network link; 0 is unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Placer is where this VM's own state is read and others' uses are told.
type Placer interface {
	Own() map[string]place.Work
	TakeUses() []place.Use
	Observe(uses []place.Use, now time.Time)
}

// Followed is a table of the store that this VM follows.
type Followed interface {
	// Name is the table's name.
	Name() string
	// Newest is the highest version of a row taken in.
	Newest() uint64
	// ReadAt is a time at which all rows of the store had been taken in, by its
	// answers to this VM. It is asked for before Newest, which then holds them.
	ReadAt() time.Time
	// ReadClock is ReadAt by the store's clock; 0 is unknown.
	ReadClock() time.Duration
	// Heard takes in that another VM had taken in all rows at asOf, and when the store's
	// clock was at, version being the highest.
	Heard(version uint64, asOf time.Time, at time.Duration)
	// Newer tells that others know a row of a version.
	Newer(version uint64)
	// Offer passes on what another VM has read.
	Offer(store.Delta)
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
	suspects    Suspects
	usage       Usage
	duty        func() uint64
	conn        *net.UDPConn
	firstStart  bool
	age         atomic.Int64
	// wordsAt is when words are told again; only the sending loop uses it.
	wordsAt time.Time
	// joined is closed once the other members have been listed.
	joined chan struct{}

	mu      sync.Mutex
	members map[string]listed
	// mostListed is the most VMs that any VM that was heard has listed.
	mostListed int
	// heard holds the VMs of this data centre, and centres the other ones.
	heard   map[string]*heardState
	centres map[string]*heardState
	// sums is the work of all of them at each target: it is asked for once for
	// each target and request.
	sums map[string]place.Work
	// pendingUses is the uses that the relay has yet to tell other data centres, and
	// digestUses those for its own.
	pendingUses []use
	digestUses  []use
	// digested says that the others' work is read in the relay's digests, and told holds
	// what this VM has reported to it of late.
	digested bool
	told     []told
	// inGrace holds the followed tables of which others know a newer row that may
	// still come, and announced when all VMs of a data centre were last sent a
	// summary.
	inGrace   map[int]bool
	announced map[string]time.Time
}

// listed is a member with its address decoded.
type listed struct {
	Member
	addr netip.AddrPort
	// since is when it was first heard of, at this address.
	since time.Time
}

// heardState is what one VM, or one data centre's relay, said last.
type heardState struct {
	from        Member
	addr        netip.AddrPort
	incarnation int64
	number      uint64
	at          time.Time
	// digest says that it is of all VMs, this one included.
	digest bool
	// gap is the usual time between what it said.
	gap    time.Duration
	work   map[string]place.Work
	newest []uint64
	readAt []time.Time
	// clocks is readAt by the store's clock, in ms.
	clocks []uint64
	// holds says that it is holder of the duties.
	holds    bool
	changing map[string]fleet.Stage
}

func (s *heardState) fresh() bool { return clock.Since(s.at) <= maxAge }

// New returns peers that know only this VM.
func New(self Member, incarnation int64, table store.Table, log *telemetry.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, table: table, log: log,
		members: make(map[string]listed), heard: make(map[string]*heardState), centres: make(map[string]*heardState),
		sums:    make(map[string]place.Work),
		inGrace: make(map[int]bool), announced: make(map[string]time.Time),
		joined: make(chan struct{}),
	}
}

// Joined is closed once this VM stands in the store and has listed the others: what
// depends on the group's size or on this VM's duties is not known before.
func (p *Peers) Joined() <-chan struct{} { return p.joined }

// SetFirstStart says that the whole group starts for the first time, so that no record
// can stand in the store yet; it is called before Start.
func (p *Peers) SetFirstStart() { p.firstStart = true }

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

// Changing returns the stage that another VM has ordered an engine to take.
func (p *Peers) Changing(engine string) (fleet.Stage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*heardState{p.heard, p.centres} {
		for _, s := range all {
			if stage, ok := s.changing[engine]; ok && s.fresh() {
				return stage, true
			}
		}
	}
	return fleet.NoStage, false
}

// Size counts the VMs that the store lists, this one included, as far as any VM that was
// heard knows. It does not fall when one cannot be heard: shares of common limits stay safe.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.count(), p.mostListed)
}

// count counts the VMs that this one knows; the caller holds p.mu.
func (p *Peers) count() int {
	n := len(p.members)
	if _, ok := p.members[p.self.VM]; !ok {
		n++
	}
	return n
}

// neighbours counts the VMs of this data centre that the store lists, this one
// included.
func (p *Peers) neighbours() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for vm, m := range p.members {
		if vm != p.self.VM && m.DataCentre == p.self.DataCentre {
			n++
		}
	}
	return n
}

// Age implements place.Others: how old what is known of the others' work is on average.
func (p *Peers) Age() time.Duration { return time.Duration(p.age.Load()) }

// measureAge reckons the age of what the others said: half of the time between their
// reports and, where these come in the relay's digests or in other data centres' summaries,
// half of that between those as well.
func (p *Peers) measureAge() {
	report := float64(p.Interval()) / 2
	own, size := p.neighbours(), p.Size()
	remote := float64(size-own) / float64(max(size-1, 1))
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.centres[p.self.DataCentre]; p.digested && s != nil {
		p.age.Store(int64(report + float64(s.gap)/2 + remote*report))
		return
	}
	var summaries, centres float64
	for _, s := range p.elsewhere() {
		if s.fresh() {
			summaries += float64(s.gap) / 2
			centres++
		}
	}
	p.age.Store(int64(report + remote*summaries/max(centres, 1)))
}

// Interval is the time between this VM's reports while they change.
func (p *Peers) Interval() time.Duration {
	if p.fans() || p.hearsDigests() {
		return fanInterval
	}
	return max(minInterval, time.Duration(p.neighbours())*intervalPerVM)
}

// Work implements place.Others: what the other VMs said last.
func (p *Peers) Work(target string) place.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums[target]
}

// replace puts the work that one VM or data centre says in place of what it said
// before; the caller holds p.mu.
func (p *Peers) replace(before, now map[string]place.Work) {
	for target, w := range before {
		left := p.sums[target].Minus(w)
		if left == (place.Work{}) {
			delete(p.sums, target)
			continue
		}
		p.sums[target] = left
	}
	for target, w := range now {
		p.sums[target] = p.sums[target].Plus(w)
	}
}

// expire takes what was said too long ago out of the sums.
func (p *Peers) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*heardState{p.heard, p.centres} {
		for _, s := range all {
			if s.fresh() || s.work == nil {
				continue
			}
			if p.counts(s) {
				p.replace(s.work, nil)
			}
			s.work = nil
		}
	}
}

var _ place.Others = (*Peers)(nil)
