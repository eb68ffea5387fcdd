package httpsend

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// upload is the writing of one request to a connection. Its error tells whether a body that ends with the
// connection is complete: the kernel reports a reset once, and if the write receives it, a read of the connection
// sees the same as after an orderly close.
type upload struct {
	// nc is the connection, or nil if it has no socket.
	nc   net.Conn
	done chan struct{}
	// err is the result of the write. It may be read once done is closed.
	err error
}

// newUpload returns an upload that has not ended.
func newUpload(nc net.Conn) *upload { return &upload{nc: nc, done: make(chan struct{})} }

// finish records the result of the write. It must be called once.
func (u *upload) finish(err error) {
	u.err = err
	close(u.done)
}

// succeeded reports whether the request has been written completely.
func (u *upload) succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// await waits until the request has been written and received, which closing the connection ends. It fails if the
// connection has failed.
func (u *upload) await() error {
	<-u.done
	if u.err != nil {
		return errors.Wrap(u.err, "write request")
	}
	if c, ok := u.nc.(Confirmer); ok {
		return c.ConfirmReceived()
	}
	return AwaitReceived(u.nc)
}

// Confirmer is a connection through another VM. The kernel of the target, which closes the connection, is not the one
// that acknowledges what is written to it.
type Confirmer interface {
	// ConfirmReceived waits until the other VM states that the target's kernel has received all that was written.
	// It fails if the connection of either has failed. Nothing can be written after it was called.
	ConfirmReceived() error
}

// receivedPoll is the time between two checks of whether the peer has acknowledged all data.
const receivedPoll = time.Millisecond

// tcpClosed is the state of a connection that was reset or has timed out (the kernel's TCP_CLOSE).
const tcpClosed = 7

// AwaitReceived waits until the peer's kernel has acknowledged all data that was written to nc. It fails if the
// connection has been reset, timed out or closed. Where the kernel does not state it, all counts as received.
func AwaitReceived(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var info *unix.TCPInfo
		var infoErr error
		if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
			return err
		}
		switch {
		case infoErr != nil:
			return nil
		case info.State == tcpClosed:
			return syscall.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		time.Sleep(receivedPoll)
	}
}
