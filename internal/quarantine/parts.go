package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// partSchedule is the schedule for parts of prompts. A held part may merely have stood beside the one at
// fault. At no time may all VMs run a trial, since each may crash a target.
var partSchedule = &schedule{
	trialDelays:  []time.Duration{time.Second, 20 * time.Second, 5 * time.Minute, 30 * time.Minute},
	othersFactor: 1,
}

const (
	// minShared is the number of crashes at which two parts must both have been for one to be an
	// alternative to the other.
	minShared = 2
	// minUnexplained is the number of crashes without an alternative with which a part is blamed.
	minUnexplained = 2
	// maxTried is the number of crashes from which a part that is not blamed is tried by one VM at a time
	// only, and minTestDelay the first delay of these trials, of which each is four times the one before.
	maxTried     = 7
	minTestDelay = 4 * time.Second
)

// PartTable holds an entry for each part of a prompt that targets had begun to answer when they crashed.
// Requests that share a part that crashes targets also share parts with sound requests. A part that is at
// several successive crashes, and in no request that has run well meanwhile, is held. Requests with it are
// kept from targets unless they can tell it from another part that was at the same crashes. All times must
// be readings of one clock, as for Table. PartTable is safe for concurrent use.
type PartTable struct {
	table *Table
	// cleared holds the entries of parts that were not held when they were cleared, guarded by table.mu.
	cleared []ID
	// blames caches the result of newBlame for held entries, guarded by table.mu.
	blames map[ID]blame
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{table: newTable(partSchedule), blames: make(map[ID]blame)}
}

// PartVerdict is the table's assessment of the parts of a request's prompt.
type PartVerdict struct {
	// ID is that of the held part, or zero if the request has none. Part is the platform's id of it.
	ID   ID
	Part string
	// Crashes is the number of successive crashes that the part was at.
	Crashes int
	// Blocked says that the request must not be sent, unless a trial is due. If neither Blocked nor
	// Crashes is set, the request may be sent. If only Crashes is set, it is a trial: it may be sent while
	// this VM sends no other request with the part.
	Blocked bool
	// TrialAt is when the next trial is due. If it is not after now, the VM that owns TrialKey may send the
	// request as a trial.
	TrialAt  time.Time
	TrialKey []byte
	// TrialRuns says that this VM sends another request with the part as a trial.
	TrialRuns bool
	// Stored says that the store may have a record of the part.
	Stored bool
	// wellAt holds the hashes of the software versions at which the held parts of the request run well.
	wellAt map[uint64]bool
}

// Held reports whether a part of the request is held.
func (v PartVerdict) Held() bool { return v.Crashes > 0 }

// RunsWellAt reports whether the held parts of the request have run well at targets of a software version, and
// have been at fewer crashes there since than it takes to hold a part. The verdict does not apply to these.
func (v PartVerdict) RunsWellAt(version string) bool { return v.wellAt[hashText(version)] }

// TrialDue reports whether the VM that owns TrialKey may send a blocked request at now.
func (v PartVerdict) TrialDue(now time.Time) bool { return v.TrialKey != nil && !now.Before(v.TrialAt) }

// knownPart is a part of a request of which the table has an entry.
type knownPart struct {
	*entry
	part string
}

// Verdict returns the verdict on the parts of a request.
func (t *PartTable) Verdict(r *Request, now time.Time) PartVerdict {
	if t.table.size.Load() == 0 || len(r.Parts) == 0 {
		return PartVerdict{}
	}
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	known := t.lookup(r)
	var worst PartVerdict
	var wellAt map[uint64]bool
	for _, p := range known {
		if p.crashCount < quarantineCrashes || !now.Before(p.expiry()) {
			continue
		}
		v := t.verdictOn(p, known, now)
		if well := p.versionsRunWell(); wellAt == nil {
			wellAt = well
		} else {
			maps.DeleteFunc(wellAt, func(version uint64, _ bool) bool { return !well[version] })
		}
		if !worst.Held() || !worst.Blocked && v.Blocked || worst.Blocked == v.Blocked && v.Crashes > worst.Crashes {
			worst = v
		}
	}
	worst.wellAt = wellAt
	return worst
}

// verdictOn returns the verdict on a request with the given known parts, of which p is held. The caller
// must hold table.mu.
func (t *PartTable) verdictOn(p knownPart, known []knownPart, now time.Time) PartVerdict {
	v := PartVerdict{ID: p.id, Part: p.part, Crashes: p.crashCount, TrialRuns: p.trials > 0}
	b := t.blameOf(p.entry)
	delay := p.schedule.trialDelay(p.crashCount)
	if !b.blamed && !hasAlternative(b, known) {
		if p.crashCount < maxTried {
			return v
		}
		delay = min(delay, testDelay(p.crashCount))
	}
	v.Blocked = true
	period := max(int64(now.Sub(p.lastCrash)/delay), 1)
	v.TrialAt = p.lastCrash.Add(time.Duration(period) * delay)
	if alone(p, known) {
		v.TrialKey = binary.LittleEndian.AppendUint64(p.id.Fingerprint[:len(p.id.Fingerprint):len(p.id.Fingerprint)], uint64(period))
	} else {
		v.TrialAt = p.lastCrash.Add(time.Duration(period+1) * delay)
	}
	return v
}

// testDelay returns the minimum time between the last of n crashes, maxTried or more, and the next request
// that may tell a part from its alternatives. Callers may keep parts of their own at all crashes, so that
// no part is ever blamed.
func testDelay(n int) time.Duration { return minTestDelay << (2 * (n - maxTried)) }

