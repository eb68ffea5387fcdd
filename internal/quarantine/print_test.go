package quarantine_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// request returns a request. All requests that it returns are identical.
func request() quarantine.Request {
	return quarantine.Request{Account: "a", Method: "POST", Host: "h.example", URI: "/long/x",
		Body: []byte("body")}
}

// Identical requests have the same fingerprint and key. A request that differs in any part has
// another fingerprint.
func TestFingerprintIdentifiesRequest(t *testing.T) {
	is := is.New(t)
	first, again := request(), request()
	is.Equal(first.Fingerprint(), again.Fingerprint())
	is.Equal(first.Key(), again.Key())
	changes := map[string]func(*quarantine.Request){
		"account": func(r *quarantine.Request) { r.Account = "b" },
		"method":  func(r *quarantine.Request) { r.Method = "PUT" },
		"host":    func(r *quarantine.Request) { r.Host = "other.example" },
		"uri":     func(r *quarantine.Request) { r.URI = "/long/y" },
		"body":    func(r *quarantine.Request) { r.Body = []byte("boDy") },
		// Host and URI together are the same bytes, split differently.
		"moved": func(r *quarantine.Request) { r.Host, r.URI = "h.example/long", "/x" },
	}
	for name, change := range changes {
		other := request()
		change(&other)
		if other.Fingerprint() == first.Fingerprint() {
			t.Errorf("%s: changing it did not change the fingerprint", name)
		}
	}
}

// The key covers the length of the body but not its content, which would take long to hash. The key
// is computed for each request while the table has any entry, and the fingerprint only for requests
// that share an entry's key.
func TestKeyIgnoresContentOfBody(t *testing.T) {
	is := is.New(t)
	a, b := request(), request()
	b.Body = []byte("ydob")
	is.Equal(a.Key(), b.Key())
	b.Body = []byte("longer")
	is.True(a.Key() != b.Key())
}

// BenchmarkFingerprint measures the hash of a whole request.
func BenchmarkFingerprint(b *testing.B) {
	r := request()
	r.Body = bytes.Repeat([]byte("x"), 40<<10)
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkKey measures the hash of a request without the content of its body.
func BenchmarkKey(b *testing.B) {
	r := request()
	r.Body = bytes.Repeat([]byte("x"), 40<<10)
	for b.Loop() {
		r.Key()
	}
}
