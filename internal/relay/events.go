package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
)

// event is one server-sent event of an engine. Its slices are valid until the
// next event is read.
type event struct {
	// id is the engine's own id, or empty.
	id []byte
	// rest is the event's other lines with the blank line that ends it.
	rest []byte
	// data is the payload of the data line.
	data []byte
	done bool
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var (
	prefixID   = []byte("id:")
	prefixData = []byte("data:")
	doneData   = []byte("[DONE]")
)

// errEventTooLarge: an engine sent an event above maxEventBytes.
var errEventTooLarge = errors.New("relay: event too large")

// readers are pooled, as each stream needs one.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// eventReader splits an engine's answer into events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	in := readers.Get().(*bufio.Reader)
	in.Reset(r)
	return &eventReader{in: in}
}

func (r *eventReader) release() {
	r.in.Reset(nil)
	readers.Put(r.in)
}

// buffered reports whether more bytes have already arrived.
func (r *eventReader) buffered() bool { return r.in.Buffered() > 0 }

// next reads one event. io.ErrUnexpectedEOF means that the stream ended
// without its [DONE] event.
func (r *eventReader) next() (event, error) {
	var ev event
	r.buf = r.buf[:0]
	idEnd, dataStart, dataEnd := 0, -1, -1
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			return ev, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		switch {
		case len(line) == 0 && start == 0:
			r.buf = r.buf[:0]
			continue
		case len(line) == 0:
			ev.rest = r.buf[idEnd:]
			if dataStart >= 0 {
				ev.data = r.buf[dataStart:dataEnd]
				ev.done = bytes.Equal(ev.data, doneData)
			}
			if idEnd > 0 {
				ev.id = trimField(r.buf[:idEnd], prefixID)
			}
			return ev, nil
		case start == 0 && bytes.HasPrefix(line, prefixID):
			idEnd = len(r.buf)
		case bytes.HasPrefix(line, prefixData) && dataStart < 0:
			dataStart = start + len(prefixData)
			if dataStart < len(r.buf) && r.buf[dataStart] == ' ' {
				dataStart++
			}
			dataEnd = start + len(line)
		}
	}
}

func trimField(line, prefix []byte) []byte {
	return bytes.TrimSpace(line[len(prefix):])
}

func (r *eventReader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return errEventTooLarge
		}
		switch err {
		case nil:
			return nil
		case bufio.ErrBufferFull:
			continue
		case io.EOF:
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// eventWriter writes events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	broken  bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// gone reports whether writing to the caller has failed.
func (o *eventWriter) gone() bool { return o.broken }

// start sends the header before the first event.
func (o *eventWriter) start(s *streamState) {
	if s.started {
		return
	}
	s.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

// relay passes one event on under the caller's numbering. Events that the
// caller already has are dropped; a gap breaks the stream off before it does
// harm.
func (o *eventWriter) relay(s *streamState, ev event) error {
	stream, n, ok := parseEngineID(ev.id)
	if !ok {
		// Without numbers the stream can be relayed but not resumed.
		s.replayable = false
		o.start(s)
		return o.write(ev.rest)
	}
	if n <= s.event && string(stream) == s.stream {
		return nil
	}
	if n != s.event+1 {
		return broken(errors.Errorf("event %d follows event %d", n, s.event))
	}
	if s.stream == "" {
		s.stream = string(stream)
	}
	s.event = n
	if s.skip > 0 {
		s.skip--
		return nil
	}
	s.remember(ev.data)
	o.start(s)
	o.buf = append(o.buf[:0], "id: "...)
	o.buf = append(o.buf, s.engine...)
	o.buf = append(o.buf, '/')
	o.buf = append(o.buf, ev.id...)
	o.buf = append(o.buf, ':')
	o.buf = strconv.AppendInt(o.buf, int64(s.base), 10)
	o.buf = append(o.buf, '\n')
	o.buf = append(o.buf, s.sameChunkID(ev.rest)...)
	return o.write(o.buf)
}

func (o *eventWriter) write(p []byte) error {
	if _, err := o.w.Write(p); err != nil {
		o.broken = true
		return errCallerGone
	}
	return nil
}

func (o *eventWriter) flush() error {
	if err := o.control.Flush(); err != nil {
		o.broken = true
		return errCallerGone
	}
	return nil
}

// done ends a complete stream.
func (o *eventWriter) done(s *streamState) error {
	o.start(s)
	if err := o.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return o.flush()
}

// finishLength ends a stream of which only the end was lost.
func (o *eventWriter) finishLength(s *streamState) error {
	chunk := chunkEnd{ID: string(s.chunkID), Object: "chat.completion.chunk", Choices: []choiceEnd{{FinishReason: "length"}}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode last chunk")
	}
	if err := o.write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return o.done(s)
}

// chunkEnd is a chunk that carries only a finish reason.
type chunkEnd struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Choices []choiceEnd `json:"choices"`
}

type choiceEnd struct {
	Index        int      `json:"index"`
	Delta        struct{} `json:"delta"`
	FinishReason string   `json:"finish_reason"`
}

// fail tells the caller in the stream that the answer is not complete. There
// is no [DONE] after it.
func (o *eventWriter) fail(e *errkind.Error) {
	data := errkind.Body(e)
	// The caller may be gone; there is no one else to tell.
	_ = o.write([]byte("data: " + string(data) + "\n\n"))
	_ = o.flush()
}

var (
	contentField = []byte(`"content":"`)
	chunkIDField = []byte(`"id":"`)
	toolField    = []byte(`"tool_calls"`)
	finishNull   = []byte(`"finish_reason":null`)
)

// remember keeps the token's text for going on elsewhere.
func (s *streamState) remember(data []byte) {
	if s.chunkID == nil {
		s.chunkID = append([]byte{}, jsonString(data, chunkIDField)...)
	}
	if !s.replayable {
		return
	}
	if len(s.text) > maxReplayBytes || bytes.Contains(data, toolField) {
		s.replayable = false
		s.text = nil
		return
	}
	content := jsonString(data, contentField)
	if content == nil && bytes.Contains(data, finishNull) && s.event > 1 {
		// A chunk of a shape not known here: its tokens cannot be kept.
		s.replayable = false
		return
	}
	s.text = append(s.text, content...)
}

// sameChunkID keeps the completion id the same across engines, as clients
// check it.
func (s *streamState) sameChunkID(rest []byte) []byte {
	if !s.moved {
		return rest
	}
	id := jsonString(rest, chunkIDField)
	if id == nil || bytes.Equal(id, s.chunkID) {
		return rest
	}
	return bytes.Replace(rest, id, s.chunkID, 1)
}

// jsonString returns the raw content of the first JSON string behind field, or
// nil when there is none.
func jsonString(data, field []byte) []byte {
	i := bytes.Index(data, field)
	if i < 0 {
		return nil
	}
	s := data[i+len(field):]
	for j := 0; j < len(s); j++ {
		switch s[j] {
		case '\\':
			j++
		case '"':
			return s[:j]
		}
	}
	return nil
}
