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

// breakableProxy is a TCP proxy in front of an engine. It can close its connections at any time
// or after a given number of response bytes.
type breakableProxy struct {
	l             net.Listener
	engineAddress string

	// mu guards the fields below.
	mu    sync.Mutex
	conns []net.Conn
	// cutAfterBytes is how many response bytes the next connection forwards before it is
	// closed; 0 means no limit.
	cutAfterBytes int64
	// refusing is set once new connections are closed at once.
	refusing bool
}

// newBreakableProxy starts a proxy on loopback that runs until the end of the test.
func newBreakableProxy(t *testing.T, engineAddress string) *breakableProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &breakableProxy{l: l, engineAddress: engineAddress}
	t.Cleanup(func() {
		l.Close()
		p.breakConnections()
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.handle(in)
		}
	}()
	return p
}

// handle forwards one connection in both directions.
func (p *breakableProxy) handle(in net.Conn) {
	defer in.Close()
	p.mu.Lock()
	refusing, limit := p.refusing, p.cutAfterBytes
	p.cutAfterBytes = 0
	p.mu.Unlock()
	if refusing {
		return
	}
	out, err := net.Dial("tcp", p.engineAddress)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns = append(p.conns, in, out)
	p.mu.Unlock()
	go io.Copy(out, in)
	if limit > 0 {
		_, _ = io.CopyN(in, out, limit)
		return
	}
	_, _ = io.Copy(in, out)
}

// breakConnections closes all open connections.
func (p *breakableProxy) breakConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

// breakNextAfter makes the proxy close the next connection after n response bytes.
func (p *breakableProxy) breakNextAfter(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfterBytes = n
}

// refuseConnections closes all open connections and, from now on, every new one.
func (p *breakableProxy) refuseConnections() {
	p.mu.Lock()
	p.refusing = true
	p.mu.Unlock()
	p.breakConnections()
}

// fakeRouter routes to the first engine that is not to be avoided. When split is set, engines
// whose names begin with "p" are prefill engines and the others decode. It records the outcomes
// of each engine.
type fakeRouter struct {
	mu       sync.Mutex
	engines  []Route
	split    bool
	outcomes map[string][]Outcome
}

// Route implements Router.
func (f *fakeRouter) Route(n RouteRequest) (Route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if slices.Contains(n.Exclude, e.Name) || (f.split && strings.HasPrefix(e.Name, "p") != (n.Role == target.RolePrefill)) {
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

// Find implements Router.
func (f *fakeRouter) Find(name string) (string, bool) {
	for _, e := range f.engines {
		if e.Name == name {
			return e.Address, true
		}
	}
	return "", false
}

// HasSeparatePrefill implements Router.
func (f *fakeRouter) HasSeparatePrefill(string) bool { return f.split }

// fixture is a relay with engines behind proxies and an HTTP server for callers.
type fixture struct {
	router  *fakeRouter
	relay   *Relay
	engines map[string]*standin.Engine
	proxies map[string]*breakableProxy
	server  *httptest.Server
	budget  *retry.Budget
	// errs receives the relay's error for each request.
	errs chan error
}

// newFixture starts a relay and an engine for each of the names, with an idle timeout of 500 ms
// and a token every 2 ms.
func newFixture(t *testing.T, names ...string) *fixture {
	t.Helper()
	f := &fixture{
		router:  &fakeRouter{outcomes: map[string][]Outcome{}},
		engines: map[string]*standin.Engine{}, proxies: map[string]*breakableProxy{},
		budget: retry.NewBudget(0.1, 10), errs: make(chan error, 16),
	}
	for _, name := range names {
		e := standin.NewEngine(standin.EngineConfig{Name: name, TokenInterval: 2 * time.Millisecond})
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		p := newBreakableProxy(t, srv.Listener.Addr().String())
		f.engines[name], f.proxies[name] = e, p
		f.router.engines = append(f.router.engines, Route{Name: name, Address: p.l.Addr().String()})
	}
	cfg := DefaultConfig()
	cfg.IdleTimeout = 500 * time.Millisecond
	f.relay = New(cfg, f.router, telemetry.Discard())
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.server.Close)
	return f
}

// serve handles a caller's request as an entry does.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	chat, err := ParseChat(body)
	if err != nil {
		errkind.Write(w, errkind.From(err))
		return
	}
	call := &Call{ID: "q", Service: "hints", Chat: chat, Deadline: time.Now().Add(10 * time.Second), Budget: f.budget}
	if last := r.Header.Get(target.HeaderLastEventID); last != "" {
		id, err := ParseEventID(last)
		if err != nil {
			errkind.Write(w, errkind.From(err))
			return
		}
		call.Resume = &id
	}
	tracker := &headerTrackingWriter{ResponseWriter: w}
	if chat.Stream {
		err = f.relay.ServeStream(r.Context(), tracker, call)
	} else {
		err = f.relay.ServeBuffered(r.Context(), tracker, call)
	}
	f.errs <- err
	if err != nil && !tracker.headerSent {
		errkind.Write(w, errkind.From(err))
	}
}

