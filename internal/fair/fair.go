// Package fair measures which prompt sizes are served less often than others, so that admission can
// favor them.
//
// Load pattern: more work arrives than the targets can do, for longer than callers wait. Which
// requests are served then depends on their size: a short prompt fits into any gap, but a long one only at
// a target that is nearly idle, and there is none. Each tenth of a route's prompts by size is
// therefore owed a share of what is served. A request counts as served once it is admitted, until it fails.
// Each VM counts the requests of its own callers and a sample of those of the other VMs. Its own
// alone are the fewer the more VMs there are, so that an imbalance would last the longer until a VM had
// counted enough of them.
package fair

import (
	"slices"
	"sync"
	"time"
)

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

// Tenth is a tenth of a route's requests by size, from 0 for the largest to 9 for the smallest.
type Tenth int

// numTenths is the number of tenths.
const numTenths = 10

const (
	// sizeWindow is the number of recent requests of a route that a size is compared with.
	sizeWindow = 256
	// largestShare is the fraction of the recent requests that are larger than the smallest request
	// of LargestTenth.
	largestShare = 0.1
	upperShare   = 0.3 // fraction of the recent requests that are larger than the smallest of NextFifth
	// decayRequests is the number of requests of a route over which the route's rate of served requests
	// decays by a factor of e.
	decayRequests = 512
	// targetRate is the rate of served requests that each tenth of a route's prompts is owed, as a fraction
	// of that of all of them.
	targetRate = 0.8
	// fullCredit is the number of requests owed to a tenth at which it is favored fully.
	fullCredit = 4
	// maxCredit limits the number of requests that a tenth is owed or got in excess, and thus how long a
	// past imbalance is remembered.
	maxCredit = 24
	// sharedPerS is the number of outcomes that all VMs together share per second, so that what a VM
	// receives does not grow with the group.
	sharedPerS = 64
	// maxShared is the maximum number of outcomes that are kept until they are reported.
	maxShared = 64
)

// recentSizes holds the sizes of the most recent requests of a route.
type recentSizes struct {
	// sizes is a ring buffer, and added the number of all sizes that were added to it so far.
	sizes [sizeWindow]int
	added int
}

// classify returns the band and the tenth of a request of the given size among the recent sizes, and
// then adds the size to the recent ones.
func (r *recentSizes) classify(size int) (Band, Tenth) {
	filled := min(r.added, sizeWindow)
	larger := 0
	for _, other := range r.sizes[:filled] {
		if other > size {
			larger++
		}
	}
	r.sizes[r.added%sizeWindow] = size
	r.added++
	tenth := Tenth(larger * numTenths / (filled + 1))
	switch {
	case larger < int(largestShare*float64(filled)):
		return LargestTenth, tenth
	case larger < int(upperShare*float64(filled)):
		return NextFifth, tenth
	}
	return Rest, tenth
}

// Size holds the bands of a request.
type Size struct {
	// Prompt is the band by the length of the prompt, and PromptTenth the tenth.
	Prompt      Band
	PromptTenth Tenth
	// Answer is the band by the length of the answer that the caller expects.
	Answer Band
	// promptTokens and answerTokens are the sizes that were classified.
	promptTokens, answerTokens int
}

// Outcome is how one try of a request ended, as a VM shares it with the other VMs.
type Outcome struct {
	// Route is the name of the request's route.
	Route string
	// Prompt and Answer are the lengths of the prompt and of the expected answer in tokens.
	Prompt, Answer int
	// First states whether this is the caller's first try of the request, and Served whether it was
	// answered completely.
	First, Served bool
}

// route holds the recent sizes of the requests of one route, and how often they are served.
type route struct {
	// prompts and answers hold the lengths of the prompts and of the expected answers, in tokens.
	prompts recentSizes
	answers recentSizes
	// requests and served count the requests and those that were served, with exponential decay.
	requests, served float64
	// credit is the number of requests that each tenth of the prompts is owed, from -maxCredit to
	// maxCredit. It is the integral of the tenth's shortfall, so that a lasting shortfall of any size
	// raises it until the tenth gets its share.
	credit [numTenths]float64
}

