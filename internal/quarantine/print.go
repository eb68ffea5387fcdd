// Package quarantine recognises requests that crash the targets that run them, so that they are
// kept from further targets. It counts the crashes of each request: from two on the request is a
// suspect and is sent by itself, from three on it is quarantined. VMs exchange their counts.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"io"
)

// fingerprintBytes is the size of a Fingerprint. It is large enough that two different requests
// do not share one in practice, even if somebody searches for such a pair.
const fingerprintBytes = 16

// Fingerprint identifies a request. It is the same at every VM for the same client account,
// method, host, URI and body.
type Fingerprint [fingerprintBytes]byte

// String returns the first half of the fingerprint in hexadecimal, for logs.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:fingerprintBytes/2]) }

// Request holds the properties that identify a request across its attempts, and its source.
type Request struct {
	// Account is the client account; it is empty if the platform states none.
	Account string
	// Source is the owner of the share of the table that the request's entry uses: the client
	// account or, if there is none, the caller's address. It is not part of the request's
	// identity, because callers at many addresses may send the same request.
	Source string
	Method string
	Host   string
	// URI is the request target as sent, with its query.
	URI  string
	Body []byte
}

// Fingerprint hashes the whole request. It takes about 30 µs for 40 KB.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	r.writeHead(h)
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Key returns a cheap hash of the request that covers the length of its body but not the content.
// Equal requests always share it; different ones may.
func (r *Request) Key() uint64 {
	h := fnv.New64a()
	r.writeHead(h)
	return h.Sum64()
}

// ID returns the request's ID. It hashes the whole body.
func (r *Request) ID() ID { return ID{Key: r.Key(), Fingerprint: r.Fingerprint()} }

// SourceKey returns a hash of Source.
func (r *Request) SourceKey() uint64 {
	h := fnv.New64a()
	writeString(h, r.Source)
	return h.Sum64()
}

func (r *Request) writeHead(h hash.Hash) {
	for _, s := range []string{r.Account, r.Method, r.Host, r.URI} {
		writeString(h, s)
	}
	writeLength(h, len(r.Body))
}

// writeString writes s after its length, so that different lists of strings never yield the same
// bytes.
func writeString(h hash.Hash, s string) {
	writeLength(h, len(s))
	// Write of a hash.Hash never returns an error.
	_, _ = io.WriteString(h, s)
}

func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
