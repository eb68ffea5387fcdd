// Package silence sets the timeouts after which a TCP connection to a silent peer counts as lost. A
// peer is silent if its kernel no longer acknowledges anything. Without these timeouts the kernel
// waits for minutes, and so does a program that reads from the connection.
//
// It is the peer's kernel that has to respond and not its program: a program that takes long to
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

// KeepAlive configures keep-alive probes on a connection that has been idle for a second, the
// shortest time that the kernel supports. If a limit on unacknowledged data is set too, the second
// probe closes the connection two seconds after the peer became silent. This is before interactive
// callers give up a stream, which they do after two seconds at the earliest.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// acceptedProbeCount is the number of unanswered probes after which an accepted connection is
// closed.
const acceptedProbeCount = 3

// Listen listens on a TCP address. An accepted connection is closed with an error once its peer has
// been silent for timeout, which means that the peer has answered none of acceptedProbeCount
// probes, or has not acknowledged data that was written to the connection.
func Listen(ctx context.Context, address string, timeout time.Duration) (net.Listener, error) {
	return listen(ctx, address, timeout, func(syscall.RawConn) error { return nil })
}

// ListenBuffered is Listen for connections of which the kernel holds about receiveBytes of received data and
// sendBytes of data to send at most, however fast either end reads.
func ListenBuffered(ctx context.Context, address string, timeout time.Duration, receiveBytes, sendBytes int) (net.Listener, error) {
	return listen(ctx, address, timeout, func(raw syscall.RawConn) error {
		if err := setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes, "SO_RCVBUF"); err != nil {
			return err
		}
		return setOption(raw, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes, "SO_SNDBUF")
	})
}

// listen is Listen with a further option, which Linux passes on to accepted connections like the timeout.
func listen(ctx context.Context, address string, timeout time.Duration, option func(syscall.RawConn) error) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: timeout / acceptedProbeCount, Interval: timeout / acceptedProbeCount, Count: acceptedProbeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := setUserTimeout(raw, timeout); err != nil {
				return err
			}
			return option(raw)
		},
	}
	return lc.Listen(ctx, "tcp", address)
}

// SetUnackedTimeout makes the kernel close c with an error once data written to c has been
// unacknowledged for d, or once the peer has kept its receive window closed for d. It has no effect
// on connections that give no access to a socket.
func SetUnackedTimeout(c net.Conn, d time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "silence: access the socket")
	}
	return setUserTimeout(raw, d)
}

// Dialer returns a dialer whose connections are probed as KeepAlive configures. timeout limits the
// time to connect, and unacked is the timeout that SetUnackedTimeout would set.
func Dialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: KeepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unacked) },
	}
}

// setUserTimeout sets the option TCP_USER_TIMEOUT of a socket to d, which is rounded down to
// milliseconds.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()), "TCP_USER_TIMEOUT")
}

// setOption sets an option of a socket.
func setOption(raw syscall.RawConn, level, option, value int, name string) error {
	var setErr error
	err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err == nil {
		err = setErr
	}
	return errors.Wrapf(err, "silence: set %s", name)
}
