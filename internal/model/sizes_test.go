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
			checkSizes(t, c.site, c.day, c.speed, c.traffic, 1)
		})
	}
}

// Long prompts were refused at waits at which shorter ones were sent, for as long as more came
// than the engines read.
func TestLargeRequestsAreServedInOverload(t *testing.T) {
	for _, site := range []string{"nairobi", "kochi"} {
		for _, day := range []string{"quiet-1", "scale-1"} {
			for _, traffic := range []float64{1.6, 2.2} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("%s %s with traffic %g, seed %d", site, day, traffic, seed+1), func(t *testing.T) {
						t.Parallel()
						checkSizes(t, site, day, 1, traffic, seed+1)
					})
				}
			}
		}
	}
}

// checkSizes plays a day and fails where large requests of a class were served less than half
// as often as all of it.
func checkSizes(t *testing.T, site, day string, speed, traffic float64, seed uint64) {
	t.Helper()
	s, err := Load("../../examples/model/" + site + ".jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s.Scale(speed, traffic)
	d, err := s.Day(day)
	if err != nil {
		t.Fatal(err)
	}
	r := Play(s, d, Draw(s, d, seed), seed, builders["today"])
	for i, class := range s.Classes {
		all := r.Classes[i].servedShare()
		for band, name := range map[int]string{Largest: "largest tenth", Large: "next fifth"} {
			if share := r.Sizes[i][band].servedShare(); 2*share < all {
				t.Errorf("%s: of the %s %.2f were served, of all %.2f", class.Name, name, share, all)
			}
		}
	}
}

// servedShare is the part of the requests that were answered in full, in time or late.
func (c Count) servedShare() float64 {
	return float64(c.InTime+c.Late) / float64(max(c.Offered, 1))
}
