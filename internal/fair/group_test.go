package fair_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"garnethoist.org/garnethoist/internal/fair"
)

// admissionChance returns the chance with which a prompt is admitted in an overload in which the
// largest tenth rarely fits. favor is that of the prompt's size.
func admissionChance(size fair.Size, favor float64) float64 {
	const (
		usual = 0.15 // of prompts that are not favored
		fits  = 0.25 // share of the usual chance at which the largest prompts fit if they are not favored
	)
	if size.Prompt != fair.LargestTenth {
		return usual * (1 + 0.3*min(favor, 0))
	}
	return usual * (fits + (1-fits)*max(favor, 0))
}

// Guards against the largest prompts being admitted less than half as often as all during a day of
// overload, because each of many VMs has to count enough of its own requests before it favors them.
func TestLargePromptsAreFavoredByManyVMs(t *testing.T) {
	const (
		perS    = 440 // prompts of all VMs together
		seconds = 40
		// reportedEach is the time between two reports.
		reportedEach = 50 * time.Millisecond
		// lowestShare is the users' limit, of the share of all prompts.
		lowestShare = 0.5
		// sharedPerS is the most that a VM may be sent per second, however many VMs there are.
		sharedPerS = 64
	)
	for _, vms := range []int{8, 83, 166, 332} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			group := make([]*fair.Sizes, vms)
			for i := range group {
				group[i] = &fair.Sizes{}
				group[i].SetGroupSize(func() int { return vms })
			}
			now := time.Unix(0, 0)
			var asked, admitted [3]float64
			shared := 0
			for end, nextReport := now.Add(seconds*time.Second), now; now.Before(end); now = now.Add(time.Second / perS) {
				s := group[r.IntN(vms)]
				size := s.Classify("r", int(1000*r.ExpFloat64()), 10)
				sent := r.Float64() < admissionChance(size, s.Favor("r", size))
				s.Count("r", size, true, sent, now)
				if sent {
					s.End("r", size, true, true, now)
				}
				asked[size.Prompt]++
				if sent {
					admitted[size.Prompt]++
				}
				if now.Before(nextReport) {
					continue
				}
				nextReport = now.Add(reportedEach)
				shared += exchange(group)
			}
			all := (admitted[0] + admitted[1] + admitted[2]) / (asked[0] + asked[1] + asked[2])
			largest := admitted[fair.LargestTenth] / asked[fair.LargestTenth]
			if largest < lowestShare*all {
				t.Errorf("admitted share of the largest tenth is %.3f, of all %.3f", largest, all)
			}
			if shared > sharedPerS*seconds+vms {
				t.Errorf("%d admissions are shared in %d s", shared, seconds)
			}
		})
	}
}

// exchange passes the admissions of each VM to all others and returns their number.
func exchange(group []*fair.Sizes) int {
	total := 0
	for from, s := range group {
		shared := s.TakeOutcomes()
		total += len(shared)
		for to, other := range group {
			if to != from {
				other.ObserveOutcomes(shared)
			}
		}
	}
	return total
}
