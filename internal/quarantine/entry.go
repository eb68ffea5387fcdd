package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of crashes from which a request is a suspect, and
	// quarantineCrashes the number from which it is quarantined, that is, kept from all targets.
	// With two, a request that twice happened to run beside the one at fault would be refused.
	suspectCrashes    = 2
	quarantineCrashes = 3
	// BlameWindow is how long after a request's first event a crash of its target may be blamed on it.
	// A request that runs for longer is not at fault, and a target that crashes later, with other
	// requests running, says nothing about it.
	BlameWindow = 500 * time.Millisecond
	// othersFactor is how many times longer all other VMs wait than the VM that runs the trial:
	// that VM may be down, or may not receive the request.
	othersFactor = 12
	// maxTerm is the longest quarantine, used once all trials have failed.
	maxTerm = 24 * time.Hour
	// minRetention is how long the crashes of a request that is not quarantined are remembered.
	minRetention = 10 * time.Minute
	// maxCrashes limits the crashes kept for one request. More would not lengthen its quarantine.
	maxCrashes = 16
)

// ID identifies a request in the table.
type ID struct {
	Key         uint64
	Fingerprint Fingerprint
}

// Crash describes the unexpected end of a target's run, soon after the target began to run a request.
type Crash struct {
	// Run identifies the target's run.
	Run string
	// Began is when the request was sent to the target, and At when the target crashed.
	Began time.Time
	At    time.Time
}

// crash is a crash of a target under a request.
type crash struct {
	began time.Time
	at    time.Time
	// cleared is set once the request has run successfully on another target, so it was not at
	// fault.
	cleared bool
}

// entry is the state of one request. crashes is keyed by the hash of the target's run. All
// methods require that the caller holds Table.mu.
type entry struct {
	id      ID
	source  uint64
	crashes map[uint64]crash
	// crashCount is the number of successive crashes that are not cleared. lastCrash is the time of
	// the latest crash, cleared or not.
	crashCount int
	lastCrash  time.Time
	// trials is the number of sends of the request that this VM has in progress.
	trials int
}

// recount updates crashCount and lastCrash from crashes.
func (e *entry) recount() {
	e.lastCrash = time.Time{}
	counted := make([]crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		if c.at.After(e.lastCrash) {
			e.lastCrash = c.at
		}
		if !c.cleared {
			counted = append(counted, c)
		}
	}
	e.crashCount = countSuccessive(counted)
}

// countSuccessive counts crashes that happened one after another. Of crashes whose runs
// overlapped in time, only one counts: copies of one request run on many targets, and when these
// crash together, as in a power failure, the cause is something that they share. A request that
// crashes its targets will also crash the next target that it is sent to.
func countSuccessive(crashes []crash) int {
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || !c.began.Before(last) {
			n++
			last = c.at
		}
	}
	return n
}

// trialTerms are the shortest times after the third, fourth and fifth crash until one VM sends
// the request again. A request that many callers send alike may have run beside another one at
// each of its crashes, and the first trial soon shows that. A request that does crash its targets
// crashes three more; after these it is tried once every maxTerm.
var trialTerms = []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute}

// trialTerm returns how long a request is kept from all targets after the last of n crashes.
func trialTerm(n int) time.Duration {
	switch i := n - quarantineCrashes; {
	case i < 0:
		return 0
	case i < len(trialTerms):
		return trialTerms[i]
	}
	return maxTerm
}

// term returns how long VMs other than the one that runs the trial keep a request from all
// targets after the last of n crashes.
func term(n int) time.Duration { return min(othersFactor*trialTerm(n), maxTerm) }

// quarantineEnd returns when the quarantine ends for all VMs.
func (e *entry) quarantineEnd() time.Time { return e.lastCrash.Add(term(e.crashCount)) }

// expiry returns when the entry may be removed. It is kept for as long after its quarantine as
// the quarantine lasted, so that a request that comes again in that time continues with its
// count.
func (e *entry) expiry() time.Time { return e.lastCrash.Add(max(2*term(e.crashCount), minRetention)) }

// Verdict is the table's assessment of a request.
type Verdict struct {
	// ID is set only if the table has an entry of the request.
	ID ID
	// Crashes is the number of targets that crashed as they began to run the request.
	Crashes int
	// TrialAt is when the VM that runs the trial may send the request, and Until when all VMs
	// may. Both are zero if the request is not quarantined.
	TrialAt time.Time
	Until   time.Time
}

// Suspect returns whether the request may crash its target. A suspect is sent by itself, and this
// system does not retry it.
func (v Verdict) Suspect() bool { return v.Crashes >= suspectCrashes }

// Quarantined returns whether the request must not be sent at now. tries says whether this VM is
// the one that runs the trial.
func (v Verdict) Quarantined(now time.Time, tries bool) bool {
	if tries {
		return now.Before(v.TrialAt)
	}
	return now.Before(v.Until)
}

func (e *entry) verdict() Verdict {
	v := Verdict{ID: e.id, Crashes: e.crashCount}
	if e.crashCount >= quarantineCrashes {
		v.TrialAt, v.Until = e.trialAt(), e.quarantineEnd()
	}
	return v
}

// trialAt returns when one VM may try the request.
func (e *entry) trialAt() time.Time {
	return e.lastCrash.Add(min(jitter(trialTerm(e.crashCount), e.id.Fingerprint), term(e.crashCount)))
}

// jitter lengthens a term by up to its own length, depending on the request's fingerprint:
// requests that were involved in the same crashes are not tried at the same time.
func jitter(term time.Duration, p Fingerprint) time.Duration {
	return term + time.Duration(float64(term)*float64(p[0])/math.MaxUint8)
}

// addCrash adds a crash, or merges it with the known one of the same run: the earlier time and
// the cleared mark win. It drops the oldest crash beyond maxCrashes.
func (e *entry) addCrash(runHash uint64, c crash) {
	if known, ok := e.crashes[runHash]; ok {
		c.cleared = c.cleared || known.cleared
		if known.at.Before(c.at) {
			c.began, c.at = known.began, known.at
		}
	}
	e.crashes[runHash] = c
	if len(e.crashes) > maxCrashes {
		delete(e.crashes, e.oldestCrash())
	}
	e.recount()
}

// oldestCrash returns the run hash of the oldest crash.
func (e *entry) oldestCrash() uint64 {
	var oldest uint64
	var at time.Time
	for runHash, c := range e.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = runHash, c.at
		}
	}
	return oldest
}

// compareSeverity orders entries by the number of their crashes, then by the time of the latest.
func compareSeverity(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.crashCount, b.crashCount), a.lastCrash.Compare(b.lastCrash))
}
