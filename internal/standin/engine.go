// Package standin provides small stand-ins for the outside systems: the platform, a model engine
// and a plain service. Tests, the demo and benchmarks use them.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/target"
)

// EngineConfig configures an engine stand-in.
type EngineConfig struct {
	Name string
	// TokenInterval is the time between two tokens of an answer, and PrefillPerToken the prefill
	// time for each token of a prompt.
	TokenInterval   time.Duration
	PrefillPerToken time.Duration
	// RoleChange is how long a change of the engine's role takes.
	RoleChange time.Duration
	// IgnoreFencing makes the engine accept orders with a lower fencing number than it has seen.
	IgnoreFencing bool
	// ReadTimeout is the time within which a request must have arrived, or its connection is
	// closed.
	ReadTimeout time.Duration
}

// brokenStreamTTL is how long an engine keeps a stream whose connection broke.
const brokenStreamTTL = 30 * time.Second

// engineSlots is the batch size that the stand-in reports.
const engineSlots = 32

// Engine is a model engine stand-in. Its answers depend only on the prompt, so that a test can
// detect lost and duplicated tokens. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig
	// boot is the time of the start in nanoseconds; it tells this run of the engine from others.
	boot uint64

	mu sync.Mutex
	// seq is the number of the latest status report. status holds the fields of reports that are
	// not computed for each of them.
	seq    uint64
	status target.Status
	// changeUntil is when the latest change of the role ends, and prefillBusyUntil when the last
	// queued prefill ends.
	changeUntil      time.Time
	prefillBusyUntil time.Time
	streams          map[string]*stream
	// lastStream is the number of the latest stream.
	lastStream uint64
	// kvBlocks holds the KV blocks that were computed for other engines, by prompt hash. The value
	// is false if dropKV made the engine lose the block.
	kvBlocks map[uint64]bool
	dropKV   bool
	// cancelled, interrupted and orders are the counters that Counts holds.
	cancelled   int
	interrupted int
	orders      []target.Order
}

// stream is the generation of one answer. prompt is the hash of the prompt. Token i, counted from
// 1, is due at start + i*interval. If the request continues a message, tokenOffset is the number of
// tokens that the message already holds. ended is closed when the stream was cancelled, interrupted
// or expired. readers counts the responses that are being written from the stream, and lastUsed is
// when the latest of them ended.
type stream struct {
	id          string
	prompt      uint64
	tokenOffset int
	maxTokens   int
	start       time.Time
	interval    time.Duration
	ended       chan struct{}
	endOnce     sync.Once
	lastUsed    time.Time
	readers     int
	finished    bool
}

// NewEngine returns an engine stand-in with the role both: it prefills and decodes.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:      cfg,
		boot:     uint64(time.Now().UnixNano()),
		streams:  map[string]*stream{},
		kvBlocks: map[uint64]bool{},
		status:   target.Status{Role: target.RoleBoth, Slots: engineSlots},
	}
}

// Handler returns the handler of the engine's HTTP protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathChat, e.serveChat)
	mux.HandleFunc("DELETE "+target.PathStreams+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+target.PathStatus, e.serveStatus)
	mux.HandleFunc("POST "+target.PathOrders, e.serveOrder)
	mux.HandleFunc("GET /kv/{block}", e.serveKV)
	mux.HandleFunc("POST /leave", e.serveLeave)
	mux.HandleFunc("GET "+PathCounts, e.serveCounts)
	return mux
}

// Server returns an HTTP server for the engine, with its read timeout.
func (e *Engine) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ReadHeaderTimeout: e.cfg.ReadTimeout,
		ReadTimeout: e.cfg.ReadTimeout}
}

// Cancelled returns the number of streams that were cancelled by request, or whose client
// disconnected while it waited for the answer as one response.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Cut returns the number of streams that an order interrupted.
func (e *Engine) Cut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interrupted
}

// Orders returns the orders that took effect, in sequence.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.orders...)
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Leaving = on
}

func (e *Engine) serveLeave(w http.ResponseWriter, _ *http.Request) {
	e.SetLeaving(true)
	w.WriteHeader(http.StatusNoContent)
}

