package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/origin"
)

const (
	// versionsInterval is the longest time between two reports of one sender that state the software
	// versions that are known to be in the store.
	versionsInterval = time.Second
	// askAgainAfter is when a question that was not answered is sent again, as it may have been lost, and
	// to spare homes too.
	askAgainAfter = 50 * time.Millisecond
	// recordsPerDatagram is the maximum number of records in one datagram.
	recordsPerDatagram = 500
)

// OriginRecords keeps the records of which this VM is a home. origin.Records implements it.
type OriginRecords interface {
	Add(r origin.Record, now time.Time)
	Origin(k origin.Key, now time.Time) (origin.Origin, bool)
	All(now time.Time) []origin.Record
}

// Versions knows the software versions that are in the store. origin.Versions implements it.
type Versions interface {
	Known() (known []origin.ServiceVersions, number uint64)
	Observe(known []origin.ServiceVersions)
}

// SetOrigins sets what keeps the records of streams' versions. It must be called before Start.
func (p *Peers) SetOrigins(r OriginRecords) { p.origins = r }

// SetVersions sets what knows the software versions in the store. It must be called before Start.
func (p *Peers) SetVersions(v Versions) { p.versions = v }

// originMessage carries records from the VM that began the streams, or that stops, to their homes.
type originMessage struct {
	_       struct{} `cbor:",toarray"`
	Records []originRecord
}

// originRecord is the wire form of origin.Record. TTLMS is its TTL in ms.
type originRecord struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Service string
	Version string
	TTLMS   uint32
}

// originQuestion asks a home for a record, and originReply answers it. Service and Version are empty if the home
// does not know the record.
type originQuestion struct {
	_    struct{} `cbor:",toarray"`
	From string
	Key  []byte
}

type originReply struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Key     []byte
	Service string
	Version string
}

// versionsItem is the wire form of origin.ServiceVersions.
type versionsItem struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Versions []string
	Any      bool
}

// homesOf returns those of the first n homes of a key that are not this VM.
func (p *Peers) homesOf(k origin.Key, n int) []knownMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.currentTopology()
	members := make([]origin.Member, 0, len(t.others)+1)
	for _, m := range t.others {
		members = append(members, origin.Member{VM: m.VM, DataCentre: m.DataCentre})
	}
	members = append(members, origin.Member{VM: p.self.VM, DataCentre: p.self.DataCentre})
	var homes []knownMember
	for _, i := range origin.Homes(k, members, n) {
		if i < len(t.others) {
			homes = append(homes, t.others[i])
		}
	}
	return homes
}

// TellOrigin implements origin.Group.
func (p *Peers) TellOrigin(r origin.Record) {
	p.tellOrigins([]origin.Record{r}, p.homesOf(r.Key, origin.HomeCount))
}

// tellOrigins sends records to VMs.
func (p *Peers) tellOrigins(records []origin.Record, to []knownMember) {
	addrs := make([]netip.AddrPort, 0, len(to))
	for _, m := range to {
		addrs = append(addrs, m.addr)
	}
	for len(records) > 0 {
		n := min(len(records), recordsPerDatagram)
		p.sendTo(datagram{Origins: encodeOrigins(records[:n])}, addrs)
		records = records[n:]
	}
}

// handOverOrigins sends the records that this VM keeps to their other homes, spare ones included.
func (p *Peers) handOverOrigins() {
	if p.origins == nil {
		return
	}
	byHome := make(map[string][]origin.Record)
	homes := make(map[string]knownMember)
	for _, r := range p.origins.All(clock.Now()) {
		for _, m := range p.homesOf(r.Key, origin.HomeCount+origin.SpareCount) {
			homes[m.VM] = m
			byHome[m.VM] = append(byHome[m.VM], r)
		}
	}
	for vm, records := range byHome {
		p.tellOrigins(records, []knownMember{homes[vm]})
	}
}

// encodeOrigins returns the wire form of records.
func encodeOrigins(records []origin.Record) *originMessage {
	m := &originMessage{}
	for _, r := range records {
		m.Records = append(m.Records, originRecord{Key: r.Key[:], Service: r.Service, Version: r.Version, TTLMS: uint32(r.TTL.Milliseconds())})
	}
	return m
}

// decodeKey returns a key from its wire form, or false if it is malformed.
func decodeKey(data []byte) (origin.Key, bool) {
	if len(data) != origin.KeySize {
		return origin.Key{}, false
	}
	return origin.Key(data), true
}

// decode returns the records, without malformed ones.
func (m *originMessage) decode() []origin.Record {
	records := make([]origin.Record, 0, len(m.Records))
	for _, r := range m.Records {
		if k, ok := decodeKey(r.Key); ok && r.Version != "" {
			records = append(records, origin.Record{Key: k, Origin: origin.Origin{Service: r.Service, Version: r.Version}, TTL: time.Duration(r.TTLMS) * time.Millisecond})
		}
	}
	return records
}

