// Package soak runs real garnet-node processes before stand-ins, deals them
// faults from outside by a seed, and checks while it runs, from what callers and
// targets see, that the promises to both are kept.
package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise is one of the things that are checked.
type Promise string

// The promises.
const (
	// Whole: a success is the whole answer of a target that ran this request.
	Whole Promise = "whole_answer"
	// Once: a request that may not be repeated runs at most once.
	Once Promise = "at_most_once"
	// Unrun: a request that was refused as not run has not run and never does.
	Unrun Promise = "true_refusal"
	// Asked: nothing runs that no caller sent, or from another's KV cache.
	Asked Promise = "asked_for"
	// OneHolder: an engine's orders come from one holder at a time.
	OneHolder Promise = "one_holder"
	// Left: a leaving target gets nothing new.
	Left Promise = "nothing_after_leaving"
	// Forward: a VM's configuration does not go back.
	Forward Promise = "version_never_back"
	// InForce: a new version is in force in time on a calm VM.
	InForce Promise = "version_in_force"
	// Alive: a process does not end by itself.
	Alive Promise = "no_end_of_its_own"
	// Uncut: an answer that a target wrote whole reaches its caller while the VM
	// and its links are undisturbed, also when the VM stops as planned.
	Uncut Promise = "no_answer_cut"
	// Contained: a request that has ended three targets is kept from others.
	Contained Promise = "deadly_contained"
	// Secret: a target is told the account that holds a request's key, and not the key.
	Secret Promise = "keys_kept"
	// Denied: a removed key serves no request that is sent later than its bound.
	Denied Promise = "removed_key_denied"
	// Duties: calls of one VM for all come from one at a time, and each window is reported
	// once.
	Duties Promise = "one_duty_holder"
	// Recovered: after the last fault every VM serves again.
	Recovered Promise = "recovered"
)

const (
	// leaveWithin is how long after its row says so a leaving target may still
	// get requests: the bound of the users' pages.
	leaveWithin = 2 * time.Second
	// calmBefore is how long a VM must have been undisturbed for a bound on time
	// to hold for it: the users' pages say 3 s.
	calmBefore = 3 * time.Second
	// holderGap is the least time between the orders of two holders.
	holderGap = 3 * time.Second
	// changeWithin is how long a new version may take: the bound of the users'
	// pages.
	changeWithin = 2 * time.Second
	// versionWithin is how long after a VM has shown a version it must not show
	// an older one to a request sent later.
	versionWithin = 250 * time.Millisecond
	// A request that has ended so many targets may be sent on by all VMs for so long, and so
	// many times after that: the bounds of the users' pages.
	deadlyEnds   = 3
	deadlyWithin = 3 * time.Second
	deadlyAfter  = 3
)

// Violation is a broken promise.
type Violation struct {
	At      time.Duration
	Promise Promise
	What    string
}

// Answer is how a request ended for its caller.
type Answer struct {
	// Succeeded, Refused and Cut exclude each other; all false is a failure that
	// promises nothing.
	Succeeded bool
	Refused   bool
	// Cut: no whole answer came and the caller did not give up.
	Cut bool
	// Engine is the target that the signature names, and Whole says that the
	// body is that target's whole answer to this request.
	Engine string
	Whole  bool
}

type request struct {
	once    bool
	vm      string
	sent    time.Duration
	runs    []string
	ending  Ending
	refused bool
	// account holds key, which is empty where none was named.
	account string
	key     string
	// cut is when the caller got a part, while the target was still at work; 0
	// where that is not so.
	cut time.Duration
}

// Ending is how a target's work on a request ended.
type Ending int

// The endings.
const (
	// Written: the target wrote its whole answer.
	Written Ending = iota + 1
	// HungUp: the VM closed the connection to the target first.
	HungUp
	// Spoiled: the target itself broke off.
	Spoiled
)

type order struct {
	holder string
	fence  uint64
	at     time.Duration
}

type shown struct {
	version int
	at      time.Duration
}

// Checker judges what callers and targets see. It has no clock: all times are
// since the soak's start. It is safe for concurrent use.
type Checker struct {
	mu        sync.Mutex
	requests  map[string]*request
	orders    map[string]order
	leaving   map[string]time.Duration
	shown     map[string]shown
	changes   []shown
	disturbed map[string][]span
	// killed holds when targets ended under each deadly request, and late how often it was
	// sent on too late.
	killed map[string][]time.Duration
	late   map[string]int
	// revoked holds when keys were removed.
	revoked    map[string]time.Duration
	violations []Violation
	// Made counts the checks made of each promise.
	made map[Promise]int
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Duration }

