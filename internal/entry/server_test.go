package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/standin"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// fixture is an entry's server with one stand-in engine and one stand-in target of a
// plain service, without a steward.
type fixture struct {
	server      *server
	entryServer *httptest.Server
	engine      *standin.Engine
	plain       *standin.Plain
	memory      *store.Memory
	store       *gossip.Store
	rows        []table.Row
}

// newFixture starts a fixture; edit may change its settings and rows first.
func newFixture(t testing.TB, edit func(*settings.Entry, []table.Row)) *fixture {
	t.Helper()
	gin.SetMode(gin.TestMode)
	cfg := settings.DefaultEntry()
	cfg.VM, cfg.DataCentre, cfg.MaxEntries = "vm-1", "kakkanad", 1
	rows := []table.Row{
		{
			Service: "hints", Kind: table.Language, Model: "m", Deadline: 5 * time.Second, Changed: 1,
			Engines: []table.Assignment{{DataCentre: "kakkanad", Count: 1}}, Objective: 0.99, Fencing: table.FencingChecked,
		},
		{
			Service: "renewals", Kind: table.Plain, Deadline: 2 * time.Second, Changed: 1,
			Engines: []table.Assignment{{DataCentre: "kakkanad", Count: 1}}, Objective: 0.99, Fencing: table.FencingChecked,
		},
	}
	if edit != nil {
		edit(cfg, rows)
	}
	f := &fixture{
		engine: standin.NewEngine(standin.EngineConfig{Name: "e1", TokenInterval: time.Millisecond}),
		plain:  standin.NewPlain(), memory: store.NewMemory(), store: gossip.NewStore(time.Now), rows: rows,
	}
	engine, plain := httptest.NewServer(f.engine.Handler()), httptest.NewServer(f.plain.Handler())
	t.Cleanup(engine.Close)
	t.Cleanup(plain.Close)
	f.fillStore(t, engine.Listener.Addr().String(), plain.Listener.Addr().String())
	f.server = newTestServer(t, cfg, f)
	f.entryServer = httptest.NewServer(f.server.handler())
	t.Cleanup(f.entryServer.Close)
	return f
}