// headerTrackingWriter records whether the response header has been written.
type headerTrackingWriter struct {
	http.ResponseWriter
	headerSent bool
}

func (w *headerTrackingWriter) WriteHeader(status int) {
	w.headerSent = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *headerTrackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// outcomes waits for a request to end and returns the outcomes reported for an engine.
func (f *fixture) outcomes(engine string) []Outcome {
	<-f.errs
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	return f.router.outcomes[engine]
}

// prompt is the messages field of the tests' requests.
const prompt = `[{"role":"user","content":"7 across?"}]`

// expectedTokens returns the first n tokens of the expected response to prompt.
func expectedTokens(n int) string {
	return standin.Answer(standin.PromptHash(`user"7 across?"`), n)
}

// chatBody returns the body of a streaming request with prompt and the extra JSON fields.
func chatBody(extra string) string {
	return `{"messages":` + prompt + `,"stream":true` + extra + `}`
}

// streamResult is what a caller has received of a stream.
type streamResult struct {
	text string
	// lastID is the id of the last event.
	lastID string
	// done is set if the stream ended with the [DONE] event.
	done bool
	// errorEvent is the data of an error event, if any.
	errorEvent string
	chunkIDs   map[string]bool
	status     int
}

// read requests a stream from the fixture's server; see readFrom.
func (f *fixture) read(t *testing.T, ctx context.Context, body, lastEventID string, stop int) streamResult {
	t.Helper()
	return readFrom(t, ctx, f.server.URL, body, lastEventID, stop)
}

// readFrom requests a stream from url and reads up to stop events (0 for all). lastEventID is the
// event after which to resume, or "".
func readFrom(t *testing.T, ctx context.Context, url, body, lastEventID string, stop int) streamResult {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if lastEventID != "" {
		req.Header.Set(target.HeaderLastEventID, lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a := streamResult{chunkIDs: map[string]bool{}, status: resp.StatusCode}
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
			a.errorEvent = string(ev.data)
			continue
		}
		a.text += string(jsonStringAfter(ev.data, contentField))
		a.lastID = string(ev.id)
		a.chunkIDs[string(jsonStringAfter(ev.data, chunkIDField))] = true
		if n == stop {
			return a
		}
	}
}

// A stream without faults delivers every token and ends with [DONE].
func TestStreamComplete(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":12`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(12))
	is.NoErr(<-f.errs)
}

// The connection to the engine is lost at points all over the response: the caller still gets
// each token once.
func TestStreamCutAnywhere(t *testing.T) {
	f := newFixture(t, "a")
	const responseBytes = 1400 // of four tokens with header
	for cut := int64(1); cut < responseBytes; cut += 37 {
		f.budget = retry.NewBudget(0.1, 10)
		f.proxies["a"].breakConnections()
		f.proxies["a"].breakNextAfter(cut)
		got := f.read(t, t.Context(), chatBody(`,"max_tokens":4`), "", 0)
		<-f.errs
		if !got.done && got.errorEvent == "" && got.status == http.StatusOK {
			t.Fatalf("cut at %d: the stream ends without [DONE] or an error", cut)
		}
		if got.done && got.text != expectedTokens(4) {
			t.Fatalf("cut at %d: got %q", cut, got.text)
		}
		if !got.done && got.status == http.StatusOK {
			t.Fatalf("cut at %d: not resumed: %s", cut, got.errorEvent)
		}
	}
}

// disconnectEngineMidStream makes engine a unreachable 20 ms after it has begun to serve a
// stream.
func (f *fixture) disconnectEngineMidStream() {
	for f.engines["a"].Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	f.proxies["a"].refuseConnections()
}

// The engine is lost in the middle of a stream: another continues the same response.
func TestEngineLostMidStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	go f.disconnectEngineMidStream()
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":60`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(60))
	is.Equal(len(got.chunkIDs), 1) // clients see one completion
	is.True(strings.HasPrefix(got.lastID, "b/"))
	is.NoErr(<-f.errs)
}

