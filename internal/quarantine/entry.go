package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectEnds is after how many ended targets a request counts as a suspect, and
	// quarantineEnds after how many it is kept from all targets: with two, a request
	// that stood twice beside the one at fault would be refused.
	suspectEnds    = 2
	quarantineEnds = 3
	// Onset is how long after a request's first event an end of its target may be its doing:
	// one that runs on for longer is not at fault, and a target that ends then, with others at
	// work, tells nothing of it.
	Onset = 500 * time.Millisecond
	// othersWait is how many times longer all other VMs wait than the one that tries a
	// request: it may be down, or the request not come to it.
	othersWait = 12
	// maxTerm is the longest wait, once all trials have failed.
	maxTerm = 24 * time.Hour
	// endMemory is how long the ends of a request that is in no quarantine are remembered.
	endMemory = 10 * time.Minute
	// maxEnds bounds the ends kept of one request: more would not lengthen its term.
	maxEnds = 16
)

// ID names a request in the table.
type ID struct {
	Key   uint64
	Print Print
}

// End is the end of a target's run under a request.
type End struct {
	// Run names the target's run.
	Run string
	// Began is when the request was sent there, and At when the target ended.
	Began time.Time
	At    time.Time
}

// end is an End, by the hash of its run.
type end struct {
	began time.Time
	at    time.Time
	// void is set once the request has had a good end elsewhere: it was not at fault.
	void bool
}

// entry is what is known of one request. ends is by the hash of the target's run.
type entry struct {
	id     ID
	source uint64
	ends   map[uint64]end
	// count is the ends that count against the request, and newest when the last target ended.
	count  int
	newest time.Time
	// trials counts the sends of the request that are under way from here.
	trials int
}

// weigh reckons count and newest anew.
func (e *entry) weigh() {
	e.newest = time.Time{}
	valid := make([]end, 0, len(e.ends))
	for _, end := range e.ends {
		if end.at.After(e.newest) {
			e.newest = end.at
		}
		if !end.void {
			valid = append(valid, end)
		}
	}
	e.count = countEnds(valid)
}

// countEnds counts the ends that came one after the other: of those whose runs were under way
// at the same time one counts. Copies of one request run at many targets, and where these end
// together, as with their power, that tells of what they share. A request that ends each target
// will end the next one that it is sent to after that.
func countEnds(ends []end) int {
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || !e.began.Before(last) {
			n++
			last = e.at
		}
	}
	return n
}

// trialTerms is how long, at least, after the last of three, four and five ends a request is
// tried again, by one VM. A request that many callers send alike may have stood beside another
// one at each of the ends: the first trial soon finds that out. One that ends its targets ends
// three more; after these it is tried once in maxTerm.
var trialTerms = []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute}

// trialTerm is how long a request is kept from all targets after the last of n ends.
func trialTerm(n int) time.Duration {
	switch i := n - quarantineEnds; {
	case i < 0:
		return 0
	case i < len(trialTerms):
		return trialTerms[i]
	}
	return maxTerm
}

// term is how long VMs keep a request from all targets that are not the one to try it.
func term(n int) time.Duration { return min(othersWait*trialTerm(n), maxTerm) }

// until is when the quarantine ends.
func (e *entry) until() time.Time { return e.newest.Add(term(e.count)) }

// forgotten is when the entry may be dropped: a request that comes again within as long
// after its quarantine as it lasted goes on where it was.
func (e *entry) forgotten() time.Time { return e.newest.Add(max(2*term(e.count), endMemory)) }

// Verdict is what is known of a request.
type Verdict struct {
	// ID is set where something is known.
	ID ID
	// Ends is how many targets ended as they began to run the request.
	Ends int
	// TrialAt is when the one VM that is to try it may do so, and Until when all may. Both are
	// zero where it is in no quarantine.
	TrialAt time.Time
	Until   time.Time
}

// Suspect reports whether the request may end its target: it is sent on its own, and not
// again by this system.
func (v Verdict) Suspect() bool { return v.Ends >= suspectEnds }

// Quarantined reports whether the request must not be sent at now by a VM that is the one to try
// it, or is not.
func (v Verdict) Quarantined(now time.Time, tries bool) bool {
	if tries {
		return now.Before(v.TrialAt)
	}
	return now.Before(v.Until)
}

func (e *entry) verdict() Verdict {
	v := Verdict{ID: e.id, Ends: e.count}
	if e.count >= quarantineEnds {
		v.TrialAt, v.Until = e.trialAt(), e.until()
	}
	return v
}

// trialAt is when the request may be tried by one VM.
func (e *entry) trialAt() time.Time {
	return e.newest.Add(min(spread(trialTerm(e.count), e.id.Print), term(e.count)))
}

// spread lengthens a term by up to as long again, by the request's print: those that stood at
// the same ends are not tried at the same time.
func spread(term time.Duration, p Print) time.Duration {
	return term + time.Duration(float64(term)*float64(p[0])/math.MaxUint8)
}

// note takes in an end; the earliest word of it holds.
func (e *entry) note(target uint64, n end) {
	if known, ok := e.ends[target]; ok {
		n.void = n.void || known.void
		if known.at.Before(n.at) {
			n.began, n.at = known.began, known.at
		}
	}
	e.ends[target] = n
	if len(e.ends) > maxEnds {
		delete(e.ends, e.oldest())
	}
	e.weigh()
}

// oldest returns the end that counts least.
func (e *entry) oldest() uint64 {
	var oldest uint64
	var at time.Time
	for target, end := range e.ends {
		if at.IsZero() || end.at.Before(at) {
			oldest, at = target, end.at
		}
	}
	return oldest
}

// matters orders entries: those with more ends matter more, then newer ones.
func matters(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.count, b.count), a.newest.Compare(b.newest))
}
