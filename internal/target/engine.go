// Package target speaks to the targets behind a service: model engines and
// plain services. It holds the types of their published protocol, the clients
// and, in targettest, the contract tests.
package target

import (
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/roles"
)

// Role is what an engine does.
type Role = roles.Role

// The roles of an engine.
const (
	RoleBoth    = roles.RoleBoth
	RolePrefill = roles.RolePrefill
	RoleDecode  = roles.RoleDecode
)

// Paths of the targets' HTTP protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"
	PathStatus      = "/status"
	PathOrders      = "/orders"
	PathCacheEvents = "/cache/events"
)

// Headers of the engines' protocol.
const (
	// HeaderLastEventID resumes a stream after the event that it names.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRequestID names the request in both logs.
	HeaderRequestID = "X-Request-Id"
)

// Codes in the error bodies of engines.
const (
	// CodeTransferFailed: the KV cache could not be imported; not run.
	CodeTransferFailed = "kv_transfer_failed"
	// CodeChanging: the engine is changing its role or model; not run.
	CodeChanging = "changing"
	// CodeLeaving: the target is on its way out; not run.
	CodeLeaving = "leaving"
	// CodeUnknownStream: the stream to resume is not known; not run.
	CodeUnknownStream = "unknown_stream"
)

// notRunCodes are the error codes by which a target vouches that the request
// was not run.
var notRunCodes = map[string]bool{
	CodeTransferFailed: true, CodeChanging: true, CodeLeaving: true, CodeUnknownStream: true,
}

// VouchesNotRun reports whether an error code says that the request was not
// run.
func VouchesNotRun(code string) bool { return notRunCodes[code] }

// The errors of orders.
var (
	// ErrFenced: the engine has seen a higher fencing number.
	ErrFenced = errors.New("target: order carries an old fencing number")
	// ErrRefused: the engine refused the order for another reason.
	ErrRefused = errors.New("target: order refused")
	// ErrUnreachable: the target did not answer; the order may be in force.
	ErrUnreachable = errors.New("target: no answer")
)

// Status is a target's own report.
type Status struct {
	// Boot is the incarnation: it grows with every start.
	Boot uint64 `json:"boot"`
	// Seq grows with every report of one boot.
	Seq uint64 `json:"seq"`
	// Leaving is set once the target is on its way out.
	Leaving bool `json:"leaving"`
	// Changing is set while a role or model change is under way.
	Changing bool     `json:"changing"`
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	// QueuedTokens is the prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	Slots        int `json:"slots"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
	// LastOrder is the id of the order last taken.
	LastOrder string `json:"last_order"`
	// PrefillTokens and DecodeTokens count the work since boot.
	PrefillTokens uint64 `json:"prefill_tokens"`
	DecodeTokens  uint64 `json:"decode_tokens"`
}

// Want is the state that an order asks for.
type Want struct {
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Equal reports whether two wants ask for the same.
func (w Want) Equal(o Want) bool {
	if w.Role != o.Role || w.Model != o.Model || w.Version != o.Version || len(w.Adapters) != len(o.Adapters) {
		return false
	}
	for i := range w.Adapters {
		if w.Adapters[i] != o.Adapters[i] {
			return false
		}
	}
	return true
}

// Order tells an engine to change. The same id sent again has no further
// effect.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	Want  Want   `json:"want"`
}

// ErrorBody is the body of a target's refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the usual error object of the chat completions protocol.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// KVTransfer is the published kv_transfer_params object.
type KVTransfer struct {
	DoRemoteDecode  bool     `json:"do_remote_decode"`
	DoRemotePrefill bool     `json:"do_remote_prefill"`
	RemoteEngineID  string   `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []uint64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string   `json:"remote_host,omitempty"`
	RemotePort      int      `json:"remote_port,omitempty"`
}

// CacheEvent says that a prefix entered or left an engine's cache. Events come
// late and with gaps, which show as jumps of Seq.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Prefix uint64    `json:"prefix"`
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}