// Status returns the engine's status report. Each report has a higher sequence number.
func (e *Engine) Status() target.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireStreams(time.Now())
	e.seq++
	s := e.status
	s.Boot, s.Seq = e.boot, e.seq
	s.Changing = time.Now().Before(e.changeUntil)
	for _, st := range e.streams {
		if !st.finished {
			s.Running++
		}
	}
	if wait := time.Until(e.prefillBusyUntil); wait > 0 && e.cfg.PrefillPerToken > 0 {
		s.QueuedTokens = int(wait / e.cfg.PrefillPerToken)
	}
	return s
}

// expireStreams drops streams that have had no reader for brokenStreamTTL. The caller must hold
// e.mu.
func (e *Engine) expireStreams(now time.Time) {
	for id, st := range e.streams {
		if st.readers == 0 && now.Sub(st.lastUsed) > brokenStreamTTL {
			st.end()
			delete(e.streams, id)
		}
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}

// serveOrder puts an order in force. It refuses an order with a lower fencing number than it has
// seen, unless IgnoreFencing is set, and ignores one that repeats the last.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "bad_order", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.IgnoreFencing && o.Fence < e.status.Fence {
		writeError(w, http.StatusPreconditionFailed, "old_fence", "a higher fencing number was seen")
		return
	}
	e.status.Fence = max(e.status.Fence, o.Fence)
	if o.ID == e.status.LastOrder {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.applyOrder(o)
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder puts o in force. It interrupts running streams, as happens at an engine that was not
// drained first. The caller must hold e.mu.
func (e *Engine) applyOrder(o target.Order) {
	for id, st := range e.streams {
		if !st.finished {
			e.interrupted++
		}
		st.end()
		delete(e.streams, id)
	}
	e.status.LastOrder = o.ID
	e.status.Role, e.status.Model = o.Want.Role, o.Want.Model
	e.status.Version, e.status.Adapters = o.Want.Version, o.Want.Adapters
	e.changeUntil = time.Now().Add(e.cfg.RoleChange)
	e.orders = append(e.orders, o)
}

// end wakes the readers of the stream, who then stop.
func (s *stream) end() { s.endOnce.Do(func() { close(s.ended) }) }

// serveCancel cancels a stream.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	st, ok := e.streams[id]
	if !ok {
		writeError(w, http.StatusNotFound, target.CodeUnknownStream, "no such stream")
		return
	}
	e.cancelled++
	st.end()
	delete(e.streams, id)
	w.WriteHeader(http.StatusNoContent)
}

// serveKV responds with status 200 if the engine holds the KV block; the stand-in transfers no
// data.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || !e.kvBlocks[block] {
		writeError(w, http.StatusNotFound, "unknown_block", "no such block")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Token returns token i, counted from 1, of the answer to the prompt with this hash.
func Token(prompt uint64, i int) string {
	return fmt.Sprintf("%04x-%d ", (prompt*31+uint64(i)*2654435761)&0xffff, i)
}

// Answer returns the first n tokens of the answer to the prompt with this hash.
func Answer(prompt uint64, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// PromptHash returns the hash that determines the answer to a prompt.
func PromptHash(text string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, target.ErrorBody{Error: target.ErrorDetail{Message: message,
		Type: "engine", Code: code}})
}

// hostPort returns the host and the port to which r was sent. The port is 0 if the request names
// none.
func hostPort(r *http.Request) (string, int) {
	host, port, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host, 0
	}
	n, _ := strconv.Atoi(port)
	return host, n
}

// DropKV makes the engine lose each KV cache before another engine can fetch it.
func (e *Engine) DropKV() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropKV = true
}

// Counts holds an engine stand-in's counters, for tests.
type Counts struct {
	// Cut is the number of streams that an order interrupted.
	Cut int `json:"cut"`
	// Cancelled is the number of streams that were cancelled by request, or whose client
	// disconnected while it waited for the answer as one response.
	Cancelled int `json:"cancelled"`
	// Orders holds the orders that took effect, in sequence.
	Orders []target.Order `json:"orders"`
}

// PathCounts is the path at which an engine stand-in serves its Counts.
const PathCounts = "/counts"

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Counts{Cut: e.Cut(), Cancelled: e.Cancelled(), Orders: e.Orders()})
}
