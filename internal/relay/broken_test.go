package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// serveFrom returns what a caller receives for a request with the given body, of an engine that answers as a does.
func serveFrom(t *testing.T, a platformtest.Answer, body string) (status int, received string, requests int) {
	t.Helper()
	is := is.New(t)
	engine := platformtest.NewRawTarget(a)
	defer engine.Close()
	f := &fixture{
		router: &fakeRouter{outcomes: map[string][]Outcome{}, engines: []Route{{Name: "e1", Address: engine.Address()}}},
		budget: retry.NewBudget(0.1, 10), errs: make(chan error, 16),
	}
	f.relay = New(DefaultConfig(), f.router, telemetry.Discard())
	server := httptest.NewServer(http.HandlerFunc(f.serve))
	defer server.Close()
	resp, err := http.Post(server.URL, "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(text), engine.Requests()
}

// buffered is the body of a request whose response is not a stream.
func buffered(size int) string {
	return fmt.Sprintf(`{"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", size))
}

// A broken response of an engine is none, neither whole nor as a stream.
func TestBrokenResponseIsNotRelayed(t *testing.T) {
	for name, text := range platformtest.NoResponses("Content-Type: text/event-stream\r\n") {
		for _, body := range []string{buffered(1), chatBody("")} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				status, received, requests := serveFrom(t, platformtest.AnswerText(func(*http.Request) string { return text }), body)
				is.Equal(status, http.StatusBadGateway)
				is.True(!strings.Contains(received, platformtest.Foreign))
				is.Equal(requests, 1)
			})
		}
	}
}

// A part of an early response that is reset while a long prompt is being written is not the whole.
func TestEarlyResponseThatIsResetIsNotRelayed(t *testing.T) {
	const plays = 10
	for ending, want := range map[platformtest.EarlyEnding]int{
		platformtest.EndsWithReset: http.StatusBadGateway, platformtest.EndsUnread: http.StatusBadGateway, platformtest.EndsAfterBody: http.StatusOK,
	} {
		for range plays {
			status, _, _ := serveFrom(t, platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n{}" }, time.Millisecond, ending), buffered(8<<20))
			is.New(t).Equal(status, want)
		}
	}
}
