// Package fair measures which prompt sizes are admitted less often than others, so that admission
// can favor them.
//
// Load pattern: more work arrives than the targets can do, for longer than callers wait. What is
// admitted then depends on its size: a short prompt fits into any gap, a long one only at a target
// that is nearly idle, and there is none. Each VM counts the requests of its own callers only. They
// are a sample of all requests, so that VMs need not exchange their counts.
package fair

import "sync"

// Band is the rank of a request among the requests of its route by size.
type Band int

// The bands of a route's requests, from the smallest to the largest.
const (
	Rest Band = iota
	NextFifth
	LargestTenth
	bands
)

// bandNames are the names of the bands in logs and metrics.
var bandNames = [bands]string{"rest", "next_fifth", "largest_tenth"}

// String returns the name of the band.
func (b Band) String() string { return bandNames[b] }

const (
	// sizeWindow is the number of recent requests of a route that a size is compared with.
	sizeWindow = 256
	// largestShare is the share of the recent requests that may be larger than a request of the
	// largest tenth, and upperShare that for a request of the fifth below it.
	largestShare = 0.1
	upperShare   = 0.3
	// decayRequests is the number of a route's requests over which its admissions are averaged.
	decayRequests = 512
	// fullFavorRate and noFavorRate are admission rates of a band, relative to the rate of all
	// bands. At the first or below it the band is favored fully, at the second or above it not at
	// all.
	fullFavorRate = 0.5
	noFavorRate   = 0.8
)

// recentSizes is a ring of the sizes of a route's most recent requests.
type recentSizes struct {
	sizes [sizeWindow]int
	// added counts all sizes that were added.
	added int
}

// classify returns the band of size among the recent sizes, and adds it to them.
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

// counts holds the number of requests and of admissions, with exponential decay.
type counts struct{ requests, admitted float64 }

// decay reduces the weight of the earlier requests by one request.
func (c *counts) decay() {
	c.requests *= 1 - 1.0/decayRequests
	c.admitted *= 1 - 1.0/decayRequests
}

// admissionRate returns the share of the requests that were admitted, or 1 if there were none.
func (c *counts) admissionRate() float64 {
	if c.requests <= 0 {
		return 1
	}
	return min(c.admitted/c.requests, 1)
}

// Size holds the bands of a request by its prompt and by the answer that its caller expects.
type Size struct {
	Prompt Band
	Answer Band
}

// route holds the sizes and admissions of the requests of one route.
type route struct {
	prompts recentSizes
	answers recentSizes
	// byPrompt counts the requests by the band of their prompt.
	byPrompt [bands]counts
}

// count adds requests and admissions to a band and decays all bands.
func (r *route) count(b Band, requests, admitted float64) {
	for i := range r.byPrompt {
		r.byPrompt[i].decay()
	}
	r.byPrompt[b].requests += requests
	r.byPrompt[b].admitted += admitted
}

// favor returns how much prompts of a band need to be favored, from 0 to 1.
func (r *route) favor(b Band) float64 {
	var all counts
	for _, t := range r.byPrompt {
		all.requests += t.requests
		all.admitted += t.admitted
	}
	if all.admissionRate() == 0 {
		return 0
	}
	relativeRate := r.byPrompt[b].admissionRate() / all.admissionRate()
	return min(max((noFavorRate-relativeRate)/(noFavorRate-fullFavorRate), 0), 1)
}

// Sizes ranks requests by size among the recent ones of their route and measures how often requests
// of each size are admitted. The zero value is ready for use. It is safe for concurrent use.
type Sizes struct {
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

// Classify returns the bands of a request by the lengths of its prompt and its expected answer, in
// tokens, and adds them to the recent sizes of the route.
func (s *Sizes) Classify(routeName string, prompt, answer int) Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(routeName)
	return Size{Prompt: r.prompts.classify(prompt), Answer: r.answers.classify(answer)}
}

// Favor returns how much prompts of this size need to be favored now, from 0 to 1.
func (s *Sizes) Favor(routeName string, size Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(routeName).favor(size.Prompt)
}

// Count records whether a try of a request is its caller's first one, and whether it was admitted.
// A caller that comes back counts as one request, which is admitted at most once.
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
