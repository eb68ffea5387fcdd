package gateway

import (
	"container/list"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// fileReserve is how many descriptors are kept for files: the platform
	// reserves as many of a process's limit.
	fileReserve = 200
	// ownSockets is how many descriptors the process needs beside callers and
	// targets: listeners, the store's connections, the balancer's and the
	// operator's questions, the exchange with other VMs, the runtime's own.
	ownSockets = 64
	// leastSockets is left to callers and targets whatever the limit.
	leastSockets = 16
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 30
)

// Levels of the connections in hand, callers' and targets', as shares of what
// the process may open.
const (
	// crowdedShare: idle callers are closed.
	crowdedShare = 0.75
	// lastShare: answers end their connections, as few callers are idle.
	lastShare = 0.8
	// fullShare: the VM is not ready. The balancer takes two seconds to heed it.
	fullShare = 0.875
	// stopShare: no caller is accepted. A request in hand may still need a
	// connection to a target.
	stopShare = 0.94
)

const (
	// silentFor is how long a new connection may bear no request before it counts
	// as idle: callers give up a request that has not been read after 1 s.
	silentFor = time.Second
	// roomPoll is how often a VM without room looks for some, and its pause after
	// an accept that had no descriptor. net/http's own pause grows to 1 s.
	roomPoll = 10 * time.Millisecond
	// starvedFor is how long after an accept without a descriptor the VM is not
	// ready.
	starvedFor = 2 * time.Second
)

// Descriptors returns how many descriptors the process may open: the setting, or
// the kernel's limit where it is 0.
func Descriptors(setting int64) (int, error) {
	if setting > 0 {
		return int(min(setting, maxDescriptors)), nil
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "limit of descriptors")
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}

// callerConns holds callers' connections and keeps the process from using up its
// descriptors: without any it takes no new callers, reaches no targets and
// answers no balancer.
type callerConns struct {
	// sockets is how many connections callers and targets may have together, and
	// targets counts those to targets.
	sockets int
	targets func() int
	log     *telemetry.Logger

	mu   sync.Mutex
	open int
	// idle holds the *callerConn that wait for a request, the one that has waited
	// longest first.
	idle list.List

	full atomic.Bool
	// starved is when a connection was last not accepted for want of a descriptor.
	starved atomic.Pointer[time.Time]
}

func newCallerConns(descriptors int, targets func() int, log *telemetry.Logger) *callerConns {
	return &callerConns{sockets: max(descriptors-fileReserve-ownSockets, leastSockets), targets: targets, log: log}
}

// add counts a new connection, which has no request yet.
func (t *callerConns) add(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	c.place, c.since, c.fresh = t.idle.PushBack(c), clock.Now(), true
}

// rest notes that a connection waits for its next request.
func (t *callerConns) rest(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlist(c)
	if !c.gone {
		c.place, c.since, c.fresh = t.idle.PushBack(c), clock.Now(), false
	}
}

// work notes that a connection has a request.
func (t *callerConns) work(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlist(c)
}

// remove forgets a connection that is closed.
func (t *callerConns) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(c)
}

// forget and unlist change the table; the caller holds t.mu.
func (t *callerConns) forget(c *callerConn) {
	t.unlist(c)
	if !c.gone {
		c.gone = true
		t.open--
	}
}

func (t *callerConns) unlist(c *callerConn) {
	if c.place != nil {
		t.idle.Remove(c.place)
		c.place = nil
	}
}

// above reports whether the connections in hand are over a share of what there
// may be.
func (t *callerConns) above(share float64) bool {
	t.mu.Lock()
	open := t.open
	t.mu.Unlock()
	return float64(open+t.targets()) >= share*float64(t.sockets)
}

// room closes idle callers where there are too many connections, and reports
// whether another caller may be accepted.
func (t *callerConns) room() bool {
	for t.above(crowdedShare) && t.closeIdle() {
	}
	return !t.above(stopShare)
}

// closeIdle closes the connection that has waited longest for a request, if
// there is one on which none has come. It is closed before a request on it can be
// taken up: one that is passed on must be answered.
func (t *callerConns) closeIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*callerConn)
		if (c.fresh && clock.Since(c.since) < silentFor) || c.pending() {
			continue
		}
		t.forget(c)
		// An error means that the connection was closed already.
		_ = c.Conn.Close()
		return true
	}
	return false
}

// starve notes that a connection was not accepted for want of a descriptor,
// whatever uses them, and frees one if it can.
func (t *callerConns) starve() {
	now := clock.Now()
	if last := t.starved.Swap(&now); last == nil || now.Sub(*last) > starvedFor {
		t.log.Warn(telemetry.EventDescriptors, telemetry.F("cause", "accept had none"), telemetry.F("targets", t.targets()))
	}
	t.closeIdle()
}

// ready says why no new callers should come, or "". Between the levels it says
// what it said before.
func (t *callerConns) ready() string {
	switch {
	case t.above(fullShare):
		t.setFull(true)
	case !t.above(crowdedShare):
		t.setFull(false)
	}
	last := t.starved.Load()
	if t.full.Load() || (last != nil && clock.Since(*last) < starvedFor) {
		return "connections near the limit of descriptors"
	}
	return ""
}

func (t *callerConns) setFull(full bool) {
	if t.full.Swap(full) != full {
		t.log.Warn(telemetry.EventDescriptors, telemetry.F("full", full), telemetry.F("sockets", t.sockets), telemetry.F("targets", t.targets()))
	}
}
