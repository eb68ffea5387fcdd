package standin

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/store/httpstore"
)

// Platform is a stand-in for the platform. It serves Memory, a store in memory, over the platform's
// HTTP protocol.
type Platform struct {
	Memory *store.Memory
}

// Handler returns a handler for the platform's protocol. Tests use POST /fault?mode=M and POST /vm
// to set faults and the VM list.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpstore.PathRecord, p.get)
	mux.HandleFunc("GET "+httpstore.PathRecords, p.list)
	mux.HandleFunc("POST "+httpstore.PathCommit, p.commit)
	mux.HandleFunc("PUT "+httpstore.PathObjects+"{name}", p.putObject)
	mux.HandleFunc("GET "+httpstore.PathObjects+"{name}", p.getObject)
	mux.HandleFunc("GET "+httpstore.PathVMs, p.vms)
	mux.HandleFunc("POST "+httpstore.PathWeights, p.reserve)
	mux.HandleFunc("POST /fault", p.setFault)
	mux.HandleFunc("POST /vm", p.setVM)
	mux.HandleFunc("GET /counts", p.counts)
	return mux
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	rec, err := p.Memory.Get(r.Context(), r.URL.Query().Get("key"))
	writeResponse(w, rec, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	recs, err := p.Memory.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, recs, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v, err := p.Memory.Commit(r.Context(), txn)
	writeResponse(w, httpstore.CommitResponse{Version: v}, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, p.Memory.PutObject(r.Context(), r.PathValue("name"), data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Memory.GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	// A failed write means that the client has disconnected.
	_, _ = w.Write(data)
}

// noRevision is a revision that no list has, so that the list is always returned.
const noRevision = math.MaxUint64

// vms serves the VM list, or status 304 if the client has its latest revision.
func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	l, err := p.Memory.VMs(r.Context(), noRevision)
	tag := httpstore.RevisionETag(l.Revision)
	if err == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	writeResponse(w, l, err)
}

// reserve responds with how long to wait before asking again for permission to load a model's
// weights, 0 if they may be loaded now.
func (p *Platform) reserve(w http.ResponseWriter, r *http.Request) {
	var req httpstore.ReserveRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := p.Memory.Reserve(r.Context(), req.Model, req.Bytes)
	writeResponse(w, httpstore.ReserveResponse{WaitMS: int64(wait / time.Millisecond)}, err)
}

func (p *Platform) setFault(_ http.ResponseWriter, r *http.Request) {
	p.Memory.SetFault(store.Fault(r.URL.Query().Get("mode")))
}

// PlatformCounts holds the numbers of reads and writes that the platform has served.
type PlatformCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.Memory.Counts()
	writeJSON(w, http.StatusOK, PlatformCounts{Reads: reads, Writes: writes})
}

// setVM adds a VM to the VM list or replaces it.
func (p *Platform) setVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Memory.SetVM(vm)
}

// writeResponse writes v as JSON, or the status code for err, an error of the store, if it is not
// nil.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}
