package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of crashes from which a request is a suspect. quarantineCrashes
	// is the number of crashes from which a request is quarantined, that is, kept from all targets
	// for a time. If two crashes were enough, a request that twice happened to run on the same
	// target as another request, which is at fault, would be refused.
	suspectCrashes    = 2
	quarantineCrashes = 3
	// BlameWindow is the time after the first event of a request's answer within which a crash of
	// the target may be blamed on the request. A request that has run for longer is not at fault. A
	// later crash says nothing about the request, because the target runs other requests too.
	BlameWindow = 500 * time.Millisecond
	// othersFactor times the delay before a trial is the time for which the VMs that do not run the
	// trial keep a quarantined request from their targets. A trial is an attempt to run the request
	// by which one VM checks whether the request still crashes its target. The other VMs may send
	// the request after that time, because the VM that runs the trial may be down, or may not
	// receive the request.
	othersFactor = 12
	// maxBlockTime is the longest time for which a crash quarantines a request. It applies once the
	// trials after all of trialDelays have crashed their targets too.
	maxBlockTime = 24 * time.Hour
	// retention is how long the crashes of a request that is not quarantined are remembered.
	retention = 10 * time.Minute
	// maxCrashes is the maximum number of crashes kept for one request. More would not lengthen its
	// quarantine.
	maxCrashes = 16
)

// ID identifies a request in the table.
type ID struct {
	// Key is the result of Request.Key, and Fingerprint that of Request.Fingerprint.
	Key         uint64
	Fingerprint Fingerprint
}

// Crash describes the unexpected end of a target's process soon after the target began to run a
// request.
type Crash struct {
	// Run identifies the target's run, that is, one process of it. A restarted target has another
	// run.
	Run string
	// Version is the target's software version.
	Version string
	// Began is when the request was sent to the target, and At when the target crashed.
	Began time.Time
	At    time.Time
}

// crash is a crash of a target that had begun to run a request.
type crash struct {
	// began and at are the fields Began and At of Crash.
	began time.Time
	at    time.Time
	// version is the hash of the target's software version, or 0 if it makes no difference.
	version uint64
	// cleared is true once the subject of the entry has run successfully on another target. The crash
	// was then not its fault and is no longer counted.
	cleared bool
}

// entry is the state of one subject, which is a request or a part of prompts. All methods require that
// the caller holds Table.mu.
type entry struct {
	id ID
	// schedule says when trials are due.
	schedule *schedule
	// source is the hash of Request.Source.
	source uint64
	// crashes is keyed by the hash of the target's run.
	crashes map[uint64]crash
	// crashCount is the number of successive crashes that are not cleared, see countSuccessive.
	crashCount int
	// lastCrash is the time of the latest crash, cleared or not.
	lastCrash time.Time
	// trials is the number of trials, which are attempts to run the request on a target, that this
	// VM has in progress.
	trials int
	// saved is set while this VM has written the entry's record to the store.
	saved bool
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

// countSuccessive returns the number of crashes, counting a crash only if the request was sent to
// its target after the last crash that was counted. It sorts crashes. If copies of one request run
// concurrently on many targets and these crash together, as in a power failure, the cause is
// something that the targets share, and only one of the crashes counts. A request that does crash
// its targets will also crash the next target that it is sent to.
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

// schedule says when a subject that is quarantined may be run again.
type schedule struct {
	// trialDelays are the minimum times after the third, fourth, ... crash before one VM sends the subject
	// to a target again, as a trial. After that there is one trial every maxBlockTime.
	trialDelays []time.Duration
	// othersFactor times the delay is the time after which all VMs may run a trial.
	othersFactor int
}

// requestSchedule is the schedule for requests. A request of which many callers send identical copies may
// merely have run on the same targets as another request, which is at fault. The first trial soon shows
// whether that is so. A request that does crash its targets crashes three more targets in these trials.
var requestSchedule = &schedule{
	trialDelays:  []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute},
	othersFactor: othersFactor,
}

// trialDelay returns the minimum time between the last of n crashes and the next trial, an attempt
// by one VM to run the subject.
func (s *schedule) trialDelay(n int) time.Duration {
	switch i := n - quarantineCrashes; {
	case i < 0:
		return 0
	case i < len(s.trialDelays):
		return s.trialDelays[i]
	}
	return maxBlockTime
}

// blockTime returns how long after the last of n crashes a subject stays quarantined, and is thus
// blocked, on the VMs that do not run the trial.
func (s *schedule) blockTime(n int) time.Duration {
	return min(time.Duration(s.othersFactor)*s.trialDelay(n), maxBlockTime)
}

