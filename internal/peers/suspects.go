package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/quarantine"
)

const (
	// crashesPerDatagram is the maximum number of crashes of all suspects in one datagram. It keeps
	// datagrams well below maxDatagram, with up to 100 bytes for each crash.
	crashesPerDatagram = 300
	// resendCount is the number of suspects, the most severe ones, that each VM sends again.
	// resendInterval is the time between these datagrams. resendVMs is the number of random VMs
	// that receive each of them. Suspects are sent again because a datagram may have been lost, or
	// a VM may have started later or been cut off, frozen or suspended when a suspect was first
	// sent. Each VM receives three such datagrams a second on average, whatever the size of the
	// group, so that one VM in eight thousand receives none for 3 s.
	resendCount    = 150
	resendInterval = time.Second
	resendVMs      = 3
	// clearedVMs is the number of random VMs that receive an entry that was cleared before its subject was
	// quarantined. All VMs that run requests with a common part clear it at about the same time.
	clearedVMs = 24
	// askInterval is the time between the questions that a VM which has just started sends to resendVMs
	// random VMs, for askTime at most, until one has suspects.
	askInterval = 100 * time.Millisecond
	askTime     = 3 * time.Second
)

// Suspects holds an entry for each suspect, which is a request or a part of prompts that may crash the
// targets that run it. Its methods take and return snapshots of the entries.
type Suspects interface {
	// TakeChanged returns the entries that all VMs must know, and TakeCleared those that some should know,
	// that have changed since its last call. Top returns the n entries of each kind with the most crashes.
	TakeChanged(now time.Time) quarantine.Snapshots
	TakeCleared(now time.Time) quarantine.Snapshots
	Top(n int, now time.Time) quarantine.Snapshots
	// MergeFrom merges the entries that another VM has sent.
	MergeFrom(from string, s quarantine.Snapshots)
	// Known returns whether the entries of before this VM's start are known. SetKnown records that another VM,
	// for which Known is true, has sent them.
	Known() bool
	SetKnown()
}

// SetSuspects sets the suspects that are exchanged with other VMs. It must be called before Start.
func (p *Peers) SetSuspects(s Suspects) { p.suspects = s }

// sendSuspects sends changed suspects to all VMs of all data centres and, every resendInterval, the
// most severe ones to some random VMs. Suspects are sent directly and not through relays: they are
// few, and they must also arrive just after a relay has failed.
func (p *Peers) sendSuspects(now time.Time) {
	if p.suspects == nil {
		return
	}
	if changed := p.suspects.TakeChanged(now); !changed.Empty() {
		p.sendSnapshots(changed, p.allAddrs())
	}
	if cleared := p.suspects.TakeCleared(now); !cleared.Empty() {
		p.sendSnapshots(cleared, p.randomAddrs(clearedVMs))
	}
	p.askForSuspects(now)
	if now.Before(p.nextResend) {
		return
	}
	p.nextResend = now.Add(resendInterval)
	if snapshots := p.suspects.Top(resendCount, now); !snapshots.Empty() {
		p.sendSnapshots(snapshots, p.randomAddrs(resendVMs))
	}
}

// askForSuspects asks other VMs for their suspects after the start of this VM, which gets requests before
// all VMs would have sent theirs again.
func (p *Peers) askForSuspects(now time.Time) {
	if p.askUntil.IsZero() {
		p.askUntil = now.Add(askTime)
	}
	if p.suspectsKnown.Load() || now.Before(p.nextAsk) || !now.Before(p.askUntil) {
		return
	}
	p.nextAsk = now.Add(askInterval)
	p.sendTo(datagram{Suspects: &suspectsMessage{From: p.self.VM, Asks: true, Unknown: !p.suspects.Known()}},
		p.randomAddrs(resendVMs))
}

