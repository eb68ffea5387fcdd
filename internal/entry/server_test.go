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

// bench is an entry's server over one engine and one plain stand-in, without a
// steward.
type bench struct {
	server *server
	front  *httptest.Server
	engine *standin.Engine
	plain  *standin.Plain
	memory *store.Memory
	store  *gossip.Store
	rows   []table.Row
}

func newBench(t testing.TB, edit func(*settings.Entry, []table.Row)) *bench {
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
	b := &bench{
		engine: standin.NewEngine(standin.EngineConfig{Name: "e1", TokenInterval: time.Millisecond}),
		plain:  standin.NewPlain(), memory: store.NewMemory(), store: gossip.NewStore(time.Now), rows: rows,
	}
	engine, plain := httptest.NewServer(b.engine.Handler()), httptest.NewServer(b.plain.Handler())
	t.Cleanup(engine.Close)
	t.Cleanup(plain.Close)
	b.fill(t, engine.Listener.Addr().String(), plain.Listener.Addr().String())
	b.server = newTestServer(t, cfg, b)
	b.front = httptest.NewServer(b.server.handler())
	t.Cleanup(b.front.Close)
	return b
}

// fill puts table, VM list and statuses into the store, as a steward would.
func (b *bench) fill(t testing.TB, engine, plain string) {
	t.Helper()
	items, err := gossip.TableItems(table.Table{Version: 1, Rows: b.rows}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	items = append(items, b.store.VMItems(store.VMListing{Revision: 1, VMs: []store.VM{
		{Name: "e1", DataCentre: "kakkanad", Address: engine, Kind: store.VMEngine, State: store.VMLive, Changed: 1},
		{Name: "d1", DataCentre: "kakkanad", Address: plain, Kind: store.VMPlain, State: store.VMLive, Changed: 1},
	}})...)
	for name, model := range map[string]string{"e1": "m", "d1": ""} {
		items = append(items, &api.Item{Key: gossip.TargetKey(name), Epoch: 1, Seq: 1, Body: &api.Item_Target{Target: &api.Target{
			Role: string(target.RoleBoth), Reachable: true, Model: model, Slots: 32, DataCentre: "kakkanad",
		}}})
	}
	b.store.Merge(items, "")
}

func newTestServer(t testing.TB, cfg *settings.Entry, b *bench) *server {
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
	f := newFleet(cfg.DataCentre, log, decisions)
	f.apply(b.store.View())
	fd := &feed{}
	fd.ready.Store(true)
	return &server{
		cfg: cfg, fleet: f, feed: fd, relay: relay.New(relay.DefaultConfig(), f, log), plain: newPlainForwarder(),
		claims: once.NewStore(b.memory, b.memory, "vm-1", time.Now), usage: u, decisions: decisions,
		shares: newShares(cfg.MaxEntries), log: log, ids: newRequestIDs("vm-1", 1), start: time.Now(),
		accounts: map[string]*limit.Accounts{}, budgets: map[string]*retry.Budget{},
	}
}

const chatPath = "/services/hints/v1/chat/completions"

const chatJSON = `{"messages":[{"role":"user","content":"7 across?"}],"max_tokens":5}`

func rightAnswer(n int) string { return standin.Answer(standin.PromptHash(`user"7 across?"`), n) }

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
	b := newBench(t, func(cfg *settings.Entry, _ []table.Row) { cfg.MaxBodyBytes = 2000 })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(c.method, b.front.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			resp, err := b.front.Client().Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, errkind.AnswerFor(c.want).Status)
			is.Equal(resp.Header.Get(errkind.HeaderOutcome), "not_run")
			var body target.ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Code, string(c.want))
		})
	}
}

// A body of unknown length that turns out too large is refused as well.
func TestOversizedChunkedBody(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(cfg *settings.Entry, _ []table.Row) { cfg.MaxBodyBytes = 2000 })
	resp, err := b.front.Client().Post(b.front.URL+chatPath, "application/json", io.MultiReader(strings.NewReader(strings.Repeat("x", 3000))))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

func TestSlowSender(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(cfg *settings.Entry, _ []table.Row) { cfg.BodyTimeout = settings.Duration(50 * time.Millisecond) })
	conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	buf := make([]byte, 1024)
	n, err := conn.Read(buf) // the refusal comes although the body never does
	is.NoErr(err)
	is.True(bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 408")))
}

// A caller that breaks off its body is counted and nothing is sent.
func TestBodyBreaksOff(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /services/renewals/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.Close())
	for b.server.usage.refusedOf("renewals") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.plain.Ran("{"), 0)
}

func (u *usage) refusedOf(service string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.service(service).refused
}

func TestPlainPassesEverythingOn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	req, err := http.NewRequest("PUT", b.front.URL+"/services/renewals/a%2Fb/c?q=1&r=%20", strings.NewReader("hello"))
	is.NoErr(err)
	req.Header.Set("X-Custom", "kept")
	req.Header.Set("Connection", "close")
	resp, err := b.front.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(string(data), "done: hello")
	is.Equal(resp.Header.Get("X-Echo-X-Custom"), "kept")
	is.Equal(resp.Header.Get("X-Standin-Path"), "/a%2Fb/c?q=1&r=%20")
}

