package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/target"
)

// Plain is a stand-in for a plain service. It counts how often each request body ran. It is safe
// for concurrent use.
type Plain struct {
	// boot is the time of the start in nanoseconds; it tells this run of the service from others.
	boot uint64

	mu sync.Mutex
	// seq is the number of the latest status report.
	seq     uint64
	leaving bool
	// runs counts the runs by request body.
	runs map[string]int
	// closeAfterRead makes the service close the connection without a response after it has run a
	// call.
	closeAfterRead bool
}

// PathRan is the path at which a plain service stand-in serves how often a call ran whose body is
// the query parameter "body".
const PathRan = "/ran"

// NewPlain returns a plain service stand-in.
func NewPlain() *Plain {
	return &Plain{boot: uint64(time.Now().UnixNano()), runs: map[string]int{}}
}

// Handler returns a handler that serves the status path and runs every other call.
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

// SetLeaving sets whether the service reports that it is leaving.
func (p *Plain) SetLeaving(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = on
}

// SetCloseAfterRead sets whether the service closes the connection without a response after it has
// run a call.
func (p *Plain) SetCloseAfterRead(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAfterRead = on
}

// Ran returns how often a call with this body ran.
func (p *Plain) Ran(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

func (p *Plain) status(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	writeJSON(w, http.StatusOK, target.Status{Boot: p.boot, Seq: p.seq, Leaving: p.leaving})
}

// run runs a call: it counts it and responds with status 201, the request's body, and its headers
// with the prefix X-Echo-.
func (p *Plain) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.runs[string(body)]++
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
	// A failed write means that the client has disconnected.
	_, _ = w.Write(append([]byte("done: "), body...))
}
