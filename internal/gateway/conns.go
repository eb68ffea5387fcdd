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
	// reservedFiles is how many file descriptors are kept free for files. The platform reserves the
	// same number out of a process's limit.
	reservedFiles = 200
	// reservedSockets is how many file descriptors the process needs apart from callers and
	// targets: for listeners, the store, readiness checks, the admin server, the exchange with
	// other VMs, and the Go runtime.
	reservedSockets = 64
	// minSockets is left for callers and targets however low the limit is.
	minSockets = 16
	// unlimitedDescriptors stands for an unlimited number of file descriptors.
	unlimitedDescriptors = 1 << 30
)

// Thresholds on the number of connections to callers and targets, as fractions of
// callerConns.maxConns.
const (
	// closeIdleShare is the threshold at which idle caller connections are closed.
	closeIdleShare = 0.75
	// closeAfterResponseShare is the threshold at which connections are closed after their
	// response. This leaves few idle connections that have to be closed.
	closeAfterResponseShare = 0.8
	// notReadyShare is the threshold at which the VM reports that it is not ready. The load
	// balancer takes 2 s to react.
	notReadyShare = 0.875
	// stopAcceptShare is the threshold at which no more callers are accepted. The connections above
	// it are kept for requests in flight that still need a connection to a target.
	stopAcceptShare = 0.94
)

const (
	// newConnGrace is the time after which a new connection without a request counts as idle.
	// Callers give up on a request that has not been read after 1 s.
	newConnGrace = time.Second
	// acceptRetryInterval is how often a VM that has reached stopAcceptShare checks whether it can
	// accept again, and how long it pauses after an accept that failed for lack of a descriptor.
	// The pause of net/http would grow to 1 s.
	acceptRetryInterval = 10 * time.Millisecond
	// shortagePeriod is how long the VM reports not ready after an accept that failed for lack of a
	// descriptor.
	shortagePeriod = 2 * time.Second
)

// Descriptors returns how many file descriptors the process may open: setting, or the kernel's
// limit if setting is 0.
func Descriptors(setting int64) (int, error) {
	if setting > 0 {
		return int(min(setting, unlimitedDescriptors)), nil
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the file descriptor limit")
	}
	return int(min(limit.Cur, unlimitedDescriptors)), nil
}

// callerConns tracks the callers' connections and keeps the process from running out of file
// descriptors. Without any left, it could not accept callers, connect to targets or answer
// readiness checks. It is safe for concurrent use.
type callerConns struct {
	// maxConns limits the connections to callers and targets together; targetConns returns the
	// current number of those to targets.
	maxConns    int
	targetConns func() int
	log         *telemetry.Logger

	mu sync.Mutex
	// openCount counts the callers' connections.
	openCount int
	// idle holds the *callerConn that wait for a request, longest waiting first.
	idle list.List

	// full is set once the connections reach notReadyShare and cleared once they are below
	// closeIdleShare.
	full atomic.Bool
	// lastShortage is when an accept last failed for lack of a descriptor.
	lastShortage atomic.Pointer[time.Time]
}

// newCallerConns returns an empty table for a process that may open the given number of file
// descriptors. targets returns the current number of connections to targets.
func newCallerConns(descriptors int, targets func() int, log *telemetry.Logger) *callerConns {
	return &callerConns{maxConns: max(descriptors-reservedFiles-reservedSockets, minSockets), targetConns: targets, log: log}
}

// add registers a new connection, which has no request yet.
func (cs *callerConns) add(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.openCount++
	c.idleElem, c.idleSince, c.unused = cs.idle.PushBack(c), clock.Now(), true
}

// markIdle records that a connection waits for its next request.
func (cs *callerConns) markIdle(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.removeIdleLocked(c)
	if !c.removed {
		c.idleElem, c.idleSince, c.unused = cs.idle.PushBack(c), clock.Now(), false
	}
}

// markActive records that a connection has a request.
func (cs *callerConns) markActive(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.removeIdleLocked(c)
}

// remove unregisters a closed connection. Repeated calls have no effect.
func (cs *callerConns) remove(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.removeLocked(c)
}

// removeLocked is remove for a caller that holds mu.
func (cs *callerConns) removeLocked(c *callerConn) {
	cs.removeIdleLocked(c)
	if !c.removed {
		c.removed = true
		cs.openCount--
	}
}

// removeIdleLocked removes c from the idle list. The caller must hold mu.
func (cs *callerConns) removeIdleLocked(c *callerConn) {
	if c.idleElem != nil {
		cs.idle.Remove(c.idleElem)
		c.idleElem = nil
	}
}

// usedAtLeast reports whether the number of connections has reached the given fraction of maxConns.
func (cs *callerConns) usedAtLeast(share float64) bool {
	cs.mu.Lock()
	open := cs.openCount
	cs.mu.Unlock()
	return float64(open+cs.targetConns()) >= share*float64(cs.maxConns)
}

// makeRoom closes idle connections while there are too many, and reports whether another caller may
// be accepted.
func (cs *callerConns) makeRoom() bool {
	for cs.usedAtLeast(closeIdleShare) && cs.closeIdle() {
	}
	return !cs.usedAtLeast(stopAcceptShare)
}

// closeIdle closes the connection that has waited longest for a request and has no unread bytes,
// and reports whether there was one. It holds the lock during the close, so that no request on the
// connection can reach the handler meanwhile. A request that reaches the handler must get a
// response.
func (cs *callerConns) closeIdle() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for e := cs.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*callerConn)
		if (c.unused && clock.Since(c.idleSince) < newConnGrace) || c.pending() {
			continue
		}
		cs.removeLocked(c)
		// An error means that the connection was already closed.
		_ = c.Conn.Close()
		return true
	}
	return false
}

// noteShortage records that an accept failed for lack of a descriptor. It also closes an idle
// connection if there is one, even if it is not the callers' connections that use up the
// descriptors.
func (cs *callerConns) noteShortage() {
	now := clock.Now()
	if last := cs.lastShortage.Swap(&now); last == nil || now.Sub(*last) > shortagePeriod {
		cs.log.Warn(telemetry.EventDescriptorsShort, telemetry.F("cause", "accept had none"), telemetry.F("targets", cs.targetConns()))
	}
	cs.closeIdle()
}

// notReadyReason returns why the VM should get no new callers, or "". While the number of
// connections is between closeIdleShare and notReadyShare, the previous result is kept, so that
// readiness does not flap.
func (cs *callerConns) notReadyReason() string {
	switch {
	case cs.usedAtLeast(notReadyShare):
		cs.setFull(true)
	case !cs.usedAtLeast(closeIdleShare):
		cs.setFull(false)
	}
	last := cs.lastShortage.Load()
	if cs.full.Load() || (last != nil && clock.Since(*last) < shortagePeriod) {
		return "connections near the limit of file descriptors"
	}
	return ""
}

// setFull stores whether the connections are near the limit, and logs a change.
func (cs *callerConns) setFull(full bool) {
	if cs.full.Swap(full) != full {
		cs.log.Warn(telemetry.EventDescriptorsShort, telemetry.F("full", full), telemetry.F("sockets", cs.maxConns), telemetry.F("targets", cs.targetConns()))
	}
}
