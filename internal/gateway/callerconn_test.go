package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
)

// net/http ends the sending side of a connection with unread bytes before it
// closes it, if the connection can do so; else the caller may lose its answer.
func TestCallerConnEndsItsSendingSide(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.SetDeadline(time.Now().Add(5 * time.Second)))
	c, err := callerListener{Listener: l, limits: func() fleet.Limits { return fleet.Limits{} }}.Accept()
	is.NoErr(err)
	defer c.Close()
	half, ok := c.(interface{ CloseWrite() error })
	is.True(ok)
	is.NoErr(half.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(caller, "x") // the other side is still open
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}
