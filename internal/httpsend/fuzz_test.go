package httpsend

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHead checks that the verdict on a head doesn't depend on the pieces in which it comes, and that a response which
// both the check and net/http accept has a valid status, version and names.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 103\r\nA: b\r\n\r\nHTTP/1.0 200 OK\n\nx",
		"HTTP/1.1 200 OK\r\nA : b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(seed), 1)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		var whole, pieces head
		valid, err := whole.feed(data)
		step = max(step, 1)
		validPieces, errPieces := 0, error(nil)
		for rest := data; len(rest) > 0 && errPieces == nil; {
			n := min(step, len(rest))
			var k int
			k, errPieces = pieces.feed(rest[:n])
			validPieces += k
			rest = rest[n:]
		}
		if valid != validPieces || (err == nil) != (errPieces == nil) || whole.state != pieces.state || whole.endsWithConn() != pieces.endsWithConn() {
			t.Fatalf("%d %v %d, in pieces of %d: %d %v %d", valid, err, whole.state, step, validPieces, errPieces, pieces.state)
		}
		if err != nil || whole.state != inBody {
			return
		}
		r := bufio.NewReader(bytes.NewReader(data))
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		}
		if err != nil {
			return
		}
		if resp.StatusCode != whole.status || resp.StatusCode > 599 || resp.ProtoMajor != 1 {
			t.Fatalf("accepted status %d, version %s", resp.StatusCode, resp.Proto)
		}
		for name := range resp.Header {
			for _, b := range []byte(name) {
				if !isToken(b) {
					t.Fatalf("accepted name %q", name)
				}
			}
		}
		byConn := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
		if byConn != whole.endsWithConn() {
			t.Fatalf("framing: ends with its connection %t, checked %t", byConn, whole.endsWithConn())
		}
	})
}
