package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
)

const (
	// streamBuffer is the size of one read of a stream.
	streamBuffer = 8 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// stream relays the events of one answer, from one target or, after it broke
// off, from another that goes on behind the last event.
type stream struct {
	x *exchange
	// ticket is the request at its present target.
	ticket *place.Ticket
	// relaying is set once the caller has the head of the answer.
	relaying bool
	// partial is an event that has not ended yet.
	partial []byte
	// events counts those of the present target, firstAt is when its first one came
	// and wroteAt when the caller was last written events.
	events int
	// sound is set once the present target has run the request beyond its onset.
	sound   bool
	firstAt time.Time
	wroteAt time.Time
}

// relay copies whole events to the caller as they arrive. An event that breaks
// off is dropped: it comes again if the stream is resumed.
func (s *stream) relay(resp *httpsend.Response) error {
	s.partial = s.partial[:0]
	s.events, s.firstAt, s.sound = 0, time.Time{}, false
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			s.partial = append(s.partial, buf[:n]...)
			if werr := s.forward(resp, errors.Is(err, io.EOF)); werr != nil {
				return werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.end(resp)
		case err != nil:
			return err
		case len(s.partial) > maxEvent:
			return errkind.New(errkind.TargetFailed, "an event is larger than %d bytes", maxEvent)
		}
	}
}

// forward writes the events that are complete.
func (s *stream) forward(resp *httpsend.Response, last bool) error {
	whole := eventsEnd(s.partial)
	if whole == 0 {
		return nil
	}
	s.head(resp)
	if id, ok := lastEventID(s.partial[:whole]); ok {
		s.x.lastEvent = id
	}
	s.noteEvents(countEvents(s.partial[:whole]), clock.Now())
	if err := s.write(s.partial[:whole]); err != nil {
		return err
	}
	s.partial = append(s.partial[:0], s.partial[whole:]...)
	if last {
		return nil
	}
	return s.flush()
}

// noteEvents takes in that n events go to the caller now.
func (s *stream) noteEvents(n int, now time.Time) {
	if !s.wroteAt.IsZero() {
		s.x.longestGap = max(s.x.longestGap, now.Sub(s.wroteAt))
	}
	s.wroteAt = now
	if s.events == 0 {
		s.firstAt = now
		s.x.g.usage.Ran(s.x.accountName(), now)
	}
	s.events += n
	if !s.sound && s.ranFor(now) > quarantine.Onset {
		s.sound = true
		s.x.served()
	}
	s.ticket.Events(n, now)
}

// ranFor is how long the present target has run the request: since its first event.
func (s *stream) ranFor(now time.Time) time.Duration {
	if s.events == 0 {
		return 0
	}
	return now.Sub(s.firstAt)
}

// pause is the mean time between the events of the present target.
func (s *stream) pause() time.Duration {
	if s.events < 2 {
		return 0
	}
	return s.wroteAt.Sub(s.firstAt) / time.Duration(s.events-1)
}

// end completes the answer. Bytes behind the last event belong to the body.
func (s *stream) end(resp *httpsend.Response) error {
	s.head(resp)
	if len(s.partial) > 0 {
		if err := s.write(s.partial); err != nil {
			return err
		}
	}
	s.x.status = resp.Status
	return nil
}

// head sends the first target's head once.
func (s *stream) head(resp *httpsend.Response) {
	if s.relaying {
		return
	}
	s.relaying = true
	s.x.began = true
	s.x.first = clock.Now()
	copyHeader(s.x.w.Header(), s.x.g.proto.Relayed(resp.Header))
	s.x.writeHead(resp.Status)
}

func (s *stream) write(p []byte) error {
	if _, err := s.x.w.Write(p); err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

func (s *stream) flush() error {
	err := http.NewResponseController(s.x.w).Flush()
	if err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

// eventsEnd returns the length of the complete events at the start of p. An
// event ends with a blank line.
func eventsEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// countEvents returns how many complete events p holds.
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
