package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
)

// event is one server-sent event of an engine. Its slices are valid until the next fill of the
// reader.
type event struct {
	// id is the engine's event id, or empty.
	id []byte
	// rest is the event's text without the id line, up to and including the final blank line.
	rest []byte
	// data is the value of the first data line.
	data []byte
	// done is set for the [DONE] event, which ends a complete stream.
	done bool
	// lineCount is the number of lines, and idLineBytes the length of the id line.
	lineCount   int
	idLineBytes int
}

// maxEventBytes bounds one event: a read buffer of this size does not grow any more.
const maxEventBytes = 1 << 20

// Names of the fields of server-sent events, and the data of the event that ends a complete
// stream.
const (
	prefixID   = "id:"
	prefixData = "data:"
	doneData   = "[DONE]"
)

// errEventTooLarge: an engine sent an event longer than maxEventBytes.
var errEventTooLarge = errors.New("relay: event too large")

// smallBufferBytes is the initial size of a stream's read buffer and the most that its write
// buffer holds before it grows. Most streams bring one token at a time; a stream that brings
// more at once gets large buffers from largeBuffers.
const smallBufferBytes = 4 << 10

// largeBuffers holds unused buffers of largeBufferBytes.
var largeBuffers = sync.Pool{New: func() any {
	b := make([]byte, largeBufferBytes)
	return &b
}}

// largeBufferBytes is enough for the data of one read plus the longer event ids that the relay
// writes.
const largeBufferBytes = readBufferBytes + readBufferBytes/4

// copyToLarge returns a large buffer that begins with the content of small, and the pointer to
// pass to releaseLarge when the buffer is no longer used.
func copyToLarge(small []byte) (large []byte, pooled *[]byte) {
	pooled = largeBuffers.Get().(*[]byte)
	copy(*pooled, small)
	return *pooled, pooled
}

// releaseLarge returns a buffer of copyToLarge to the pool; nil is ignored.
func releaseLarge(pooled *[]byte) {
	if pooled != nil {
		largeBuffers.Put(pooled)
	}
}

// eventReader splits an engine's response into events, without copying them.
type eventReader struct {
	src io.Reader
	buf []byte
	// pooled is the buffer to return to the pool, or nil. buf may have outgrown it.
	pooled *[]byte
	// buf[start:end] has been read from src but not yet returned in an event.
	start, end int
}

// newEventReader returns a reader of the events in r.
func newEventReader(r io.Reader) *eventReader {
	return &eventReader{src: r, buf: make([]byte, smallBufferBytes)}
}

// release releases the buffer. The reader and its events must not be used afterwards.
func (r *eventReader) release() {
	releaseLarge(r.pooled)
	r.buf, r.pooled = nil, nil
}

// next returns the next event and blocks until it has been received. io.ErrUnexpectedEOF means
// that the stream ended without its [DONE] event.
func (r *eventReader) next() (event, error) {
	for {
		if ev, ok := r.nextBuffered(); ok {
			return ev, nil
		}
		if err := r.fill(); err != nil {
			return event{}, err
		}
	}
}

// nextBuffered returns the next event that has been received completely, or false if there is
// none. The event is valid until the next fill.
func (r *eventReader) nextBuffered() (event, bool) {
	var ev event
	for pos := r.start; ; {
		end := bytes.IndexByte(r.buf[pos:r.end], '\n')
		if end < 0 {
			return event{}, false
		}
		line := r.buf[pos : pos+end]
		pos += end + 1
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		if len(line) > 0 {
			ev.parseLine(line, r.buf[r.start:pos])
			continue
		}
		if ev.lineCount > 0 {
			ev.rest = r.buf[r.start+ev.idLineBytes : pos]
			r.start = pos
			return ev, true
		}
		r.start = pos
	}
}

// parseLine adds a line to the event and parses an id or data line. Only the first line is
// taken as the id, as engines write it first; a later id line remains part of the rest. upTo is
// the event's text up to and including the line.
func (ev *event) parseLine(line, upTo []byte) {
	ev.lineCount++
	switch {
	case ev.lineCount == 1 && string(line[:min(len(line), len(prefixID))]) == prefixID:
		ev.id = fieldValue(line, len(prefixID))
		ev.idLineBytes = len(upTo)
	case ev.data == nil && string(line[:min(len(line), len(prefixData))]) == prefixData:
		ev.data = fieldValue(line, len(prefixData))
		ev.done = string(ev.data) == doneData
	}
}

