package model

import (
	"fmt"
	"testing"
)

// Guards against large requests of a class being served less than half as often as the class on
// engines at 0.6 of their speed. Two faults led to this.
//
// Decoding: an answer of 214 events must produce one every 70 ms to end within its caller's 15 s.
// With a single stream an engine at 0.6 of its speed needs 53 ms (69 ms if it is one of the slower
// ones). Each concurrent stream adds 0.4 ms, and each token per millisecond that is prefilled
// concurrently adds 1.1 ms. Answers were spread evenly over all engines, up to 0.6 of their slots
// regardless of the longest one, so that events came every 88 ms:
//
//	event=request_failed kind=client_gone ms=15000 last_event=171 max_output=12198
//
// Admission: of the tenth with the longest prompts, 402 of 650 attempts were refused at once, at
// queues that shorter prompts were admitted to, since a prompt's own prefill time was deducted
// from its allowed wait.
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
			checkSizes(t, c.site, c.day, c.speed, c.traffic, 1, 1)
		})
	}
}

// Guards against the refusal of long prompts while shorter prompts with the same expected wait are
// admitted. This happened for as long as more prompts arrived than the engines could prefill.
func TestLargeRequestsAreServedInOverload(t *testing.T) {
	for _, site := range []string{"nairobi", "kochi"} {
		for _, day := range []string{"quiet-1", "scale-1"} {
			for _, traffic := range []float64{1.6, 2.2} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("%s %s with traffic %g, seed %d", site, day, traffic, seed+1), func(t *testing.T) {
						t.Parallel()
						checkSizes(t, site, day, 1, traffic, 1, seed+1)
					})
				}
			}
		}
	}
}

// Guards against prompts being served the less often the longer they are: while more arrived than the
// engines could prefill, the largest tenth was served 0.6 to 0.75 times as often as all.
func TestPromptsOfAllSizesAreServedInOverload(t *testing.T) {
	const lowestShare = 0.8 // of the share of all prompts
	for _, site := range []string{"nairobi", "kochi"} {
		for _, day := range []string{"quiet-1", "scale-1"} {
			for _, traffic := range []float64{1, 1.6} {
				t.Run(fmt.Sprintf("%s %s with traffic %g", site, day, traffic), func(t *testing.T) {
					t.Parallel()
					s, d := loadDay(t, site, day, 1, traffic)
					r := Play(s, d, GenerateRequests(s, d, 1), 1, builders["today"])
					prompts := s.classIndex("long-prompt")
					all := r.Classes[prompts].servedShare()
					for band, name := range map[int]string{Largest: "largest tenth", Large: "next fifth"} {
						if share := r.Sizes[prompts][band].servedShare(); share < lowestShare*all {
							t.Errorf("served share of the %s is %.2f, of all %.2f", name, share, all)
						}
					}
				})
			}
		}
	}
}

// Guards against any tenth of a class by size being served much less often than the class, in overload
// and on slow engines, while faults strike. Large prompts were refused behind a full queue of
// deferred ones while smaller ones were sent at once.
func TestEachTenthOfAClassIsServed(t *testing.T) {
	const lowestShare = 0.8 // of the share of the class
	for _, site := range []string{"nairobi", "kochi", "ljubljana"} {
		for _, c := range []struct {
			day            string
			speed, traffic float64
		}{{"quiet-1", 1, 1.6}, {"scale-2", 1, 3}, {"scale-2", 0.65, 1}, {"trouble-3", 0.5, 1}} {
			t.Run(fmt.Sprintf("%s %s at speed %g with traffic %g", site, c.day, c.speed, c.traffic), func(t *testing.T) {
				t.Parallel()
				s, d := loadDay(t, site, c.day, c.speed, c.traffic)
				r := Play(s, d, GenerateRequests(s, d, 1), 1, builders["today"])
				for i, class := range s.Classes {
					all := sumCounts(r.Tenths[i][:]).servedShare()
					for n, tenth := range r.Tenths[i] {
						if share := tenth.servedShare(); share < lowestShare*all {
							t.Errorf("%s: served share of tenth %d, from the largest, is %.2f, of all %.2f", class.Name, n+1, share, all)
						}
					}
				}
			})
		}
	}
}

// sumCounts returns the sum of the counts of served and offered requests.
func sumCounts(counts []Count) Count {
	var sum Count
	for _, c := range counts {
		sum.Offered += c.Offered
		sum.InTime += c.InTime
		sum.Late += c.Late
	}
	return sum
}

// loadDay returns a site and one of its days, with engines and traffic scaled.
func loadDay(t *testing.T, site, day string, speed, traffic float64) (*Site, *Day) {
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
	return s, d
}

