package httpsend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
)

// target answers each request of each connection with the next script.
type target struct {
	t        *testing.T
	l        net.Listener
	mu       sync.Mutex
	requests int
	conns    int
	open     []net.Conn
}

// script writes an answer and returns whether the connection goes on.
type script func(c net.Conn) bool

func newTarget(t *testing.T, scripts ...script) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &target{t: t, l: l}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns++
			g.open = append(g.open, c)
			g.mu.Unlock()
			served.Go(func() { g.serve(c, scripts) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		g.mu.Lock()
		for _, c := range g.open {
			c.Close()
		}
		g.mu.Unlock()
		served.Wait()
	})
	return g
}

func (g *target) serve(c net.Conn, scripts []script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		g.mu.Lock()
		n := g.requests
		g.requests++
		g.mu.Unlock()
		if n >= len(scripts) || !scripts[n](c) {
			return
		}
	}
}

func (g *target) counts() (requests, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests, g.conns
}

func says(text string, goOn bool) script {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil && goOn
	}
}

func (g *target) destination() httpsend.Destination {
	return httpsend.Destination{ID: "i-a", Address: g.l.Addr().String(), MaxConns: 2}
}

const ok = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nok"

func ours(_ int, h http.Header) bool { return h.Get("Request-Id") == "q" }

func newClient() *httpsend.Client {
	return httpsend.New(httpsend.Config{DialTimeout: time.Second, MaxIdle: time.Minute, Unacked: time.Second})
}

// send sends one request and reads its answer to the end.
func send(ctx context.Context, c *httpsend.Client, d httpsend.Destination) (string, error) {
	resp, err := c.Send(ctx, d, &httpsend.Request{Method: "GET", URI: "/x", Host: "h"}, ours)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func phaseOf(err error) httpsend.Phase {
	var e *httpsend.Error
	if errors.As(err, &e) {
		return e.Phase
	}
	return 0
}

// How far a send is known to have got under each fault of the target. Each
// request must have left exactly once.
func TestPhases(t *testing.T) {
	cases := []struct {
		name  string
		say   script
		body  string
		phase httpsend.Phase
	}{
		{"whole", says(ok, true), "ok", 0},
		{"closed unanswered", says("", false), "", httpsend.Unanswered},
		{"not an answer", says("nonsense\r\n\r\n", false), "", httpsend.Unanswered},
		{"head cut", says("HTTP/1.1 200 OK\r\nCont", false), "", httpsend.Unanswered},
		{"body cut", says("HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 5\r\n\r\nok", false), "ok", httpsend.Cut},
		{"chunk cut", says("HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", false), "ok", httpsend.Cut},
		{"no length", says("HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nall of it", false), "all of it", 0},
		{"no length, reset", func(c net.Conn) bool {
			says("HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nall", true)(c)
			time.Sleep(20 * time.Millisecond)
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return false
		}, "all", httpsend.Cut},
		{"another's answer first", says(strings.ReplaceAll(ok, "q", "z")+ok, true), "ok", 0},
		{"only another's answer", says(strings.ReplaceAll(ok, "q", "z"), false), "", httpsend.Unanswered},
		{"continue first", says("HTTP/1.1 100 Continue\r\n\r\n"+ok, true), "ok", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := newTarget(t, tc.say, says(ok, true))
			body, err := send(context.Background(), newClient(), g.destination())
			is.Equal(body, tc.body)
			is.Equal(phaseOf(err), tc.phase)
			n, _ := g.counts()
			is.Equal(n, 1)
		})
	}
}

func TestNothingListens(t *testing.T) {
	is := is.New(t)
	g := newTarget(t)
	d := g.destination()
	g.l.Close()
	_, err := send(context.Background(), newClient(), d)
	is.Equal(phaseOf(err), httpsend.NotSent)
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	is := is.New(t)
	g := newTarget(t, says(ok, true), says(ok, true))
	c := newClient()
	for range 2 {
		body, err := send(context.Background(), c, g.destination())
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	n, conns := g.counts()
	is.Equal(n, 2)
	is.Equal(conns, 1)
}

// A connection that the target closed, or sent more on, is not used again.
func TestSpoiledConnectionIsNotUsed(t *testing.T) {
	for name, first := range map[string]script{
		"closed":      says(ok, false),
		"second":      says(ok+ok, true),
		"late second": func(c net.Conn) bool { says(ok, true)(c); time.Sleep(20 * time.Millisecond); return says(ok, true)(c) },
		"close said":  says(strings.Replace(ok, "\r\n", "\r\nConnection: close\r\n", 1), true),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTarget(t, first, says(ok, true))
			c := newClient()
			_, err := send(context.Background(), c, g.destination())
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			body, err := send(context.Background(), c, g.destination())
			is.NoErr(err)
			is.Equal(body, "ok")
			_, conns := g.counts()
			is.Equal(conns, 2)
		})
	}
}