// fill reads more of the stream, which invalidates the events returned so far. It returns
// io.ErrUnexpectedEOF at the end of the stream and errEventTooLarge if an event does not fit in
// maxEventBytes.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return errEventTooLarge
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if r.end == len(r.buf) && r.pooled == nil {
		r.buf, r.pooled = copyToLarge(r.buf)
	}
	switch {
	case n > 0:
		return nil
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// fieldValue returns the value of a line: what follows the field name of the given length,
// without one leading space.
func fieldValue(line []byte, name int) []byte {
	value := line[name:]
	if len(value) > 0 && value[0] == ' ' {
		return value[1:]
	}
	return value
}

// eventWriter writes events to a caller. They are buffered until flush.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	// pooled is the buffer to return to the pool, or nil.
	pooled *[]byte
	// writeFailed is set once a write to the caller has failed.
	writeFailed bool
}

// newEventWriter returns a writer of events to w.
func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// callerGone reports whether a write to the caller has failed.
func (o *eventWriter) callerGone() bool { return o.writeFailed }

// writeHeader writes the response header, if that has not been done.
func (o *eventWriter) writeHeader(s *streamState) {
	if s.started {
		return
	}
	s.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

// writeEvent buffers one event of an engine, with an id of the form of EventID. Events that the
// caller already has are dropped. A gap in the engine's event numbers is a recoverable error, as
// the caller would otherwise get an incomplete response.
func (o *eventWriter) writeEvent(s *streamState, ev event) error {
	stream, n, ok := parseEngineEventID(ev.id)
	if !ok {
		// Without event numbers the stream can be relayed but not resumed.
		s.replayable = false
		o.writeHeader(s)
		o.buf = append(o.buf, ev.rest...)
		return nil
	}
	if n <= s.lastEvent && string(stream) == s.stream {
		return nil
	}
	if n != s.lastEvent+1 {
		return recoverable(errors.Errorf("event %d follows event %d", n, s.lastEvent))
	}
	if s.stream == "" {
		s.stream = string(stream)
	}
	s.lastEvent = n
	if s.skip > 0 {
		s.skip--
		return nil
	}
	s.recordText(ev.data)
	o.writeHeader(s)
	o.reserve(len(ev.id) + len(ev.rest))
	o.buf = append(o.buf, "id: "...)
	o.buf = append(o.buf, s.engine...)
	o.buf = append(o.buf, '/')
	o.buf = append(o.buf, ev.id...)
	o.buf = append(o.buf, ':')
	if s.base == 0 {
		o.buf = append(o.buf, "0\n"...)
	} else {
		o.buf = strconv.AppendInt(o.buf, int64(s.base), 10)
		o.buf = append(o.buf, '\n')
	}
	o.buf = append(o.buf, s.withOriginalChunkID(ev.rest)...)
	return nil
}

// reserve prepares the buffer for n more bytes. It switches to a large buffer once the unsent
// events exceed smallBufferBytes.
func (o *eventWriter) reserve(n int) {
	if o.pooled != nil || len(o.buf)+n <= smallBufferBytes {
		return
	}
	used := len(o.buf)
	o.buf, o.pooled = copyToLarge(o.buf)
	o.buf = o.buf[:used]
}

// release releases the buffer. The writer must not be used afterwards.
func (o *eventWriter) release() {
	releaseLarge(o.pooled)
	o.buf, o.pooled = nil, nil
}

// flush sends the buffered events to the caller. It returns errCallerGone if that fails.
func (o *eventWriter) flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	_, err := o.w.Write(o.buf)
	if err == nil {
		err = o.control.Flush()
	}
	o.buf = o.buf[:0]
	if err != nil {
		o.writeFailed = true
		return errCallerGone
	}
	return nil
}

// finish ends a complete stream with the [DONE] event.
func (o *eventWriter) finish(s *streamState) error {
	o.writeHeader(s)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	return o.flush()
}