// All is the subject of a disturbance of everything, the store's for one.
const All = "all"

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		requests: make(map[string]*request), orders: make(map[string]order), leaving: make(map[string]time.Duration),
		shown: make(map[string]shown), killed: make(map[string][]time.Duration), late: make(map[string]int), revoked: make(map[string]time.Duration), disturbed: make(map[string][]span), made: make(map[Promise]int),
	}
}

// check counts a check and notes a violation; the caller holds c.mu.
func (c *Checker) check(p Promise, ok bool, at time.Duration, format string, args ...any) {
	c.made[p]++
	if !ok {
		c.violations = append(c.violations, Violation{At: at, Promise: p, What: fmt.Sprintf(format, args...)})
	}
}

// Disturbed notes that a VM, a target, or All is disturbed from one time to
// another.
func (c *Checker) Disturbed(subject string, from, to time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[subject] = append(c.disturbed[subject], span{from, to})
}

// calm reports whether none of the subjects, nor All, was disturbed in a time;
// the caller holds c.mu.
func (c *Checker) calm(from, to time.Duration, subjects ...string) bool {
	return c.undisturbed(from, to, append(subjects, All)...)
}

// undisturbed is calm for the subjects alone; the caller holds c.mu.
func (c *Checker) undisturbed(from, to time.Duration, subjects ...string) bool {
	for _, subject := range subjects {
		for _, s := range c.disturbed[subject] {
			if s.from <= to && s.to >= from {
				return false
			}
		}
	}
	return true
}

// Sent notes a request to a VM before its first byte is written.
func (c *Checker) Sent(id, vm string, once bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{once: once, vm: vm, sent: at}
}

// Ran checks that a target may run a request; source is the handle that it goes
// on from, or empty.
func (c *Checker) Ran(id, engine, source string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.check(Asked, r != nil && (source == "" || source == id), at, "%s runs %q from %q", engine, id, source)
	if r == nil {
		return
	}
	if r.once {
		c.check(Once, len(r.runs) == 0, at, "%s runs on %s after %v", id, engine, r.runs)
	}
	c.check(Unrun, !r.refused, at, "%s runs on %s after it was refused", id, engine)
	r.runs = append(r.runs, engine)
	if removed, ok := c.revoked[r.key]; ok {
		// It holds for every VM, disturbed or not.
		c.check(Denied, r.sent-removed <= revokeBound, at, "%s runs on %s, sent %s after its key was removed", id, engine, r.sent-removed)
	}
}

// Named notes the key that a request bears, and the account that holds it; empty where the key
// may have been removed.
func (c *Checker) Named(id, account, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].account, c.requests[id].key = account, key
}

// Revoked notes that the operator has removed a key.
func (c *Checker) Revoked(key string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[key] = at
}

// Told checks what a target is told of a request's account.
func (c *Checker) Told(id, key, account string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.key == "" {
		return
	}
	c.check(Secret, key == "" && account != "" && (r.account == "" || r.account == account), at, "%s of %s reaches a target as %s, key told: %t", id, r.account, account, key != "")
}

// Duty checks a call that one VM makes for all.
func (c *Checker) Duty(ok bool, what string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(Duties, ok, at, "%s", what)
}

// Ended notes that a target is through with a request.
func (c *Checker) Ended(id string, how Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.ending = how
	if r.cut != 0 {
		c.checkCut(id, r, r.cut)
	}
}

// checkCut judges an answer of which the caller got a part, once it is known how
// the target's work ended; the caller holds c.mu.
func (c *Checker) checkCut(id string, r *request, at time.Duration) {
	if len(r.runs) > 0 && r.ending == 0 {
		r.cut = at
		return
	}
	// The store's disturbances excuse nothing. An answer that is not whole when its caller's
	// time is over ends there (users' pages).
	broken := at-r.sent < callTimeout && len(r.runs) == 1 && r.ending != Spoiled && c.undisturbed(r.sent, at, r.vm, r.runs[0])
	c.check(Uncut, !broken, at, "%s on %s: %v did not break off, the caller got a part", id, r.vm, r.runs)
}