// hasAlternative reports whether one of the known parts of a request is an alternative in b.
func hasAlternative(b blame, known []knownPart) bool {
	for _, q := range known {
		if b.alternatives[q.id] {
			return true
		}
	}
	return false
}

// alone reports whether no other known part of a request has crashes that count. Only then a trial tells
// whether p crashes targets.
func alone(p knownPart, known []knownPart) bool {
	for _, q := range known {
		if q.id != p.id && q.crashCount > 0 {
			return false
		}
	}
	return true
}

// BeginTrial begins a trial of a held part. It returns false while this VM sends another request with the
// part. If it returns true, the caller must call EndTrial after the request.
func (t *PartTable) BeginTrial(id ID) bool { return t.table.BeginTrial(id) }

// EndTrial ends a trial that BeginTrial allowed.
func (t *PartTable) EndTrial(id ID) { t.table.EndTrial(id) }

// RecordCrash records that a target crashed as it began to run the request. It returns the parts that are
// held because of this crash.
func (t *PartTable) RecordCrash(r *Request, c Crash) []PartVerdict {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	var held []PartVerdict
	source := r.SourceKey()
	for _, part := range r.Parts {
		id := r.partID(part)
		e := t.table.getOrAdd(id, source)
		before := e.crashCount
		if e.addCrash(hashText(c.Run), crash{began: c.Began, at: c.At, version: hashText(c.Version)}) {
			t.table.revision++
		}
		t.table.markChanged(id)
		if e.crashCount >= quarantineCrashes && e.crashCount > before {
			e.saved = true
			held = append(held, PartVerdict{ID: id, Part: part, Crashes: e.crashCount, Stored: true})
		}
	}
	return held
}

// RecordSuccess records that a target of the given software version has run the request successfully. It
// clears the crashes of targets of that version that the request's parts were at, and records for held parts
// that they run well there. It returns the parts that were held and are no more.
func (t *PartTable) RecordSuccess(r *Request, version string) []PartVerdict {
	if t.table.size.Load() == 0 || len(r.Parts) == 0 {
		return nil
	}
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	var freed []PartVerdict
	for _, p := range t.lookup(r) {
		before := p.crashCount
		blocked := before >= maxTried || before >= quarantineCrashes && t.blameOf(p.entry).blamed
		if !p.clear(hashText(version)) && !p.noteRunsWell(hashText(version)) {
			continue
		}
		t.table.revision++
		if blocked {
			t.table.markChanged(p.id)
		} else if len(t.cleared) < maxChanged {
			t.cleared = append(t.cleared, p.id)
		}
		if before >= quarantineCrashes && p.crashCount < quarantineCrashes {
			freed = append(freed, PartVerdict{ID: p.id, Part: p.part, Crashes: before, Stored: blocked || p.saved})
			p.saved = false
		}
	}
	return freed
}

// lookup returns the parts of a request of which the table has entries, each once. The caller must hold
// table.mu.
func (t *PartTable) lookup(r *Request) []knownPart {
	var known []knownPart
	for _, part := range r.Parts {
		if t.table.keyCounts[r.partKey(part)] == 0 {
			continue
		}
		e := t.table.entries[r.partID(part)]
		if e == nil || contains(known, e) {
			continue
		}
		known = append(known, knownPart{e, part})
	}
	return known
}

// contains reports whether known holds an entry.
func contains(known []knownPart, e *entry) bool {
	for _, p := range known {
		if p.entry == e {
			return true
		}
	}
	return false
}

// TakeChanged returns snapshots of the entries that all VMs must know and that have changed since its last
// call.
func (t *PartTable) TakeChanged(now time.Time) []Snapshot { return t.table.TakeChanged(now) }

// TakeCleared returns snapshots of the entries that were cleared before they were held, since its last
// call. Each VM that runs requests with such a part clears it itself.
func (t *PartTable) TakeCleared(now time.Time) []Snapshot {
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	var snapshots []Snapshot
	for _, id := range t.cleared {
		if e := t.table.entries[id]; e != nil {
			snapshots = append(snapshots, e.snapshot(now))
		}
	}
	t.cleared = nil
	return snapshots
}

// Top returns snapshots of the n most severe entries, for VMs that may have missed them.
func (t *PartTable) Top(n int, now time.Time) []Snapshot { return t.table.Top(n, now) }

// Merge merges the snapshots of another VM into the table. It returns the verdicts on the parts that are
// held now and were not before.
func (t *PartTable) Merge(snapshots []Snapshot, now time.Time) []Verdict {
	return t.table.Merge(snapshots, now)
}

// Expire removes expired entries.
func (t *PartTable) Expire(now time.Time) {
	t.table.Expire(now)
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	for id := range t.blames {
		if t.table.entries[id] == nil {
			delete(t.blames, id)
		}
	}
}

// Size returns the number of entries.
func (t *PartTable) Size() int { return t.table.Size() }

// partKey returns a cheap hash of a part of the request's prompt, for ID.Key.
func (r *Request) partKey(part string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{r.Account, r.Service, part} {
		// Write of a hash never returns an error.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// partID returns the ID of a part of the request's prompt. The part is one of the prompts of a client
// account at a service: what crashes the targets of one service may run well at another.
func (r *Request) partID(part string) ID {
	h := sha256.New()
	for _, s := range []string{r.Account, r.Service, part} {
		writeString(h, s)
	}
	return ID{Key: r.partKey(part), Fingerprint: Fingerprint(h.Sum(nil)[:fingerprintBytes])}
}
