package usage

import (
	"sync"
	"time"
)

// Tally gathers the counts of all VMs. Replies hold absolute counts, not increments, so a repeated
// or late reply does no harm. A Tally is safe for concurrent use.
type Tally struct {
	// mu guards the fields below.
	mu sync.Mutex
	// processes holds the counts of each process that has replied.
	processes map[process]*processCounts
	// latestIncarnation is the highest incarnation of each VM that has replied.
	latestIncarnation map[string]int64
	// repliedAt holds, for each VM, the start of the latest round to which the VM has replied
	// completely.
	repliedAt map[string]time.Time
	// roundStart holds the start of each of the last rounds of questions by the round's number,
	// and lastRound the number of the latest round.
	roundStart map[uint64]time.Time
	lastRound  uint64
}

// process identifies one process of a VM.
type process struct {
	vm          string
	incarnation int64
}

// processCounts holds the counts of one process as of a revision.
type processCounts struct {
	revision uint64
	counts   map[countKey]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		processes: make(map[process]*processCounts), latestIncarnation: make(map[string]int64),
		repliedAt: make(map[string]time.Time), roundStart: make(map[uint64]time.Time),
	}
}

// rememberedRounds bounds the rounds of questions whose start is remembered.
const rememberedRounds = 16

// BeginRound begins a round of questions at the given time and returns its number.
func (t *Tally) BeginRound(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRound++
	t.roundStart[t.lastRound] = now
	delete(t.roundStart, t.lastRound-rememberedRounds)
	return t.lastRound
}

// NextQuestion returns the question to send to a VM in the round with the given number. It asks for
// the counts that the tally does not have yet.
func (t *Tally) NextQuestion(vm string, number uint64) Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := Question{Incarnation: t.latestIncarnation[vm], Number: number}
	if v := t.processes[process{vm, q.Incarnation}]; v != nil {
		q.Revision = v.revision
	}
	return q
}

// Merge merges a VM's reply into the tally and reports whether the reply contained anything new.
func (t *Tally) Merge(vm string, a Reply) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := process{vm, a.Incarnation}
	v := t.processes[key]
	if v == nil {
		v = &processCounts{counts: make(map[countKey]int)}
		t.processes[key] = v
	}
	if a.From > v.revision {
		// Changes between the known revision and a.From are missing. The next question asks for
		// them.
		return false
	}
	if a.Incarnation >= t.latestIncarnation[vm] {
		t.latestIncarnation[vm] = a.Incarnation
	}
	for _, c := range a.Counts {
		k := countKey{c.Window, c.Account}
		v.counts[k] = max(v.counts[k], c.Runs)
	}
	changed := a.Revision > v.revision
	v.revision = max(v.revision, a.Revision)
	if at := t.roundStart[a.Number]; !a.More && at.After(t.repliedAt[vm]) {
		t.repliedAt[vm] = at
	}
	return changed
}

// Sums returns the runs of each account in a window, over all processes of all VMs.
func (t *Tally) Sums(w Window) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]int)
	for _, v := range t.processes {
		for k, n := range v.counts {
			if k.window == w {
				sums[k.account] += n
			}
		}
	}
	return sums
}

// CountMissing returns how many of the VMs have not replied completely to any round that began
// after the given time.
func (t *Tally) CountMissing(vms []string, after time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, vm := range vms {
		if !t.repliedAt[vm].After(after) {
			n++
		}
	}
	return n
}

// Forget drops the counts of windows up to and including last.
func (t *Tally) Forget(last Window) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, v := range t.processes {
		for k := range v.counts {
			if k.window <= last {
				delete(v.counts, k)
			}
		}
		if len(v.counts) == 0 && key.incarnation != t.latestIncarnation[key.vm] {
			delete(t.processes, key)
		}
	}
}
