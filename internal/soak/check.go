// Package soak runs real garnet-node processes against stand-ins for the store, the targets and the
// platform. It injects faults, derived from a seed, from outside the processes, and meanwhile
// checks invariants from what callers and targets observe.
package soak

import (
	"fmt"
	"sync"
	"time"
)

// Invariant is the name of a property that the checker verifies.
type Invariant string

// The invariants.
const (
	// WholeAnswer: a successful answer is the complete answer of a target that ran this request.
	WholeAnswer Invariant = "whole_answer"
	// OneVersion: a stream holds events of one software version, over all attempts of its caller.
	OneVersion Invariant = "one_version"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Invariant = "at_most_once"
	// RefusalNotRun: a request refused as not run did not run before and never runs later.
	RefusalNotRun Invariant = "true_refusal"
	// SentByCaller: a target runs only requests that a caller sent, and never from the KV cache of
	// another request.
	SentByCaller Invariant = "asked_for"
	// OneHolder: an engine receives orders from one lease holder at a time.
	OneHolder Invariant = "one_holder"
	// NoneAfterLeaving: a leaving target receives no new requests.
	NoneAfterLeaving Invariant = "nothing_after_leaving"
	// VersionMonotonic: a VM never goes back to an older configuration version.
	VersionMonotonic Invariant = "version_never_back"
	// VersionInForce: on an undisturbed VM a new configuration version is in force in time.
	VersionInForce Invariant = "version_in_force"
	// NoCrash: a process never exits by itself.
	NoCrash Invariant = "no_end_of_its_own"
	// NoTruncation: an answer that a target wrote completely reaches its caller while the VM and
	// its links are undisturbed, also when the VM stops as planned.
	NoTruncation Invariant = "no_answer_cut"
	// CrashesContained: a request that has crashed three targets is not sent to others.
	CrashesContained Invariant = "deadly_contained"
	// KeysSecret: a target receives the account that holds a request's key, but not the key.
	KeysSecret Invariant = "keys_kept"
	// RevokedKeyDenied: a revoked key serves no request that is sent after the revocation bound.
	RevokedKeyDenied Invariant = "removed_key_denied"
	// OneDutyHolder: only one VM at a time makes the calls that one VM makes for all, and each
	// usage window is reported once.
	OneDutyHolder Invariant = "one_duty_holder"
	// LimitKept: a target that limits the requests which it accepts gets no more from the VMs that
	// know of it.
	LimitKept Invariant = "limit_kept"
	// Recovered: after the last fault every VM serves again.
	Recovered Invariant = "recovered"
)

const (
	// leaveBound is how long a leaving target may still receive requests after its entry says that
	// it leaves, as the user documentation states.
	leaveBound = 2 * time.Second
	// undisturbedBefore is how long a VM must have been undisturbed before a time bound applies to
	// it. The user documentation states 3 s.
	undisturbedBefore = 3 * time.Second
	// handoverGap is the least time between the orders of two lease holders.
	handoverGap = 3 * time.Second
	// configBound is the time within which a new configuration version must be in force, as the
	// user documentation states.
	configBound = 2 * time.Second
	// After a VM has shown a version, requests sent more than versionReorderBound later must not
	// show an older one.
	versionReorderBound = 250 * time.Millisecond
	// After a request has crashed crashLimit targets, or a part of prompts partCrashLimit, all VMs may
	// go on sending it for crashContainBound, and then lateSendLimit more times in all. These are the bounds that the
	// user documentation states.
	crashLimit        = 3
	partCrashLimit    = 5
	crashContainBound = 3 * time.Second
	lateSendLimit     = 3
	// From limitSettleTime after a target first stated a limit on requests, it may get limitRatio times
	// what the limit allows within limitWindow, and limitSlack requests, from the VMs that had passed on
	// an answer with the limit limitNoticeTime before. These are the bounds that the user documentation
	// states.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	limitRatio      = 1.5
	limitSlack      = 5
)

// Violation is a broken invariant. At is the time since the start of the run.
type Violation struct {
	At        time.Duration
	Invariant Invariant
	What      string
}

// Answer is the result of a request as its caller saw it.
type Answer struct {
	// Succeeded, Refused and Cut are mutually exclusive. If all are false, the request failed with
	// no statement about whether it ran.
	Succeeded bool
	Refused   bool
	// Cut: no complete answer came, and the caller had not timed out.
	Cut bool
	// Target is the target named in the signature. Whole says that the body is that target's
	// complete answer to this request.
	Target string
	Whole  bool
}

