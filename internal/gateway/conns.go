package gateway

import (
	"container/list"
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/intake"
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
	// incompleteShare is the part of the connections whose requests may be incomplete, or not have begun,
	// once closeIdleShare is reached. It leaves the VM below notReadyShare.
	incompleteShare = 0.125
)

// What connections take in bytes, beside the bodies that they send.
const (
	// connBytes is for the buffers, stacks and tables of a connection, and readBytes what it takes in addition
	// while a request arrives, with a head of up to freeHeadBytes. serveBytes is what a complete request takes
	// in addition, with freeReadAhead bytes behind it.
	connBytes  = 12 << 10
	readBytes  = 8 << 10
	serveBytes = 24 << 10
	// acceptBytes must be free for a connection to be accepted, so that a small request finds room.
	acceptBytes = connBytes + readBytes + firstBodyBytes
	// A head takes lineBytes for each line in addition to its text. Memory for it is reserved in steps of
	// headStep.
	freeHeadBytes = 8 << 10
	lineBytes     = 256
	headStep      = 16 << 10
	// receiveWindow is the kernel's buffer for received bytes of a connection, bodyWindow that while a body
	// arrives, and bulkWindow that while a large one does.
	receiveWindow = 16 << 10
	bodyWindow    = 32 << 10
	bulkWindow    = 256 << 10
	// sendWindow is the kernel's buffer for bytes to send on a connection.
	sendWindow = 32 << 10
	// freeBodyBytes is the size up to which the parsing of a body takes no turn.
	freeBodyBytes = 64 << 10
	// minPace is the pace in bytes per second below which a request that arrives may be ended for others while
	// memory is short.
	minPace = 4 << 20
	// A body reserves at most the memory of all callers divided by maxBodyDivisor in advance.
	maxBodyDivisor = 2
	// minCallerBytes is the least that callers may take together.
	minCallerBytes = 16 << 20
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
	// maxEndsPerInterval limits how many connections with incomplete requests are ended in an
	// acceptRetryInterval to accept others.
	maxEndsPerInterval = 10
	// writeGrace is how long a caller may take to receive a large answer while others wait for the memory
	// that it takes.
	writeGrace = time.Second
	// endLogInterval is the time between two log lines about connections that were ended.
	endLogInterval = time.Second
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

// callerConns tracks the callers' connections and what they take, and keeps the process from running out
// of file descriptors and memory. Without descriptors it could not accept callers, connect to targets or
// answer readiness checks. It is safe for concurrent use.
type callerConns struct {
	// maxConns limits the connections to callers and targets together; targetConns returns the
	// current number of those to targets.
	maxConns    int
	targetConns func() int
	log         *telemetry.Logger
	// onEnd, if not nil, is called with each connection that is ended for a resource, with its lock held.
	onEnd func(p intake.Phase, r resource)
	// turns limits how many connections have a piece of a large body parsed at once. A connection holds
	// one while it is in the channel.
	turns chan struct{}

	mu sync.Mutex
	// openCount counts the callers' connections.
	openCount int
	ledger    *intake.Ledger
	// writers holds the *callerConn to which a large answer is being written, longest first.
	writers list.List
	// freed is closed and replaced when a connection gives up memory that waiters wait for.
	freed   chan struct{}
	waiters int
	// paced is the number of connections with an incomplete request that were ended for their
	// descriptors since pacedSince.
	paced      int
	pacedSince time.Time
	// ended counts the connections that were ended for a resource since the last log line, at loggedAt.
	ended    map[endKey]int
	loggedAt time.Time

	// full is set once the connections reach notReadyShare and cleared once they are below
	// closeIdleShare.
	full atomic.Bool
	// lastShortage is when an accept last failed for lack of a descriptor or of memory.
	lastShortage atomic.Pointer[time.Time]
}

// resource is what a connection is ended for.
type resource string

// The resources.
const (
	resourceDescriptors resource = "descriptors"
	resourceMemory      resource = "memory"
)

// endKey is the phase in which a connection was ended, and for which resource.
type endKey struct {
	phase    intake.Phase
	resource resource
}

// errMemoryShort means that callers take as much memory as they may, and that others stay.
var errMemoryShort = errors.New("the memory for callers is used up")

// newCallerConns returns an empty table for a process that may open the given number of file
// descriptors, and whose callers may take the given number of bytes. targets returns the current number of
// connections to targets.
func newCallerConns(descriptors int, memory int64, targets func() int, log *telemetry.Logger) *callerConns {
	return &callerConns{
		maxConns: max(descriptors-reservedFiles-reservedSockets, minSockets), targetConns: targets, log: log,
		turns:  make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1)),
		ledger: intake.NewLedger(max(memory, minCallerBytes)), freed: make(chan struct{}), ended: make(map[endKey]int),
	}
}

