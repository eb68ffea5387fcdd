package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// closingTarget answers the first request of each connection, and closes the
// connection without an answer after it has read the second one or a request with
// the key "close". It counts the requests by idempotency key.
type closingTarget struct {
	listener net.Listener

	mu    sync.Mutex
	calls map[string]int
}

func newClosingTarget(t *testing.T) *closingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &closingTarget{listener: l, calls: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *closingTarget) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		key := req.Header.Get(headerIdempotencyKey)
		c.mu.Lock()
		c.calls[key]++
		c.mu.Unlock()
		if !first || key == "close" {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// count returns how many requests with the key have arrived.
func (c *closingTarget) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[key]
}

// This test shows the fault that plainForwarder.noReuse guards against: Go's
// default HTTP client sends a request with an Idempotency-Key and no body again when a
// reused connection breaks.
func TestDefaultClientSendsTwice(t *testing.T) {
	is := is.New(t)
	c := newClosingTarget(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	is.NoErr(post(client, c, "warm-up"))
	_ = post(client, c, "renewal") // whether it fails does not matter here
	is.Equal(c.count("renewal"), 2)
}

// post sends a POST without a body to the target.
func post(client *http.Client, c *closingTarget, key string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.listener.Addr().String()+"/confirm", nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerIdempotencyKey, key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body) // so that the client reuses the connection
	return err
}

// A call that must not be repeated reaches the target once, also when the connection
// breaks after the target has read the call.
func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	for _, text := range []string{"", `{"subscriber":1}`} {
		is := is.New(t)
		c := newClosingTarget(t)
		s := &server{plain: newPlainForwarder(body.NewStaged(relay.DefaultBodiesBytes))}
		q := &request{id: "q1", row: table.Row{Service: "renewals", Kind: table.Plain, Deadline: time.Second}, body: []byte(text)}
		var outcomes []relay.Outcome
		route := relay.Route{Name: "desk-1", Address: c.listener.Addr().String(), Done: func(o relay.Outcome) { outcomes = append(outcomes, o) }}
		for _, key := range []string{"warm-up", "close"} {
			r := httptest.NewRequest(http.MethodPost, "/services/renewals/confirm", strings.NewReader(text))
			r.Header.Set(headerIdempotencyKey, key)
			_, err := s.forward(context.Background(), s.plain.noReuse, r, q, route)
			if key == "warm-up" {
				is.NoErr(err)
				continue
			}
			is.True(err != nil)
			is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun) // the target has read it, so not_run would be wrong
		}
		is.Equal(c.count("close"), 1)
		is.Equal(outcomes, []relay.Outcome{relay.OutcomeOK, relay.OutcomeFailed})
	}
}

// A call whose connection was refused certainly did not run. It is the only failure
// of a connection that proves it.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	s := &server{plain: newPlainForwarder(body.NewStaged(relay.DefaultBodiesBytes))}
	q := &request{id: "q1", row: table.Row{Service: "renewals", Kind: table.Plain}}
	r := httptest.NewRequest(http.MethodPost, "/services/renewals/confirm", nil)
	route := relay.Route{Address: l.Addr().String(), Done: func(relay.Outcome) {}}
	_, err = s.forward(context.Background(), s.plain.noReuse, r, q, route)
	is.True(err != nil)
	is.Equal(errkind.From(err).Response().Outcome, errkind.NotRun)
}

// An entry asks for a grant only when its demand exceeds its base part.
func TestExtraDemandBeyondBasePart(t *testing.T) {
	is := is.New(t)
	row := table.Row{RatePerS: 80, InFlight: 40, Engines: []table.Assignment{{DataCentre: "a"}, {DataCentre: "b"}}}
	// The base part of one of 2 x 2 entries is 10 requests a second and 5 in flight.
	is.Equal(extraDemand(row, 2, 7, 3), limit.Limits{})
	is.Equal(extraDemand(row, 2, 20, 10), limit.Limits{RatePerS: 16, InFlight: 8})
	is.Equal(extraDemand(table.Row{}, 2, 20, 10), limit.Limits{}) // no limits, so no grant is needed
}

// The share of time for which an engine is busy stays right when the estimated time
// per token changes between its reports.
func TestBusyShareSurvivesANewEstimate(t *testing.T) {
	is := is.New(t)
	f := newFleet("kakkanad", telemetry.Discard(), newDecisionLog("vm-1"))
	p := &targetPool{row: table.Row{Service: "hints", Model: "m"}, secondsPerToken: 1e-3, memory: newPrefixMemory(), pace: &limit.Pacer{}}
	ts := &targetState{name: "e1"}
	view := func(seconds float64, tokens uint64) gossip.TargetView {
		return gossip.TargetView{
			Name: "e1", DataCentre: "kakkanad", ObservedAt: f.start.Add(time.Duration(seconds * float64(time.Second))),
			Status: &api.Target{Reachable: true, Model: "m", PrefillTokens: tokens},
		}
	}
	p.addTarget(ts, gossip.TargetView{Name: "e1"}, "kakkanad", 0) // no status yet
	for i, tokens := range []uint64{10000, 14000, 18000} {
		p.secondsPerToken /= 2
		p.targets, p.states = nil, nil
		p.addTarget(ts, view(float64(8*i), tokens), "kakkanad", time.Since(f.start).Seconds())
	}
	// The engine prefills 500 tokens a second, at an eighth of a millisecond each.
	is.True(p.targets[0].Busy > 0.06 && p.targets[0].Busy < 0.065)
}
