package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
)

// A connection ends in the same way when the VM in between exits as when the target closes it. So that
// both can be told apart, what the target sends is passed on in the chunked coding (RFC 9112, section
// 7.1): the last chunk states that the target has closed the connection.
//
// The target may have closed it before the rest of a request reached it, and then resets it. A VM that wants to know
// closes its sending side once it has sent the request. If the target's kernel has received all of it, the VM in
// between sends the empty trailer section that ends the coding, and otherwise resets the connection.
const (
	headerFraming   = "Tunnel-Framing"
	framingChunked  = "chunked"
	headerConfirm   = "Tunnel-Confirm"
	confirmReceived = "received"
	confirmation    = "\r\n"
	chunkOverhead   = 32
	framedReadBytes = 4 << 10
)

// terms are what both VMs of a tunnel agree on.
type terms struct {
	// framed says that what the target sends is passed on in the chunked coding, and confirmed that the VM in between
	// confirms what the target has received.
	framed, confirmed bool
}

// termsOf returns the terms that a header asks for, or states.
func termsOf(h http.Header) terms {
	framed := h.Get(headerFraming) == framingChunked
	return terms{framed: framed, confirmed: framed && h.Get(headerConfirm) == confirmReceived}
}

// lines returns the lines of a header that termsOf reads.
func (t terms) lines() string {
	out := ""
	if t.framed {
		out += headerFraming + ": " + framingChunked + "\r\n"
	}
	if t.confirmed {
		out += headerConfirm + ": " + confirmReceived + "\r\n"
	}
	return out
}

// established returns the response to a CONNECT request after which the tunnel begins.
func (t terms) established() string {
	return "HTTP/1.1 200 Connection established\r\n" + t.lines() + "\r\n"
}

// chunkWriter passes on what a target sends, in the chunked coding if framed is set.
type chunkWriter struct {
	framed bool
	w      *bufio.Writer
	chunks io.WriteCloser
}

// newChunkWriter returns a chunkWriter to peer.
func newChunkWriter(peer net.Conn, framed bool) *chunkWriter {
	w := bufio.NewWriterSize(peer, bufferBytes+chunkOverhead)
	return &chunkWriter{framed: framed, w: w, chunks: httputil.NewChunkedWriter(w)}
}

// Write implements io.Writer. Each call sends its data at once.
func (c *chunkWriter) Write(p []byte) (int, error) {
	dst := io.Writer(c.w)
	if c.framed {
		dst = c.chunks
	}
	n, err := dst.Write(p)
	if err != nil {
		return n, err
	}
	return n, c.w.Flush()
}

// End states that the target has closed the connection.
func (c *chunkWriter) End() error {
	if !c.framed {
		return nil
	}
	if err := c.chunks.Close(); err != nil {
		return err
	}
	return c.w.Flush()
}

// targetConn is a connection to a target. It reads io.EOF only if the target has closed the connection in order. The
// kernel reports a reset once: after a write that has received it, a read sees the same as after an orderly close.
type targetConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the write that failed, or nil.
	writeErr error
}

// Write implements net.Conn.
func (c *targetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.checkWrites(); writeErr != nil {
		err = writeErr
	}
	return n, err
}

// checkWrites waits until the target's kernel has received all data that was written. It fails if the connection has
// failed.
func (c *targetConn) checkWrites() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return httpsend.AwaitReceived(c.Conn)
}

// conn is a connection to a target through another VM. It reads io.EOF only if the target has closed the
// connection, and io.ErrUnexpectedEOF if the other VM has.
type conn struct {
	net.Conn
	tcp *net.TCPConn
	br  *bufio.Reader
	// body is what the target sends.
	body io.Reader
	// terms are what the other VM has agreed to.
	terms terms
	// confirm is the result of ConfirmReceived.
	confirm func() error
}

// newConn returns a connection whose data follows in br.
func newConn(tcp *net.TCPConn, br *bufio.Reader, t terms) *conn {
	c := &conn{Conn: tcp, tcp: tcp, br: br, body: br, terms: t}
	if t.framed {
		c.body = httputil.NewChunkedReader(br)
	}
	c.confirm = sync.OnceValue(c.readConfirmation)
	return c
}

// ConfirmReceived implements httpsend.Confirmer. It must be called after Read has returned io.EOF.
func (c *conn) ConfirmReceived() error {
	if !c.terms.confirmed {
		return httpsend.AwaitReceived(c.tcp)
	}
	return c.confirm()
}

// readConfirmation closes the sending side and reads the confirmation.
func (c *conn) readConfirmation() error {
	if err := c.tcp.CloseWrite(); err != nil {
		return errors.Wrap(err, "end the request through another VM")
	}
	var got [len(confirmation)]byte
	if _, err := io.ReadFull(c.br, got[:]); err != nil {
		return errors.Wrap(err, "read whether the target has received the request")
	}
	if string(got[:]) != confirmation {
		return errors.New("tunnel: the other VM sent no confirmation")
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if errors.Is(err, io.EOF) && !c.terms.framed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Buffered returns the number of bytes that have been received and not read.
func (c *conn) Buffered() int { return c.br.Buffered() }

// SetLinger sets what Close does with data that was not sent, as net.TCPConn does.
func (c *conn) SetLinger(sec int) error { return c.tcp.SetLinger(sec) }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