func TestShareOfConnections(t *testing.T) {
	is := is.New(t)
	hold := func(net.Conn) bool { time.Sleep(200 * time.Millisecond); return false }
	g := newTarget(t, hold, hold, says(ok, true))
	c := newClient()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			_, err := send(context.Background(), c, g.destination())
			if phaseOf(err) != httpsend.Unanswered {
				t.Error(err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	_, err := send(context.Background(), c, g.destination())
	is.Equal(phaseOf(err), httpsend.NotSent)
	is.True(errors.Is(err, httpsend.ErrNoConn))
	wg.Wait()
	body, err := send(context.Background(), c, g.destination())
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	g := newTarget(t, func(c net.Conn) bool {
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := send(ctx, newClient(), g.destination())
	is.Equal(phaseOf(err), httpsend.Unanswered)
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the target still holds the connection")
	}
}

// An idle connection needs no time to be opened: without a check of its own the
// request would be written before the end of the context is noticed.
func TestNothingIsSentAfterTheContext(t *testing.T) {
	is := is.New(t)
	scripts := make([]script, 20)
	for i := range scripts {
		scripts[i] = says(ok, true)
	}
	g := newTarget(t, scripts...)
	c := newClient()
	_, err := send(context.Background(), c, g.destination())
	is.NoErr(err)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for range 10 {
		_, err := send(over, c, g.destination())
		is.Equal(phaseOf(err), httpsend.NotSent)
		is.True(errors.Is(err, context.Canceled))
	}
	_, err = send(context.Background(), c, g.destination())
	is.NoErr(err)
	requests, conns := g.counts()
	is.Equal(requests, 2)
	is.Equal(conns, 1) // the idle connection is still good
}

func TestWithheldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	g := newTarget(t, says(ok, true))
	_, err := newClient().Send(context.Background(), g.destination(), &httpsend.Request{Method: "GET", URI: "/", Host: "h", Before: func() bool { return false }}, ours)
	is.Equal(phaseOf(err), httpsend.NotSent)
	is.True(errors.Is(err, httpsend.ErrWithheld))
	n, _ := g.counts()
	is.Equal(n, 0)
}

// A target may answer before it has read a long body; the connection is not
// used again, as the rest of the body is due on it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}
		says(ok, true)(c)
		time.Sleep(300 * time.Millisecond)
	}()
	c := newClient()
	d := httpsend.Destination{ID: "i", Address: l.Addr().String()}
	resp, err := c.Send(context.Background(), d, &httpsend.Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, 16<<20)}, ours)
	is.NoErr(err)
	body, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	resp.Close()
	l.Close()
	_, err = send(context.Background(), c, d)
	is.Equal(phaseOf(err), httpsend.NotSent) // nothing was kept
}

func TestPruneClosesWhatIsNotListed(t *testing.T) {
	is := is.New(t)
	g := newTarget(t, says(ok, true), says(ok, true))
	c := newClient()
	_, err := send(context.Background(), c, g.destination())
	is.NoErr(err)
	c.Prune(func(string) bool { return false })
	_, err = send(context.Background(), c, g.destination())
	is.NoErr(err)
	_, conns := g.counts()
	is.Equal(conns, 2)
}

// A probe finds nobody where connections are refused, or closed unused as by a balancer without
// back ends, and somebody where they are kept open.
func TestProbe(t *testing.T) {
	is := is.New(t)
	c := httpsend.New(httpsend.Config{DialTimeout: time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	closing := make(chan bool, 1)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case <-closing:
				nc.Close()
			default:
				defer nc.Close()
			}
		}
	}()
	is.NoErr(c.Probe(context.Background(), address))
	closing <- true
	is.True(errors.Is(c.Probe(context.Background(), address), httpsend.ErrNobody))
	l.Close()
	is.True(errors.Is(c.Probe(context.Background(), address), httpsend.ErrNobody))
}