// request is what the checker knows of a request: sent to vm at the time sent, and run by the
// targets in ranOn, in this order. ending is 0 until a target's work on it has ended.
type request struct {
	nonIdempotent bool
	vm            string
	sent          time.Duration
	ranOn         []string
	ending        WorkEnding
	refused       bool
	// account is the holder of key. Both are empty if the request carries no key; account is also
	// empty if key may have been revoked.
	account string
	key     string
	// cutAt is when the caller's answer was truncated while the target was still working on the
	// request, 0 if that did not happen.
	cutAt time.Duration
}

// WorkEnding is how a target's work on a request ended.
type WorkEnding int

// The ways in which a target's work ends.
const (
	// Completed: the target wrote its complete answer.
	Completed WorkEnding = iota + 1
	// HungUp: the VM closed the connection to the target first.
	HungUp
	// BrokenOff: the target itself broke off its answer.
	BrokenOff
)

// acceptedOrder is the latest order that an engine accepted from a lease holder. fence is its
// fencing number, which grows with each change of the holder.
type acceptedOrder struct {
	holder string
	fence  uint64
	at     time.Duration
}

// observedVersion is a configuration version, and when it was written or shown.
type observedVersion struct {
	version int
	at      time.Duration
}

// Checker verifies the invariants from the events that callers and targets report. It has no clock:
// all times are since the start of the run. It is safe for concurrent use.
type Checker struct {
	mu       sync.Mutex
	requests map[string]*request
	orders   map[string]acceptedOrder
	// leavingSince holds when targets began to leave, lastVersions the newest version that each
	// process has shown, and written the versions in the order in which they were written.
	leavingSince map[string]time.Duration
	lastVersions map[string]observedVersion
	written      []observedVersion
	disturbances map[string][]interval
	// A crashing request crashes each target that begins to run it. crashes holds the times of the
	// crashes by crashing request, and lateSends how often it was sent on after crashContainBound.
	crashes   map[string][]time.Duration
	lateSends map[string]int
	// limits holds the limits on requests that targets state now, by target.
	limits map[string]*statedLimit
	// revokedAt holds the time of revocation by key.
	revokedAt  map[string]time.Duration
	violations []Violation
	// checks counts the checks of each invariant.
	checks map[Invariant]int
}

// interval is a period in which a subject was disturbed, both ends included.
type interval struct{ from, to time.Duration }

// All is the subject of disturbances that affect everything, such as those of the store.
const All = "all"

// NewChecker returns a checker without any events.
func NewChecker() *Checker {
	return &Checker{
		requests: make(map[string]*request), orders: make(map[string]acceptedOrder),
		leavingSince: make(map[string]time.Duration),
		lastVersions: make(map[string]observedVersion), crashes: make(map[string][]time.Duration),
		lateSends: make(map[string]int), revokedAt: make(map[string]time.Duration),
		limits:       make(map[string]*statedLimit),
		disturbances: make(map[string][]interval), checks: make(map[Invariant]int),
	}
}

// check counts a check and records a violation unless ok is true. The caller must hold c.mu.
func (c *Checker) check(inv Invariant, ok bool, at time.Duration, format string, args ...any) {
	c.checks[inv]++
	if !ok {
		c.violations = append(c.violations, Violation{At: at, Invariant: inv,
			What: fmt.Sprintf(format, args...)})
	}
}

// Disturbed records that subject, which is a VM, a target or All, is disturbed in a period.
func (c *Checker) Disturbed(subject string, from, to time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[subject] = append(c.disturbances[subject], interval{from, to})
}

// allUndisturbed reports whether none of the subjects, nor All, was disturbed in a period. The
// caller must hold c.mu.
func (c *Checker) allUndisturbed(from, to time.Duration, subjects ...string) bool {
	return c.undisturbed(from, to, append(subjects, All)...)
}

// undisturbed reports whether none of the subjects was disturbed in a period; unlike allUndisturbed
// it ignores All. The caller must hold c.mu.
func (c *Checker) undisturbed(from, to time.Duration, subjects ...string) bool {
	for _, subject := range subjects {
		for _, s := range c.disturbances[subject] {
			if s.from <= to && s.to >= from {
				return false
			}
		}
	}
	return true
}

// Sent records a request to a VM. It must be called before the request's first byte is
// written.
func (c *Checker) Sent(id, vm string, nonIdempotent bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{nonIdempotent: nonIdempotent, vm: vm, sent: at}
}

