package gateway

import (
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/place"
)

func TestSizesAreComparedWithinTheirRoute(t *testing.T) {
	is := is.New(t)
	s := &sizes{}
	for n := range sizeWindow {
		s.take("long", &place.Prompt{Tokens: 1000 + n, Output: 10})
		s.take("short", &place.Prompt{Tokens: 1 + n%100, Output: 10})
	}
	is.Equal(s.take("long", &place.Prompt{Tokens: 1250, Output: 5}).prompt, largestTenth)
	is.Equal(s.take("long", &place.Prompt{Tokens: 1200, Output: 5}).prompt, nextFifth)
	is.Equal(s.take("long", &place.Prompt{Tokens: 1100, Output: 5}), bands{prompt: theRest, answer: theRest})
	is.Equal(s.take("short", &place.Prompt{Tokens: 99, Output: 20}), bands{prompt: largestTenth, answer: largestTenth})
}

func TestFirstRequestsOfARouteAreNotAllTakenForLarge(t *testing.T) {
	is := is.New(t)
	s := &sizes{}
	count := map[band]int{}
	for n := range sizeWindow {
		count[s.take("r", &place.Prompt{Tokens: 1 + n*37%101, Output: 10}).prompt]++
	}
	is.True(count[largestTenth] < sizeWindow/5)
	is.True(count[theRest] > sizeWindow/2)
}
