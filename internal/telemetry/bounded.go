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

// logQueue is how many lines wait for a slow output.
const logQueue = 256

// BoundedWriter passes lines on without ever blocking their writer. Lines
// above a rate, or that find the queue full, are dropped and counted; the count
// is written once a second while there are any.
type BoundedWriter struct {
	out     io.Writer
	perS    atomic.Int64
	queue   chan []byte
	second  atomic.Int64
	inThis  atomic.Int64
	dropped atomic.Int64
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewBoundedWriter returns a writer to out of at most perSecond lines a second.
func NewBoundedWriter(out io.Writer, perSecond int) *BoundedWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &BoundedWriter{out: out, queue: make(chan []byte, logQueue), cancel: cancel}
	w.SetRate(perSecond)
	w.done.Go(func() { w.run(ctx) })
	return w
}

// SetRate changes the bound on lines a second.
func (w *BoundedWriter) SetRate(perSecond int) { w.perS.Store(int64(perSecond)) }

// Write takes one line; it never fails and never waits.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.admit() {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) admit() bool {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.inThis.Store(0)
	}
	return w.inThis.Add(1) <= w.perS.Load()
}

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

// emit writes a line. There is nowhere to report that the output is gone.
func (w *BoundedWriter) emit(line []byte) { _, _ = w.out.Write(line) }

func (w *BoundedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.emit([]byte(fmt.Sprintf("time=%q level=warning event=%s lines=%d\n", time.Now().Format(time.RFC3339), EventLogDropped, n)))
	}
}

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

// Stop writes what waits and ends.
func (w *BoundedWriter) Stop(context.Context) error {
	w.cancel()
	w.done.Wait()
	return nil
}

// StdLogger returns a standard logger whose lines are events of l, for
// libraries that want one.
func StdLogger(l *Logger) *stdlog.Logger { return stdlog.New(lineWriter{l}, "", 0) }

type lineWriter struct{ log *Logger }

// Write logs one line.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Warn(EventServer, F("cause", string(p)))
	return len(p), nil
}
