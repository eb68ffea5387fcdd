// Package fair measures which prompt sizes are admitted less often than others, so that admission
// can favor them.
//
// Load pattern: more work arrives than the targets can do, for longer than callers wait. Which
// requests are admitted then depends on their size: a short prompt fits into any gap, but a long
// one only at a target that is nearly idle, and there is none. Each VM counts the requests of its
// own callers only. They are a sample of all requests, so that VMs need not exchange their counts.
package fair

import "sync"

// Band is a range of sizes, relative to the sizes of the recent requests of the same route.
type Band int

// The bands of a route's requests, from the smallest sizes to the largest.
const (
	// Rest holds the smallest 70% of the requests.
	Rest Band = iota
	// NextFifth holds the 20% of the requests that are larger than Rest and smaller than
	// LargestTenth.
	NextFifth
	// LargestTenth holds the largest 10% of the requests.
	LargestTenth
	// numBands is the number of bands.
	numBands
)

// bandNames holds the names of the bands in logs and metrics.
var bandNames = [numBands]string{"rest", "next_fifth", "largest_tenth"}

// String returns the name of the band.
func (b Band) String() string { return bandNames[b] }

const (
	// sizeWindow is the number of recent requests of a route that a size is compared with.
	sizeWindow = 256
	// largestShare is the fraction of the recent requests that are larger than the smallest request
	// of LargestTenth.
	largestShare = 0.1
	upperShare   = 0.3 // fraction of the recent requests that are larger than the smallest of NextFifth
	// decayRequests is the number of calls of Count for a route over which the route's counts of
	// requests and admissions decay by a factor of e.
	decayRequests = 512
	// fullFavorRate and noFavorRate are admission rates of a band divided by the admission rate of
	// all requests of the route. At fullFavorRate or below, the band is favored fully; at
	// noFavorRate or above, it is not favored.
	fullFavorRate = 0.5
	noFavorRate   = 0.8 // relative admission rate at or above which a band is not favored
)

// recentSizes holds the sizes of the most recent requests of a route.
type recentSizes struct {
	// sizes is a ring buffer, and added the number of all sizes that were added to it so far.
	sizes [sizeWindow]int
	added int
}

// classify returns the band of a request of the given size among the recent sizes, and then adds
// the size to the recent ones.
func (r *recentSizes) classify(size int) Band {
	filled := min(r.added, sizeWindow)
	larger := 0
	for _, other := range r.sizes[:filled] {
		if other > size {
			larger++
		}
	}
	r.sizes[r.added%sizeWindow] = size
	r.added++
	switch {
	case larger < int(largestShare*float64(filled)):
		return LargestTenth
	case larger < int(upperShare*float64(filled)):
		return NextFifth
	}
	return Rest
}

// counts holds the number of requests and the number of those that were admitted, both with
// exponential decay.
type counts struct{ requests, admitted float64 }

// decay reduces the counts by as much as they decay with each call of Count.
func (c *counts) decay() {
	c.requests *= 1 - 1.0/decayRequests
	c.admitted *= 1 - 1.0/decayRequests
}

// admissionRate returns the fraction of the requests that were admitted, or 1 if there were no
// requests.
func (c *counts) admissionRate() float64 {
	if c.requests <= 0 {
		return 1
	}
	return min(c.admitted/c.requests, 1)
}

// Size holds the two bands of a request.
type Size struct {
	// Prompt is the band by the length of the prompt.
	Prompt Band
	// Answer is the band by the length of the answer that the caller expects.
	Answer Band
}

// route holds the recent sizes and the counts of the requests of one route.
type route struct {
	// prompts and answers hold the lengths of the prompts and of the expected answers, in tokens.
	prompts recentSizes
	answers recentSizes
	// byPrompt holds the counts of the requests by the band of their prompt.
	byPrompt [numBands]counts
}

// count decays the counts of all bands, and then adds requests and admissions to those of band b.
func (r *route) count(b Band, requests, admitted float64) {
	for i := range r.byPrompt {
		r.byPrompt[i].decay()
	}
	r.byPrompt[b].requests += requests
	r.byPrompt[b].admitted += admitted
}

// favor returns how much prompts of band b are to be favored, from 0 to 1. It is 0 if no request
// was admitted.
func (r *route) favor(b Band) float64 {
	var all counts
	for _, c := range r.byPrompt {
		all.requests += c.requests
		all.admitted += c.admitted
	}
	if all.admissionRate() == 0 {
		return 0
	}
	relativeRate := r.byPrompt[b].admissionRate() / all.admissionRate()
	return min(max((noFavorRate-relativeRate)/(noFavorRate-fullFavorRate), 0), 1)
}

// Sizes classifies requests by their size among the recent requests of their route, and measures
// how often requests of each band are admitted. The zero value is ready for use. It is safe for
// concurrent use.
type Sizes struct {
	// mu protects routes, which holds the routes by name.
	mu     sync.Mutex
	routes map[string]*route
}

// route returns the route with this name and creates it if needed. The caller holds s.mu.
func (s *Sizes) route(name string) *route {
	if s.routes == nil {
		s.routes = make(map[string]*route)
	}
	r := s.routes[name]
	if r == nil {
		r = &route{}
		s.routes[name] = r
	}
	return r
}

// Classify returns the bands of a request. prompt and answer are the lengths of its prompt and of
// the expected answer in tokens; Classify adds these lengths to the recent sizes of the route.
func (s *Sizes) Classify(routeName string, prompt, answer int) Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(routeName)
	return Size{Prompt: r.prompts.classify(prompt), Answer: r.answers.classify(answer)}
}

// Favor returns how much a request of this size is to be favored in admission, from 0 for not at
// all to 1 for fully. It depends only on the band of the prompt.
func (s *Sizes) Favor(routeName string, size Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(routeName).favor(size.Prompt)
}

// Count records one try of a request. first states whether this is the caller's first try of the
// request, and admitted whether the try was admitted. All tries of a caller together count as one
// request, which is admitted at most once.
func (s *Sizes) Count(routeName string, size Size, first, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route(routeName).count(size.Prompt, toFloat(first), toFloat(admitted))
}

// toFloat returns 1 for true and 0 for false.
func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
