// Package fair tells which sizes of prompts are admitted less often than others, so that
// admission can favor them.
//
// Load pattern: more work comes than targets do, for longer than callers wait. What decides
// who is admitted is then what fits: a short prompt into any gap, a long one only where a
// target is nearly idle, which none is any more. Each VM counts its own callers only: they are
// a sample of all, so that VMs need not tell each other.
package fair

import "sync"

// Band is where a request stands among those of its route by size.
type Band int

// The bands of a route's requests.
const (
	Rest Band = iota
	NextFifth
	LargestTenth
	bands
)

var bandNames = [bands]string{"rest", "next_fifth", "largest_tenth"}

func (b Band) String() string { return bandNames[b] }

const (
	// window is the number of requests of a route that sizes are compared with.
	window = 256
	// largestPart and largePart are the parts of them that may be larger than a request of the
	// largest tenth, and of the fifth below it.
	largestPart = 0.1
	largePart   = 0.3
	// memory is the number of requests of a route over which admissions are averaged.
	memory = 512
	// fullFavor and noFavor are the admissions of a band, as a part of those of all, at which
	// it is favored fully and not at all.
	fullFavor = 0.5
	noFavor   = 0.8
)

// ring holds the sizes of a route's last requests.
type ring struct {
	last [window]int
	// taken counts the sizes that were remembered.
	taken int
}

// place returns the band of a size among the last ones, and remembers it.
func (r *ring) place(size int) Band {
	known := min(r.taken, window)
	larger := 0
	for _, other := range r.last[:known] {
		if other > size {
			larger++
		}
	}
	r.last[r.taken%window] = size
	r.taken++
	switch {
	case larger < int(largestPart*float64(known)):
		return LargestTenth
	case larger < int(largePart*float64(known)):
		return NextFifth
	}
	return Rest
}

// tally counts requests and admissions, the older ones less.
type tally struct{ asked, admitted float64 }

func (t *tally) fade() {
	t.asked *= 1 - 1.0/memory
	t.admitted *= 1 - 1.0/memory
}

func (t *tally) share() float64 {
	if t.asked <= 0 {
		return 1
	}
	return min(t.admitted/t.asked, 1)
}

// Size is the bands of a request by its prompt and by the answer that its caller expects.
type Size struct {
	Prompt Band
	Answer Band
}

// route is what is known of the requests of one route.
type route struct {
	prompts ring
	answers ring
	// byPrompt counts the requests by the bands of their prompts.
	byPrompt [bands]tally
}

func (r *route) count(b Band, asked, admitted float64) {
	for i := range r.byPrompt {
		r.byPrompt[i].fade()
	}
	r.byPrompt[b].asked += asked
	r.byPrompt[b].admitted += admitted
}

// favor is how much prompts of a band need to be favored, from 0 to 1.
func (r *route) favor(b Band) float64 {
	var all tally
	for _, t := range r.byPrompt {
		all.asked += t.asked
		all.admitted += t.admitted
	}
	if all.share() == 0 {
		return 0
	}
	part := r.byPrompt[b].share() / all.share()
	return min(max((noFavor-part)/(noFavor-fullFavor), 0), 1)
}

// Sizes tells how large a request is among the last ones of its route and how often such
// requests are admitted. The zero value is ready; it is safe for concurrent use.
type Sizes struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route returns that of a name; the caller holds s.mu.
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

// Place returns the bands of a request with so many tokens, and remembers its sizes.
func (s *Sizes) Place(routeName string, prompt, answer int) Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(routeName)
	return Size{Prompt: r.prompts.place(prompt), Answer: r.answers.place(answer)}
}

// Favor returns how much prompts of a request's size need to be favored now, from 0 to 1.
func (s *Sizes) Favor(routeName string, size Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(routeName).favor(size.Prompt)
}

// Count notes what became of a request: whether it is its caller's first try, and whether it
// was admitted. A caller that comes back is one request, which is admitted once or never.
func (s *Sizes) Count(routeName string, size Size, first, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route(routeName).count(size.Prompt, number(first), number(admitted))
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
