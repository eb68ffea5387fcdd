package silence_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/silence"
)

const (
	// timeout is the timeout of the listener in these tests.
	timeout = time.Second
	// maxDetection is the time within which a connection must have failed after its peer became
	// silent, with a probe each second.
	maxDetection = timeout + 2500*time.Millisecond
)

// acceptThroughRelay returns the accepted end of a connection through a relay, the dialing end, and
// the relay.
func acceptThroughRelay(t *testing.T) (net.Conn, net.Conn, *proc.Relay) {
	t.Helper()
	is := is.New(t)
	l, err := silence.Listen(context.Background(), "127.0.0.1:0", timeout)
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	r, err := proc.NewRelay(l.Addr().String())
	is.NoErr(err)
	t.Cleanup(r.Close)
	peer, err := net.Dial("tcp", r.Addr())
	is.NoErr(err)
	t.Cleanup(func() { peer.Close() })
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	// The relay may not hold both of its connections yet when the second one is accepted. A byte
	// that has passed through the relay shows that it holds both.
	_, err = peer.Write([]byte("x"))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	return c, peer, r
}

// waitForError calls f until it returns an error, and returns the time that this took and the
// error.
func waitForError(t *testing.T, f func() error) (time.Duration, error) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		if err := f(); err != nil {
			return time.Since(began), err
		}
	}
	t.Fatal("no error within 20 s")
	return 0, nil
}

// Reading from and writing to an accepted connection fails soon after its peer has become silent.
func TestSilentConnectionEnds(t *testing.T) {
	for name, use := range map[string]func(net.Conn) error{
		"reading": func(c net.Conn) error { _, err := c.Read(make([]byte, 1)); return err },
		"writing": func(c net.Conn) error { _, err := c.Write(make([]byte, 64<<10)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _, r := acceptThroughRelay(t)
			r.Inject(proc.Drop)
			took, err := waitForError(t, func() error { return use(c) })
			is.True(errors.Is(err, syscall.ETIMEDOUT))
			is.True(took < maxDetection)
		})
	}
}

// An idle connection whose peer is reachable stays open.
func TestIdleConnectionStays(t *testing.T) {
	is := is.New(t)
	c, peer, _ := acceptThroughRelay(t)
	time.Sleep(maxDetection)
	_, err := peer.Write([]byte("x"))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}