// fillStore puts the table, the VM list and the targets' statuses into the store, as
// a steward would. engine and plain are addresses.
func (f *fixture) fillStore(t testing.TB, engine, plain string) {
	t.Helper()
	items, err := gossip.TableItems(table.Table{Version: 1, Rows: f.rows}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	items = append(items, f.store.VMItems(store.VMListing{Revision: 1, VMs: []store.VM{
		{Name: "e1", DataCentre: "kakkanad", Address: engine, Kind: store.VMEngine, State: store.VMLive, Changed: 1},
		{Name: "d1", DataCentre: "kakkanad", Address: plain, Kind: store.VMPlain, State: store.VMLive, Changed: 1},
	}})...)
	for name, model := range map[string]string{"e1": "m", "d1": ""} {
		items = append(items, &api.Item{Key: gossip.TargetKey(name), Epoch: 1, Seq: 1, Body: &api.Item_Target{Target: &api.Target{
			Role: string(target.RoleBoth), Reachable: true, Model: model, Slots: 32, DataCentre: "kakkanad",
		}}})
	}
	f.store.Merge(items, "")
}

// newTestServer returns a server over the fixture's store whose feed is ready.
func newTestServer(t testing.TB, cfg *settings.Entry, f *fixture) *server {
	t.Helper()
	metrics, err := telemetry.NewMetrics("test")
	if err != nil {
		t.Fatal(err)
	}
	u, err := newUsage(metrics)
	if err != nil {
		t.Fatal(err)
	}
	log, decisions := telemetry.Discard(), newDecisionLog("vm-1")
	fl := newFleet(cfg.DataCentre, log, decisions)
	fl.apply(f.store.View())
	fd := &feed{}
	fd.ready.Store(true)
	return &server{
		cfg: cfg, drain: newDrain(), fleet: fl, feed: fd, relay: relay.New(relay.DefaultConfig(), fl, log), plain: newPlainForwarder(body.NewStaged(relay.DefaultBodiesBytes)),
		claims: once.NewStore(f.memory, f.memory, "vm-1", time.Now), usage: u, decisions: decisions,
		shares: newShares(cfg.MaxEntries), log: log, ids: newRequestIDs("vm-1", 1), start: time.Now(),
		accounts: map[string]*limit.Accounts{}, budgets: map[string]*retry.Budget{},
	}
}

const chatPath = "/services/hints/v1/chat/completions"

const chatJSON = `{"messages":[{"role":"user","content":"7 across?"}],"max_tokens":5}`

// wantAnswer returns the stand-in's answer to chatJSON in n tokens.
func wantAnswer(n int) string { return standin.Answer(standin.PromptHash(`user"7 across?"`), n) }

func TestRefusals(t *testing.T) {
	big := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", 3000) + `"}]}`
	cases := []struct {
		name, method, path, body string
		want                     errkind.Kind
	}{
		{"no service path", "GET", "/", "", errkind.UnknownPath},
		{"unknown service", "POST", "/services/nosuch/x", "", errkind.UnknownService},
		{"unknown path", "POST", "/services/hints/v1/other", chatJSON, errkind.UnknownPath},
		{"wrong method", "GET", chatPath, "", errkind.WrongMethod},
		{"broken body", "POST", chatPath, `{"messages":`, errkind.BadRequest},
		{"no messages", "POST", chatPath, `{}`, errkind.BadRequest},
		{"oversized body", "POST", chatPath, big, errkind.BodyTooLarge},
		{"broken streaming body", "POST", chatPath, `{"stream":true,"messages":7}`, errkind.BadRequest},
	}
	f := newFixture(t, func(cfg *settings.Entry, _ []table.Row) { cfg.MaxBodyBytes = 2000 })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(c.method, f.entryServer.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			resp, err := f.entryServer.Client().Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, errkind.ResponseFor(c.want).Status)
			is.Equal(resp.Header.Get(errkind.HeaderOutcome), "not_run")
			var body target.ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Code, string(c.want))
		})
	}
}

// A chunked body, whose length is not announced, is refused once it is too large.
func TestOversizedChunkedBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(cfg *settings.Entry, _ []table.Row) { cfg.MaxBodyBytes = 2000 })
	resp, err := f.entryServer.Client().Post(f.entryServer.URL+chatPath, "application/json", io.MultiReader(strings.NewReader(strings.Repeat("x", 3000))))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// A caller that does not send its body in time is refused with status 408.
func TestSlowSender(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(cfg *settings.Entry, _ []table.Row) { cfg.BodyTimeout = settings.Duration(50 * time.Millisecond) })
	conn, err := net.Dial("tcp", f.entryServer.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	buf := make([]byte, 1024)
	n, err := conn.Read(buf) // the refusal comes although the body never ends
	is.NoErr(err)
	is.True(bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 408")))
}

// A request whose connection fails before its body is complete counts as refused, and
// nothing is sent to a target.
func TestIncompleteBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	conn, err := net.Dial("tcp", f.entryServer.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /services/renewals/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.Close())
	for f.server.usage.refusedCount("renewals") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.plain.Ran("{"), 0)
}

// refusedCount returns how many of the service's requests were refused.
func (u *usage) refusedCount(service string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.forService(service).refused
}

// A call to a plain service is forwarded with its path, query, body and end-to-end
// headers unchanged, and so is the answer.
func TestPlainCallIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	req, err := http.NewRequest("PUT", f.entryServer.URL+"/services/renewals/a%2Fb/c?q=1&r=%20", strings.NewReader("hello"))
	is.NoErr(err)
	req.Header.Set("X-Custom", "kept")
	req.Header.Set("Connection", "close")
	resp, err := f.entryServer.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(string(data), "done: hello")
	is.Equal(resp.Header.Get("X-Echo-X-Custom"), "kept")
	is.Equal(resp.Header.Get("X-Standin-Path"), "/a%2Fb/c?q=1&r=%20")
}

// callWithKey makes a call with the idempotency key k1.
func (f *fixture) callWithKey(t *testing.T, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequest("POST", f.entryServer.URL+"/services/renewals/confirm", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerIdempotencyKey, "k1")
	resp, err := f.entryServer.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	t.Logf("status %d, error %v: %q", resp.StatusCode, err, answer)
	return resp
}

// Calls with the same idempotency key run once. A further call gets the stored answer,
// or a refusal if its body differs.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.callWithKey(t, "x").StatusCode, 201)
	is.Equal(f.callWithKey(t, "x").StatusCode, 201) // the stored answer
	is.Equal(f.plain.Ran("x"), 1)
	is.Equal(f.callWithKey(t, "y").StatusCode, 422) // the same key with another body
	is.Equal(f.plain.Ran("y"), 0)
	_, writes := f.memory.Counts()
	is.Equal(writes, uint64(4)) // the claim, the answer, and a refused claim for each repeat
}

// The target runs a call and closes the connection without an answer. The caller is
// told that the call may have run, also when it asks again, and the call runs once.
func TestTargetClosesAfterReading(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.plain.SetCloseAfterRead(true)
	for _, want := range []int{502, 409} {
		resp := f.callWithKey(t, "x")
		is.Equal(resp.StatusCode, want)
		is.Equal(resp.Header.Get(errkind.HeaderOutcome), "may_have_run")
		f.plain.SetCloseAfterRead(false)
	}
	is.Equal(f.plain.Ran("x"), 1)
}

// Each client account has its own rate limit, and a refusal tells when to retry.
func TestAccountLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ *settings.Entry, rows []table.Row) { rows[1].AccountRate = 0.5 })
	status := func(account string) *http.Response {
		req, err := http.NewRequest("GET", f.entryServer.URL+"/services/renewals/x", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+account)
		resp, err := f.entryServer.Client().Do(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp
	}
	is.Equal(status("a").StatusCode, 201)
	refused := status("a")
	is.Equal(refused.StatusCode, 429)
	is.Equal(refused.Header.Get("Retry-After"), "2") // when the bucket has its next token
	is.Equal(status("b").StatusCode, 201)            // another account has its own bucket
}

// A target that is leaving gets no requests. As no other is left, the request is
// refused as not run.
func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.store.Merge(f.store.VMItems(store.VMListing{Revision: 2, VMs: []store.VM{
		{Name: "d1", DataCentre: "kakkanad", Address: "127.0.0.1:1", Kind: store.VMPlain, State: store.VMLeaving, Changed: 2},
	}}), "")
	f.server.fleet.apply(f.store.View())
	resp, err := f.entryServer.Client().Get(f.entryServer.URL + "/services/renewals/x")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(errkind.HeaderOutcome), "not_run")
	is.True(resp.Header.Get("Retry-After") != "")
}

// An unmodified OpenAI client works with only its base URL set, with and without
// streaming.
func TestStockOpenAIClient(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	client := openai.NewClient(option.WithBaseURL(f.entryServer.URL+"/services/hints/v1"), option.WithAPIKey("k"))
	params := openai.ChatCompletionNewParams{
		Model: "m", MaxTokens: openai.Int(5),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("7 across?")},
	}
	whole, err := client.Chat.Completions.New(context.Background(), params)
	is.NoErr(err)
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, whole.Choices[0].Message.Content)
	is.Equal(len(strings.Fields(whole.Choices[0].Message.Content)), 5)
}

// After Stop is called, requests in flight are served to their end and readiness
// fails.
func TestStopWaitsForRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(cfg *settings.Entry, _ []table.Row) {
		cfg.Listen = "127.0.0.1:0"
		cfg.ReadyGrace = 0
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.server.httpServer = &http.Server{Handler: f.server.handler()}
	f.server.serving.Go(func() { _ = f.server.httpServer.Serve(l) })
	body := strings.Replace(chatJSON, `"max_tokens":5`, `"max_tokens":100,"stream":true`, 1)
	resp, err := http.Post("http://"+l.Addr().String()+chatPath, "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(context.Background()) }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(data), "data: [DONE]\n\n"))
	is.True(strings.Contains(string(data), strings.Fields(wantAnswer(100))[99]))
	is.NoErr(<-stopped)
	is.Equal(f.server.notReadyReason(), "stopping")
}

// The target never answers a call. The caller is told at the deadline that the call may
// have run, and is told the same when it asks again.
func TestTargetFreezes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ *settings.Entry, rows []table.Row) { rows[1].Deadline = 100 * time.Millisecond })
	block := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block }))
	defer frozen.Close()
	defer close(block)
	f.store.Merge(f.store.VMItems(store.VMListing{Revision: 2, VMs: []store.VM{
		{Name: "d1", DataCentre: "kakkanad", Address: frozen.Listener.Addr().String(), Kind: store.VMPlain, State: store.VMLive, Changed: 2},
	}}), "")
	f.server.fleet.apply(f.store.View())
	for _, want := range []int{502, 409} {
		resp := f.callWithKey(t, "x")
		is.Equal(resp.StatusCode, want)
		is.Equal(resp.Header.Get(errkind.HeaderOutcome), "may_have_run")
	}
}

// A streaming request that is refused before its first token gets a complete error
// body, like any other request.
func TestStreamRefusedBeforeItBegins(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.store.Merge([]*api.Item{{Key: gossip.TargetKey("e1"), Epoch: 1, Seq: 2, Body: &api.Item_Target{Target: &api.Target{}}}}, "")
	f.server.fleet.apply(f.store.View())
	for range 3 { // all on one connection
		body := strings.Replace(chatJSON, `"max_tokens"`, `"stream":true,"max_tokens"`, 1)
		resp, err := f.entryServer.Client().Post(f.entryServer.URL+chatPath, "application/json", strings.NewReader(body))
		is.NoErr(err)
		var refusal target.ErrorBody
		is.NoErr(json.NewDecoder(resp.Body).Decode(&refusal))
		resp.Body.Close()
		is.Equal(resp.StatusCode, 503)
		is.Equal(refusal.Error.Code, string(errkind.NoTarget))
		is.True(resp.Header.Get("Retry-After") != "")
	}
}

// The time of a short prompt is mostly overhead. Many short prompts must not raise the
// estimated prefill time so far that the entry refuses requests.
func TestShortPromptsAreNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	for range 2000 {
		f.server.fleet.observeFirstToken("hints", 9, 60*time.Millisecond)
	}
	for range 500 {
		_, err := f.server.fleet.Route(relay.RouteRequest{Service: "hints", Role: target.RoleBoth, PromptTokens: 9})
		is.NoErr(err)
	}
}
