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

// event is one server-sent event of an engine. Its slices are valid until the
// next event is read.
type event struct {
	// id is the engine's own id, or empty.
	id []byte
	// rest is the event's other lines with the blank line that ends it.
	rest []byte
	// data is the payload of the first data line.
	data []byte
	done bool
	// lines counts the lines, and idSize the bytes of the id line.
	lines  int
	idSize int
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

const (
	prefixID   = "id:"
	prefixData = "data:"
	doneData   = "[DONE]"
)

// errEventTooLarge: an engine sent an event above maxEventBytes.
var errEventTooLarge = errors.New("relay: event too large")

// Each stream needs a buffer to read and one to write. They begin small, as
// most streams bring a token at a time; one that brings more at once takes
// large ones from the pool.
const smallBufferBytes = 4 << 10

var largeBuffers = sync.Pool{New: func() any {
	b := make([]byte, largeBufferBytes)
	return &b
}}

// largeBufferBytes holds what one read can bring and the ids that are added.
const largeBufferBytes = readBufferBytes + readBufferBytes/4

// enlarge returns a large buffer that begins with the content of small, and
// what to give back to the pool once it is not used any more.
func enlarge(small []byte) (large []byte, pooled *[]byte) {
	pooled = largeBuffers.Get().(*[]byte)
	copy(*pooled, small)
	return *pooled, pooled
}

func giveBack(pooled *[]byte) {
	if pooled != nil {
		largeBuffers.Put(pooled)
	}
}

// eventReader splits an engine's answer into events, in place.
type eventReader struct {
	src io.Reader
	buf []byte
	// pooled is the buffer to give back; buf may have outgrown it.
	pooled *[]byte
	// buf[start:end] has been read and not yet been taken.
	start, end int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{src: r, buf: make([]byte, smallBufferBytes)}
}

func (r *eventReader) release() {
	giveBack(r.pooled)
	r.buf, r.pooled = nil, nil
}

// next reads one event, however long that takes. io.ErrUnexpectedEOF means
// that the stream ended without its [DONE] event.
func (r *eventReader) next() (event, error) {
	for {
		if ev, ok := r.take(); ok {
			return ev, nil
		}
		if err := r.fill(); err != nil {
			return event{}, err
		}
	}
}

// take returns the next event that has arrived whole, if there is one. It is
// valid until the next fill.
func (r *eventReader) take() (event, bool) {
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
			ev.addLine(line, r.buf[r.start:pos])
			continue
		}
		if ev.lines > 0 {
			ev.rest = r.buf[r.start+ev.idSize : pos]
			r.start = pos
			return ev, true
		}
		r.start = pos
	}
}

// addLine notes an id or data line. The id is the first line, as engines write
// it; an id elsewhere stays among the rest. upTo is the event so far, with
// this line.
func (ev *event) addLine(line, upTo []byte) {
	ev.lines++
	switch {
	case ev.lines == 1 && string(line[:min(len(line), len(prefixID))]) == prefixID:
		ev.id = trimField(line, len(prefixID))
		ev.idSize = len(upTo)
	case ev.data == nil && string(line[:min(len(line), len(prefixData))]) == prefixData:
		ev.data = trimField(line, len(prefixData))
		ev.done = string(ev.data) == doneData
	}
}

// fill reads more of the stream.
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
		r.buf, r.pooled = enlarge(r.buf)
	}
	switch {
	case n > 0:
		return nil
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// trimField returns a line's value: what follows the name and one space.
func trimField(line []byte, name int) []byte {
	value := line[name:]
	if len(value) > 0 && value[0] == ' ' {
		return value[1:]
	}
	return value
}

// eventWriter writes events to a caller. Events gather in buf until flush.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	// pooled is the large buffer to give back, if any.
	pooled *[]byte
	broken bool
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
		o.buf = append(o.buf, ev.rest...)
		return nil
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
	o.buf = append(o.buf, s.sameChunkID(ev.rest)...)
	return nil
}

// reserve makes room for an event, in a large buffer once a small one does not
// hold what comes at once.
func (o *eventWriter) reserve(n int) {
	if o.pooled != nil || len(o.buf)+n <= smallBufferBytes {
		return
	}
	used := len(o.buf)
	o.buf, o.pooled = enlarge(o.buf)
	o.buf = o.buf[:used]
}

// release gives up the buffer.
func (o *eventWriter) release() {
	giveBack(o.pooled)
	o.buf, o.pooled = nil, nil
}

// flush sends what has gathered.
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
		o.broken = true
		return errCallerGone
	}
	return nil
}

// done ends a complete stream.
func (o *eventWriter) done(s *streamState) error {
	o.start(s)
	o.buf = append(o.buf, "data: [DONE]\n\n"...)
	return o.flush()
}

// finishLength ends a stream of which only the end was lost.
func (o *eventWriter) finishLength(s *streamState) error {
	chunk := chunkEnd{ID: string(s.chunkID), Object: "chat.completion.chunk", Choices: []choiceEnd{{FinishReason: "length"}}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode last chunk")
	}
	o.data(data)
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
	o.data(errkind.Body(e))
	// The caller may be gone; there is no one else to tell.
	_ = o.flush()
}

// data adds an event without an id.
func (o *eventWriter) data(payload []byte) {
	o.buf = append(o.buf, "data: "...)
	o.buf = append(o.buf, payload...)
	o.buf = append(o.buf, "\n\n"...)
}

var (
	contentField = []byte(`"content":"`)
	chunkIDField = []byte(`"id":"`)
	toolField    = []byte(`"tool_calls"`)
	finishNull   = []byte(`"finish_reason":null`)
)

// remember keeps the token's text for going on elsewhere.
func (s *streamState) remember(data []byte) {
	if !s.replayable {
		s.noteChunkID(data)
		return
	}
	if len(s.text) > maxReplayBytes {
		s.replayable, s.text = false, nil
		return
	}
	// Chunks of one stream are alike up to the content.
	if at := s.contentAt; at > 0 && at < len(data) && bytes.HasPrefix(data[at:], contentField) {
		s.text = append(s.text, untilQuote(data[at+len(contentField):])...)
		return
	}
	s.rememberOther(data)
}

// rememberOther takes in a chunk that is not like the last one.
func (s *streamState) rememberOther(data []byte) {
	s.noteChunkID(data)
	if bytes.Contains(data, toolField) {
		s.replayable, s.text = false, nil
		return
	}
	at := bytes.Index(data, contentField)
	if at < 0 {
		// A chunk of a shape not known here: its tokens cannot be kept.
		if bytes.Contains(data, finishNull) && s.event > 1 {
			s.replayable, s.text = false, nil
		}
		return
	}
	s.contentAt = at
	s.text = append(s.text, untilQuote(data[at+len(contentField):])...)
}

func (s *streamState) noteChunkID(data []byte) {
	if s.chunkID == nil {
		s.chunkID = append([]byte{}, jsonString(data, chunkIDField)...)
	}
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
	return untilQuote(data[i+len(field):])
}

// untilQuote returns the raw JSON string that s begins with, or nil when it
// does not end.
func untilQuote(s []byte) []byte {
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
