package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"garnethoist.org/garnethoist/internal/standin"
)

// discardResponseWriter is an http.ResponseWriter that discards the response.
type discardResponseWriter struct{ header http.Header }

func (w *discardResponseWriter) Header() http.Header         { return w.header }
func (w *discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardResponseWriter) WriteHeader(int)             {}
func (w *discardResponseWriter) Flush()                      {}

// streamResponse returns the body of an engine's streaming response of n tokens.
func streamResponse(n int) []byte {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: 18ed763289ea4a19-1:%d\ndata: {\"id\":\"chatcmpl-18ed763289ea4a19-1\",\"object\":\"chat.completion.chunk\",\"created\":1796221788,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", i, standin.Token(7, i))
	}
	b.WriteString("data: [DONE]\n\n")
	return b.Bytes()
}

// eventSizedReader returns at most size bytes per read. With the size of an event it acts like
// an engine that sends each token as soon as it is generated.
type eventSizedReader struct {
	rest []byte
	size int
}

// Read implements io.Reader.
func (r *eventSizedReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[:min(r.size, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

// BenchmarkCopyEvents measures the time per token, and the allocations per stream of 1000
// tokens.
func BenchmarkCopyEvents(b *testing.B) {
	const tokens = 1000
	answer := streamResponse(tokens)
	relay := &Relay{cfg: DefaultConfig()}
	idle := newIdleWatch(time.Hour, time.Hour, func() {})
	defer idle.stop()
	b.ReportAllocs()
	for b.Loop() {
		s := &streamState{engine: "engine-1", replayable: true}
		out := newEventWriter(&discardResponseWriter{header: http.Header{}})
		if err := relay.copyEvents(out, s, &eventSizedReader{rest: answer, size: len(answer) / tokens}, idle); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
