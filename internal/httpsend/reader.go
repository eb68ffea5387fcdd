package httpsend

import (
	"bufio"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes limits the head of a response, as the users' platform limits that of a request.
	maxHeadBytes = 16 << 10
	// maxDetail is the number of bytes that are kept of a parser's error, which quotes what was received.
	maxDetail = 120
)

// ErrMalformed reports that a target has sent bytes that are no HTTP response, or a response whose head is
// too large.
var ErrMalformed = errors.New("httpsend: the target sent bytes that are no response")

// incoming reads the bytes of responses from a connection. It fails where a head is malformed, and at the end of a
// body that ends with the connection if the connection failed while the request was being written. It is safe for
// concurrent use.
type incoming struct {
	r io.Reader

	// mu guards the fields below.
	mu   sync.Mutex
	head head
	// upload is the request that the response belongs to, or nil if it was written before.
	upload *upload
	// malformed is what is wrong with a head, or nil. The connection cannot be read on then.
	malformed error
}

// begin prepares for the head of a response to a request, of which the given bytes have been read already.
func (in *incoming) begin(u *upload, read []byte) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.malformed != nil {
		return in.malformed
	}
	in.head.reset()
	in.upload = u
	_, in.malformed = in.head.feed(read)
	return in.malformed
}

// malformedErr returns what is wrong with the head, or nil.
func (in *incoming) malformedErr() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.malformed
}

// Read implements io.Reader. Once a head is malformed, each call fails: readers of lines drop an error that comes with
// a part of a line.
func (in *incoming) Read(p []byte) (int, error) {
	if err := in.malformedErr(); err != nil {
		return 0, err
	}
	n, err := in.r.Read(p)
	valid, headErr := in.feed(p[:n])
	switch {
	case headErr != nil:
		// net/http takes an error before the first byte for the end of an unused connection, and may send the
		// request again. One byte is never a complete head.
		return max(valid, 1), headErr
	case errors.Is(err, io.EOF):
		if uploadErr := in.awaitUpload(); uploadErr != nil {
			return n, uploadErr
		}
	}
	return n, err
}

// feed checks bytes that were read.
func (in *incoming) feed(p []byte) (int, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	n, err := in.head.feed(p)
	if err != nil {
		in.malformed = err
	}
	return n, err
}

// awaitUpload waits for the upload at the end of a body that ends with the connection. It fails if the connection
// has failed.
func (in *incoming) awaitUpload() error {
	in.mu.Lock()
	u := in.upload
	if !in.head.endsWithConn() {
		u = nil
	}
	in.mu.Unlock()
	if u == nil {
		return nil
	}
	return u.await()
}

// ResponseReader reads responses from a connection whose other end may send anything, without end.
type ResponseReader struct {
	*bufio.Reader
	src source
	// upload is the request that is being written, or nil if it was written before the reading begins.
	upload *upload
}

// source is the connection of a ResponseReader.
type source struct {
	incoming
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
	n, err := s.incoming.Read(p)
	s.left -= n
	if err != nil {
		s.failed = true
	}
	return n, err
}

// NewResponseReader returns a reader with a buffer of the given size in bytes.
func NewResponseReader(r io.Reader, size int) *ResponseReader {
	rr := &ResponseReader{src: source{incoming: incoming{r: r}}}
	rr.Reader = bufio.NewReaderSize(&rr.src, size)
	return rr
}

// ReadResponse reads the head of the response to req, of about maxHeadBytes at most, and skips informational
// responses before it. It fails with ErrMalformed or with the connection's error.
func (rr *ResponseReader) ReadResponse(req *http.Request) (*http.Response, error) {
	for range maxSkipped {
		resp, err := rr.readHead(req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, malformed("too many informational responses")
}

// readHead reads the head of one response.
func (rr *ResponseReader) readHead(req *http.Request) (*http.Response, error) {
	read, err := rr.Peek(rr.Buffered())
	if err != nil {
		return nil, err
	}
	if err := rr.src.begin(rr.upload, read); err != nil {
		return nil, err
	}
	rr.src.limited, rr.src.left = true, maxHeadBytes-len(read)
	defer func() { rr.src.limited = false }()
	resp, err := http.ReadResponse(rr.Reader, req)
	if err == nil {
		return resp, nil
	}
	if headErr := rr.src.malformedErr(); headErr != nil {
		return nil, headErr
	}
	if !rr.src.failed {
		detail := err.Error()
		err = malformed(detail[:min(len(detail), maxDetail)])
	}
	return nil, err
}
