package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/standin"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// cutter is a small TCP relay in front of an engine that can break every
// connection, or break after a number of bytes.
type cutter struct {
	l       net.Listener
	backend string

	mu    sync.Mutex
	conns []net.Conn
	// limit is how many bytes of an answer pass before the cut; 0 is no cut.
	limit int64
	down  bool
}

func newCutter(t *testing.T, backend string) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{l: l, backend: backend}
	t.Cleanup(func() {
		l.Close()
		c.cut()
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go c.pass(in)
		}
	}()
	return c
}

func (c *cutter) pass(in net.Conn) {
	defer in.Close()
	c.mu.Lock()
	down, limit := c.down, c.limit
	c.limit = 0
	c.mu.Unlock()
	if down {
		return
	}
	out, err := net.Dial("tcp", c.backend)
	if err != nil {
		return
	}
	defer out.Close()
	c.mu.Lock()
	c.conns = append(c.conns, in, out)
	c.mu.Unlock()
	go io.Copy(out, in)
	if limit > 0 {
		_, _ = io.CopyN(in, out, limit)
		return
	}
	_, _ = io.Copy(in, out)
}

// cut breaks every connection now.
func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// cutNextAfter breaks the next connection after n bytes of its answer.
func (c *cutter) cutNextAfter(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
}

// fail refuses all connections from now on and breaks the present ones.
func (c *cutter) fail() {
	c.mu.Lock()
	c.down = true
	c.mu.Unlock()
	c.cut()
}

// fakeRouter routes to engines in the order given.
type fakeRouter struct {
	mu       sync.Mutex
	engines  []Route
	split    bool
	outcomes map[string][]Outcome
}

func (f *fakeRouter) Route(n Need) (Route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if slices.Contains(n.Avoid, e.Name) || (f.split && strings.HasPrefix(e.Name, "p") != (n.Role == target.RolePrefill)) {
			continue
		}
		e.Done = func(o Outcome) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outcomes[e.Name] = append(f.outcomes[e.Name], o)
		}
		return e, nil
	}
	return Route{}, errkind.New(errkind.NoTarget, "none")
}

func (f *fakeRouter) Find(name string) (string, bool) {
	for _, e := range f.engines {
		if e.Name == name {
			return e.Address, true
		}
	}
	return "", false
}

func (f *fakeRouter) Split(string) bool { return f.split }

// bench is a relay with engines behind cutters and a caller-facing server.
type bench struct {
	router  *fakeRouter
	relay   *Relay
	engines map[string]*standin.Engine
	cutters map[string]*cutter
	front   *httptest.Server
	budget  *retry.Budget
	errs    chan error
}

func newBench(t *testing.T, names ...string) *bench {
	t.Helper()
	b := &bench{
		router:  &fakeRouter{outcomes: map[string][]Outcome{}},
		engines: map[string]*standin.Engine{}, cutters: map[string]*cutter{},
		budget: retry.NewBudget(0.1, 10), errs: make(chan error, 16),
	}
	for _, name := range names {
		e := standin.NewEngine(standin.EngineConfig{Name: name, TokenInterval: 2 * time.Millisecond})
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		c := newCutter(t, srv.Listener.Addr().String())
		b.engines[name], b.cutters[name] = e, c
		b.router.engines = append(b.router.engines, Route{Name: name, Address: c.l.Addr().String()})
	}
	cfg := DefaultConfig()
	cfg.IdleTimeout = 500 * time.Millisecond
	b.relay = New(cfg, b.router, telemetry.Discard())
	b.front = httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(b.front.Close)
	return b
}

func (b *bench) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	chat, err := ParseChat(body)
	if err != nil {
		errkind.Write(w, errkind.From(err))
		return
	}
	call := &Call{ID: "q", Service: "hints", Chat: chat, Deadline: time.Now().Add(10 * time.Second), Budget: b.budget}
	if last := r.Header.Get(target.HeaderLastEventID); last != "" {
		id, err := ParseEventID(last)
		if err != nil {
			errkind.Write(w, errkind.From(err))
			return
		}
		call.Resume = &id
	}
	begun := &begunWriter{ResponseWriter: w}
	if chat.Stream {
		err = b.relay.Stream(r.Context(), begun, call)
	} else {
		err = b.relay.Whole(r.Context(), begun, call)
	}
	b.errs <- err
	if err != nil && !begun.begun {
		errkind.Write(w, errkind.From(err))
	}
}

type begunWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *begunWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *begunWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// outcomes waits for the end of a request and returns how an engine fared.
func (b *bench) outcomes(engine string) []Outcome {
	<-b.errs
	b.router.mu.Lock()
	defer b.router.mu.Unlock()
	return b.router.outcomes[engine]
}

