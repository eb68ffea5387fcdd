// Package target is a client of the targets of a service: engines, which serve language models, and
// the targets of plain services. It defines the types of their HTTP protocol. client_test.go holds
// the contract tests of engines.
package target

import (
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/roles"
)

// Role tells whether an engine does prefill, decode or both.
type Role = roles.Role

// Roles of an engine.
const (
	// RoleBoth is the role of an engine that does prefill and decode, RolePrefill that of a prefill
	// engine, and RoleDecode that of a decode engine.
	RoleBoth    = roles.RoleBoth
	RolePrefill = roles.RolePrefill
	RoleDecode  = roles.RoleDecode
)

// Paths of the HTTP protocol of targets.
const (
	// PathChat accepts chat completion requests. PathStreams is the prefix of the path of a stream,
	// on which a DELETE request cancels the stream. PathStatus returns a Status, PathOrders accepts
	// an Order, and PathCacheEvents is the path of cache events, see CacheEvent.
	PathChat        = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"
	PathStatus      = "/status"
	PathOrders      = "/orders"
	PathCacheEvents = "/cache/events"
)

// Headers of the engines' HTTP protocol.
const (
	// HeaderLastEventID is the id of the event after which a stream is to be resumed.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRequestID is the id of the request, which the sender and the target write to their
	// logs.
	HeaderRequestID = "X-Request-Id"
)

// Codes in the error bodies of targets. With each of them, the request was not run.
const (
	// CodeTransferFailed is returned if the KV cache could not be transferred to the engine.
	CodeTransferFailed = "kv_transfer_failed"
	// CodeChanging is returned while the engine changes its role or model.
	CodeChanging = "changing"
	// CodeLeaving is returned once the target is shutting down.
	CodeLeaving = "leaving"
	// CodeUnknownStream is returned if the engine does not know the stream to resume.
	CodeUnknownStream = "unknown_stream"
)

// notRunCodes holds the error codes by which a target guarantees that it did not run the
// request.
var notRunCodes = map[string]bool{
	CodeTransferFailed: true, CodeChanging: true, CodeLeaving: true, CodeUnknownStream: true,
}

// MeansNotRun reports whether an error code guarantees that the target did not run the
// request.
func MeansNotRun(code string) bool { return notRunCodes[code] }

// Errors of requests to a target.
var (
	// ErrFenced reports that the order's fencing number is lower than one that the engine has
	// seen, or that the lease lapsed before the order was sent.
	ErrFenced = errors.New("target: order carries an old fencing number")
	// ErrRefused reports that the engine refused the order for another reason.
	ErrRefused = errors.New("target: order refused")
	// ErrUnreachable reports that the target sent no valid response. An order may still take
	// effect.
	ErrUnreachable = errors.New("target: no valid response")
)

// Status is a target's report of its state.
type Status struct {
	// Boot is the incarnation of the target's process. It increases with every start.
	Boot uint64 `json:"boot"`
	// Seq increases with every report of one Boot.
	Seq uint64 `json:"seq"`
	// Leaving is set once the target is shutting down. It then accepts no new requests.
	Leaving bool `json:"leaving"`
	// Changing is set while the engine changes its role or model.
	Changing bool `json:"changing"`
	// Role is the engine's role.
	Role Role `json:"role"`
	// Model, Version and Adapters are what the engine serves: a model, its version, and
	// adapters to it.
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Running and Waiting are the numbers of requests that run and that are queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// Slots is the number of requests that can run at once.
	Slots int `json:"slots"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
	// LastOrder is the id of the last order that the engine accepted.
	LastOrder string `json:"last_order"`
	// PrefillTokens and DecodeTokens count the tokens processed since Boot.
	PrefillTokens uint64 `json:"prefill_tokens"`
	DecodeTokens  uint64 `json:"decode_tokens"`
}

// DesiredState is the state of an engine that an order asks for.
type DesiredState struct {
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Equal reports whether d and o ask for the same state. The order of adapters counts.
func (d DesiredState) Equal(o DesiredState) bool {
	if d.Role != o.Role || d.Model != o.Model || d.Version != o.Version || len(d.Adapters) != len(o.Adapters) {
		return false
	}
	for i := range d.Adapters {
		if d.Adapters[i] != o.Adapters[i] {
			return false
		}
	}
	return true
}

// Order tells an engine to change its state. An order with an id that the engine has already
// accepted has no effect.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number of the lease under which the order is sent.
	Fence uint64       `json:"fence"`
	Want  DesiredState `json:"want"`
}

// ErrorBody is the body of a target's error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object of the chat completions protocol.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// KVTransfer is the kv_transfer_params object, by which a decode engine fetches the KV cache of a
// prompt from the prefill engine.
type KVTransfer struct {
	// DoRemoteDecode is set in a request to a prefill engine: the answer is decoded elsewhere.
	DoRemoteDecode bool `json:"do_remote_decode"`
	// DoRemotePrefill is set in a request to a decode engine: the prompt was prefilled elsewhere,
	// and the fields below say where its KV cache is.
	DoRemotePrefill bool     `json:"do_remote_prefill"`
	RemoteEngineID  string   `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []uint64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string   `json:"remote_host,omitempty"`
	RemotePort      int      `json:"remote_port,omitempty"`
}

// CacheEvent reports that a prefix was added to an engine's cache or evicted from it. Events are
// delayed and can be lost, which shows as a gap in Seq.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the prefix.
	Prefix uint64 `json:"prefix"`
	// Stored is true if the prefix was added, and false if it was evicted.
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}