// finishWithLength ends a stream that has reached its token limit and lost its engine before
// the last chunk: it writes that chunk with the finish reason "length".
func (o *eventWriter) finishWithLength(s *streamState) error {
	chunk := finishChunk{ID: string(s.chunkID), Object: "chat.completion.chunk", Choices: []finishChoice{{FinishReason: "length"}}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode last chunk")
	}
	o.appendData(data)
	return o.finish(s)
}

// finishChunk is a chat completion chunk without content, which gives the finish reason.
type finishChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Choices []finishChoice `json:"choices"`
}

// finishChoice is the choice in a finishChunk.
type finishChoice struct {
	Index        int      `json:"index"`
	Delta        struct{} `json:"delta"`
	FinishReason string   `json:"finish_reason"`
}

// writeError sends e to the caller as the last event of an incomplete stream. No [DONE] event
// follows it.
func (o *eventWriter) writeError(e *errkind.Error) {
	o.appendData(errkind.Body(e))
	// The write fails only if the caller has closed the connection; then nobody needs the error.
	_ = o.flush()
}

// appendData buffers an event that has the given data and no id.
func (o *eventWriter) appendData(payload []byte) {
	o.buf = append(o.buf, "data: "...)
	o.buf = append(o.buf, payload...)
	o.buf = append(o.buf, "\n\n"...)
}

// Fields of the chunks of a chat completion, as they appear in JSON without spaces.
var (
	contentField     = []byte(`"content":"`)
	chunkIDField     = []byte(`"id":"`)
	toolCallsField   = []byte(`"tool_calls"`)
	finishReasonNull = []byte(`"finish_reason":null`)
)

// recordText adds the content of a chunk to the text with which another engine can continue the
// stream. If the content cannot be determined or the text exceeds maxReplayBytes, the stream is
// no longer replayable.
func (s *streamState) recordText(data []byte) {
	if !s.replayable {
		s.recordChunkID(data)
		return
	}
	if len(s.text) > maxReplayBytes {
		s.replayable, s.text = false, nil
		return
	}
	// The chunks of a stream usually differ only from the content on, so the content is at the
	// same offset as in the last chunk.
	if at := s.contentOffset; at > 0 && at < len(data) && bytes.HasPrefix(data[at:], contentField) {
		s.text = append(s.text, untilClosingQuote(data[at+len(contentField):])...)
		return
	}
	s.recordOtherChunk(data)
}

// recordOtherChunk does the same for a chunk that has no content at the offset of the last one.
func (s *streamState) recordOtherChunk(data []byte) {
	s.recordChunkID(data)
	if bytes.Contains(data, toolCallsField) {
		s.replayable, s.text = false, nil
		return
	}
	at := bytes.Index(data, contentField)
	if at < 0 {
		// The chunk may carry tokens in a form that is not known here, so the recorded text
		// would be incomplete.
		if bytes.Contains(data, finishReasonNull) && s.lastEvent > 1 {
			s.replayable, s.text = false, nil
		}
		return
	}
	s.contentOffset = at
	s.text = append(s.text, untilClosingQuote(data[at+len(contentField):])...)
}

// recordChunkID records the completion id of the first chunk.
func (s *streamState) recordChunkID(data []byte) {
	if s.chunkID == nil {
		s.chunkID = append([]byte{}, jsonStringAfter(data, chunkIDField)...)
	}
}

// withOriginalChunkID replaces the completion id in the text of an event by that of the first
// chunk if a new generation has taken over the stream. Client libraries check that the id stays
// the same.
func (s *streamState) withOriginalChunkID(rest []byte) []byte {
	if !s.restarted {
		return rest
	}
	id := jsonStringAfter(rest, chunkIDField)
	if id == nil || bytes.Equal(id, s.chunkID) {
		return rest
	}
	return bytes.Replace(rest, id, s.chunkID, 1)
}

// jsonStringAfter returns the raw content of the JSON string that follows the first occurrence
// of field, or nil if there is none. field includes the opening quote.
func jsonStringAfter(data, field []byte) []byte {
	i := bytes.Index(data, field)
	if i < 0 {
		return nil
	}
	return untilClosingQuote(data[i+len(field):])
}

// untilClosingQuote returns the raw content of the JSON string whose opening quote precedes s,
// or nil if it has no closing quote.
func untilClosingQuote(s []byte) []byte {
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