// handleOrigins keeps the records that another VM has sent.
func (p *Peers) handleOrigins(m *originMessage) {
	if p.origins == nil {
		return
	}
	now := clock.Now()
	for _, r := range m.decode() {
		p.origins.Add(r, now)
	}
}

// handleOriginQuestion replies to the question of another VM.
func (p *Peers) handleOriginQuestion(q *originQuestion) {
	k, ok := decodeKey(q.Key)
	if !ok || p.origins == nil {
		return
	}
	at, _ := p.origins.Origin(k, clock.Now())
	p.sendToVM(q.From, datagram{OriginReply: &originReply{From: p.self.VM, Key: q.Key, Service: at.Service, Version: at.Version}})
}

// handleOriginReply passes a reply on to those that wait for it.
func (p *Peers) handleOriginReply(r *originReply) {
	k, ok := decodeKey(r.Key)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for waiting := range p.originWaits[k] {
		select {
		case waiting <- *r:
		default:
		}
	}
}

// AskOrigin implements origin.Group.
func (p *Peers) AskOrigin(ctx context.Context, k origin.Key) (origin.Origin, bool) {
	homes := p.homesOf(k, origin.HomeCount)
	// Each home, and each spare one, is asked at most twice.
	replies := make(chan originReply, 2*(origin.HomeCount+origin.SpareCount))
	p.waitForOrigin(k, replies)
	defer p.stopWaiting(k, replies)
	unanswered := make(map[string]bool, len(homes))
	p.askHomes(k, homes, unanswered)
	again := time.NewTimer(askAgainAfter)
	defer again.Stop()
	for sparesAsked := false; ; {
		if len(unanswered) == 0 {
			if sparesAsked {
				return origin.Origin{}, false
			}
			again.Reset(0)
		}
		select {
		case r := <-replies:
			if r.Version != "" {
				return origin.Origin{Service: r.Service, Version: r.Version}, true
			}
			delete(unanswered, r.From)
		case <-again.C:
			answered := func(m knownMember) bool { return !unanswered[m.VM] && slices.Contains(homes, m) }
			p.askHomes(k, slices.DeleteFunc(p.homesOf(k, origin.HomeCount+origin.SpareCount), answered), unanswered)
			sparesAsked = true
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
}

// askHomes asks VMs for the record of a key and adds them to unanswered.
func (p *Peers) askHomes(k origin.Key, homes []knownMember, unanswered map[string]bool) {
	addrs := make([]netip.AddrPort, 0, len(homes))
	for _, m := range homes {
		unanswered[m.VM] = true
		addrs = append(addrs, m.addr)
	}
	p.sendTo(datagram{OriginQuestion: &originQuestion{From: p.self.VM, Key: k[:]}}, addrs)
}

// waitForOrigin has the replies about a key sent to a channel.
func (p *Peers) waitForOrigin(k origin.Key, replies chan originReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.originWaits[k] == nil {
		p.originWaits[k] = make(map[chan originReply]bool)
	}
	p.originWaits[k][replies] = true
}

// stopWaiting ends waitForOrigin.
func (p *Peers) stopWaiting(k origin.Key, replies chan originReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.originWaits[k], replies)
	if len(p.originWaits[k]) == 0 {
		delete(p.originWaits, k)
	}
}

// WritesVersions implements origin.VersionsGroup. The sentinels write versions, as they are the first to
// learn of changes of the list of targets.
func (p *Peers) WritesVersions() bool {
	select {
	case <-p.joined:
		return p.Sentinel()
	default:
		return false
	}
}

// addVersions adds the versions that are known to be in the store to a report of s, if they have changed
// since its last report with them, or if that was versionsInterval ago.
func (p *Peers) addVersions(r *report, s *sender) {
	if p.versions == nil {
		return
	}
	known, number := p.versions.Known()
	now := clock.Now()
	if len(known) == 0 || (number == s.versionsNumber && now.Before(s.nextVersions)) {
		return
	}
	r.versionsNumber, r.versionsChanged = number, number != s.versionsNumber
	for _, k := range known {
		r.Versions = append(r.Versions, versionsItem{Service: k.Service, Versions: k.Versions, Any: k.Any})
	}
}

// observeVersions takes in the versions in a report.
func (p *Peers) observeVersions(r *report) {
	if p.versions == nil || len(r.Versions) == 0 {
		return
	}
	known := make([]origin.ServiceVersions, 0, len(r.Versions))
	for _, i := range r.Versions {
		known = append(known, origin.ServiceVersions{Service: i.Service, Versions: i.Versions, Any: i.Any})
	}
	p.versions.Observe(known)
}

// Checks at compile time that Peers implements origin.Group and origin.VersionsGroup.
var (
	_ origin.Group         = (*Peers)(nil)
	_ origin.VersionsGroup = (*Peers)(nil)
)
