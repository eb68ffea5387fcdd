package live

import "garnethoist.org/garnethoist/platform/platformtest"

// minServing is the number of engines of its version that must serve for a resumed stream to count.
const minServing = 2

// streamState is how a stream begins and goes on over the attempts of its caller.
type streamState struct {
	// version is the software version of the first event's engine, or "" before it. mixed is set if later
	// events are of another one.
	version string
	mixed   bool
	// asked is set once a VM has answered an attempt to begin the stream.
	asked bool
	// resumed is set once a VM has answered an attempt to resume the stream while minServing engines of its
	// version served, and wentOn once such an attempt has brought events. refused counts such attempts that
	// were refused.
	resumed bool
	wentOn  bool
	refused int
}

// add takes in the response to an attempt. seen is the number of events that the caller had before, and
// maySucceed says whether minServing engines of the stream's version served.
func (s *streamState) add(response platformtest.LiveResult, seen int, maySucceed bool) {
	for _, version := range response.Versions {
		if s.version == "" {
			s.version = version
		}
		s.mixed = s.mixed || version != s.version
	}
	answered := response.Status != 0
	switch {
	case seen == 0:
		s.asked = s.asked || answered
	case answered && maySucceed:
		s.resumed = true
		s.wentOn = s.wentOn || response.Events > 0
		if isRefusal(response) {
			s.refused++
		}
	}
}

// StreamCounts counts streams of routes that allow them to be resumed.
type StreamCounts struct {
	// Asked counts the streams that callers asked for, and Began those of which they got an event.
	Asked, Began int
	// Resumed counts the streams that callers resumed while two engines of their version served, WentOn those
	// of which they then got events, and Refused the attempts to resume that were refused.
	Resumed, WentOn, Refused int
	// Mixed counts the streams with events of several software versions.
	Mixed int
}

// ShareThatGoesOn returns how often resumed streams go on, as a fraction of how often new ones begin.
func (c StreamCounts) ShareThatGoesOn() float64 {
	return float64(c.WentOn) * float64(c.Asked) / max(float64(c.Resumed)*float64(c.Began), 1)
}

// Streams returns the counts of the streams of a class, an index into Site.Classes.
func (r *Report) Streams(class int) StreamCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c StreamCounts
	if !r.site.Classes[class].Resumable {
		return c
	}
	for _, o := range r.outcomes[class] {
		c.add(o.stream)
	}
	return c
}

// add counts a stream.
func (c *StreamCounts) add(s streamState) {
	for n, is := range map[*int]bool{&c.Asked: s.asked, &c.Began: s.version != "", &c.Resumed: s.resumed, &c.WentOn: s.wentOn, &c.Mixed: s.mixed} {
		if is {
			*n++
		}
	}
	c.Refused += s.refused
}
