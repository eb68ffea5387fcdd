package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
)

const (
	// streamBuffer is the read buffer size for a stream, in bytes.
	streamBuffer = 8 << 10
	// maxEvent is the maximum size of an event, in bytes.
	maxEvent = 1 << 20
	// maxEventEnd is the size in bytes of the longest sequence that ends an event.
	maxEventEnd = len("\r\n\r\n")
)

// errEventTooLarge means that an event is larger than maxEvent.
var errEventTooLarge = errors.New("gateway: event too large")

// stream relays the events of one answer to the caller. If a target's response is cut off, another
// target continues after the last event.
type stream struct {
	x *exchange
	// target is the current target, and ticket counts the request as work at it.
	target *fleet.Target
	ticket *place.Ticket
	// headerSent is set once the response header went to the caller.
	headerSent bool
	// partial holds the received part of an incomplete event. release gives back the memory that is
	// reserved for a large one, or is nil.
	partial []byte
	release func()
	// events counts the events of the current target.
	events int
	// pastBlameWindow is set once the current target has run the request for longer than
	// quarantine.BlameWindow.
	pastBlameWindow bool
	// firstEventAt is when the first event of the current target came.
	firstEventAt time.Time
	// lastWriteAt is when events of any target were last written to the caller.
	lastWriteAt time.Time
}

// relay copies the complete events of a target's response to the caller as they arrive. An event
// that is cut off is dropped; a resumed stream sends it again.
func (s *stream) relay(ctx context.Context, resp *httpsend.Response) error {
	s.events, s.firstEventAt, s.pastBlameWindow = 0, time.Time{}, false
	defer func() {
		s.partial = nil
		s.releaseMemory()
	}()
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if merr := s.reserveMemory(ctx, len(s.partial)+n); merr != nil {
				return merr
			}
			// The blank line that ends an event may be split between two reads.
			scanned := max(len(s.partial)-maxEventEnd, 0)
			s.partial = append(s.partial, buf[:n]...)
			if werr := s.forward(resp, scanned, errors.Is(err, io.EOF)); werr != nil {
				return werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finish(resp)
		case err != nil:
			return err
		case len(s.partial) > maxEvent:
			return errEventTooLarge
		}
	}
}

// reserveMemory makes sure that an incomplete event of the given size may be held.
func (s *stream) reserveMemory(ctx context.Context, size int) error {
	if size <= body.SmallBytes || s.release != nil {
		return nil
	}
	var err error
	s.release, err = s.x.g.bodies.Reserve(ctx, maxEvent)
	return err
}

// releaseMemory gives back what reserveMemory has reserved, and the buffer that was grown.
func (s *stream) releaseMemory() {
	if s.release == nil {
		return
	}
	s.release()
	s.release = nil
	s.partial = slices.Clone(s.partial)
}

// forward writes the complete events in s.partial to the caller and keeps the rest. No event ends in the
// first scanned bytes. It flushes the events unless eof says that the response has ended, because the server
// then flushes the rest of the response itself.
func (s *stream) forward(resp *httpsend.Response, scanned int, eof bool) error {
	complete := completeEventsLen(s.partial[scanned:])
	if complete == 0 {
		return nil
	}
	complete += scanned
	s.writeHeader(resp)
	if s.events == 0 {
		s.x.noteVersion(s.target)
	}
	if id, ok := lastEventID(s.partial[:complete]); ok {
		s.x.lastEventID = id
	}
	s.noteEvents(countEvents(s.partial[:complete]), clock.Now())
	if err := s.write(s.partial[:complete]); err != nil {
		return err
	}
	s.partial = append(s.partial[:0], s.partial[complete:]...)
	if len(s.partial) <= body.SmallBytes {
		s.releaseMemory()
	}
	if eof {
		return nil
	}
	return s.flush()
}

// noteEvents records that n events are being written to the caller at time now.
func (s *stream) noteEvents(n int, now time.Time) {
	if !s.lastWriteAt.IsZero() {
		s.x.longestGap = max(s.x.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
	if s.events == 0 {
		s.firstEventAt = now
		s.x.g.usage.Ran(s.x.accountName(), now)
	}
	s.events += n
	if !s.pastBlameWindow && s.ranFor(now) > quarantine.BlameWindow {
		s.pastBlameWindow = true
		s.x.noteServed(s.target)
	}
	s.ticket.AddEvents(n, now)
}

// ranFor returns how long the current target has run the request, counted from its first event.
func (s *stream) ranFor(now time.Time) time.Duration {
	if s.events == 0 {
		return 0
	}
	return now.Sub(s.firstEventAt)
}

// eventInterval returns the mean time between the events of the current target, or 0 if there are
// fewer than two.
func (s *stream) eventInterval() time.Duration {
	if s.events < 2 {
		return 0
	}
	return s.lastWriteAt.Sub(s.firstEventAt) / time.Duration(s.events-1)
}

// finish completes the caller's response. Bytes after the last complete event are part of the body,
// unless the body ended with the target's connection: then they are the beginning of an event that was
// cut off.
func (s *stream) finish(resp *httpsend.Response) error {
	if isTruncated(resp, s.partial) {
		s.x.trailingBytes = len(s.partial)
		return resp.Truncated()
	}
	if err := s.x.checkComplete(s.target, resp); err != nil {
		return err
	}
	s.writeHeader(resp)
	if len(s.partial) > 0 {
		s.x.trailingBytes = len(s.partial)
		if err := s.write(s.partial); err != nil {
			return err
		}
	}
	s.x.status = resp.Status
	return nil
}

// writeHeader sends the header of the first target's response, once.
func (s *stream) writeHeader(resp *httpsend.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.x.responseStarted = true
	s.x.firstByteAt = clock.Now()
	copyHeader(s.x.w.Header(), s.x.g.proto.CallerHeader(resp.Header))
	s.x.writeHeader(resp.Status)
}

// write sends p to the caller. Its error is a ClientGone error.
func (s *stream) write(p []byte) error {
	if s.release != nil {
		defer s.x.conn.conns.beginWrite(s.x.conn)()
	}
	if _, err := s.x.w.Write(p); err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

// flush sends buffered events to the caller. Its error is a ClientGone error.
func (s *stream) flush() error {
	err := http.NewResponseController(s.x.w).Flush()
	if err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

// isTruncated reports whether a response whose body has ended, with the given bytes at its end, was cut
// off inside an event.
func isTruncated(resp *httpsend.Response, end []byte) bool {
	return resp.Framing == httpsend.FramedByConn && holdsEvents(resp) && completeEventsLen(end) < len(end)
}

// holdsEvents reports whether the body of a response to a request on a streaming route is a series of
// events, which it is unless the response states another type.
func holdsEvents(resp *httpsend.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// completeEventsLen returns the length of the complete events at the start of p. An event ends with
// a blank line.
func completeEventsLen(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// countEvents returns the number of complete events in p.
func countEvents(p []byte) int {
	return bytes.Count(p, []byte("\n\n")) + bytes.Count(p, []byte("\r\n\r\n"))
}

// lastEventID returns the id of the last event in p that has one.
func lastEventID(p []byte) (string, bool) {
	i := len(p)
	for i > 0 {
		i = bytes.LastIndex(p[:i], []byte("id:"))
		if i < 0 {
			return "", false
		}
		if i == 0 || p[i-1] == '\n' {
			line, _, _ := bytes.Cut(p[i+3:], []byte("\n"))
			return string(bytes.TrimSpace(line)), true
		}
	}
	return "", false
}
