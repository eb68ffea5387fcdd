package fair_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fair"
)

// A request is classified by its size among the requests of its own route only.
func TestSizesAreComparedWithinTheirRoute(t *testing.T) {
	is := is.New(t)
	s := &fair.Sizes{}
	for n := range 256 {
		s.Classify("long", 1000+n, 10)
		s.Classify("short", 1+n%100, 10)
	}
	is.Equal(s.Classify("long", 1250, 5).Prompt, fair.LargestTenth)
	is.Equal(s.Classify("long", 1200, 5).Prompt, fair.NextFifth)
	rest := s.Classify("long", 1100, 5)
	is.Equal(rest.Prompt, fair.Rest)
	is.Equal(rest.Answer, fair.Rest)
	largest := s.Classify("short", 99, 20)
	is.Equal(largest.Prompt, fair.LargestTenth)
	is.Equal(largest.Answer, fair.LargestTenth)
}

// While a route has few recent requests to compare with, most requests are still classified as
// Rest.
func TestFirstRequestsOfARouteAreNotAllClassifiedAsLarge(t *testing.T) {
	is := is.New(t)
	s := &fair.Sizes{}
	count := map[fair.Band]int{}
	for n := range 256 {
		count[s.Classify("r", 1+n*37%101, 10).Prompt]++
	}
	is.True(count[fair.LargestTenth] < 50)
	is.True(count[fair.Rest] > 128)
}

// countRequests classifies and counts requests of random sizes. Those with a prompt in LargestTenth
// are admitted with the probability largest, and the other ones with the probability others.
func countRequests(s *fair.Sizes, requests int, largest, others float64) {
	r := rand.New(rand.NewPCG(1, 1))
	for range requests {
		size := s.Classify("r", r.IntN(1000), r.IntN(1000))
		probability := others
		if size.Prompt == fair.LargestTenth {
			probability = largest
		}
		s.Count("r", size, true, r.Float64() < probability, time.Time{})
	}
}

// The largest prompts are favored to the degree to which they are admitted less often than others,
// and only in their own route.
func TestSizesAdmittedLessOftenAreFavored(t *testing.T) {
	for _, c := range []struct {
		name            string
		largest, others float64
		most, least     float64
	}{
		{"all are admitted", 1, 1, 0, 0},
		{"all are admitted equally often", 0.5, 0.5, 0.2, 0},
		{"the largest are admitted half as often", 0.2, 0.5, 1, 0.7},
		{"the largest are never admitted", 0, 0.5, 1, 1},
		{"the largest are admitted more often", 0.9, 0.5, 0, 0},
		{"none are admitted", 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &fair.Sizes{}
			countRequests(s, 4000, c.largest, c.others)
			favor := s.Favor("r", fair.Size{Prompt: fair.LargestTenth})
			is.True(favor <= c.most && favor >= c.least)
			is.Equal(s.Favor("other", fair.Size{Prompt: fair.LargestTenth}), 0.0)
		})
	}
}

// A caller that is refused at first and then admitted counts as one request that was admitted, and
// not as two requests of which one was admitted.
func TestCallersThatComeBackCountOnce(t *testing.T) {
	is := is.New(t)
	s := &fair.Sizes{}
	for n := range 4000 {
		size := s.Classify("r", n*7919%1000, 10)
		if size.Prompt != fair.LargestTenth {
			s.Count("r", size, true, true, time.Time{})
			continue
		}
		s.Count("r", size, true, false, time.Time{})
		s.Count("r", size, false, true, time.Time{})
	}
	is.Equal(s.Favor("r", fair.Size{Prompt: fair.LargestTenth}), 0.0)
}

// A tenth that stays a little behind for long is favored fully, and sizes that are admitted more often
// yield to it. Favoring in proportion to the shortfall left the largest tenth at 0.7 of all.
func TestLastingShortfallIsFavoredFully(t *testing.T) {
	is := is.New(t)
	s := &fair.Sizes{}
	countRequests(s, 4000, 0.3, 0.5)
	is.True(s.Favor("r", fair.Size{Prompt: fair.LargestTenth, PromptTenth: 0}) > 0.7)
	is.True(s.Favor("r", fair.Size{Prompt: fair.Rest, PromptTenth: 8}) < -0.5)
}

// Sizes that are admitted more often than others yield to nobody while no size is owed anything.
func TestNobodyYieldsWhileAllAreAdmitted(t *testing.T) {
	is := is.New(t)
	s := &fair.Sizes{}
	countRequests(s, 4000, 1, 1)
	for tenth := range fair.Tenth(10) {
		is.Equal(s.Favor("r", fair.Size{PromptTenth: tenth}), 0.0)
	}
}

// Guards against requests that are admitted and then fail counting as served: the largest prompts, which fail
// more often, were then favored no more than others.
func TestSizesThatFailAfterAdmissionAreFavored(t *testing.T) {
	is := is.New(t)
	s, r := &fair.Sizes{}, rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		size := s.Classify("r", r.IntN(1000), 10)
		admitted := r.Float64() < 0.5
		s.Count("r", size, true, admitted, time.Time{})
		if admitted {
			s.End("r", size, true, size.Prompt != fair.LargestTenth || r.Float64() < 0.5, time.Time{})
		}
	}
	is.True(s.Favor("r", fair.Size{PromptTenth: 0}) > 0.7)
	is.True(s.Favor("r", fair.Size{PromptTenth: 5}) <= 0)
}
