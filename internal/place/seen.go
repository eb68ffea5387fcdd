package place

import "time"

// seen remembers which prompt part was sent to which target lately, as far as
// this VM has seen. Two generations bound its memory.
type seen struct {
	keepFor   time.Duration
	began     time.Time
	now, past map[seenKey]time.Time
}

type seenKey struct {
	part   uint64
	target string
}

func newSeen(keepFor time.Duration) *seen {
	return &seen{keepFor: keepFor, now: map[seenKey]time.Time{}, past: map[seenKey]time.Time{}}
}

func (s *seen) note(part uint64, target string, at time.Time) {
	if at.Sub(s.began) > s.keepFor {
		s.past, s.now = s.now, map[seenKey]time.Time{}
		s.began = at
	}
	s.now[seenKey{part, target}] = at
}

func (s *seen) has(part uint64, target string, at time.Time) bool {
	k := seenKey{part, target}
	last, ok := s.now[k]
	if !ok {
		last, ok = s.past[k]
	}
	return ok && at.Sub(last) <= s.keepFor
}