const prompt = `[{"role":"user","content":"7 across?"}]`

// tokens is the right answer's first n tokens.
func tokens(n int) string {
	return standin.Answer(standin.PromptHash(`user"7 across?"`), n)
}

func chatBody(extra string) string {
	return `{"messages":` + prompt + `,"stream":true` + extra + `}`
}

// answer is what a caller reads of a stream.
type streamAnswer struct {
	text   string
	lastID string
	done   bool
	failed string
	ids    map[string]bool
	status int
}

// read reads a stream, up to stop events (0 is all).
func (b *bench) read(t *testing.T, ctx context.Context, body, lastEvent string, stop int) streamAnswer {
	t.Helper()
	return readFrom(t, ctx, b.front.URL, body, lastEvent, stop)
}

func readFrom(t *testing.T, ctx context.Context, url, body, lastEvent string, stop int) streamAnswer {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if lastEvent != "" {
		req.Header.Set(target.HeaderLastEventID, lastEvent)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a := streamAnswer{ids: map[string]bool{}, status: resp.StatusCode}
	in := newEventReader(resp.Body)
	for n := 1; ; n++ {
		ev, err := in.next()
		if err != nil {
			return a
		}
		if ev.done {
			a.done = true
			return a
		}
		if strings.Contains(string(ev.data), `"error"`) {
			a.failed = string(ev.data)
			continue
		}
		a.text += string(jsonString(ev.data, contentField))
		a.lastID = string(ev.id)
		a.ids[string(jsonString(ev.data, chunkIDField))] = true
		if n == stop {
			return a
		}
	}
}

func TestStreamWhole(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":12`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(12))
	is.NoErr(<-b.errs)
}

// The connection to the engine breaks at every possible byte of the answer:
// the caller still gets each token once.
func TestStreamCutAnywhere(t *testing.T) {
	b := newBench(t, "a")
	const answerBytes = 1400 // of four tokens with header
	for cut := int64(1); cut < answerBytes; cut += 37 {
		b.budget = retry.NewBudget(0.1, 10)
		b.cutters["a"].cut()
		b.cutters["a"].cutNextAfter(cut)
		got := b.read(t, t.Context(), chatBody(`,"max_tokens":4`), "", 0)
		<-b.errs
		if !got.done && got.failed == "" && got.status == http.StatusOK {
			t.Fatalf("cut at %d: the answer ends without an end or an error", cut)
		}
		if got.done && got.text != tokens(4) {
			t.Fatalf("cut at %d: got %q", cut, got.text)
		}
		if !got.done && got.status == http.StatusOK {
			t.Fatalf("cut at %d: not resumed: %s", cut, got.failed)
		}
	}
}

// loseEngineMidway cuts engine a off for good once it serves a stream.
func (b *bench) loseEngineMidway() {
	for b.engines["a"].Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	b.cutters["a"].fail()
}

// The engine itself is lost midway: another goes on with the same answer.
func TestEngineLostMidway(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	go b.loseEngineMidway()
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":60`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(60))
	is.Equal(len(got.ids), 1) // clients see one completion
	is.True(strings.HasPrefix(got.lastID, "b/"))
	is.NoErr(<-b.errs)
}

// An engine that stops sending without closing is given up.
func TestEngineStalls(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	stalled := newStaller(t)
	b.router.engines[0].Address = stalled.l.Addr().String()
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(6))
}

// staller sends one event of the right answer and then nothing.
type staller struct{ l net.Listener }

func newStaller(t *testing.T) *staller {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &staller{l: l}
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold); l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: s:1\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", tokens(1))
				<-hold
			}()
		}
	}()
	return s
}

// Every engine is lost: the caller is told, and the answer does not look
// complete.
func TestAllEnginesLost(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	go b.loseEngineMidway()
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":200`), "", 0)
	is.True(!got.done)
	is.True(strings.Contains(got.failed, string(errkind.MayHaveRun)))
	is.True(strings.HasPrefix(tokens(200), got.text)) // what came is right
}

// A caller that lost its entry comes back to another with the last event id.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	body := chatBody(`,"max_tokens":20`)
	first := b.readThroughDyingEntry(t, body, 7)
	is.Equal(first.text, tokens(7))
	second := b.read(t, t.Context(), body, first.lastID, 0)
	is.True(second.done)
	is.Equal(first.text+second.text, tokens(20))
}

