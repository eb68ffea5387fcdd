package gateway

import (
	"time"

	"garnethoist.org/garnethoist/internal/retry"
)

// sends keeps count of the sends of one request. Each goes through begin, whatever path the
// request takes, so that no target is reached that neither the route's attempts nor the retry
// budget know of. One goroutine uses it.
type sends struct {
	// budget returns the service's retry budget as it is now, and clock is its time.
	budget func() *retry.Window
	clock  func() time.Duration
	// most is the route's attempts.
	most int

	// arrivals counts the targets that the request reached or is on its way to, but for the
	// first reading that was accepted.
	arrivals int
	// reads counts the readings that were accepted, or may have been.
	reads int
	// drawn counts the draws that were used, and held those that are yet to be.
	drawn int
	held  []*retry.Window
}

// sending is a send that is counted as on its way.
type sending struct {
	// reading says that the target only reads the prompt.
	reading bool
	// draw is where the send was drawn from; nil for a first one.
	draw *retry.Window
}

// begin counts a send that is about to be made, or returns false where it may not be: the
// attempts or the budget are used up. A prompt is read apart once: a further reading would
// be an arrival beside that of the run.
func (s *sends) begin(reading bool) (sending, bool) {
	if s.arrivals >= s.most || (reading && s.reads > 0) {
		return sending{}, false
	}
	sd := sending{reading: reading}
	if s.arrivals > 0 {
		if !s.reserve() {
			return sending{}, false
		}
		last := len(s.held) - 1
		sd.draw, s.held = s.held[last], s.held[:last]
		s.drawn++
	}
	s.arrivals++
	return sd, true
}

// reserve makes sure that a further send may be made: it draws on the budget, unless a draw is
// held already.
func (s *sends) reserve() bool {
	if s.arrivals >= s.most {
		return false
	}
	if len(s.held) > 0 {
		return true
	}
	b := s.budget()
	if !b.Retry(s.clock()) {
		return false
	}
	s.held = append(s.held, b)
	return true
}

// settle takes in how a send ended. One that reached no target, and the first reading that is
// accepted, are no arrivals.
func (s *sends) settle(sd sending, out outcome) {
	if sd.reading && out != sentNothing && out != refused {
		s.reads++
	}
	free := out == sentNothing || (sd.reading && out == answered)
	if !free {
		return
	}
	s.arrivals--
	if sd.draw != nil {
		s.drawn--
		s.held = append(s.held, sd.draw)
	}
}

// close gives back the draws that were not used.
func (s *sends) close() {
	for _, b := range s.held {
		b.Return(s.clock())
	}
	s.held = nil
}
