package tunnel_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/platform/platformtest"
)

// earlyPlays is how often each ending is played, as the order in which a reset is seen varies.
const earlyPlays = 20

// playEarly sends requests with a body of size bytes through a VM in between to a target that answers each before it
// has read the body. It returns how many of the responses were complete.
func playEarly(t *testing.T, text string, size int, pause time.Duration, ending platformtest.EarlyEnding) int {
	t.Helper()
	target := platformtest.NewRawTarget(platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + text }, pause, ending))
	defer target.Close()
	return sendEarly(t, newIndirectClient(t, startVMInBetween(t, target.Address())), target.Address(), size, earlyPlays, text)
}

// The reset of a target that answers a long upload early is no end of the body, though the VM in between sees it while
// it writes the upload.
func TestEarlyResponseThatIsCutOffBehindAVMIsNotComplete(t *testing.T) {
	for name, ending := range map[string]platformtest.EarlyEnding{"reset": platformtest.EndsWithReset, "unread": platformtest.EndsUnread} {
		for _, size := range []int{64 << 10, 1 << 20, 4 << 20, 16 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %d kB after %s", name, size>>10, pause), func(t *testing.T) {
					is.New(t).Equal(playEarly(t, "a third", size, pause, ending), 0)
				})
			}
		}
	}
}

// A response that a target sends before it reads a long upload is passed on through a VM in between.
func TestEarlyResponseBehindAVMIsPassedOn(t *testing.T) {
	for name, ending := range map[string]platformtest.EarlyEnding{"after": platformtest.EndsAfterBody, "before": platformtest.EndsBeforeBody} {
		for _, size := range []int{4 << 10, 1 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%s %d kB", name, size>>10), func(t *testing.T) {
				is.New(t).Equal(playEarly(t, "the whole body", size, 5*time.Millisecond, ending), earlyPlays)
			})
		}
	}
}

// established is the response of a VM in between that states the target's end.
const established = "HTTP/1.1 200 Connection established\r\nTunnel-Framing: chunked\r\n\r\n"

// statedEnds sends requests with a body of size bytes through a VM in between, as bytes, and returns how often that
// states that the target has closed the connection.
func statedEnds(t *testing.T, size int, ending platformtest.EarlyEnding) int {
	t.Helper()
	is := is.New(t)
	target := platformtest.NewRawTarget(platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na third" }, 5*time.Millisecond, ending))
	defer target.Close()
	v := startVMInBetween(t, target.Address())
	stated := 0
	for range 5 * earlyPlays {
		c, err := net.Dial("tcp", v.address)
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(3 * time.Second)))
		_, err = fmt.Fprintf(c, "CONNECT %s HTTP/1.1\r\nHost: %s\r\nTunnel-Framing: chunked\r\n\r\n", target.Address(), target.Address())
		is.NoErr(err)
		connected := make([]byte, len(established))
		_, err = io.ReadFull(c, connected)
		is.NoErr(err)
		is.Equal(string(connected), established)
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		is.NoErr(err)
		go func() { _, _ = c.Write(make([]byte, size)) }() // fails with the connection
		if readsEnd(c) {
			stated++
		}
		is.NoErr(c.Close())
	}
	return stated
}

// readsEnd reads what a VM in between sends, and reports whether it is followed by the last chunk.
func readsEnd(c net.Conn) bool {
	var received []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		received = append(received, buf[:n]...)
		if bytes.HasSuffix(received, []byte("\r\n0\r\n")) {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// A VM in between does not state that a target has closed the connection if the connection was reset.
func TestResetOfTheTargetIsNoEnd(t *testing.T) {
	for _, size := range []int{256 << 10, 3 << 20, 4 << 20, 5 << 20, 16 << 20} {
		t.Run(fmt.Sprintf("%d kB", size>>10), func(t *testing.T) {
			is.New(t).Equal(statedEnds(t, size, platformtest.EndsWithReset), 0)
		})
	}
	is.New(t).Equal(statedEnds(t, 256<<10, platformtest.EndsAfterBody), 5*earlyPlays)
}