// add registers a new connection, which has no request yet.
func (cs *callerConns) add(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.openCount++
	cs.ledger.Add(&c.holder, c, connBytes, clock.Now())
}

// phaseBytes is what a connection takes in a phase in addition to connBytes.
var phaseBytes = map[intake.Phase]int64{intake.Reading: readBytes, intake.Serving: readBytes + serveBytes, intake.Closing: readBytes}

// enter records what a connection does from now on.
func (cs *callerConns) enter(c *callerConn, p intake.Phase) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.enterLocked(c, p)
}

// enterLocked is enter for a caller that holds mu.
func (cs *callerConns) enterLocked(c *callerConn, p intake.Phase) {
	now, before := clock.Now(), c.holder.Phase()
	cs.ledger.Enter(&c.holder, p, now)
	switch n := phaseBytes[p] - phaseBytes[before]; {
	case n > 0:
		cs.ledger.Charge(&c.holder, n, now)
	case n < 0:
		cs.releaseLocked(c, -n)
	}
}

// remove unregisters a closed connection. Repeated calls have no effect.
func (cs *callerConns) remove(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.removeLocked(c)
}

// removeLocked is remove for a caller that holds mu.
func (cs *callerConns) removeLocked(c *callerConn) {
	if !c.holder.Removed() {
		cs.ledger.Remove(&c.holder)
		cs.openCount--
		cs.wakeLocked()
	}
}

// wakeLocked wakes those that wait for memory.
func (cs *callerConns) wakeLocked() {
	if cs.waiters > 0 {
		close(cs.freed)
		cs.freed, cs.waiters = make(chan struct{}), 0
	}
}

// release returns memory that a connection reserved.
func (cs *callerConns) release(c *callerConn, n int64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.releaseLocked(c, n)
}

// releaseLocked is release for a caller that holds mu.
func (cs *callerConns) releaseLocked(c *callerConn, n int64) {
	if n > 0 {
		cs.ledger.Charge(&c.holder, -n, clock.Now())
		cs.wakeLocked()
	}
}

// tryReserve reserves n bytes for a connection without waiting and reports whether it could.
func (cs *callerConns) tryReserve(c *callerConn, n int64) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.makeMemoryLocked(c, n) {
		return false
	}
	cs.ledger.Charge(&c.holder, n, clock.Now())
	return true
}

// reserveFree reserves n bytes for a connection if they are free, and reports whether they were.
func (cs *callerConns) reserveFree(c *callerConn, n int64) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.holder.Removed() || c.holder.Leaving() || !cs.ledger.Fits(&c.holder, n) {
		return false
	}
	cs.ledger.Charge(&c.holder, n, clock.Now())
	return true
}

// reserve waits until n bytes are free and reserves them for the request of a connection. It ends other
// requests that are incomplete if that makes room. It fails with errMemoryShort if there is none, or if
// this request was ended meanwhile.
func (cs *callerConns) reserve(ctx context.Context, c *callerConn, n int64) error {
	for {
		cs.mu.Lock()
		if !cs.makeMemoryLocked(c, n) {
			cs.mu.Unlock()
			return errMemoryShort
		}
		if cs.ledger.Fits(&c.holder, n) {
			cs.ledger.Charge(&c.holder, n, clock.Now())
			cs.mu.Unlock()
			return nil
		}
		freed := cs.freed
		cs.waiters++
		cs.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for memory")
		}
	}
}

