package gateway

import (
	"sync"

	"garnethoist.org/garnethoist/internal/place"
)

// band is where a request stands among those of its route by size.
type band string

// The bands of a route's requests.
const (
	largestTenth band = "largest_tenth"
	nextFifth    band = "next_fifth"
	theRest      band = "rest"
)

const (
	// sizeWindow is how many requests of a route sizes are compared with: enough for its
	// largest tenth to hold two dozen.
	sizeWindow = 256
	// tenth and third are the parts of the window that may be larger than a request of the
	// largest tenth, and of the fifth below it.
	tenth = sizeWindow / 10
	third = 3 * sizeWindow / 10
)

// sizes tells how large a request is among the last ones of its route, so that counters
// show whether large requests are served less often than others.
type sizes struct {
	mu      sync.Mutex
	prompts map[string]*sizeRing
	answers map[string]*sizeRing
}

// sizeRing holds the sizes of a route's last requests.
type sizeRing struct {
	last [sizeWindow]int
	// taken counts the sizes that were remembered.
	taken int
}

// take places a size among the last ones, and remembers it.
func (r *sizeRing) take(size int) band {
	known := min(r.taken, sizeWindow)
	larger := 0
	for _, other := range r.last[:known] {
		if other > size {
			larger++
		}
	}
	r.last[r.taken%sizeWindow] = size
	r.taken++
	switch {
	case larger < tenth*known/sizeWindow:
		return largestTenth
	case larger < third*known/sizeWindow:
		return nextFifth
	}
	return theRest
}

// bands is a request's place by its prompt and by the answer that its caller expects.
type bands struct {
	prompt band
	answer band
}

// take places a request among those of its route.
func (s *sizes) take(route string, q *place.Prompt) bands {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prompts == nil {
		s.prompts, s.answers = make(map[string]*sizeRing), make(map[string]*sizeRing)
	}
	return bands{prompt: ringOf(s.prompts, route).take(q.Tokens), answer: ringOf(s.answers, route).take(q.Output)}
}

func ringOf(rings map[string]*sizeRing, route string) *sizeRing {
	r := rings[route]
	if r == nil {
		r = &sizeRing{}
		rings[route] = r
	}
	return r
}
