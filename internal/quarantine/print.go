// Package quarantine recognises requests that end the targets that run them,
// so that they are kept from further targets.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"io"
)

// printBytes is the size of a Print: two requests that differ do not share one in
// practice, also where somebody looks for such a pair.
const printBytes = 16

// Print is the fingerprint of a request: the same for the same client account,
// method, host, URI and body at every VM.
type Print [printBytes]byte

// String returns the print's first half in hexadecimal, for logs.
func (p Print) String() string { return hex.EncodeToString(p[:printBytes/2]) }

// Request is what tells one request from another, whichever attempt it is.
type Request struct {
	// Account is the client account; it is empty where the platform names none.
	Account string
	// Source is whose share of the table the request takes: the client account or, where
	// there is none, the caller's address. It does not tell requests apart: callers at many
	// addresses may send the same one.
	Source string
	Method string
	Host   string
	// URI is the request target as sent, its query included.
	URI  string
	Body []byte
}

// Print hashes the whole request; it takes some 30 µs for 40 KB.
func (r *Request) Print() Print {
	h := sha256.New()
	r.writeHead(h)
	// A hash's Write returns no error.
	_, _ = h.Write(r.Body)
	return Print(h.Sum(nil)[:printBytes])
}

// Key is a cheap hash of the request without the content of its body. Requests
// that differ may share it; those that are alike always do.
func (r *Request) Key() uint64 {
	h := fnv.New64a()
	r.writeHead(h)
	return h.Sum64()
}

// ID returns the request's name; it hashes the whole body.
func (r *Request) ID() ID { return ID{Key: r.Key(), Print: r.Print()} }

// SourceKey is a hash of whose share of the table the request takes.
func (r *Request) SourceKey() uint64 {
	h := fnv.New64a()
	writeText(h, r.Source)
	return h.Sum64()
}

func (r *Request) writeHead(h hash.Hash) {
	for _, s := range []string{r.Account, r.Method, r.Host, r.URI} {
		writeText(h, s)
	}
	writeLength(h, len(r.Body))
}

// writeText writes s behind its length, so that no two lists of texts read alike.
func writeText(h hash.Hash, s string) {
	writeLength(h, len(s))
	// A hash's Write returns no error.
	_, _ = io.WriteString(h, s)
}

func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
