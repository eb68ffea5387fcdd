package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/quarantine"
)

const (
	// suspectsPerDatagram is the maximum number of suspects in one datagram. It keeps datagrams
	// well below maxDatagram, with about 60 bytes for each crash of a suspect.
	suspectsPerDatagram = 150
	// resendCount is the number of suspects, the most severe ones, that each VM sends again.
	// resendInterval is the time between these datagrams. resendVMs is the number of random VMs
	// that receive each of them. Suspects are sent again because a datagram may have been lost, or
	// a VM may have started later or been cut off, frozen or suspended when a suspect was first
	// sent. Each VM receives three such datagrams a second on average, whatever the size of the
	// group, so that one VM in eight thousand receives none for 3 s.
	resendCount    = suspectsPerDatagram
	resendInterval = time.Second
	resendVMs      = 3
)

// Suspects holds an entry for each suspect, a request that may crash the targets that run it. Its
// methods take and return snapshots of the entries.
type Suspects interface {
	// TakeChanged returns the entries that have changed since its last call, and Top the n
	// entries with the most crashes.
	TakeChanged(now time.Time) []quarantine.Snapshot
	Top(n int, now time.Time) []quarantine.Snapshot
	// MergeFrom merges the entries that another VM has sent.
	MergeFrom(from string, snapshots []quarantine.Snapshot)
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
	if changed := p.suspects.TakeChanged(now); len(changed) > 0 {
		p.sendSnapshots(changed, p.allAddrs())
	}
	if now.Before(p.nextResend) {
		return
	}
	p.nextResend = now.Add(resendInterval)
	if snapshots := p.suspects.Top(resendCount, now); len(snapshots) > 0 {
		p.sendSnapshots(snapshots, p.randomAddrs(resendVMs))
	}
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
func (p *Peers) sendSnapshots(snapshots []quarantine.Snapshot, to []netip.AddrPort) {
	for len(snapshots) > 0 {
		n := min(len(snapshots), suspectsPerDatagram)
		p.sendTo(datagram{Suspects: &suspectsMessage{From: p.self.VM,
			Entries: encodeSuspects(snapshots[:n])}}, to)
		snapshots = snapshots[n:]
	}
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
func (m *suspectsMessage) decode() []quarantine.Snapshot {
	out := make([]quarantine.Snapshot, 0, len(m.Entries))
	for _, in := range m.Entries {
		o := quarantine.Snapshot{ID: quarantine.ID{Key: in.Key}, Source: in.Source}
		if copy(o.ID.Fingerprint[:], in.Fingerprint) != len(o.ID.Fingerprint) {
			continue
		}
		for _, c := range in.Crashes {
			o.Crashes = append(o.Crashes, quarantine.SnapshotCrash{RunHash: c.RunHash,
				Age: milliseconds(c.AgeMS), RanFor: milliseconds(c.RanMS), Cleared: c.Cleared})
		}
		out = append(out, o)
	}
	return out
}

// milliseconds converts a number of ms received from another VM. It treats negative numbers as 0.
func milliseconds(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

// handleSuspects merges the suspects that another VM has sent.
func (p *Peers) handleSuspects(m *suspectsMessage) {
	if p.suspects != nil {
		p.suspects.MergeFrom(m.From, m.decode())
	}
}