// Ran checks that a target may run a request. source is the request whose KV cache it
// continues from, empty if there is none.
func (c *Checker) Ran(id, target, source string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.check(SentByCaller, r != nil && (source == "" || source == id), at, "%s runs %q from %q",
		target, id, source)
	if r == nil {
		return
	}
	if r.nonIdempotent {
		c.check(AtMostOnce, len(r.ranOn) == 0, at, "%s runs on %s after %v", id, target, r.ranOn)
	}
	c.check(RefusalNotRun, !r.refused, at, "%s runs on %s after it was refused", id, target)
	r.ranOn = append(r.ranOn, target)
	if removed, ok := c.revokedAt[r.key]; ok {
		// This bound applies to every VM, disturbed or not.
		c.check(RevokedKeyDenied, r.sent-removed <= revokeBound, at,
			"%s runs on %s, sent %s after its key was removed", id, target, r.sent-removed)
	}
}

// SetKey records the key of a request that was sent, and the account that holds it. account is
// empty if the key may have been revoked.
func (c *Checker) SetKey(id, account, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].account, c.requests[id].key = account, key
}

// KeyRevoked records that the operator has revoked a key.
func (c *Checker) KeyRevoked(key string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedAt[key] = at
}

// CheckAccount checks the key and the account that a target received with a request.
func (c *Checker) CheckAccount(id, key, account string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.key == "" {
		return
	}
	c.check(KeysSecret, key == "" && account != "" && (r.account == "" || r.account == account), at,
		"%s of %s reaches a target as %s, key told: %t", id, r.account, account, key != "")
}

// CheckDuty records a check of the platform duties, which one VM does for all. ok is the result,
// and what describes the violation if it is false.
func (c *Checker) CheckDuty(ok bool, what string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(OneDutyHolder, ok, at, "%s", what)
}

// Ended records that a target has finished its work on a request.
func (c *Checker) Ended(id string, how WorkEnding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.ending = how
	if r.cutAt != 0 {
		c.checkTruncated(id, r, r.cutAt)
	}
}

// checkTruncated checks a truncated answer. If the target's work has not ended yet, it leaves that
// to Ended. The caller must hold c.mu.
func (c *Checker) checkTruncated(id string, r *request, at time.Duration) {
	if len(r.ranOn) > 0 && r.ending == 0 {
		r.cutAt = at
		return
	}
	// A disturbance of the store excuses no truncated answer. An answer that is incomplete when its
	// caller's timeout is over ends there, as the user documentation states.
	broken := at-r.sent < callTimeout && len(r.ranOn) == 1 && r.ending != BrokenOff &&
		c.undisturbed(r.sent, at, r.vm, r.ranOn[0])
	c.check(NoTruncation, !broken, at, "%s on %s: %v did not break off, the caller got a part", id,
		r.vm, r.ranOn)
}

// Answered checks the answer that a caller received.
func (c *Checker) Answered(id string, a Answer, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	switch {
	case a.Succeeded:
		if l := c.limits[a.Target]; l != nil {
			l.passedOn(r.vm, at)
		}
		c.check(WholeAnswer, a.Whole && contains(r.ranOn, a.Target), at,
			"%s: answer of %q, whole %t, ran on %v", id, a.Target, a.Whole, r.ranOn)
	case a.Refused:
		r.refused = true
		if _, crashing := crashingRequestOf(id); crashing {
			c.check(CrashesContained, true, at, "")
		}
		c.check(RefusalNotRun, len(r.ranOn) == 0, at, "%s was refused and ran on %v", id, r.ranOn)
	case a.Cut:
		c.checkTruncated(id, r, at)
	}
}

// StreamEnded checks the software versions of the events of a stream, over all attempts of its caller.
func (c *Checker) StreamEnded(id string, versions []string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := true
	for _, v := range versions {
		one = one && v == versions[0]
	}
	c.check(OneVersion, one, at, "%s holds events of %v", id, versions)
}

func contains(list []string, s string) bool {
	for _, have := range list {
		if have == s {
			return true
		}
	}
	return false
}

// OrderAccepted checks an order that an engine accepted.
func (c *Checker) OrderAccepted(engine, holder string, fence uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.orders[engine]
	allowed := !ok || (fence == last.fence && holder == last.holder) ||
		(fence > last.fence && (holder == last.holder || at-last.at >= handoverGap))
	c.check(OneHolder, allowed, at, "%s: %s with fence %d, %s after %s with fence %d", engine,
		holder, fence, at-last.at, last.holder, last.fence)
	c.orders[engine] = acceptedOrder{holder: holder, fence: fence, at: at}
}

