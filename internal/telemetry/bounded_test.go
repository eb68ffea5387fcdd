package telemetry_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/telemetry"
)

// output is a log output. If block is not nil, writes wait until block is closed.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	block chan struct{}
}

// Write appends to the text, once block is closed or if block is nil.
func (o *output) Write(p []byte) (int, error) {
	if o.block != nil {
		<-o.block
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns the text written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestLinesAboveRateAreDroppedAndCounted checks that only the lines within the rate are written,
// and that the number of dropped lines is written too.
func TestLinesAboveRateAreDroppedAndCounted(t *testing.T) {
	is := is.New(t)
	out := &output{}
	w := telemetry.NewBoundedWriter(out, 10)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.NoErr(w.Stop(context.Background()))
	n := strings.Count(out.String(), "line\n")
	is.True(n >= 10 && n <= 20) // a new second may have begun in between
	is.True(strings.Contains(out.String(), "event=log_dropped lines="))
}

// Lines that hold what callers send must not take memory in proportion.
func TestLongLinesAreCut(t *testing.T) {
	is := is.New(t)
	out := &output{}
	w := telemetry.NewBoundedWriter(out, 10)
	_, err := w.Write([]byte(strings.Repeat("x", 1<<20) + "\n"))
	is.NoErr(err)
	is.NoErr(w.Stop(context.Background()))
	is.True(len(out.String()) <= 8<<10)
	is.True(strings.HasSuffix(out.String(), "x\n"))
}

// TestBlockedOutputDoesNotBlockWriters checks that lines are dropped and counted while the output
// does not take any.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := &output{block: make(chan struct{})}
	w := telemetry.NewBoundedWriter(out, 100000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	close(out.block)
	is.NoErr(w.Stop(context.Background()))
	is.True(strings.Contains(out.String(), "log_dropped"))
}
