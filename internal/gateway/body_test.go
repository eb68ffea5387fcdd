package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/intake"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// bodyLimit is the size of the largest body in these tests.
const bodyLimit = 4 << 20

// serveBodies serves requests whose bodies it reads as a gateway does, with minCallerBytes of memory, and returns
// the address and the account. It answers 200 with the size of the body.
func serveBodies(t *testing.T) (string, *callerConns) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := newCallerConns(unlimitedDescriptors, minCallerBytes, func() int { return 0 }, telemetry.NewLogger(io.Discard, "test", "vm-1"))
	g := &Gateway{conns: conns, abortCtx: context.Background()}
	handler := func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{g: g, w: w, r: r, conn: connOf(r.Context()), arrived: time.Now(), deadline: time.Now().Add(20 * time.Second)}
		defer x.conn.endRequest()
		defer x.releaseBody()
		if err := x.readBody(fleet.Limits{BodyBytes: bodyLimit}); err != nil {
			x.conn.limitDiscard()
			x.writeError(errkind.From(err))
			return
		}
		fmt.Fprint(w, len(x.body))
	}
	s := &http.Server{Handler: http.HandlerFunc(handler), ConnState: onConnState, ConnContext: withCallerConn}
	done := make(chan error, 1)
	go func() { done <- s.Serve(newCallerListener(l, func() fleet.Limits { return fleet.Limits{} }, conns)) }()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return l.Addr().String(), conns
}

// beginBody sends the head of a request with a chunked body and the first n bytes of the body.
func beginBody(t *testing.T, address string, n int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(n)); err != nil {
		t.Fatal(err)
	}
	return c
}

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// await waits until ok returns true.
func await(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time")
		}
	}
}

// A request that has sent much is not refused for the last of its body because others came meanwhile, and what
// was reserved is returned after the response.
func TestLargeBodyIsNotRefusedForItsEnd(t *testing.T) {
	const first = 300 << 10
	is := is.New(t)
	address, conns := serveBodies(t)
	large := beginBody(t, address, first)
	await(t, func() bool { return conns.usedBytes() > bodyLimit })
	conns.mu.Lock()
	other := &callerConn{conns: conns}
	conns.ledger.Add(&other.holder, other, conns.ledger.Limit()-conns.ledger.Used(), time.Now())
	conns.ledger.Enter(&other.holder, intake.Serving, time.Now())
	conns.mu.Unlock()
	_, err := io.WriteString(large, chunk(bodyLimit-first)+"0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(large), nil)
	is.NoErr(err)
	answer, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(string(answer), fmt.Sprint(bodyLimit))
}

// A body that was told to end is refused with the promise that it has not run, and leaves nothing reserved.
func TestEndedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	address, conns := serveBodies(t)
	c := beginBody(t, address, 100<<10)
	await(t, func() bool { return conns.usedBytes() > 100<<10 })
	conns.mu.Lock()
	conns.endLocked(conns.ledger.Worst(time.Now(), conns.mayEndIncomplete), resourceMemory)
	conns.mu.Unlock()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(errkind.HeaderOutcome), string(errkind.NotRun))
	is.True(resp.Header.Get("Retry-After") != "")
	is.NoErr(c.Close())
	await(t, func() bool { return conns.usedBytes() == 0 })
}