// readThroughDyingEntry reads n events as relayed by an entry that then dies:
// its connection to engine a breaks and nobody cancels the stream.
func (b *bench) readThroughDyingEntry(t *testing.T, body string, n int) streamAnswer {
	t.Helper()
	got := readFrom(t, t.Context(), "http://"+b.cutters["a"].l.Addr().String()+target.PathChat, body, "", n)
	got.lastID = "a/" + got.lastID + ":0"
	return got
}

// Entry and engine are both lost: an answer that comes out the same can be run
// again and the known part skipped; another cannot, and the caller is told.
func TestCallerResumesWithoutEngine(t *testing.T) {
	cases := []struct {
		name, extra string
		whole       bool
	}{
		{"seed", `,"seed":1`, true},
		{"temperature zero", `,"temperature":0`, true},
		{"free sampling", ``, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, "a", "b")
			body := chatBody(`,"max_tokens":20` + c.extra)
			first := b.readThroughDyingEntry(t, body, 7)
			b.cutters["a"].fail()
			second := b.read(t, t.Context(), body, first.lastID, 0)
			if c.whole {
				is.True(second.done)
				is.Equal(first.text+second.text, tokens(20))
				return
			}
			is.Equal(second.status, http.StatusBadGateway)
			is.Equal(second.text, "")
		})
	}
}

func TestClientGoneCancels(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	b.read(t, ctx, chatBody(`,"max_tokens":5000`), "", 3)
	cancel()
	is.True(errkind.Is(<-b.errs, errkind.ClientGone))
	is.Equal(b.engines["a"].Cancelled(), 1)
	is.Equal(b.engines["a"].Status().Running, 0)
}

func TestPrefillAndDecodeApart(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "p1", "d1")
	b.router.split = true
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(9))
	is.True(strings.HasPrefix(got.lastID, "d1/"))
	is.True(b.engines["p1"].Status().PrefillTokens > 0)
	is.Equal(b.engines["d1"].Status().PrefillTokens, uint64(0)) // it imported the cache
}

// The prefill engine is gone, or gone before its cache was fetched: one engine
// does it all.
func TestTransferFallsBack(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "p1", "d1")
	b.router.split = true
	b.cutters["p1"].fail()
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(9))
	is.True(b.engines["d1"].Status().PrefillTokens > 0)
}

func TestImportRefusedFallsBack(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "p1", "d1", "d2")
	b.router.split = true
	b.engines["p1"].DropKV()
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(9))
}

func TestWholeAnswerIsRetried(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	b.cutters["a"].cutNextAfter(40)
	resp, err := b.front.Client().Post(b.front.URL, "application/json", strings.NewReader(`{"messages":`+prompt+`,"max_tokens":5}`))
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(data), tokens(5)))
	is.Equal(b.outcomes("a"), []Outcome{OutcomeFailed})
}

// A spent budget ends the tries.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	b.budget = retry.NewBudget(0, 0)
	b.cutters["a"].fail()
	got := b.read(t, t.Context(), chatBody(``), "", 0)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(b.outcomes("b")), 0)
}

func TestUnknownFieldsPassUnharmed(t *testing.T) {
	is := is.New(t)
	chat, err := ParseChat([]byte(`{"messages":` + prompt + `,"x_vendor":{"deep":[1,2.50,"é"]},"stream":true}`))
	is.NoErr(err)
	body, err := chat.continueBody([]byte(`a\"b`), 3)
	is.NoErr(err)
	is.True(strings.Contains(string(body), `"x_vendor":{"deep":[1,2.50,"é"]}`))
	is.True(strings.Contains(string(body), `{"role":"assistant","content":"a\"b"}]`))
}

func TestBadBodies(t *testing.T) {
	for _, body := range []string{``, `[]`, `null`, `{}`, `{"messages":[]}`, `{"messages":"x"}`, `{"messages":` + prompt + `,"stream":"yes"}`, `{"messages":` + prompt + `,"n":-1}`} {
		if _, err := ParseChat([]byte(body)); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func outOfOrder(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(target.HeaderLastEventID) != "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		for _, i := range []int{1, 3} {
			fmt.Fprintf(w, "id: s:%d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n",
				i, standin.Token(standin.PromptHash(`user"7 across?"`), i))
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// An engine whose events come with a gap is given up at the gap: the caller
// gets the whole answer from another, in order.
func TestGapInEvents(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	b.router.engines[0].Address = outOfOrder(t)
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(6))
}

// An engine that is leaving refuses by itself, also to an entry that has not
// heard of it; the request goes elsewhere.
func TestLeavingEngineRefuses(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b")
	b.engines["a"].SetLeaving(true)
	got := b.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, tokens(6))
	is.Equal(b.outcomes("a"), []Outcome{OutcomeRefused}) // it is not held against the engine
}
