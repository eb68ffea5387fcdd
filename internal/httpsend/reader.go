package httpsend

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes limits the head of a response, as the users' platform limits that of a request.
	maxHeadBytes = 16 << 10
	// maxDetail is the number of bytes that are kept of a parser's error, which quotes what was received.
	maxDetail = 120
	// protocolName begins every response (RFC 9112, section 4).
	protocolName = "HTTP/"
)

// ErrMalformed reports that a target has sent bytes that are no HTTP response, or a response whose head is
// too large.
var ErrMalformed = errors.New("httpsend: the target sent bytes that are no response")

// ResponseReader reads responses from a connection whose other end may send anything, without end.
type ResponseReader struct {
	*bufio.Reader
	src source
}

// source is the connection of a ResponseReader.
type source struct {
	r io.Reader
	// limited is set while a head is read, of which left more bytes may be read.
	limited bool
	left    int
	// failed is set once the connection has returned an error.
	failed bool
}

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the head is larger than %d bytes", maxHeadBytes)

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.limited && s.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := s.r.Read(p)
	s.left -= n
	if err != nil {
		s.failed = true
	}
	return n, err
}

// NewResponseReader returns a reader with a buffer of the given size in bytes.
func NewResponseReader(r io.Reader, size int) *ResponseReader {
	rr := &ResponseReader{src: source{r: r}}
	rr.Reader = bufio.NewReaderSize(&rr.src, size)
	return rr
}

// ReadResponse reads the head of the response to req, of about maxHeadBytes at most. It fails with
// ErrMalformed or with the connection's error.
func (rr *ResponseReader) ReadResponse(req *http.Request) (*http.Response, error) {
	rr.src.limited, rr.src.left = true, maxHeadBytes-rr.Buffered()
	defer func() { rr.src.limited = false }()
	start, err := rr.Peek(len(protocolName))
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case string(start) != protocolName:
		// The parser would quote all that it has received.
		return nil, ErrMalformed
	}
	resp, err := http.ReadResponse(rr.Reader, req)
	if err != nil && !rr.src.failed {
		detail := err.Error()
		return nil, errors.Wrap(ErrMalformed, detail[:min(len(detail), maxDetail)])
	}
	return resp, err
}