// servedRate returns the fraction of the requests that were served, or 0 if there were none.
func (r *route) servedRate() float64 {
	if r.requests <= 0 {
		return 0
	}
	return min(max(r.served/r.requests, 0), 1)
}

// count records a try of a request in the tenth t. requests and served are what it adds to the
// counts.
func (r *route) count(t Tenth, requests, served float64) {
	r.requests += requests
	r.served += served
	r.requests *= 1 - requests/decayRequests
	r.served *= 1 - requests/decayRequests
	owed := r.credit[t] + requests*targetRate*r.servedRate() - served
	r.credit[t] = min(max(owed, -maxCredit), maxCredit)
}

// favor returns how much prompts of the tenth t are favored, from -1 to 1. A tenth that got more than
// it is owed yields only as far as another one is owed.
func (r *route) favor(t Tenth) float64 {
	own := min(max(r.credit[t]/fullCredit, -1), 1)
	if own >= 0 {
		return own
	}
	return own * min(max(slices.Max(r.credit[:]), 0)/fullCredit, 1)
}

// Sizes classifies requests by their size among the recent requests of their route, and measures
// how often requests of each tenth are served. The zero value is ready for use. It is safe for
// concurrent use.
type Sizes struct {
	// groupSize returns the number of VMs. Without it nothing is shared.
	groupSize func() int

	// mu protects the fields below.
	mu sync.Mutex
	// routes holds the routes by name.
	routes map[string]*route
	// shared holds the outcomes that have not been reported to other VMs yet, and nextShared is when
	// the next one may be added.
	shared     []Outcome
	nextShared time.Time
}

// SetGroupSize sets what tells the number of VMs. It must be called before the first request.
func (s *Sizes) SetGroupSize(size func() int) { s.groupSize = size }

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
	return s.route(routeName).classify(prompt, answer)
}

// classify returns the bands of a request.
func (r *route) classify(prompt, answer int) Size {
	size := Size{promptTokens: prompt, answerTokens: answer}
	size.Prompt, size.PromptTenth = r.prompts.classify(prompt)
	size.Answer, _ = r.answers.classify(answer)
	return size
}

// Favor returns how much a request of this size is to be favored in admission, from -1 to 1. Below 0,
// the request is to yield to others. It depends only on the tenth of the prompt.
func (s *Sizes) Favor(routeName string, size Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(routeName).favor(size.PromptTenth)
}

// End records how a request that Count recorded as admitted has ended. first states whether it was the
// caller's first try, and served whether the answer was complete.
func (s *Sizes) End(routeName string, size Size, first, served bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !served {
		s.route(routeName).count(size.PromptTenth, 0, -1)
	}
	s.share(Outcome{Route: routeName, Prompt: size.promptTokens, Answer: size.answerTokens, First: first, Served: served}, now)
}

// Count records the admission decision on one try of a request. first states whether this is the caller's
// first try of the request, and admitted whether the try was admitted; End records how it ends then.
// All tries of a caller together count as one request, which is served at most once.
func (s *Sizes) Count(routeName string, size Size, first, admitted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route(routeName).count(size.PromptTenth, toFloat(first), toFloat(admitted))
	if !admitted {
		s.share(Outcome{Route: routeName, Prompt: size.promptTokens, Answer: size.answerTokens, First: first}, now)
	}
}

// share keeps an outcome for the next report to the other VMs, if one is due. The caller holds s.mu.
func (s *Sizes) share(o Outcome, now time.Time) {
	if s.groupSize == nil || now.Before(s.nextShared) {
		return
	}
	size := s.groupSize()
	if size < 2 || len(s.shared) >= maxShared {
		return
	}
	s.shared = append(s.shared, o)
	s.nextShared = now.Add(time.Duration(size) * time.Second / sharedPerS)
}

// TakeOutcomes returns the outcomes at this VM that are to be reported to other VMs, and clears them.
func (s *Sizes) TakeOutcomes() []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.shared
	s.shared = nil
	return out
}

// ObserveOutcomes takes in outcomes that other VMs have shared.
func (s *Sizes) ObserveOutcomes(outcomes []Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range outcomes {
		r := s.route(o.Route)
		r.count(r.classify(o.Prompt, o.Answer).PromptTenth, toFloat(o.First), toFloat(o.Served))
	}
}

// toFloat returns 1 for true and 0 for false.
func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
