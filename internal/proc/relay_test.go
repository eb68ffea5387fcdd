package proc_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
)

// echoServer starts a server that sends back every byte, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The copy ends with the connection.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// roundTrips reports whether a byte that is sent on c comes back within 200 ms.
func roundTrips(t *testing.T, c net.Conn) bool {
	t.Helper()
	is := is.New(t)
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

// A link fault that silences open connections affects only these, and healing the link does not end
// their silence.
func TestRelaySilencesOpenConnections(t *testing.T) {
	for _, d := range []proc.LinkFault{proc.Drop, proc.Discard} {
		t.Run(d.String(), func(t *testing.T) {
			is := is.New(t)
			r, err := proc.NewRelay(echoServer(t))
			is.NoErr(err)
			defer r.Close()
			dial := func() net.Conn {
				c, err := net.Dial("tcp", r.Addr())
				is.NoErr(err)
				t.Cleanup(func() { c.Close() })
				return c
			}
			open := dial()
			is.True(roundTrips(t, open))
			r.Inject(d)
			is.True(!roundTrips(t, open))
			next := dial()
			is.True(roundTrips(t, next))
			r.Heal()
			is.True(!roundTrips(t, open))
			is.True(roundTrips(t, next))
		})
	}
}

// A connection that its destination resets is reset at the client too, and one that it closes is closed.
func TestRelayPassesResetsOn(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	r, err := proc.NewRelay(l.Addr().String())
	is.NoErr(err)
	defer r.Close()
	for _, linger := range []int{-1, 0} {
		c, err := net.Dial("tcp", r.Addr())
		is.NoErr(err)
		defer c.Close()
		out, err := l.Accept()
		is.NoErr(err)
		is.NoErr(out.(*net.TCPConn).SetLinger(linger))
		is.NoErr(out.Close())
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(make([]byte, 1))
		is.Equal(errors.Is(err, syscall.ECONNRESET), linger == 0)
		is.Equal(errors.Is(err, io.EOF), linger != 0)
	}
}