// makeMemoryLocked ends requests and connections until n more bytes for a connection will fit once those
// have ended, and reports whether they will. The connection itself may be the one that has to end.
func (cs *callerConns) makeMemoryLocked(c *callerConn, n int64) bool {
	if c.holder.Removed() || c.holder.Leaving() {
		return false
	}
	for !cs.ledger.WillFit(&c.holder, n) {
		h := cs.ledger.OldestClosing()
		if h == nil {
			h = cs.ledger.Worst(clock.Now(), cs.mayEnd)
		}
		if h == nil || h == &c.holder {
			cs.countEnd(c.holder.Phase(), resourceMemory)
			return false
		}
		cs.endLocked(h, resourceMemory)
	}
	return true
}

// endBody records that the body of a request was read, as a whole or not, and reports whether the
// request is to be served: it is complete and was not told to end. reserved is what was reserved for its
// reading.
func (cs *callerConns) endBody(c *callerConn, complete bool, reserved int64) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.releaseLocked(c, reserved)
	if !complete || c.holder.Removed() || c.holder.Leaving() {
		return false
	}
	cs.enterLocked(c, intake.Serving)
	return true
}

// mayEnd reports whether a connection may be ended for the memory that it takes. A request that arrives faster
// than minPace stays: if requests that are nearly complete ended for new ones, none would be served. A connection
// that waits for a request is closed without a loss if it has no unread bytes, and its caller has had time to
// send some.
func (cs *callerConns) mayEnd(h *intake.Holder) bool {
	switch now := clock.Now(); {
	case h.Phase() == intake.Reading:
		return h.Slow(now, minPace)
	case h.Phase() == intake.New && now.Sub(h.Since()) < newConnGrace:
		return false
	}
	return !connOfHolder(h).pending()
}

// mayEndIncomplete reports whether a connection may be ended for its descriptor: its request is incomplete or has
// not begun, however little time its caller has had.
func (cs *callerConns) mayEndIncomplete(h *intake.Holder) bool {
	return h.Phase() == intake.Reading || (h.Phase() == intake.New && !connOfHolder(h).pending())
}

// connOfHolder returns the connection of a holder.
func connOfHolder(h *intake.Holder) *callerConn { return h.Owner.(*callerConn) }

// endLocked ends a connection, or the request that arrives on it if its caller can be told so. It holds the
// lock during the close, so that no request on the connection can reach the handler meanwhile. A request
// that reaches the handler must get a response.
func (cs *callerConns) endLocked(h *intake.Holder, r resource) {
	c := connOfHolder(h)
	cs.countEnd(h.Phase(), r)
	if h.Phase() == intake.Reading && c.part.Load() == partBody {
		cs.ledger.Leave(h)
		cs.wakeLocked()
		// An error means that the connection was already closed.
		_ = c.Conn.SetReadDeadline(time.Now())
		return
	}
	cs.removeLocked(c)
	// An error means that the connection was already closed.
	_ = c.Conn.Close()
}

// countEnd counts a connection that is ended or refused for a resource, and logs the counts once in
// endLogInterval.
func (cs *callerConns) countEnd(p intake.Phase, r resource) {
	if cs.onEnd != nil {
		cs.onEnd(p, r)
	}
	cs.ended[endKey{p, r}]++
	if now := clock.Now(); now.Sub(cs.loggedAt) >= endLogInterval {
		cs.loggedAt = now
		cs.logEndedLocked()
	}
}

// logEndedLocked logs how many connections were ended since the last line. The caller must hold mu.
func (cs *callerConns) logEndedLocked() {
	fields := []telemetry.Field{
		telemetry.F("open", cs.openCount), telemetry.F("targets", cs.targetConns()), telemetry.F("sockets", cs.maxConns),
		telemetry.F("used_bytes", cs.ledger.Used()), telemetry.F("max_bytes", cs.ledger.Limit()),
	}
	for k, n := range cs.ended {
		fields = append(fields, telemetry.F(string(k.resource)+"_"+k.phase.String(), n))
	}
	clear(cs.ended)
	cs.log.Warn(telemetry.EventCallersEnded, fields...)
}

// maxBody returns the most memory that a body reserves in advance.
func (cs *callerConns) maxBody() int64 { return cs.ledger.Limit() / maxBodyDivisor }

