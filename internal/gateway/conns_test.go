package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/intake"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// newTestConns returns a table with room for the given number of connections, and a pointer to the
// number of connections to targets, which tests set.
func newTestConns(sockets int) (*callerConns, *int) {
	targets := new(int)
	log := telemetry.NewLogger(io.Discard, "test", "vm-1")
	return newCallerConns(sockets+reservedFiles+reservedSockets, unlimitedMemory, func() int { return *targets }, log), targets
}

// addTestConn adds a connection to the table and returns it with the caller's end.
func addTestConn(t *testing.T, conns *callerConns) (*callerConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	cc := &callerConn{Conn: c, conns: conns}
	conns.add(cc)
	t.Cleanup(func() {
		cc.Close()
		caller.Close()
	})
	return cc, caller
}

// The VM reports not ready once it has 7/8 of its maximum number of connections, until it has less
// than 3/4 of them. It also reports not ready for shortagePeriod after an accept that failed for
// lack of a descriptor.
func TestReadinessFollowsConnectionCount(t *testing.T) {
	is := is.New(t)
	conns, targets := newTestConns(100)
	for _, step := range []struct {
		targets int
		ready   bool
	}{{0, true}, {87, true}, {88, false}, {80, false}, {75, false}, {74, true}, {87, true}, {200, false}, {0, true}} {
		*targets = step.targets
		is.Equal(conns.notReadyReason() == "", step.ready)
	}
	conns.noteShortage()
	is.True(conns.notReadyReason() != "")
	past := time.Now().Add(-shortagePeriod)
	conns.lastShortage.Store(&past)
	is.Equal(conns.notReadyReason(), "")
}

// makeRoom closes the connection that has been idle longest, and never one that has a request or
// unread bytes.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	conns, targets := newTestConns(100)
	older, _ := addTestConn(t, conns)
	newer, _ := addTestConn(t, conns)
	working, _ := addTestConn(t, conns)
	sent, caller := addTestConn(t, conns)
	fresh, _ := addTestConn(t, conns)
	silent, _ := addTestConn(t, conns)
	conns.ledger.Remove(&silent.holder)
	conns.ledger.Add(&silent.holder, silent, connBytes, time.Now().Add(-newConnGrace))
	for _, c := range []*callerConn{sent, older, newer} {
		conns.enter(c, intake.Idle)
	}
	conns.enter(working, intake.Reading)
	_, err := io.WriteString(caller, "GET")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)

	*targets = 69 // 75 of 100 connections
	is.True(conns.makeRoom())
	is.True(silent.closed()) // it has been idle for longer than the others
	is.True(!older.closed())
	*targets = 70
	is.True(conns.makeRoom())
	is.True(older.closed() && !newer.closed())
	*targets = 99
	is.True(!conns.makeRoom())
	is.True(newer.closed())
	is.True(!working.closed() && !sent.closed() && !fresh.closed())
	is.Equal(conns.openCount, 3)
	for _, c := range []*callerConn{older, newer, silent, working, sent, fresh} {
		is.True(c.Close() == nil || c.holder.Removed()) // a second close is not counted
	}
	is.Equal(conns.openCount, 0)
	is.Equal(conns.ledger.Used(), int64(0))
}

// A setting of 0 means the limit of the kernel.
func TestDescriptorsFromSettingOrKernel(t *testing.T) {
	is := is.New(t)
	n, err := Descriptors(4100)
	is.NoErr(err)
	is.Equal(n, 4100)
	n, err = Descriptors(0)
	is.NoErr(err)
	is.True(n > 0)
}
