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
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// closingTarget answers the first request of each connection and closes the
// connection after reading the second, as a target does that dies at a bad
// moment. It counts the requests by body.
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

func (c *closingTarget) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[key]
}

// TestStockClientSendsTwice shows the fault that the entry's client guards
// against: with an Idempotency-Key and no body, Go's own client sends a
// request again on a reused connection that breaks.
func TestStockClientSendsTwice(t *testing.T) {
	is := is.New(t)
	c := newClosingTarget(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	is.NoErr(post(client, c, "warm-up"))
	_ = post(client, c, "renewal") // how it ends does not matter here
	is.Equal(c.count("renewal"), 2)
}

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
	_, err = io.Copy(io.Discard, resp.Body) // so that the connection is used again
	return err
}

// TestSingleClientSendsOnce: the same through the entry's own path for calls
// that may not be repeated.
func TestSingleClientSendsOnce(t *testing.T) {
	for _, body := range []string{"", `{"subscriber":1}`} {
		is := is.New(t)
		c := newClosingTarget(t)
		s := &server{plain: newPlainForwarder()}
		q := &request{id: "q1", row: table.Row{Service: "renewals", Kind: table.Plain, Deadline: time.Second}, body: []byte(body)}
		var outcomes []relay.Outcome
		route := relay.Route{Name: "desk-1", Address: c.listener.Addr().String(), Done: func(o relay.Outcome) { outcomes = append(outcomes, o) }}
		for _, key := range []string{"warm-up", "close"} {
			r := httptest.NewRequest(http.MethodPost, "/services/renewals/confirm", strings.NewReader(body))
			r.Header.Set(headerIdempotencyKey, key)
			_, err := s.forward(context.Background(), s.plain.single, r, q, route)
			if key == "warm-up" {
				is.NoErr(err)
				continue
			}
			is.True(err != nil)
			is.Equal(errkind.From(err).Answer().Outcome, errkind.MayHaveRun) // it may have run: never not_run
		}
		is.Equal(c.count("close"), 1)
		is.Equal(outcomes, []relay.Outcome{relay.OutcomeOK, relay.OutcomeFailed})
	}
}

// A refused connection is the one failure after which not_run is certain.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	s := &server{plain: newPlainForwarder()}
	q := &request{id: "q1", row: table.Row{Service: "renewals", Kind: table.Plain}}
	r := httptest.NewRequest(http.MethodPost, "/services/renewals/confirm", nil)
	route := relay.Route{Address: l.Addr().String(), Done: func(relay.Outcome) {}}
	_, err = s.forward(context.Background(), s.plain.single, r, q, route)
	is.True(err != nil)
	is.Equal(errkind.From(err).Answer().Outcome, errkind.NotRun)
}

// An entry asks for a grant only when its demand exceeds its base part.
func TestWantBeyondBasePart(t *testing.T) {
	is := is.New(t)
	row := table.Row{RatePerS: 80, InFlight: 40, Engines: []table.Assignment{{DataCentre: "a"}, {DataCentre: "b"}}}
	// Base part of one of 2 x 2 entries: 10 a second and 5 in flight.
	is.Equal(wantOf(row, 2, 7, 3), limit.Limits{})
	is.Equal(wantOf(row, 2, 20, 10), limit.Limits{RatePerS: 16, InFlight: 8})
	is.Equal(wantOf(table.Row{}, 2, 20, 10), limit.Limits{}) // no limits, nothing to ask for
}

// The busy share follows the engine's work, whatever becomes of the estimate
// of a token's time meanwhile.
func TestBusyShareSurvivesANewEstimate(t *testing.T) {
	is := is.New(t)
	f := newFleet("kakkanad", telemetry.Discard(), newDecisionLog("vm-1"))
	p := &pool{row: table.Row{Service: "hints", Model: "m"}, secondsPerToken: 1e-3, memory: newMemory(), pace: &limit.Pace{}}
	m := &member{name: "e1"}
	view := func(seconds float64, tokens uint64) gossip.TargetView {
		return gossip.TargetView{
			Name: "e1", DataCentre: "kakkanad", ObservedAt: f.start.Add(time.Duration(seconds * float64(time.Second))),
			Status: &api.Target{Reachable: true, Model: "m", PrefillTokens: tokens},
		}
	}
	p.add(m, gossip.TargetView{Name: "e1"}, "kakkanad", 0) // no status yet
	for i, tokens := range []uint64{10000, 14000, 18000} {
		p.secondsPerToken /= 2
		p.targets, p.members = nil, nil
		p.add(m, view(float64(8*i), tokens), "kakkanad", time.Since(f.start).Seconds())
	}
	// 500 tokens a second at an eighth of a millisecond each.
	is.True(p.targets[0].Busy > 0.06 && p.targets[0].Busy < 0.065)
}
