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

// nullWriter is a caller that takes everything.
type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}
func (w *nullWriter) Flush()                      {}

// recorded is an engine's answer of n tokens as it goes over the wire.
func recorded(n int) []byte {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: 18ed763289ea4a19-1:%d\ndata: {\"id\":\"chatcmpl-18ed763289ea4a19-1\",\"object\":\"chat.completion.chunk\",\"created\":1796221788,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", i, standin.Token(7, i))
	}
	b.WriteString("data: [DONE]\n\n")
	return b.Bytes()
}

// oneEvent gives one event a read, as an engine does that sends tokens as they
// come.
type oneEvent struct {
	rest []byte
	size int
}

func (o *oneEvent) Read(p []byte) (int, error) {
	if len(o.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.rest[:min(o.size, len(o.rest))])
	o.rest = o.rest[n:]
	return n, nil
}

// BenchmarkCopyEvents gives the time and the allocations for one token.
func BenchmarkCopyEvents(b *testing.B) {
	const tokens = 1000
	answer := recorded(tokens)
	relay := &Relay{cfg: DefaultConfig()}
	idle := watchIdle(time.Hour, time.Hour, func() {})
	defer idle.stop()
	b.ReportAllocs()
	for b.Loop() {
		s := &streamState{engine: "engine-1", replayable: true}
		out := newEventWriter(&nullWriter{header: http.Header{}})
		if err := relay.copyEvents(out, s, &oneEvent{rest: answer, size: len(answer) / tokens}, idle); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
