package quarantine

import (
	"slices"
	"time"
)

// Snapshots are what one VM sends to others: snapshots of the entries of requests and of parts of prompts.
type Snapshots struct {
	Requests []Snapshot
	Parts    []Snapshot
}

// Empty reports whether there are none.
func (s Snapshots) Empty() bool { return len(s.Requests) == 0 && len(s.Parts) == 0 }

// Snapshot is the state of an entry, as VMs send it to each other. Merging snapshots is idempotent
// and does not depend on their order: the crashes form a set, and a crash that is cleared stays
// cleared.
type Snapshot struct {
	ID ID
	// Source is the hash of Request.Source.
	Source  uint64
	Crashes []SnapshotCrash
}

// crashCount returns the number of successive crashes that are not cleared.
func (s Snapshot) crashCount() int {
	var counted []crash
	for _, c := range s.Crashes {
		if !c.Cleared {
			at := time.Time{}.Add(-c.Age)
			counted = append(counted, crash{began: at.Add(-c.RanFor), at: at})
		}
	}
	return countSuccessive(counted)
}

// SnapshotCrash is a crash of a target that had begun to run the request.
type SnapshotCrash struct {
	// RunHash is the hash of the target's run.
	RunHash uint64
	// Age is how long ago the target crashed, and RanFor how long before that the request had
	// been sent to it.
	Age    time.Duration
	RanFor time.Duration
	// Version is the hash of the target's software version, or 0 if it makes no difference.
	Version uint64
	// Cleared is true if a successful run has cleared the crash.
	Cleared bool
}

// TakeChanged returns snapshots of the entries that have changed since its last call.
func (t *Table) TakeChanged(now time.Time) []Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var snapshots []Snapshot
	for _, id := range t.changed {
		if e := t.entries[id]; e != nil {
			snapshots = append(snapshots, e.snapshot(now))
		}
	}
	t.changed = nil
	return snapshots
}

// Top returns snapshots of the n most severe entries, see compareSeverity, for VMs that may have
// missed them.
func (t *Table) Top(n int, now time.Time) []Snapshot {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return compareSeverity(b, a) })
	snapshots := make([]Snapshot, 0, min(n, len(all)))
	for _, e := range all[:min(n, len(all))] {
		snapshots = append(snapshots, e.snapshot(now))
	}
	return snapshots
}

// Snapshot returns a snapshot of the entry of a request, or false if there is none.
func (t *Table) Snapshot(id ID, now time.Time) (Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Snapshot{}, false
	}
	return e.snapshot(now), true
}

// snapshot returns a snapshot of the entry at now.
func (e *entry) snapshot(now time.Time) Snapshot {
	s := Snapshot{ID: e.id, Source: e.source, Crashes: make([]SnapshotCrash, 0, len(e.crashes))}
	for runHash, c := range e.crashes {
		s.Crashes = append(s.Crashes, SnapshotCrash{RunHash: runHash, Age: max(now.Sub(c.at), 0),
			RanFor: c.at.Sub(c.began), Version: c.version, Cleared: c.cleared})
	}
	return s
}

// Merge merges the snapshots of another VM into the table. It returns the verdicts on the requests
// that are quarantined now and were not before.
func (t *Table) Merge(snapshots []Snapshot, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quarantined []Verdict
	for _, s := range snapshots {
		if len(s.Crashes) == 0 {
			continue
		}
		known := t.entries[s.ID]
		if known == nil && expired(s, t.schedule) {
			continue
		}
		e := t.getOrAdd(s.ID, s.Source)
		before := e.crashCount
		for _, c := range s.Crashes {
			at := now.Add(-c.Age)
			if e.addCrash(c.RunHash, crash{began: at.Add(-c.RanFor), at: at, version: c.Version, cleared: c.Cleared}) {
				t.revision++
			}
		}
		if after := e.crashCount; after >= quarantineCrashes && before < quarantineCrashes && now.Before(e.quarantineEnd()) {
			quarantined = append(quarantined, e.verdict())
		}
	}
	return quarantined
}

// expired returns whether an entry with the state of the snapshot, which must have a crash, would
// have expired already by the given schedule.
func expired(s Snapshot, sched *schedule) bool {
	minAge := s.Crashes[0].Age
	for _, c := range s.Crashes {
		minAge = min(minAge, c.Age)
	}
	return minAge >= sched.keepTime(s.crashCount())
}
