package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// Engines that send a head, a body or an event without end must not exceed the memory of a process that serves many
// callers, all of whom get an answer.
func TestResponsesWithoutEndExceedMemory(t *testing.T) {
	const (
		callers = 50
		// bodies is the memory for responses, the least that the settings allow. The heap may hold as much garbage,
		// and buffers of the connections.
		bodies    = 64 << 20
		maxMemory = 3 * bodies
	)
	for name, start := range map[string]string{
		"head":       "HTTP/1.1 200 OK\r\nX: ",
		"body":       "HTTP/1.1 200 OK\r\n\r\n",
		"error body": "HTTP/1.1 400 Bad Request\r\n\r\n",
		"event":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
	} {
		for kind, request := range map[string]string{"buffered": buffered(1), "stream": chatBody("")} {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				engine := platformtest.NewRawTarget(platformtest.AnswerFlood(start))
				defer engine.Close()
				f := &fixture{
					router: &fakeRouter{outcomes: map[string][]Outcome{}, engines: []Route{{Name: "e1", Address: engine.Address()}}},
					budget: retry.NewBudget(0.1, 10), errs: make(chan error, callers),
				}
				cfg := DefaultConfig()
				cfg.Bodies = body.NewStaged(bodies)
				f.relay = New(cfg, f.router, telemetry.Discard())
				server := httptest.NewServer(http.HandlerFunc(f.serve))
				defer server.Close()
				statuses := make([]int, callers)
				began := time.Now()
				peak := platformtest.PeakHeap(func() {
					var calls sync.WaitGroup
					for i := range statuses {
						calls.Go(func() {
							resp, err := http.Post(server.URL, "application/json", strings.NewReader(request))
							if err != nil {
								return
							}
							defer resp.Body.Close()
							statuses[i] = resp.StatusCode
							_, _ = io.Copy(io.Discard, resp.Body) // a stream that began ends with an error event
						})
					}
					calls.Wait()
				})
				for _, status := range statuses {
					is.Equal(status, http.StatusBadGateway)
				}
				is.True(time.Since(began) < 10*time.Second) // the deadline of the requests
				is.True(peak < maxMemory)
			})
		}
	}
}