// Owns returns whether this VM is the owner of a key, by rendezvous hashing over the known VMs, so
// that few keys change their owner when a VM joins or leaves. VMs that know the same members agree
// on the owner.
func (p *Peers) Owns(key []byte) bool {
	own := ownerWeight(p.self.VM, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.members {
		if ownerWeight(vm, key) > own {
			return false
		}
	}
	return true
}

// ownerWeight returns the weight of a VM for a key. The VM with the highest weight owns the key.
func ownerWeight(vm string, key []byte) uint64 {
	return xxhash.Sum64(append([]byte(vm), key...))
}

// sendSnapshots sends snapshots to each address, in as many datagrams as they need.
func (p *Peers) sendSnapshots(s quarantine.Snapshots, to []netip.AddrPort) {
	for !s.Empty() {
		requests, room := fitting(s.Requests, crashesPerDatagram)
		parts, _ := fitting(s.Parts, room)
		p.sendTo(datagram{Suspects: &suspectsMessage{From: p.self.VM,
			Entries: encodeSuspects(s.Requests[:requests]), Parts: encodeParts(s.Parts[:parts])}}, to)
		s.Requests, s.Parts = s.Requests[requests:], s.Parts[parts:]
	}
}

// fitting returns how many of the snapshots, from the first one on, have no more than room crashes
// together, and how much room they leave. One always fits into an empty datagram.
func fitting(snapshots []quarantine.Snapshot, room int) (n, left int) {
	for n < len(snapshots) && (len(snapshots[n].Crashes) <= room || room == crashesPerDatagram) {
		room -= len(snapshots[n].Crashes)
		n++
	}
	return n, room
}

// allAddrs returns the addresses of all other VMs.
func (p *Peers) allAddrs() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := make([]netip.AddrPort, 0, len(p.members))
	for vm, m := range p.members {
		if vm != p.self.VM {
			to = append(to, m.addr)
		}
	}
	return to
}

// addrOf returns the address of a VM, or none if the VM is not known.
func (p *Peers) addrOf(vm string) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[vm]; ok {
		return []netip.AddrPort{m.addr}
	}
	return nil
}