// Guards against the loss of the longest answers where they need nearly all of their time: of 214
// events that take 66 ms each beside 28 others, and 71 ms beside the 36 that every engine took. They
// were cut at the timeout with 198 of 214 events, or refused while shorter answers, which slower
// engines could have made, took the seats at the only engines that were fast enough.
func TestLongAnswersAreServedNearTheirTimeout(t *testing.T) {
	for _, c := range []struct {
		site, day      string
		speed, traffic float64
	}{
		{"nairobi", "quiet-1", 0.7, 1},
		{"nairobi", "scale-1", 0.7, 0.8},
		{"nairobi", "scale-2", 0.7, 1},
		{"kochi", "scale-1", 0.65, 0.8},
		{"kochi", "scale-2", 0.65, 1},
		{"kochi", "quiet-1", 0.65, 1},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s %s at speed %g with traffic %g, seed %d", c.site, c.day, c.speed, c.traffic, seed+1), func(t *testing.T) {
				t.Parallel()
				checkSizes(t, c.site, c.day, c.speed, c.traffic, 0.92, seed+1)
			})
		}
	}
}

// Guards against prompts that are prefilled beside the longest answers while these end in time only
// just: alone within nine to ten tenths of their timeout. Nothing limited the prefills then, and the
// answers were cut with 170 to 190 of 211 events.
func TestPrefillsSpareLongAnswersNearTheirTimeout(t *testing.T) {
	const lowestShare = 0.8 // of the share of all answers
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s, d := loadDay(t, "kochi", "quiet-1", 0.65, 1)
			for i := range s.Classes {
				s.Classes[i].DeadlineMS *= 0.92
			}
			r := Play(s, d, GenerateRequests(s, d, seed), seed, builders["today"])
			answers := s.classIndex("long-answer")
			share, all := r.Sizes[answers][Largest].servedShare(), r.Classes[answers].servedShare()
			if share < lowestShare*all {
				t.Errorf("served share of the largest tenth is %.2f, of all %.2f", share, all)
			}
		})
	}
}

// Guards against the loss of the longest answers where many VMs place them: the more VMs there are, the
// fewer answers each of them has measured. In the same second the longest answer was expected to take
// 4 s at one VM and 105 s at another.
func TestLongAnswersAreServedByManyVMs(t *testing.T) {
	const lowestShare = 0.8 // of the share of all answers
	for _, c := range []struct {
		vms  int
		seed uint64
	}{{80, 1}, {80, 2}, {160, 1}} {
		t.Run(fmt.Sprintf("%d VMs, seed %d", c.vms, c.seed), func(t *testing.T) {
			t.Parallel()
			s, d := loadDay(t, "kochi", "quiet-1", 0.65, 1)
			multiplyVMs(s, c.vms)
			r := Play(s, d, GenerateRequests(s, d, c.seed), c.seed, builders["today"])
			answers := s.classIndex("long-answer")
			share, all := r.Sizes[answers][Largest].servedShare(), r.Classes[answers].servedShare()
			if share < lowestShare*all {
				t.Errorf("served share of the largest tenth is %.2f, of all %.2f", share, all)
			}
		})
	}
}

// multiplyVMs multiplies the VMs of each data centre, so that there are about total of them.
func multiplyVMs(s *Site, total int) {
	vms := 0
	for _, dc := range s.DataCentres {
		vms += dc.VMs
	}
	for i := range s.DataCentres {
		s.DataCentres[i].VMs *= total / vms
	}
}

// checkSizes simulates a day and fails if the large requests of a class are served less than half
// as often as the class. Callers wait timeoutShare times as long as the site's file says.
func checkSizes(t *testing.T, site, day string, speed, traffic, timeoutShare float64, seed uint64) {
	t.Helper()
	s, d := loadDay(t, site, day, speed, traffic)
	for i := range s.Classes {
		s.Classes[i].DeadlineMS *= timeoutShare
	}
	r := Play(s, d, GenerateRequests(s, d, seed), seed, builders["today"])
	for i, class := range s.Classes {
		all := r.Classes[i].servedShare()
		for band, name := range map[int]string{Largest: "largest tenth", Large: "next fifth"} {
			if share := r.Sizes[i][band].servedShare(); 2*share < all {
				t.Errorf("%s: served share of the %s is %.2f, of all %.2f", class.Name, name, share, all)
			}
		}
	}
}

// servedShare returns the fraction of the requests that were answered completely, in time or late.
func (c Count) servedShare() float64 {
	return float64(c.InTime+c.Late) / float64(max(c.Offered, 1))
}