// keyed makes a call with one and the same idempotency key.
func (b *bench) keyed(t *testing.T, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequest("POST", b.front.URL+"/services/renewals/confirm", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerIdempotencyKey, "k1")
	resp, err := b.front.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

func TestKeyedCall(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	is.Equal(b.keyed(t, "x").StatusCode, 201)
	is.Equal(b.keyed(t, "x").StatusCode, 201) // the kept answer
	is.Equal(b.plain.Ran("x"), 1)
	is.Equal(b.keyed(t, "y").StatusCode, 422) // the key with another body
	is.Equal(b.plain.Ran("y"), 0)
	_, writes := b.memory.Counts()
	is.Equal(writes, uint64(4)) // claim and answer; one refused claim for each repeat
}

// The target runs the call and dies before it answers: the caller is told that
// it may have run, then and later, and it ran once.
func TestTargetClosesAfterReading(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.plain.SetCloseAfterRead(true)
	for _, want := range []int{502, 409} {
		resp := b.keyed(t, "x")
		is.Equal(resp.StatusCode, want)
		is.Equal(resp.Header.Get(errkind.HeaderOutcome), "may_have_run")
		b.plain.SetCloseAfterRead(false)
	}
	is.Equal(b.plain.Ran("x"), 1)
}

func TestAccountLimit(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ *settings.Entry, rows []table.Row) { rows[1].AccountRate = 0.5 })
	status := func(account string) *http.Response {
		req, err := http.NewRequest("GET", b.front.URL+"/services/renewals/x", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+account)
		resp, err := b.front.Client().Do(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp
	}
	is.Equal(status("a").StatusCode, 201)
	refused := status("a")
	is.Equal(refused.StatusCode, 429)
	is.Equal(refused.Header.Get("Retry-After"), "2") // when the next token is there
	is.Equal(status("b").StatusCode, 201)            // another account has its own
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.store.Merge(b.store.VMItems(store.VMListing{Revision: 2, VMs: []store.VM{
		{Name: "d1", DataCentre: "kakkanad", Address: "127.0.0.1:1", Kind: store.VMPlain, State: store.VMLeaving, Changed: 2},
	}}), "")
	b.server.fleet.apply(b.store.View())
	resp, err := b.front.Client().Get(b.front.URL + "/services/renewals/x")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(errkind.HeaderOutcome), "not_run")
	is.True(resp.Header.Get("Retry-After") != "")
}

// A stock client of the chat completions protocol works with only its base URL
// set, with and without streaming.
func TestStockOpenAIClient(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	client := openai.NewClient(option.WithBaseURL(b.front.URL+"/services/hints/v1"), option.WithAPIKey("k"))
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

// Requests in hand are served to their end after the stop has begun, and
// readiness fails at once.
func TestStopWaitsForRequests(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(cfg *settings.Entry, _ []table.Row) {
		cfg.Listen = "127.0.0.1:0"
		cfg.ReadyGrace = 0
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b.server.http = &http.Server{Handler: b.server.handler()}
	b.server.served.Go(func() { _ = b.server.http.Serve(l) })
	body := strings.Replace(chatJSON, `"max_tokens":5`, `"max_tokens":100,"stream":true`, 1)
	resp, err := http.Post("http://"+l.Addr().String()+chatPath, "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- b.server.Stop(context.Background()) }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(data), "data: [DONE]\n\n"))
	is.True(strings.Contains(string(data), strings.Fields(rightAnswer(100))[99]))
	is.NoErr(<-stopped)
	is.Equal(b.server.ready(), "stopping")
}

// The target stands still with the call in hand: the caller hears at the
// deadline that it may have run, and so does who asks again.
func TestTargetFreezes(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ *settings.Entry, rows []table.Row) { rows[1].Deadline = 100 * time.Millisecond })
	hold := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer frozen.Close()
	defer close(hold)
	b.store.Merge(b.store.VMItems(store.VMListing{Revision: 2, VMs: []store.VM{
		{Name: "d1", DataCentre: "kakkanad", Address: frozen.Listener.Addr().String(), Kind: store.VMPlain, State: store.VMLive, Changed: 2},
	}}), "")
	b.server.fleet.apply(b.store.View())
	for _, want := range []int{502, 409} {
		resp := b.keyed(t, "x")
		is.Equal(resp.StatusCode, want)
		is.Equal(resp.Header.Get(errkind.HeaderOutcome), "may_have_run")
	}
}

// A streaming request that is refused before its first token gets its refusal
// in full, like any other.
func TestStreamRefusedBeforeItBegins(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.store.Merge([]*api.Item{{Key: gossip.TargetKey("e1"), Epoch: 1, Seq: 2, Body: &api.Item_Target{Target: &api.Target{}}}}, "")
	b.server.fleet.apply(b.store.View())
	for range 3 { // on one connection
		body := strings.Replace(chatJSON, `"max_tokens"`, `"stream":true,"max_tokens"`, 1)
		resp, err := b.front.Client().Post(b.front.URL+chatPath, "application/json", strings.NewReader(body))
		is.NoErr(err)
		var refusal target.ErrorBody
		is.NoErr(json.NewDecoder(resp.Body).Decode(&refusal))
		resp.Body.Close()
		is.Equal(resp.StatusCode, 503)
		is.Equal(refusal.Error.Code, string(errkind.NoTarget))
		is.True(resp.Header.Get("Retry-After") != "")
	}
}

// Short prompts say nothing of the prefill speed: many quick ones must not
// make the entry think that engines are slow and refuse.
func TestShortPromptsAreNotRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 2000 {
		b.server.fleet.observeFirst("hints", 9, 60*time.Millisecond)
	}
	for range 500 {
		_, err := b.server.fleet.Route(relay.Need{Service: "hints", Role: target.RoleBoth, PromptTokens: 9})
		is.NoErr(err)
	}
}
