package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// stopGrace is the time that the entry of these tests has to stop, and readyGrace that for which it goes on to
	// accept requests.
	stopGrace  = 1500 * time.Millisecond
	readyGrace = 700 * time.Millisecond
)

// stopFixture is an entry that serves on a port, before a target that a test controls.
type stopFixture struct {
	*fixture
	target  *platformtest.RawTarget
	address string
}

// newStopFixture starts an entry whose calls may take deadline.
func newStopFixture(t *testing.T, deadline time.Duration, repeatable bool, a platformtest.Answer) *stopFixture {
	t.Helper()
	is := is.New(t)
	var cfg *settings.Entry
	f := &stopFixture{target: platformtest.NewRawTarget(a)}
	f.fixture = newFixture(t, func(c *settings.Entry, rows []table.Row) {
		c.ReadyGrace = settings.Duration(readyGrace)
		rows[1].Deadline, rows[1].Repeatable = deadline, repeatable
		cfg = c
	})
	f.store = gossip.NewStore(time.Now)
	f.fillStore(t, "127.0.0.1:1", f.target.Address())
	f.server = newTestServer(t, cfg, f.fixture)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.address = l.Addr().String()
	f.server.httpServer = &http.Server{Handler: f.server.handler()}
	f.server.serving.Go(func() { _ = f.server.httpServer.Serve(l) })
	t.Cleanup(func() { _ = f.server.httpServer.Close() })
	return f
}

// stop stops the entry within stopGrace.
func (f *stopFixture) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = f.server.Stop(ctx) // fails if a request has not ended, which the tests see
	_ = f.server.httpServer.Close()
}

// call sends a call and returns its answer. The status is 0 if there is none.
func (f *stopFixture) call(key string) (status int, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/services/renewals/confirm", strings.NewReader("x"))
	if err != nil {
		return 0, err.Error()
	}
	if key != "" {
		req.Header.Set(headerIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// hang answers no request until the connection ends.
func hang(c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c) // ends with the connection
	return false
}

// A call that may last longer than a stopping entry is refused before it is sent, so that another entry can take it.
// One that ends in time is served.
func TestStoppingEntryTakesOnlyWhatItCanFinish(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		is := is.New(t)
		f := newStopFixture(t, 5*time.Second, repeatable, hang)
		go f.stop()
		time.Sleep(readyGrace / 2)
		status, body := f.call("")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"stopping"`) && strings.Contains(body, `"not_run"`))
		is.Equal(f.target.Requests(), 0)
		f.target.Close()

		sound := platformtest.AnswerText(func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
		f = newStopFixture(t, 200*time.Millisecond, repeatable, sound)
		go f.stop()
		time.Sleep(readyGrace / 2)
		status, body = f.call("")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "ok")
		f.target.Close()
	}
}

// A call that a stopping entry has sent before, and that is not answered, gets an answer at the end of the grace: that
// it may have run.
func TestStoppingEntryAnswersWhatItHasTaken(t *testing.T) {
	for _, key := range []string{"", "k1"} {
		for _, repeatable := range []bool{false, true} {
			is := is.New(t)
			f := newStopFixture(t, 10*time.Second, repeatable, hang)
			began := time.Now()
			answered := make(chan struct{})
			var status int
			var body string
			go func() {
				defer close(answered)
				status, body = f.call(key)
			}()
			for f.target.Requests() == 0 && time.Since(began) < stopGrace {
				time.Sleep(time.Millisecond)
			}
			f.stop()
			<-answered
			is.Equal(status, http.StatusBadGateway)
			is.True(strings.Contains(body, `"may_have_run"`))
			is.Equal(f.target.Requests(), 1)
			f.target.Close()
		}
	}
}
