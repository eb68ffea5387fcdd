package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store's tables, as the store sends it.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	VersionNumber uint64
	Tombstone     bool `json:",omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// tx is the body of a transaction.
type tx struct {
	ExpectedRevision []row
	Puts             []row
	Remove           []row
}

const (
	readTime  = 4 * time.Millisecond
	writeTime = 8 * time.Millisecond
)

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	// late, if not nil, says whether a transaction gets no answer and is done lateBy later; it is asked until it
	// returns true once. lateDone receives the status that the transaction would have been answered with.
	late     func(tx) bool
	lateBy   time.Duration
	lateDone chan int
}

// delayNext makes the next transaction for which pick returns true get no answer. It is done after the given time
// if its condition still holds; the returned channel then receives its status.
func (s *store) delayNext(by time.Duration, pick func(tx) bool) <-chan int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.lateBy, s.lateDone = pick, by, make(chan int, 1)
	return s.lateDone
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) nowMS() float64 { return float64(time.Since(s.started)) / float64(time.Millisecond) }

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: data})
	s.wake()
}

// remove deletes a row as an engine that leaves does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := row{Table: table, Key: key}
	if _, ok := s.rows[r.id()]; !ok {
		return
	}
	s.version++
	r.Tombstone = true
	s.write(r)
	s.wake()
}

func (s *store) write(r row) {
	r.VersionNumber = s.version
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t tx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	lost := s.late != nil && s.late(t)
	if lost {
		s.late = nil
	}
	s.mu.Unlock()
	if !lost {
		status, body := s.apply(t)
		reply(w, status, body)
		return
	}
	time.AfterFunc(s.lateBy, func() {
		status, _ := s.apply(t)
		s.lateDone <- status
	})
	<-r.Context().Done()
}

// apply applies a transaction and returns its answer.
func (s *store) apply(t tx) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]row{}, t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	var failed []row
	for _, c := range t.ExpectedRevision {
		if now := s.rows[c.id()]; now.VersionNumber != c.VersionNumber {
			failed = append(failed, now)
		}
	}
	if failed != nil {
		return http.StatusPreconditionFailed, map[string]any{"Rows": failed, "VersionNumber": s.version, "NowMs": s.nowMS()}
	}
	s.version++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, p := range t.Remove {
		p.Tombstone, p.Value = true, nil
		s.write(p)
	}
	s.wake()
	return http.StatusOK, map[string]any{"VersionNumber": s.version, "NowMs": s.nowMS()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("To") == "" || x.Key < q.Get("To")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"Rows": rows, "HasMore": more, "VersionNumber": s.version, "NowMs": s.nowMS()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	names := []string{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part > q.Get("after") && !seen[x.Part] {
			seen[x.Part] = true
			names = append(names, x.Part)
		}
	}
	sort.Strings(names)
	reply(w, http.StatusOK, map[string]any{"parts": names, "HasMore": false, "VersionNumber": s.version, "NowMs": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("Table") && x.VersionNumber > after {
				rows = append(rows, x)
			}
		}
		version, now, changed := s.version, s.nowMS(), s.changed
		s.mu.Unlock()
		body := map[string]any{"Rows": rows, "VersionNumber": version, "NowMs": now}
		if len(rows) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
