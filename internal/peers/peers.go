// Package peers exchanges UDP datagrams between VMs. They carry each VM's current load on every
// target and the newest data that it has read from the store.
//
// A VM sends its reports to the other VMs of its data centre. One VM of each data centre, the
// relay, sends the data centre's total as a summary to the relays of the other data centres and
// forwards the summaries that it receives. This keeps traffic between data centres small, and
// what a VM receives grows only with the size of its own data centre. Reports are best effort: a
// lost report is replaced by the next one, and an old report is ignored.
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
	// reportIntervalPerVM times the number of VMs in the data centre is the time between reports
	// while their content changes. Each VM thus receives about 800 datagrams of some 200 bytes a
	// second, however large the data centre is.
	reportIntervalPerVM = 1250 * time.Microsecond
	// minReportInterval is the shortest time between reports.
	minReportInterval = 10 * time.Millisecond
	// heartbeatInterval is the time between reports whose content does not change.
	heartbeatInterval = 480 * time.Millisecond
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 1200 * time.Millisecond
)

// Member describes a VM, both in its record in the store and in its reports.
type Member struct {
	VM         string `json:"vm"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Placer provides this VM's own load and takes in the uses that other VMs report.
type Placer interface {
	Own() map[string]place.Work
	TakeUses() []place.Use
	Observe(uses []place.Use, now time.Time)
}

// FollowedTable is this VM's copy of a table in the store.
type FollowedTable interface {
	// Name returns the table's name.
	Name() string
	// Newest returns the highest row version that the copy has applied.
	Newest() uint64
	// ReadAt returns a time at which the copy held all rows of the store, according to the
	// store's answers to this VM. It must be called before Newest, so that the version returned
	// by Newest covers that time.
	ReadAt() time.Time
	// ReadStoreTime returns ReadAt on the store's clock; 0 means unknown.
	ReadStoreTime() time.Duration
	// ObservePeer records that another VM's copy, whose highest row version is version, held all rows
	// of the store at asOf, and when the store's clock read storeTime.
	ObservePeer(version uint64, asOf time.Time, storeTime time.Duration)
	// NotifyNewer reports that other VMs have read a row of the given version.
	NotifyNewer(version uint64)
	// Offer hands over changes that another VM has read.
	Offer(store.Delta)
}

// Orders returns the stage changes that this VM has ordered and that are still open, by engine.
type Orders interface {
	Open() map[string]fleet.Stage
}

// Peers exchanges reports with the other VMs. It is safe for concurrent use.
type Peers struct {
	kernel.Background
	self        Member
	incarnation int64
	table       store.Table
	log         *telemetry.Logger
	placer      Placer
	followed    []FollowedTable
	orders      Orders
	suspects    Suspects
	usage       Usage
	dutyFence   func() uint64
	conn        *net.UDPConn
	firstStart  bool
	age         atomic.Int64
	// nextResend is when suspects are sent again; only sendLoop uses it.
	nextResend time.Time
	// joined is closed once the other members have been listed.
	joined chan struct{}

	mu      sync.Mutex
	members map[string]listedMember
	// maxListed is the highest number of known VMs that any report has stated.
	maxListed int
	// vmReports holds the last report of each VM of this data centre, and dataCentreReports the
	// last summary of each other data centre. The entry of this data centre is the relay's
	// digest.
	vmReports         map[string]*receivedReport
	dataCentreReports map[string]*receivedReport
	// sums is the total work of all other VMs at each target. It is kept up to date on every
	// report because it is read for each target and request.
	sums map[string]place.Work
	// pendingUses are the uses that the relay has yet to send to other data centres, and
	// digestUses those for its next digest.
	pendingUses []use
	digestUses  []use
	// usesDigests is true while the other VMs' work is taken from the relay's digests, and
	// sentReports holds the latest reports of this VM.
	usesDigests bool
	sentReports []sentReport
	// inGrace marks the followed tables for which compareVersions waits for a newer row to
	// arrive, by their index. lastBroadcast is when all VMs of a data centre were last sent a
	// summary.
	inGrace       map[int]bool
	lastBroadcast map[string]time.Time
}

// listedMember is a Member with its parsed address.
type listedMember struct {
	Member
	addr netip.AddrPort
	// since is when the member was first seen at this address.
	since time.Time
}

// receivedReport is the last report of a VM, or the last summary or digest of a relay.
type receivedReport struct {
	from        Member
	addr        netip.AddrPort
	incarnation int64
	number      uint64
	receivedAt  time.Time
	// digest says that the report is a digest: it covers all VMs, this one included.
	digest bool
	// gap is the moving average of the time between reports of this sender.
	gap       time.Duration
	work      map[string]place.Work
	newest    []uint64
	readTimes []time.Time
	// storeTimesMS is readTimes on the store's clock, in ms.
	storeTimesMS []uint64
	// holdsDuties says that the sender, or a VM of its data centre, holds the duties.
	holdsDuties bool
	changing    map[string]fleet.Stage
}

// isFresh returns whether the report is recent enough to be used.
func (s *receivedReport) isFresh() bool { return clock.Since(s.receivedAt) <= maxReportAge }

// New returns a Peers that knows only this VM.
func New(self Member, incarnation int64, table store.Table, log *telemetry.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, table: table, log: log,
		members:   make(map[string]listedMember),
		vmReports: make(map[string]*receivedReport), dataCentreReports: make(map[string]*receivedReport),
		sums:    make(map[string]place.Work),
		inGrace: make(map[int]bool), lastBroadcast: make(map[string]time.Time),
		joined: make(chan struct{}),
	}
}

// Joined returns a channel that is closed once this VM is registered in the store and has listed
// the other members. Before that the size of the group and the roles of this VM are not known.
func (p *Peers) Joined() <-chan struct{} { return p.joined }

// SetFirstStart states that the whole group starts for the first time, so that the store cannot
// hold any member record yet. It must be called before Start.
func (p *Peers) SetFirstStart() { p.firstStart = true }

// SetPlacer sets the source of this VM's work and uses. It must be called before Start.
func (p *Peers) SetPlacer(placer Placer) { p.placer = placer }

// Follow sets the tables whose versions are reported. It must be called before Start, with the
// same tables in the same order on every VM.
func (p *Peers) Follow(tables ...FollowedTable) { p.followed = tables }

// SetOrders sets the source of the open stage changes. It must be called before Start.
func (p *Peers) SetOrders(o Orders) { p.orders = o }

// Start opens the socket, registers this VM in the store and starts to exchange reports. It
// returns an error if the address is invalid or cannot be bound.
func (p *Peers) Start(context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", p.self.Address)
	if err != nil {
		return errors.Wrap(err, "resolve peer address")
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	p.Run(p.registerLoop, p.sendLoop, p.receiveLoop)
	return nil
}

// Stop closes the socket and waits for the background loops to end.
func (p *Peers) Stop(ctx context.Context) error {
	err := p.conn.Close()
	if bgErr := p.Background.Stop(ctx); err == nil {
		err = bgErr
	}
	return errors.Wrap(err, "stop peers")
}

// Changing returns the stage that another VM has ordered an engine to change to. It returns false
// if no recent report mentions the engine.
func (p *Peers) Changing(engine string) (fleet.Stage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*receivedReport{p.vmReports, p.dataCentreReports} {
		for _, s := range all {
			if stage, ok := s.changing[engine]; ok && s.isFresh() {
				return stage, true
			}
		}
	}
	return fleet.NoStage, false
}

// Size returns the number of VMs in the group, this one included: the highest number that this VM
// or any report states. It does not fall when a VM cannot be reached, so that the VMs' shares of
// common limits never add up to more than the limit.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.knownVMs(), p.maxListed)
}

// knownVMs returns the number of VMs that this VM has listed, itself included. The caller must
// hold p.mu.
func (p *Peers) knownVMs() int {
	n := len(p.members)
	if _, ok := p.members[p.self.VM]; !ok {
		n++
	}
	return n
}

// localVMs returns the number of listed VMs of this data centre, this one included.
func (p *Peers) localVMs() int {
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

// Age implements place.PeerWork. It returns the estimated average age of the other VMs' work.
func (p *Peers) Age() time.Duration { return time.Duration(p.age.Load()) }

// updateAge estimates the average age of the other VMs' work. It is half of the report interval,
// plus half of the interval of the digests or summaries in which the reports arrive.
func (p *Peers) updateAge() {
	report := float64(p.ReportInterval()) / 2
	own, size := p.localVMs(), p.Size()
	remote := float64(size-own) / float64(max(size-1, 1))
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.dataCentreReports[p.self.DataCentre]; p.usesDigests && s != nil {
		p.age.Store(int64(report + float64(s.gap)/2 + remote*report))
		return
	}
	var summaries, remotes float64
	for _, s := range p.remoteReports() {
		if s.isFresh() {
			summaries += float64(s.gap) / 2
			remotes++
		}
	}
	p.age.Store(int64(report + remote*summaries/max(remotes, 1)))
}

// ReportInterval returns the time between this VM's reports while their content changes.
func (p *Peers) ReportInterval() time.Duration {
	if p.sendsDigests() || p.receivesDigests() {
		return digestInterval
	}
	return max(minReportInterval, time.Duration(p.localVMs())*reportIntervalPerVM)
}

// Work implements place.PeerWork. It returns the total work that the other VMs last reported for a
// target.
func (p *Peers) Work(target string) place.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums[target]
}

// replaceWork updates the sums from the previous work of a report's sender to its current work.
// The caller must hold p.mu.
func (p *Peers) replaceWork(before, now map[string]place.Work) {
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

// expire removes the work of outdated reports from the sums.
func (p *Peers) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*receivedReport{p.vmReports, p.dataCentreReports} {
		for _, s := range all {
			if s.isFresh() || s.work == nil {
				continue
			}
			if p.inSums(s) {
				p.replaceWork(s.work, nil)
			}
			s.work = nil
		}
	}
}

var _ place.PeerWork = (*Peers)(nil)
