package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/target"
)

// Plain is a plain-service stand-in that counts how often each body ran.
type Plain struct {
	boot uint64

	mu      sync.Mutex
	seq     uint64
	leaving bool
	ran     map[string]int
	// CloseAfterRead makes the service close the connection after it has run
	// a call, without an answer.
	closeAfterRead bool
}

// PathRan answers how often the call with the body of the query ran.
const PathRan = "/ran"

// NewPlain returns a running plain service.
func NewPlain() *Plain {
	return &Plain{boot: uint64(time.Now().UnixNano()), ran: map[string]int{}}
}

// Handler serves the status path and runs every other call.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathStatus, p.status)
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { p.SetLeaving(true) })
	mux.HandleFunc("GET "+PathRan, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, p.Ran(r.URL.Query().Get("body")))
	})
	mux.HandleFunc("/", p.run)
	return mux
}

// SetLeaving marks the service as on its way out.
func (p *Plain) SetLeaving(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = on
}

// SetCloseAfterRead makes the service run calls but close without an answer.
func (p *Plain) SetCloseAfterRead(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAfterRead = on
}

// Ran returns how often a call with this body ran.
func (p *Plain) Ran(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[body]
}

func (p *Plain) status(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	writeJSON(w, http.StatusOK, target.Status{Boot: p.boot, Seq: p.seq, Leaving: p.leaving})
}

func (p *Plain) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.ran[string(body)]++
	abort := p.closeAfterRead
	p.mu.Unlock()
	if abort {
		panic(http.ErrAbortHandler)
	}
	for k, v := range r.Header {
		w.Header()["X-Echo-"+k] = v
	}
	w.Header().Set("X-Standin-Path", r.URL.RequestURI())
	w.WriteHeader(http.StatusCreated)
	// A failed write means that the client has gone.
	_, _ = w.Write(append([]byte("done: "), body...))
}
