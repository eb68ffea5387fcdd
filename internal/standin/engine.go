// Package standin holds small stand-ins of the outside systems: the platform,
// a model engine and a plain service. They are for tests, the demo and the
// benchmarks only.
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

// EngineConfig sets up an engine stand-in.
type EngineConfig struct {
	Name            string
	TokenInterval   time.Duration
	PrefillPerToken time.Duration
	RoleChange      time.Duration
	IgnoreFencing   bool
	// ReadTimeout closes a connection whose request has not arrived in time.
	ReadTimeout time.Duration
}

// streamGrace is how long an engine keeps a stream whose connection broke.
const streamGrace = 30 * time.Second

// engineSlots is the batch size that the stand-in reports.
const engineSlots = 32

// Engine is a model engine stand-in. Its answers depend only on the prompt, so
// that a test can tell a lost or doubled token. It is safe for concurrent use.
type Engine struct {
	cfg  EngineConfig
	boot uint64

	mu          sync.Mutex
	seq         uint64
	status      target.Status
	changeUntil time.Time
	prefillFree time.Time
	streams     map[string]*stream
	nextStream  uint64
	kv          map[uint64]bool
	dropKV      bool
	cancelled   int
	cut         int
	orders      []target.Order
}

// stream is one generation; token i is due at start + i*interval.
type stream struct {
	id       string
	prompt   uint64
	base     int
	max      int
	start    time.Time
	interval time.Duration
	gone     chan struct{}
	goneOnce sync.Once
	lastUsed time.Time
	readers  int
	finished bool
}

// NewEngine returns a running engine stand-in in role both.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:     cfg,
		boot:    uint64(time.Now().UnixNano()),
		streams: map[string]*stream{},
		kv:      map[uint64]bool{},
		status:  target.Status{Role: target.RoleBoth, Slots: engineSlots},
	}
}

// Handler serves the engine's HTTP protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathChat, e.chat)
	mux.HandleFunc("DELETE "+target.PathStreams+"{id}", e.cancel)
	mux.HandleFunc("GET "+target.PathStatus, e.serveStatus)
	mux.HandleFunc("POST "+target.PathOrders, e.order)
	mux.HandleFunc("GET /kv/{block}", e.exportKV)
	mux.HandleFunc("POST /leave", e.leave)
	mux.HandleFunc("GET "+PathCounts, e.counts)
	return mux
}

// Server returns an HTTP server for the engine with its read time-out.
func (e *Engine) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ReadHeaderTimeout: e.cfg.ReadTimeout, ReadTimeout: e.cfg.ReadTimeout}
}

// Cancelled returns how many streams were cancelled by request.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Cut returns how many streams an order cut short.
func (e *Engine) Cut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// Orders returns the orders that took effect, in order.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.orders...)
}

// SetLeaving marks the engine as on its way out.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Leaving = on
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.SetLeaving(true)
	w.WriteHeader(http.StatusNoContent)
}

// Status returns the engine's report.
func (e *Engine) Status() target.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
	e.seq++
	s := e.status
	s.Boot, s.Seq = e.boot, e.seq
	s.Changing = time.Now().Before(e.changeUntil)
	for _, st := range e.streams {
		if !st.finished {
			s.Running++
		}
	}
	if wait := time.Until(e.prefillFree); wait > 0 && e.cfg.PrefillPerToken > 0 {
		s.QueuedTokens = int(wait / e.cfg.PrefillPerToken)
	}
	return s
}

// sweep drops streams that nobody came back for.
func (e *Engine) sweep(now time.Time) {
	for id, st := range e.streams {
		if st.readers == 0 && now.Sub(st.lastUsed) > streamGrace {
			st.end()
			delete(e.streams, id)
		}
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "bad_order", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.IgnoreFencing && o.Fence < e.status.Fence {
		refuse(w, http.StatusPreconditionFailed, "old_fence", "a higher fencing number was seen")
		return
	}
	e.status.Fence = max(e.status.Fence, o.Fence)
	if o.ID == e.status.LastOrder {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.takeOrder(o)
	w.WriteHeader(http.StatusAccepted)
}

// takeOrder puts o in force; whatever runs is cut, as by an engine that was
// not drained.
func (e *Engine) takeOrder(o target.Order) {
	for id, st := range e.streams {
		if !st.finished {
			e.cut++
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

func (s *stream) end() { s.goneOnce.Do(func() { close(s.gone) }) }

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	st, ok := e.streams[id]
	if !ok {
		refuse(w, http.StatusNotFound, target.CodeUnknownStream, "no such stream")
		return
	}
	e.cancelled++
	st.end()
	delete(e.streams, id)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || !e.kv[block] {
		refuse(w, http.StatusNotFound, "unknown_block", "no such block")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Token returns token i (from 1) of the answer to the prompt with this hash.
func Token(prompt uint64, i int) string {
	return fmt.Sprintf("%04x-%d ", (prompt*31+uint64(i)*2654435761)&0xffff, i)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt uint64, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// PromptHash returns the hash on which a prompt's answer depends.
func PromptHash(text string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, target.ErrorBody{Error: target.ErrorDetail{Message: message, Type: "engine", Code: code}})
}

func hostPort(r *http.Request) (string, int) {
	host, port, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host, 0
	}
	n, _ := strconv.Atoi(port)
	return host, n
}

// DropKV makes the engine lose each exported cache before it is fetched.
func (e *Engine) DropKV() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropKV = true
}

// Counts is what a test asks an engine stand-in for.
type Counts struct {
	// Cut is the streams that an order cut short.
	Cut int `json:"cut"`
	// Cancelled is the streams cancelled by request.
	Cancelled int `json:"cancelled"`
	// Orders is the orders that took effect, in order.
	Orders []target.Order `json:"orders"`
}

// PathCounts serves Counts.
const PathCounts = "/counts"

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Counts{Cut: e.Cut(), Cancelled: e.Cancelled(), Orders: e.Orders()})
}
