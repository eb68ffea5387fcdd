package telemetry

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueLines is the number of lines that are queued for a slow output.
const logQueueLines = 256

// maxLineBytes is the size of the longest line.
const maxLineBytes = 8 << 10

// BoundedWriter is a rate-limited writer of log lines that never blocks. Lines that exceed the
// rate, or that find the queue full, are dropped and counted. The count is written once a second
// if it is not zero.
type BoundedWriter struct {
	out       io.Writer
	linesPerS atomic.Int64
	queue     chan []byte
	// currentSecond is the second, in Unix time, whose lines linesThisSecond counts.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewBoundedWriter returns a writer that writes at most perSecond lines per second to out.
func NewBoundedWriter(out io.Writer, perSecond int) *BoundedWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &BoundedWriter{out: out, queue: make(chan []byte, logQueueLines), cancel: cancel}
	w.SetRate(perSecond)
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// SetRate sets the limit of lines per second.
func (w *BoundedWriter) SetRate(perSecond int) { w.linesPerS.Store(int64(perSecond)) }

// Write queues one line, or drops it. It never blocks and always succeeds. A line of more than maxLineBytes is
// cut, as callers choose a part of it.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.admit() {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		copied[maxLineBytes-1] = '\n'
	}
	select {
	case w.queue <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// admit counts a line and reports whether it is within this second's limit.
func (w *BoundedWriter) admit() bool {
	now := time.Now().Unix()
	if w.currentSecond.Swap(now) != now {
		w.linesThisSecond.Store(0)
	}
	return w.linesThisSecond.Add(1) <= w.linesPerS.Load()
}

// run writes queued lines and the count of dropped ones until ctx ends.
func (w *BoundedWriter) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		case <-ticker.C:
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// emit writes a line to the output. It ignores errors, as there is nowhere to report them.
func (w *BoundedWriter) emit(line []byte) { _, _ = w.out.Write(line) }

// reportDropped writes the number of lines dropped since the last report, unless it is zero.
func (w *BoundedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.emit([]byte(fmt.Sprintf("time=%q level=warning event=%s lines=%d\n", time.Now().Format(time.RFC3339), EventLogDropped, n)))
	}
}

// flush writes the lines that are queued.
func (w *BoundedWriter) flush() {
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// Stop writes the queued lines and ends the writer's goroutine.
func (w *BoundedWriter) Stop(context.Context) error {
	w.cancel()
	w.wg.Wait()
	return nil
}

// StdLogger returns a standard logger for libraries that require one. Each of its lines is logged
// to l as an EventHTTPServer.
func StdLogger(l *Logger) *stdlog.Logger { return stdlog.New(lineWriter{l}, "", 0) }

// lineWriter logs each line that is written to it as an EventHTTPServer.
type lineWriter struct{ log *Logger }

// Write logs p as one line.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Warn(EventHTTPServer, F("cause", string(p)))
	return len(p), nil
}
