package usage

import (
	"sync"
	"time"
)

// Tally gathers the counts of VMs. Each answer states counts, not changes of them, so that one
// which comes twice or late is harmless. It is safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	known map[source]*vmCounts
	// latest is the incarnation of each VM that was heard last.
	latest map[string]int64
	// answered holds when the question was asked that each VM answered last.
	answered map[string]time.Time
	asked    map[uint64]time.Time
	number   uint64
}

// source is a process on a VM.
type source struct {
	vm          string
	incarnation int64
}

type vmCounts struct {
	revision uint64
	counts   map[countKey]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		known: make(map[source]*vmCounts), latest: make(map[string]int64),
		answered: make(map[string]time.Time), asked: make(map[uint64]time.Time),
	}
}

// keptQuestions bounds the questions whose time is remembered.
const keptQuestions = 16

// Ask begins a round of questions at a time and returns its number.
func (t *Tally) Ask(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.asked[t.number] = now
	delete(t.asked, t.number-keptQuestions)
	return t.number
}

// Again returns what a VM is to be asked in a round, by what is known of it now.
func (t *Tally) Again(vm string, number uint64) Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := Question{Incarnation: t.latest[vm], Number: number}
	if v := t.known[source{vm, q.Incarnation}]; v != nil {
		q.Revision = v.revision
	}
	return q
}

// Hear takes in a VM's answer, and reports whether it told anything new.
func (t *Tally) Hear(vm string, a Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := source{vm, a.Incarnation}
	v := t.known[key]
	if v == nil {
		v = &vmCounts{counts: make(map[countKey]int)}
		t.known[key] = v
	}
	if a.From > v.revision {
		// Counts between are missing: the next question asks for them.
		return false
	}
	if a.Incarnation >= t.latest[vm] {
		t.latest[vm] = a.Incarnation
	}
	for _, c := range a.Counts {
		k := countKey{c.Window, c.Account}
		v.counts[k] = max(v.counts[k], c.Runs)
	}
	news := a.Revision > v.revision
	v.revision = max(v.revision, a.Revision)
	if at := t.asked[a.Number]; !a.More && at.After(t.answered[vm]) {
		t.answered[vm] = at
	}
	return news
}

// Sums returns the runs of each account in a window, over all VMs and their processes.
func (t *Tally) Sums(w Window) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]int)
	for _, v := range t.known {
		for k, n := range v.counts {
			if k.window == w {
				sums[k.account] += n
			}
		}
	}
	return sums
}

// Missing returns how many of the VMs have not answered a question that was asked after a
// time.
func (t *Tally) Missing(vms []string, after time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, vm := range vms {
		if !t.answered[vm].After(after) {
			n++
		}
	}
	return n
}

// Forget drops the counts of windows up to last.
func (t *Tally) Forget(last Window) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, v := range t.known {
		for k := range v.counts {
			if k.window <= last {
				delete(v.counts, k)
			}
		}
		if len(v.counts) == 0 && key.incarnation != t.latest[key.vm] {
			delete(t.known, key)
		}
	}
}
