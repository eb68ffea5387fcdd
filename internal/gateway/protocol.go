// Package gateway is the HTTP server for callers. It matches each request to a route, sends it to a
// target and relays the response. The Protocol interface defines the names and formats of headers;
// package place chooses the targets.
package gateway

import (
	"net/http"
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

// Meta is what a request's header says about the request.
type Meta struct {
	// ID identifies this request of the caller; a retry by the caller has another ID.
	ID string
	// Timeout is how long the caller waits for the response, or 0 if it does not say.
	Timeout time.Duration
	// Key is the API key of the caller's client account; empty means none. It is a secret: it is
	// neither logged nor forwarded.
	Key string
	// LastEventID is the id of the last event that the caller received, if it resumes a stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the caller
	// resumes, if it says so.
	Resumes string
	// Prompt describes the prompt of a request to a model engine. It is nil for other requests.
	Prompt *place.Prompt
}

// Handle identifies a prefilled prompt whose KV cache is kept for a decode target.
type Handle struct {
	// Address is the address of the target that keeps the KV cache.
	Address string
	// ID names the handle at that target.
	ID string
}

// Directive is what the gateway adds to a request for one target.
type Directive struct {
	// TargetID is the id of the target.
	TargetID string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is sent to model engines; 0 is the highest priority.
	Priority int
	// Engine says that the target is a model engine.
	Engine bool
	// Account is the name of the client account; empty means an anonymous request.
	Account string
	// PrefillOnly asks for a handle instead of an answer.
	PrefillOnly bool
	// Handle is the prefilled prompt to decode, or nil if the target prefills the prompt itself.
	Handle *Handle
	// ResumeAfter is the id of the last event that the caller received, or empty for a new stream.
	ResumeAfter string
}

// Verdict is what a response header says about whether the request has run.
type Verdict int

// The verdicts.
const (
	// Executed means that the target has run the request and this is its response.
	Executed Verdict = iota + 1
	// Refused means that the target states that it has not run the request.
	Refused
	// Invalid means that the response cannot come from a target. The request may have run.
	Invalid
)

// Protocol translates between HTTP headers and bodies and the types of this package. Its methods
// are safe for concurrent use.
type Protocol interface {
	// Meta parses the header of a caller's request.
	Meta(h http.Header) (Meta, error)
	// TargetHeader returns the request header for a target, from the caller's header and d.
	TargetHeader(in http.Header, d Directive) http.Header
	// BelongsTo reports whether a response with this status and header belongs to the request with
	// the given id.
	BelongsTo(id string, status int, h http.Header) bool
	// Verdict classifies a response by its status and header. prefill says that the request was a
	// prefill, whose response has no signature.
	Verdict(status int, h http.Header, prefill bool) Verdict
	// Limit returns the limit that a target's response states on the requests which the target
	// accepts from all VMs together, in requests a second. stated is false if there is none.
	Limit(h http.Header) (perS float64, stated bool)
	// CallerHeader returns the response header for the caller, from that of the target.
	CallerHeader(h http.Header) http.Header
	// Handle decodes the response body of a prefill by the target at address.
	Handle(address string, body []byte) (Handle, error)
	// FreeHandle returns the method and the request URI of the call that frees a handle.
	FreeHandle(id string) (method, uri string)
}