// usedBytes returns what callers take.
func (cs *callerConns) usedBytes() int64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.ledger.Used()
}

// usedAtLeast reports whether the number of connections has reached the given fraction of maxConns.
func (cs *callerConns) usedAtLeast(share float64) bool {
	cs.mu.Lock()
	open := cs.openCount
	cs.mu.Unlock()
	return float64(open+cs.targetConns()) >= share*float64(cs.maxConns)
}

// makeRoom ends connections while there are too many or they take too much memory, and reports whether
// another caller may be accepted.
func (cs *callerConns) makeRoom() bool {
	for cs.usedAtLeast(closeIdleShare) && (cs.closeIdle() || cs.endIncomplete()) {
	}
	if !cs.makeMemory() {
		return false
	}
	return !cs.usedAtLeast(stopAcceptShare)
}

// makeMemory makes room for the memory of a further connection and reports whether there is some. The VM is not
// ready for shortagePeriod if requests that stay have it all.
func (cs *callerConns) makeMemory() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for !cs.ledger.WillFit(nil, acceptBytes) {
		h := cs.ledger.OldestClosing()
		if h == nil {
			h = cs.ledger.Worst(clock.Now(), cs.mayEnd)
		}
		if h == nil {
			now := clock.Now()
			cs.lastShortage.Store(&now)
			return false
		}
		if !cs.paceLocked() {
			return false
		}
		cs.endLocked(h, resourceMemory)
	}
	return true
}

// closeIdle closes the connection that has been kept longest after its last response, or else the one that
// has waited longest for a request and has no unread bytes, and reports whether there was one.
func (cs *callerConns) closeIdle() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	oldest := cs.ledger.OldestClosing()
	if oldest == nil {
		cs.ledger.Waiting(func(h *intake.Holder) bool {
			if cs.mayEnd(h) {
				oldest = h
			}
			return oldest == nil
		})
	}
	if oldest == nil {
		return false
	}
	cs.endLocked(oldest, resourceDescriptors)
	return true
}

// endIncomplete ends a connection whose request is incomplete, or has not begun, if there are more of them than
// incompleteShare allows, and reports whether it did.
func (cs *callerConns) endIncomplete() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	incomplete := cs.ledger.Count(intake.New) + cs.ledger.Count(intake.Reading)
	if float64(incomplete) <= incompleteShare*float64(cs.maxConns) {
		return false
	}
	h := cs.ledger.Worst(clock.Now(), cs.mayEndIncomplete)
	if h == nil || !cs.paceLocked() {
		return false
	}
	cs.endLocked(h, resourceDescriptors)
	return true
}

// beginWrite records that an answer is being written that takes memory that others may wait for. The returned
// function ends that.
func (cs *callerConns) beginWrite(c *callerConn) (end func()) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	e := cs.writers.PushBack(writer{c, clock.Now()})
	return func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.writers.Remove(e)
	}
}

// writer is a connection to which a large answer has been written since a time.
type writer struct {
	conn  *callerConn
	since time.Time
}

// endWriter closes the connection that has been taking its large answer for longest, if that is longer than
// writeGrace.
func (cs *callerConns) endWriter() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	e := cs.writers.Front()
	if e == nil || clock.Since(e.Value.(writer).since) < writeGrace {
		return
	}
	cs.writers.Remove(e)
	cs.endLocked(&e.Value.(writer).conn.holder, resourceMemory)
}

// paceLocked reports whether another connection may be ended for a new one. Callers that come back at once
// would otherwise take the processor with their connects.
func (cs *callerConns) paceLocked() bool {
	if now := clock.Now(); now.Sub(cs.pacedSince) >= acceptRetryInterval {
		cs.paced, cs.pacedSince = 0, now
	}
	cs.paced++
	return cs.paced <= maxEndsPerInterval
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
		return "connections near the limit of file descriptors or memory"
	}
	return ""
}

// setFull stores whether the connections are near the limit, and logs a change.
func (cs *callerConns) setFull(full bool) {
	if cs.full.Swap(full) != full {
		cs.log.Warn(telemetry.EventDescriptorsShort, telemetry.F("full", full), telemetry.F("sockets", cs.maxConns), telemetry.F("targets", cs.targetConns()))
	}
}
