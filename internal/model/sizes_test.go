package model

import (
	"fmt"
	"testing"
)

// Operators ran the system before engines slower than those it had been measured with, and
// the longest answers, and at times the longest prompts, were served less than half as often
// as their kind. Engines at 0.6 of their speed show why: an answer of 214 events must make
// one each 70 ms to end within its caller's 15 s. Alone an engine needs 53 ms (69 ms, where
// it is one of the slower ones), each stream beside adds 0.4 ms, and each token a millisecond
// that is read beside adds 1.1 ms. Answers were dealt to all engines alike, up to 0.6 of
// their slots whatever that meant for the longest one, so that events came each 88 ms:
//
//	event=request_failed kind=client_gone ms=15000 last_event=171 max_output=12198
//
// Prompts lost for another reason: of the longest tenth 402 of 650 tries were refused at
// once, at queues at which shorter ones were sent, as a prompt's own reading was taken off
// the wait that it was allowed.
func TestLargeRequestsAreServedBySlowEngines(t *testing.T) {
	for _, c := range []struct {
		site, day      string
		speed, traffic float64
	}{
		{"nairobi", "quiet-1", 0.6, 0.6},
		{"nairobi", "scale-1", 0.6, 0.6},
		{"nairobi", "quiet-1", 0.6, 1},
		{"kochi", "quiet-1", 0.6, 1},
		{"kochi", "scale-1", 0.6, 1},
	} {
		t.Run(fmt.Sprintf("%s %s at speed %g with traffic %g", c.site, c.day, c.speed, c.traffic), func(t *testing.T) {
			t.Parallel()
			s, err := Load("../../examples/model/" + c.site + ".jsonc")
			if err != nil {
				t.Fatal(err)
			}
			s.Scale(c.speed, c.traffic)
			d, err := s.Day(c.day)
			if err != nil {
				t.Fatal(err)
			}
			r := Play(s, d, Draw(s, d, 1), 1, builders["today"])
			for i, class := range s.Classes {
				all := r.Classes[i].servedShare()
				for band, name := range map[int]string{Largest: "largest tenth", Large: "next fifth"} {
					if share := r.Sizes[i][band].servedShare(); 2*share < all {
						t.Errorf("%s: of the %s %.2f were served, of all %.2f", class.Name, name, share, all)
					}
				}
			}
		})
	}
}

// servedShare is the part of the requests that were answered in full, in time or late.
func (c Count) servedShare() float64 {
	return float64(c.InTime+c.Late) / float64(max(c.Offered, 1))
}
