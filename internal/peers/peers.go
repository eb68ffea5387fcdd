// Package peers exchanges UDP datagrams between VMs. They carry the work (place.Work) that each VM
// has in progress at every target, and the newest data that it has read from the store.
//
// The VMs that exchange datagrams form a group. Its members are the VMs that have a record in the
// store. A VM sends its reports to the other VMs of its data centre. One VM of each data centre,
// the relay, sends the data centre's total as a summary to the relays of the other data centres
// and forwards the summaries that it receives. This keeps traffic between data centres small, and
// what a VM receives grows only with the size of its own data centre. In a large data centre the
// relay also sends digests, see digestMinVMs. Reports are best effort: a lost report is replaced by
// the next one, and an old report is ignored.
//
// A report also carries send records (place.SendRecord). Each records one request that the VM has
// sent to a target, or one that has failed there.
//
// A few VMs, the sentinels, read changes from the store promptly and, in a large group, forward
// them to the others.
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
	"garnethoist.org/garnethoist/internal/origin"
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
	// maxReportAge is the maximum age of a report that is used, counted from its arrival.
	maxReportAge = 1200 * time.Millisecond
)

// Member describes a VM, both in its record in the store and in its reports.
type Member struct {
	// VM is the VM's name, Address the host and port at which it receives datagrams, and
	// DataCentre the name of its data centre.
	VM         string `json:"vm"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Placer provides the work and send records of this VM and takes in the send records of other VMs.
// place.Placer implements it.
type Placer interface {
	// Own returns this VM's own work at each target.
	Own() map[string]place.Work
	// TakeSendRecords returns this VM's send records since its last call.
	TakeSendRecords() []place.SendRecord
	// Observe takes in send records that other VMs have reported.
	Observe(records []place.SendRecord, now time.Time)
}

// FollowedTable is this VM's copy of a table in the store.
type FollowedTable interface {
	// Name returns the table's name.
	Name() string
	// Position returns how far the copy has been read.
	Position() store.Position
	// ReadAt returns a time at which the copy held all rows of the store, according to the
	// store's responses to this VM. It must be called before Position, so that the position is at
	// least as new as the time.
	ReadAt() time.Time
	// ReadStoreTime returns the store's clock reading at the time that ReadAt returns; 0 means
	// unknown.
	ReadStoreTime() time.Duration
	// ObservePeer records that another VM's copy, at position p, held all rows of the store at asOf,
	// when the store's clock read storeTime. A storeTime of 0 means unknown. It returns whether this
	// copy lacks changes that the other one holds.
	ObservePeer(p store.Position, asOf time.Time, storeTime time.Duration) (ahead bool)
	// NotifyNewer tells the copy that another VM's copy, of the given revision, holds other rows, so
	// that it reads them too unless it has reached that revision.
	NotifyNewer(revision uint64)
	// Offer passes changes that another VM has read to the copy.
	Offer(store.Delta)
}

// Orders keeps the stage changes of engines that this VM has ordered. The stage of an engine
// (fleet.Stage) is the part of text generation that it performs, prefill or decode.
type Orders interface {
	// OpenOrders returns the new stage of each engine whose change is not finished.
	OpenOrders() map[string]fleet.Stage
}

// Peers exchanges reports with the other VMs. It is safe for concurrent use.
type Peers struct {
	kernel.Background
	self Member
	// incarnation identifies this process among all processes of the VM: it is the wall-clock time
	// of its start in ns.
	incarnation int64
	table       store.Table
	log         *telemetry.Logger
	placer      Placer
	followed    []FollowedTable
	orders      Orders
	suspects    Suspects
	usage       Usage
	quota       Quota
	limits      Limits
	outcomes    Outcomes
	origins     OriginRecords
	versions    Versions
	journal     Journal
	// storedQuestions holds an element for each question about the journal that is being answered.
	storedQuestions chan struct{}
	// pathLost reports whether this VM reaches no target directly.
	pathLost func() bool
	copier   Copier
	// readAll is set once the members of all data centres have been read or copied.
	readAll atomic.Bool
	// dutyFence returns this VM's fencing number while it holds the duties, and 0 otherwise. The
	// duties are the calls to the platform that only one VM at a time may make, see package duty.
	dutyFence func() uint64
	conn      *net.UDPConn
	// recordVersion is the version of this VM's record in the store when it was last read; 0 means that there
	// was none. Only the goroutine of registerLoop uses it.
	recordVersion uint64
	// firstStart is true if the whole group starts for the first time, see SetFirstStart.
	firstStart bool
	// age is the result of updateAge, in ns.
	age atomic.Int64
	// nextResend is when suspects are sent again; only sendLoop uses it.
	nextResend time.Time
	// askUntil is until when this VM asks for suspects, and nextAsk when it does next; only sendLoop uses
	// them. suspectsKnown is set once another VM has sent suspects.
	askUntil, nextAsk time.Time
	suspectsKnown     atomic.Bool
	// wake ends a pause of sendLoop, see NotifyWork.
	wake chan struct{}
	// joined is closed once this VM is registered and has read the member records.
	joined chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// members holds the known VMs by name. It may include this VM.
	members map[string]knownMember
	// topology is what is derived from members and vmReports, see currentTopology. membersChanged is
	// set if members has changed since.
	topology       topology
	membersChanged bool
	// maxKnownVMs is the highest KnownVMs of any report.
	maxKnownVMs int
	// vmReports holds the last report of each VM of this data centre, and dataCentreReports the
	// last summary of each other data centre. The entry of this data centre in dataCentreReports is
	// the digest of its relay.
	vmReports         map[string]*receivedReport
	dataCentreReports map[string]*receivedReport
	// sums is the total work of all other VMs at each target. Each report that arrives updates it,
	// because it is read for every target on every request.
	sums map[string]place.Work
	// summaryRecords holds the records for the next summary, and digestRecords those for the next
	// digest.
	summaryRecords recordQueue
	digestRecords  recordQueue
	// usesDigests is true while the other VMs' work is taken from the relay's digests, and
	// sentReports holds the latest reports of this VM.
	usesDigests bool
	sentReports []sentReport
	// inGrace marks the followed tables, by index, for which comparePositions waits for changes to
	// arrive.
	inGrace map[int]bool
	// originWaits holds the channels that wait for replies about a stream's version.
	originWaits map[origin.Key]map[chan originReply]bool
	// lastBroadcast is when a summary was last sent to all VMs of a data centre, by data centre.
	lastBroadcast map[string]time.Time
}

// knownMember is a Member with its parsed address.
type knownMember struct {
	Member
	addr netip.AddrPort
	// since is when the member was added with this address.
	since time.Time
}

// receivedReport is the last report of a VM, or the last summary or digest of a relay.
type receivedReport struct {
	from        Member
	addr        netip.AddrPort
	incarnation int64
	number      uint64
	receivedAt  time.Time
	// digest is true if the report is a digest: it covers all VMs, this one included.
	digest bool
	// gap is the moving average of the time between reports of this sender.
	gap time.Duration
	// work is nil once the report has expired. For a digest, this VM's own work is subtracted.
	work map[string]place.Work
	// positions, readTimes and storeTimesMS have an element for each followed table: the position of
	// the sender's copy, a time at which the copy held all rows of the store, and the store's clock
	// reading at that time in ms.
	positions    []store.Position
	readTimes    []time.Time
	storeTimesMS []uint64
	// holdsDuties is true if the sender, or a VM of its data centre, holds the duties.
	holdsDuties bool
	// liveVMs is the number of VMs that a summary or digest covers.
	liveVMs int
	// changing holds the engines that have been ordered to change their stage, each with its new
	// stage.
	changing map[string]fleet.Stage
	// limits holds the limits that the VMs that the report covers have received from targets.
	limits []place.LimitReport
	// withoutPath names the VMs that reach no target directly.
	withoutPath []string
}

// isFresh returns whether the report arrived at most maxReportAge ago.
func (s *receivedReport) isFresh() bool { return clock.Since(s.receivedAt) <= maxReportAge }

// New returns a Peers that knows only this VM. incarnation is the wall-clock time in ns at which
// this process started.
func New(self Member, incarnation int64, table store.Table, log *telemetry.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, table: table, log: log,
		members:   make(map[string]knownMember),
		vmReports: make(map[string]*receivedReport), dataCentreReports: make(map[string]*receivedReport),
		sums:    make(map[string]place.Work),
		inGrace: make(map[int]bool), lastBroadcast: make(map[string]time.Time),
		originWaits: make(map[origin.Key]map[chan originReply]bool),
		joined:      make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Joined returns a channel that is closed once this VM is registered in the store and has read the
// member records. Before that the size of the group, and whether this VM is a relay or a sentinel,
// are not known.
func (p *Peers) Joined() <-chan struct{} { return p.joined }

// SetFirstStart states that the whole group starts for the first time, so that the store cannot
// hold any member record yet. It must be called before Start.
func (p *Peers) SetFirstStart() { p.firstStart = true }

// SetPlacer sets the source of this VM's work and send records. It must be called before Start.
func (p *Peers) SetPlacer(placer Placer) { p.placer = placer }

// Follow sets the followed tables, whose versions are reported and whose changes are forwarded. It
// must be called before Start, with the same tables in the same order on every VM.
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
	p.handOverOrigins()
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
// knows or that any report has stated. It does not fall when a VM cannot be reached, so that the
// VMs' shares of common limits never add up to more than the limit.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.knownVMs(), p.maxKnownVMs)
}

// knownVMs returns the number of VMs that this VM knows, itself included. The caller must hold
// p.mu.
func (p *Peers) knownVMs() int {
	n := len(p.members)
	if _, ok := p.members[p.self.VM]; !ok {
		n++
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

// Work implements place.PeerWork. It returns the total work at a target that the other VMs last
// reported.
func (p *Peers) Work(target string) place.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums[target]
}

// replaceWork subtracts before, the previous work of a report's sender, from p.sums and adds after,
// the sender's current work. The caller must hold p.mu.
func (p *Peers) replaceWork(before, after map[string]place.Work) {
	for target, w := range before {
		left := p.sums[target].Minus(w)
		if left == (place.Work{}) {
			delete(p.sums, target)
			continue
		}
		p.sums[target] = left
	}
	for target, w := range after {
		p.sums[target] = p.sums[target].Plus(w)
	}
}

// expire removes the work of reports that are no longer fresh from p.sums.
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

// Checks at compile time that Peers implements place.PeerWork.
var _ place.PeerWork = (*Peers)(nil)