// An engine that stops sending without closing the connection is considered lost, and another
// continues the response.
func TestEngineStalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	stalled := newStallingEngine(t)
	f.router.engines[0].Address = stalled.l.Addr().String()
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(6))
}

// stallingEngine sends the first event of the expected response and then nothing.
type stallingEngine struct{ l net.Listener }

// newStallingEngine starts an engine on loopback that keeps its connections open until the end
// of the test.
func newStallingEngine(t *testing.T) *stallingEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallingEngine{l: l}
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
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: s:1\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", expectedTokens(1))
				<-hold
			}()
		}
	}()
	return s
}

// Every engine is lost: the caller gets an error, and the stream does not look complete.
func TestAllEnginesLost(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	go f.disconnectEngineMidStream()
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":200`), "", 0)
	is.True(!got.done)
	is.True(strings.Contains(got.errorEvent, string(errkind.MayHaveRun)))
	is.True(strings.HasPrefix(expectedTokens(200), got.text)) // the part received is correct
}

// A caller whose entry is lost resumes the stream through another entry with the id of the last
// event.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	body := chatBody(`,"max_tokens":20`)
	first := f.readThroughFailedEntry(t, body, 7)
	is.Equal(first.text, expectedTokens(7))
	second := f.read(t, t.Context(), body, first.lastID, 0)
	is.True(second.done)
	is.Equal(first.text+second.text, expectedTokens(20))
}

// readThroughFailedEntry reads n events as relayed by an entry that then crashes: its connection
// to engine a is closed without cancelling the stream.
func (f *fixture) readThroughFailedEntry(t *testing.T, body string, n int) streamResult {
	t.Helper()
	got := readFrom(t, t.Context(), "http://"+f.proxies["a"].l.Addr().String()+target.PathChat, body, "", n)
	got.lastID = "a/" + got.lastID + ":0"
	return got
}

// Entry and engine are both lost. A deterministic response is generated again, without the
// events that the caller has. For any other response the caller gets an error.
func TestCallerResumesWithoutEngine(t *testing.T) {
	cases := []struct {
		name, extra string
		resumable   bool
	}{
		{"seed", `,"seed":1`, true},
		{"temperature zero", `,"temperature":0`, true},
		{"free sampling", ``, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "a", "b")
			body := chatBody(`,"max_tokens":20` + c.extra)
			first := f.readThroughFailedEntry(t, body, 7)
			f.proxies["a"].refuseConnections()
			second := f.read(t, t.Context(), body, first.lastID, 0)
			if c.resumable {
				is.True(second.done)
				is.Equal(first.text+second.text, expectedTokens(20))
				return
			}
			is.Equal(second.status, http.StatusBadGateway)
			is.Equal(second.text, "")
		})
	}
}