// Answered checks what a caller got.
func (c *Checker) Answered(id string, a Answer, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	switch {
	case a.Succeeded:
		c.check(Whole, a.Whole && contains(r.runs, a.Engine), at, "%s: answer of %q, whole %t, ran on %v", id, a.Engine, a.Whole, r.runs)
	case a.Refused:
		r.refused = true
		if _, deadly := deadlyRequest(id); deadly {
			c.check(Contained, true, at, "")
		}
		c.check(Unrun, len(r.runs) == 0, at, "%s was refused and ran on %v", id, r.runs)
	case a.Cut:
		c.checkCut(id, r, at)
	}
}

func contains(list []string, s string) bool {
	for _, have := range list {
		if have == s {
			return true
		}
	}
	return false
}

// Ordered checks an order that an engine accepted.
func (c *Checker) Ordered(engine, holder string, fence uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.orders[engine]
	fine := !ok || (fence == last.fence && holder == last.holder) || (fence > last.fence && (holder == last.holder || at-last.at >= holderGap))
	c.check(OneHolder, fine, at, "%s: %s with fence %d, %s after %s with fence %d", engine, holder, fence, at-last.at, last.holder, last.fence)
	c.orders[engine] = order{holder: holder, fence: fence, at: at}
}

// Leaves notes that a target's row says that it leaves, or is gone.
func (c *Checker) Leaves(engine string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[engine] = at
}

// Arrived checks that a target may get a request.
func (c *Checker) Arrived(id, engine string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.checkContained(id, r, at)
	since, ok := c.leaving[engine]
	if !ok || r == nil || !c.calm(since-calmBefore, at, r.vm) {
		return
	}
	c.check(Left, at-since <= leaveWithin, at, "%s reaches %s from %s %s after it began to leave", id, engine, r.vm, at-since)
}

// Killed notes that a deadly request ends a target, which counts as disturbed for a while.
func (c *Checker) Killed(request, engine string, at, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed[request] = append(c.killed[request], at)
	c.disturbed[engine] = append(c.disturbed[engine], span{at, until})
}

// checkContained checks that a calm VM may still send a deadly request on; the caller holds
// c.mu.
func (c *Checker) checkContained(id string, r *request, at time.Duration) {
	request, deadly := deadlyRequest(id)
	ends := c.killed[request]
	if !deadly || r == nil || len(ends) < deadlyEnds {
		return
	}
	since := at - ends[deadlyEnds-1]
	if since > deadlyWithin && c.undisturbed(at-calmBefore, at, r.vm) {
		c.late[request]++
	}
	c.check(Contained, c.late[request] <= deadlyAfter, at, "%s is sent on %s after %s had ended %d targets", id, since, request, deadlyEnds)
}

// Changed notes that the operator has written a version.
func (c *Checker) Changed(version int, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, shown{version: version, at: at})
}

// checkInForce checks that no version that was replaced long ago is shown; the
// caller holds c.mu.
func (c *Checker) checkInForce(vm string, version int, sent time.Duration) {
	for _, ch := range c.changes {
		if ch.version > version && c.calm(ch.at-calmBefore, sent, vm) {
			c.check(InForce, sent-ch.at <= changeWithin, sent, "%s shows %d, %s after %d was written", vm, version, sent-ch.at, ch.version)
			return
		}
	}
}

// EndedByItself notes that a VM's process ended that nobody had signalled.
func (c *Checker) EndedByItself(vm string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(Alive, false, at, "the process of %s ended by itself", vm)
}

// Shown checks the version that the answer of a VM to a request sent at a time
// shows. life tells one process of the VM from another.
func (c *Checker) Shown(vm string, life, version int, sent, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkInForce(vm, version, sent)
	vm = fmt.Sprintf("%s#%d", vm, life)
	last, ok := c.shown[vm]
	if ok && version < last.version {
		c.check(Forward, sent-last.at <= versionWithin, at, "%s shows %d, %s after %d", vm, version, sent-last.at, last.version)
		return
	}
	c.check(Forward, true, at, "")
	if !ok || version > last.version {
		c.shown[vm] = shown{version: version, at: at}
	}
}

// Recovers checks that a VM serves after the last fault.
func (c *Checker) Recovers(vm string, served, asked int, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(Recovered, asked > 0 && served*10 >= asked*9, at, "%s serves %d of %d after the last fault", vm, served, asked)
}

// Result returns the violations so far and how many checks were made.
func (c *Checker) Result() ([]Violation, map[Promise]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := make(map[Promise]int, len(c.made))
	for p, n := range c.made {
		made[p] = n
	}
	return append([]Violation(nil), c.violations...), made
}