// keepTime returns how long after the last of n crashes an entry is kept. It is kept for as long after its
// quarantine as the quarantine lasted, so that the crashes of a subject that is sent again in that time
// still count.
func (s *schedule) keepTime(n int) time.Duration { return max(2*s.blockTime(n), retention) }

// quarantineEnd returns when the quarantine ends on all VMs.
func (e *entry) quarantineEnd() time.Time {
	return e.lastCrash.Add(e.schedule.blockTime(e.crashCount))
}

// expiry returns when the entry may be removed.
func (e *entry) expiry() time.Time { return e.lastCrash.Add(e.schedule.keepTime(e.crashCount)) }

// Verdict is the table's assessment of a request.
type Verdict struct {
	// ID is the request's ID, or zero if the table has no entry of the request.
	ID ID
	// Crashes is the number of successive crashes of targets that had begun to run the request,
	// without those that a successful run has cleared.
	Crashes int
	// TrialAt is when the VM that runs the trial may send the request, and Until when all VMs
	// may. Both are zero if the request has fewer than quarantineCrashes crashes.
	TrialAt time.Time
	Until   time.Time
}

// Suspect returns whether the request may crash its target. The gateway sends a suspect in one
// attempt at a time and does not retry it.
func (v Verdict) Suspect() bool { return v.Crashes >= suspectCrashes }

// Quarantined returns whether the request must not be sent at now. runsTrial says whether this VM
// is the one that runs the trial.
func (v Verdict) Quarantined(now time.Time, runsTrial bool) bool {
	if runsTrial {
		return now.Before(v.TrialAt)
	}
	return now.Before(v.Until)
}

// verdict returns the Verdict on the entry's request.
func (e *entry) verdict() Verdict {
	v := Verdict{ID: e.id, Crashes: e.crashCount}
	if e.crashCount >= quarantineCrashes {
		v.TrialAt, v.Until = e.trialAt(), e.quarantineEnd()
	}
	return v
}

// trialAt returns when one VM may send the request as a trial.
func (e *entry) trialAt() time.Time {
	return e.lastCrash.Add(min(jitter(e.schedule.trialDelay(e.crashCount), e.id.Fingerprint), e.schedule.blockTime(e.crashCount)))
}

// jitter lengthens a delay by up to its own length, depending on the request's fingerprint, so that
// the trials of requests that were involved in the same crashes do not coincide.
func jitter(delay time.Duration, p Fingerprint) time.Duration {
	return delay + time.Duration(float64(delay)*float64(p[0])/math.MaxUint8)
}

// addCrash adds a crash of the run with the given hash, or merges it with a known crash of that
// run: the result has the earlier times, and is cleared if either crash is. If the entry has more
// than maxCrashes crashes after that, addCrash drops the oldest. It reports whether the entry has changed.
func (e *entry) addCrash(runHash uint64, c crash) bool {
	known, ok := e.crashes[runHash]
	if ok {
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
	return !ok || c.cleared != known.cleared
}

// clear marks the crashes at one software version as not counted, or all if version is 0. It reports
// whether the entry has changed.
func (e *entry) clear(version uint64) bool {
	changed := false
	for runHash, c := range e.crashes {
		if !c.cleared && (version == 0 || c.version == version) {
			c.cleared, changed = true, true
			e.crashes[runHash] = c
		}
	}
	if changed {
		e.recount()
	}
	return changed
}

// noteRunsWell records that the subject of a quarantined entry, which was at no crash of a software version, runs
// well there. The record is a cleared crash, which counts for nothing else. It reports whether the entry has
// changed.
func (e *entry) noteRunsWell(version uint64) bool {
	if e.crashCount < quarantineCrashes {
		return false
	}
	for _, c := range e.crashes {
		if c.version == version {
			return false
		}
	}
	return e.addCrash(version, crash{began: e.lastCrash, at: e.lastCrash, version: version, cleared: true})
}

// versionsRunWell returns the software versions at which the subject has run well, and has been at fewer
// successive crashes since than it takes to quarantine it.
func (e *entry) versionsRunWell() map[uint64]bool {
	well := make(map[uint64]bool)
	counted := make(map[uint64][]crash)
	for _, c := range e.crashes {
		if c.cleared {
			well[c.version] = true
		} else {
			counted[c.version] = append(counted[c.version], c)
		}
	}
	for version, crashes := range counted {
		if countSuccessive(crashes) >= quarantineCrashes {
			delete(well, version)
		}
	}
	return well
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

// compareSeverity orders entries by severity: by crashCount, then by the time of the latest crash.
// The least severe entry comes first.
func compareSeverity(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.crashCount, b.crashCount), a.lastCrash.Compare(b.lastCrash))
}