// randomAddrs returns the addresses of n random other VMs, or of all if there are fewer.
func (p *Peers) randomAddrs(n int) []netip.AddrPort {
	all := p.allAddrs()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// suspectsMessage carries the entries of suspects from one VM to others.
type suspectsMessage struct {
	// From is the name of the sending VM.
	From    string         `cbor:"1,keyasint"`
	Entries []suspectEntry `cbor:"2,keyasint"`
	// Parts are the entries of parts of prompts.
	Parts []partEntry `cbor:"3,keyasint,omitempty"`
	// Asks says that the sender has just started and knows no suspects.
	Asks bool `cbor:"4,keyasint,omitempty"`
	// Unknown says, with Asks, that the sender waits for the entries of before its start.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Complete says that the sender has now sent all its entries in answer to Unknown.
	Complete bool `cbor:"6,keyasint,omitempty"`
}

// suspectEntry is the wire form of quarantine.Snapshot.
type suspectEntry struct {
	_ struct{} `cbor:",toarray"`
	// Source is the hash of Request.Source, and Key and Fingerprint are the request's ID.
	Source      uint64
	Key         uint64
	Fingerprint []byte
	Crashes     []suspectCrash
}

// suspectCrash is the wire form of quarantine.SnapshotCrash.
type suspectCrash struct {
	_       struct{} `cbor:",toarray"`
	RunHash uint64
	// AgeMS and RanMS are quarantine.SnapshotCrash.Age and RanFor in ms.
	AgeMS   int64
	RanMS   int64
	Cleared bool
}

// partEntry is the wire form of the quarantine.Snapshot of a part of prompts. Its fields are those of
// suspectEntry.
type partEntry struct {
	_           struct{} `cbor:",toarray"`
	Source      uint64
	Key         uint64
	Fingerprint []byte
	Crashes     []partCrash
}

// partCrash is a suspectCrash with the hash of the target's software version.
type partCrash struct {
	_       struct{} `cbor:",toarray"`
	RunHash uint64
	AgeMS   int64
	RanMS   int64
	Version uint64
	Cleared bool
}

// encodeParts returns the wire form of snapshots of parts.
func encodeParts(snapshots []quarantine.Snapshot) []partEntry {
	out := make([]partEntry, 0, len(snapshots))
	for _, s := range snapshots {
		o := partEntry{Source: s.Source, Key: s.ID.Key, Fingerprint: s.ID.Fingerprint[:],
			Crashes: make([]partCrash, 0, len(s.Crashes))}
		for _, c := range s.Crashes {
			o.Crashes = append(o.Crashes, partCrash{RunHash: c.RunHash, AgeMS: c.Age.Milliseconds(),
				RanMS: c.RanFor.Milliseconds(), Version: c.Version, Cleared: c.Cleared})
		}
		out = append(out, o)
	}
	return out
}

// encodeSuspects returns the wire form of snapshots.
func encodeSuspects(snapshots []quarantine.Snapshot) []suspectEntry {
	out := make([]suspectEntry, 0, len(snapshots))
	for _, s := range snapshots {
		o := suspectEntry{Source: s.Source, Key: s.ID.Key, Fingerprint: s.ID.Fingerprint[:],
			Crashes: make([]suspectCrash, 0, len(s.Crashes))}
		for _, c := range s.Crashes {
			o.Crashes = append(o.Crashes, suspectCrash{RunHash: c.RunHash,
				AgeMS: c.Age.Milliseconds(), RanMS: c.RanFor.Milliseconds(), Cleared: c.Cleared})
		}
		out = append(out, o)
	}
	return out
}

// decode returns the entries as snapshots. It skips entries whose fingerprint is too short.
func (m *suspectsMessage) decode() quarantine.Snapshots {
	var out quarantine.Snapshots
	for _, in := range m.Entries {
		o, ok := newSnapshot(in.Source, in.Key, in.Fingerprint)
		if !ok {
			continue
		}
		for _, c := range in.Crashes {
			o.Crashes = append(o.Crashes, quarantine.SnapshotCrash{RunHash: c.RunHash,
				Age: milliseconds(c.AgeMS), RanFor: milliseconds(c.RanMS), Cleared: c.Cleared})
		}
		out.Requests = append(out.Requests, o)
	}
	for _, in := range m.Parts {
		o, ok := newSnapshot(in.Source, in.Key, in.Fingerprint)
		if !ok {
			continue
		}
		for _, c := range in.Crashes {
			o.Crashes = append(o.Crashes, quarantine.SnapshotCrash{RunHash: c.RunHash,
				Age: milliseconds(c.AgeMS), RanFor: milliseconds(c.RanMS), Version: c.Version, Cleared: c.Cleared})
		}
		out.Parts = append(out.Parts, o)
	}
	return out
}

// newSnapshot returns a snapshot without crashes, or false if the fingerprint is too short.
func newSnapshot(source, key uint64, fingerprint []byte) (quarantine.Snapshot, bool) {
	s := quarantine.Snapshot{ID: quarantine.ID{Key: key}, Source: source}
	n := copy(s.ID.Fingerprint[:], fingerprint)
	return s, n == len(s.ID.Fingerprint)
}

// milliseconds converts a number of ms received from another VM. It treats negative numbers as 0.
func milliseconds(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

// handleSuspects merges the suspects that another VM has sent, or sends it those of this VM.
func (p *Peers) handleSuspects(m *suspectsMessage) {
	switch {
	case p.suspects == nil:
	case m.Asks:
		p.answerSuspects(m)
	case m.Complete:
		p.suspects.SetKnown()
	default:
		p.suspectsKnown.Store(true)
		p.suspects.MergeFrom(m.From, m.decode())
	}
}

// answerSuspects sends this VM's suspects to a VM that has just started.
func (p *Peers) answerSuspects(question *suspectsMessage) {
	to := p.addrOf(question.From)
	if top := p.suspects.Top(resendCount, clock.Now()); !top.Empty() {
		p.sendSnapshots(top, to)
	}
	if question.Unknown && p.suspects.Known() {
		p.sendTo(datagram{Suspects: &suspectsMessage{From: p.self.VM, Complete: true}}, to)
	}
}
