// Package silence sets the timeouts after which a TCP connection to an unresponsive peer counts as
// lost. Without them the kernel waits for minutes, and a program that reads from the connection
// does too.
//
// The timeouts apply to the kernel of the peer and not to its program: a program that takes long to
// answer does not lose its connections.
package silence

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// KeepAlive configures keep-alive probes on a connection that has been idle for a second, the shortest
// time that the kernel supports. Together with a limit on unacknowledged data, the second probe
// ends the connection two seconds after the peer became silent. This is before interactive callers
// give up a stream, which they do after two seconds at the earliest.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// acceptedProbeCount is the number of unanswered probes after which an accepted connection ends.
const acceptedProbeCount = 3

// Listen listens on a TCP address. An accepted connection ends once its peer has not answered for
// timeout, during which it is probed, or once data written to it has been unacknowledged for that
// long.
func Listen(ctx context.Context, address string, timeout time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: timeout / acceptedProbeCount, Interval: timeout / acceptedProbeCount, Count: acceptedProbeCount},
		// Linux passes this option on to accepted connections.
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, timeout) },
	}
	return lc.Listen(ctx, "tcp", address)
}

// SetUnackedTimeout limits how long data written to c may remain unacknowledged, and how long the peer may
// keep its receive window closed. It has no effect on connections other than TCP.
func SetUnackedTimeout(c net.Conn, d time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "silence: access the socket")
	}
	return setUserTimeout(raw, d)
}

// Dialer returns a dialer whose connections are probed and have a limit on the time that data stays
// unacknowledged. timeout limits the time to connect.
func Dialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: KeepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unacked) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket, in milliseconds.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	return errors.Wrap(err, "silence: set TCP_USER_TIMEOUT")
}
