// Package quarantine recognises requests that crash the targets that run them, so that they are
// kept from further targets. It counts the successive crashes of targets that had just begun to run
// the same request. With two crashes the request is a suspect: each VM sends it in one attempt at a
// time. With three it is quarantined: no VM sends it for a time. Each attempt of a suspect is a
// trial. One VM may run a trial of a quarantined request earlier than the others, to find out
// whether the request is at fault; a successful run clears the request. Requests may also crash targets
// because of a part of their prompts that they share; PartTable counts the crashes of parts and tells the
// part at fault from those beside it. VMs exchange snapshots of what they know.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"io"
	"strings"
)

// fingerprintBytes is the size of a Fingerprint. It is large enough that two different requests
// do not share one in practice, even if somebody searches for such a pair.
const fingerprintBytes = 16

// Fingerprint is a hash that identifies a request. It is the same on every VM for the same client
// account, method, host, URI and body.
type Fingerprint [fingerprintBytes]byte

// String returns the first half of the fingerprint in hexadecimal, for logs.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:fingerprintBytes/2]) }

// Request holds the properties that identify a request across its attempts, and its Source.
type Request struct {
	// Account is the client account; it is empty if the platform states none.
	Account string
	// Source identifies the sender against whose limit of table entries (maxPerSource) the request
	// counts: the client account or, if there is none, the caller's address. Source is not part of
	// the request's identity, because callers at many addresses may send the same request.
	Source string
	Method string
	Host   string
	// URI is the request target as sent, with its query.
	URI  string
	Body []byte
	// Service is the service that runs the request, and Parts are the ids of the parts of its prompt that
	// other prompts may share. They identify the parts, not the request.
	Service string
	Parts   []string
}

// FormatParts formats the ids of prompt parts for logs. Callers choose the ids, so their length is limited.
func FormatParts(ids []string) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		if b.Len()+len(id) > maxPartsText {
			b.WriteString("...")
			break
		}
		b.WriteString(id)
	}
	return b.String()
}

// maxPartsText is the maximum length of formatted part ids, in bytes.
const maxPartsText = 256

// Fingerprint returns the request's fingerprint. It hashes the whole request, which takes about
// 30 µs for 40 KB.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	r.writeHead(h)
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Key returns a cheap hash of the request that covers the length of its body but not the content.
// Identical requests have the same key; different ones may have the same key.
func (r *Request) Key() uint64 {
	h := fnv.New64a()
	r.writeHead(h)
	return h.Sum64()
}

// ID returns the request's ID. It hashes the whole body.
func (r *Request) ID() ID { return ID{Key: r.Key(), Fingerprint: r.Fingerprint()} }

// SourceKey returns the hash of Source. The table counts the entries with the same hash.
func (r *Request) SourceKey() uint64 {
	h := fnv.New64a()
	writeString(h, r.Source)
	return h.Sum64()
}

// writeHead writes everything that identifies the request except the content of its body.
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

// writeLength writes n in eight bytes.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