// A caller that closes its connection has the stream cancelled on the engine.
func TestCallerGoneCancelsStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	f.read(t, ctx, chatBody(`,"max_tokens":5000`), "", 3)
	cancel()
	is.True(errkind.Is(<-f.errs, errkind.ClientGone))
	is.Equal(f.engines["a"].Cancelled(), 1)
	is.Equal(f.engines["a"].Status().Running, 0)
}

// Prefill and decode run on separate engines, and the decode engine imports the KV cache.
func TestPrefillAndDecodeOnSeparateEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p1", "d1")
	f.router.split = true
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(9))
	is.True(strings.HasPrefix(got.lastID, "d1/"))
	is.True(f.engines["p1"].Status().PrefillTokens > 0)
	is.Equal(f.engines["d1"].Status().PrefillTokens, uint64(0)) // it imported the KV cache
}

// The prefill engine cannot be reached: the decode engine runs the prefill as well.
func TestPrefillFailureFallsBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p1", "d1")
	f.router.split = true
	f.proxies["p1"].refuseConnections()
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(9))
	is.True(f.engines["d1"].Status().PrefillTokens > 0)
}

// The prefill engine drops the KV cache before it is fetched, so that the decode engine refuses
// the request: a single engine then runs prefill and decode.
func TestImportRefusedFallsBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "p1", "d1", "d2")
	f.router.split = true
	f.engines["p1"].DropKV()
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":9`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(9))
}

// A non-streaming request whose response is cut off is retried on another engine.
func TestBufferedResponseIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.proxies["a"].breakNextAfter(40)
	resp, err := f.server.Client().Post(f.server.URL, "application/json", strings.NewReader(`{"messages":`+prompt+`,"max_tokens":5}`))
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(data), expectedTokens(5)))
	is.Equal(f.outcomes("a"), []Outcome{OutcomeFailed})
}

// Without retry budget there is no second attempt.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.budget = retry.NewBudget(0, 0)
	f.proxies["a"].refuseConnections()
	got := f.read(t, t.Context(), chatBody(``), "", 0)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(f.outcomes("b")), 0)
}

// Fields that the relay does not know are forwarded byte for byte when the messages change.
func TestUnknownFieldsArePreserved(t *testing.T) {
	is := is.New(t)
	chat, err := ParseChat([]byte(`{"messages":` + prompt + `,"x_vendor":{"deep":[1,2.50,"é"]},"stream":true}`))
	is.NoErr(err)
	body, err := chat.continueBody([]byte(`a\"b`), 3)
	is.NoErr(err)
	is.True(strings.Contains(string(body), `"x_vendor":{"deep":[1,2.50,"é"]}`))
	is.True(strings.Contains(string(body), `{"role":"assistant","content":"a\"b"}]`))
}

// Request bodies that are not valid chat completion requests are refused as BadRequest.
func TestBadBodies(t *testing.T) {
	for _, body := range []string{``, `[]`, `null`, `{}`, `{"messages":[]}`, `{"messages":"x"}`, `{"messages":` + prompt + `,"stream":"yes"}`, `{"messages":` + prompt + `,"n":-1}`} {
		if _, err := ParseChat([]byte(body)); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// newEngineWithEventGap starts an engine whose events are numbered 1 and 3, and which does not
// resume streams. It returns its address.
func newEngineWithEventGap(t *testing.T) string {
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

// A gap in an engine's event numbers ends the attempt: another engine continues, and the caller
// gets the complete response in order.
func TestGapInEvents(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.router.engines[0].Address = newEngineWithEventGap(t)
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(6))
}

// A leaving engine refuses requests also from an entry that does not know yet that it is
// leaving. The request goes to another engine.
func TestLeavingEngineRefuses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.engines["a"].SetLeaving(true)
	got := f.read(t, t.Context(), chatBody(`,"max_tokens":6`), "", 0)
	is.True(got.done)
	is.Equal(got.text, expectedTokens(6))
	is.Equal(f.outcomes("a"), []Outcome{OutcomeRefused}) // not counted as a failure of the engine
}