// Leaves records that a target's entry says that it leaves, or is removed.
func (c *Checker) Leaves(target string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[target] = at
}

// Arrived checks that a target may receive a request: that the target did not begin to leave more
// than leaveBound ago, and that the request is not a crashing one that should be contained.
func (c *Checker) Arrived(id, target string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.checkContained(id, r, at)
	c.checkLimit(r, target, at)
	since, ok := c.leavingSince[target]
	if !ok || r == nil || !c.allUndisturbed(since-undisturbedBefore, at, r.vm) {
		return
	}
	c.check(NoneAfterLeaving, at-since <= leaveBound, at,
		"%s reaches %s from %s %s after it began to leave", id, target, r.vm, at-since)
}

// TargetCrashed records that a crashing request crashed a target at the time at. The target counts
// as disturbed until the time until.
func (c *Checker) TargetCrashed(request, target string, at, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[request] = append(c.crashes[request], at)
	c.disturbances[target] = append(c.disturbances[target], interval{at, until})
}

// checkContained checks that a crashing request which a target receives was not sent on more often
// than crashLimit, crashContainBound and lateSendLimit allow. Requests from disturbed VMs do not
// count as late. The caller must hold c.mu.
func (c *Checker) checkContained(id string, r *request, at time.Duration) {
	request, crashing := crashingRequestOf(id)
	crashes := c.crashes[request]
	limit := crashLimit
	if request == partRequests {
		limit = partCrashLimit
	}
	if !crashing || r == nil || len(crashes) < limit {
		return
	}
	since := at - crashes[limit-1]
	if since > crashContainBound && c.undisturbed(at-undisturbedBefore, at, r.vm) {
		c.lateSends[request]++
	}
	c.check(CrashesContained, c.lateSends[request] <= lateSendLimit, at,
		"%s is sent on %s after %s had ended %d targets", id, since, request, limit)
}

// ConfigWritten records that the operator has written a configuration version.
func (c *Checker) ConfigWritten(version int, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = append(c.written, observedVersion{version: version, at: at})
}

// checkVersionInForce checks that a VM does not show a version that was replaced more than
// configBound before. The caller must hold c.mu.
func (c *Checker) checkVersionInForce(vm string, version int, sent time.Duration) {
	for _, ch := range c.written {
		if ch.version > version && c.allUndisturbed(ch.at-undisturbedBefore, sent, vm) {
			c.check(VersionInForce, sent-ch.at <= configBound, sent,
				"%s shows %d, %s after %d was written", vm, version, sent-ch.at, ch.version)
			return
		}
	}
}

// UnexpectedExit records, as a violation, that a VM's process exited without having been signalled.
func (c *Checker) UnexpectedExit(vm string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(NoCrash, false, at, "the process of %s ended by itself", vm)
}

// VersionObserved checks the configuration version that a VM showed in its answer to a request;
// sent and at are when the request was sent and answered. incarnation tells the processes of a VM
// apart.
func (c *Checker) VersionObserved(vm string, incarnation, version int, sent, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkVersionInForce(vm, version, sent)
	vm = fmt.Sprintf("%s#%d", vm, incarnation)
	last, ok := c.lastVersions[vm]
	if ok && version < last.version {
		c.check(VersionMonotonic, sent-last.at <= versionReorderBound, at,
			"%s shows %d, %s after %d", vm, version, sent-last.at, last.version)
		return
	}
	c.check(VersionMonotonic, true, at, "")
	if !ok || version > last.version {
		c.lastVersions[vm] = observedVersion{version: version, at: at}
	}
}

// CheckRecovery checks that a VM served at least nine in ten of the requests that it was sent after
// the last fault.
func (c *Checker) CheckRecovery(vm string, served, asked int, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(Recovered, asked > 0 && served*10 >= asked*9, at,
		"%s serves %d of %d after the last fault", vm, served, asked)
}

// Result returns the violations so far and the number of checks of each invariant.
func (c *Checker) Result() ([]Violation, map[Invariant]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	checks := make(map[Invariant]int, len(c.checks))
	for inv, n := range c.checks {
		checks[inv] = n
	}
	return append([]Violation(nil), c.violations...), checks
}
