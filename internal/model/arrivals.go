package model

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"garnethoist.org/garnethoist/internal/place"
)

// Request is one request of a caller. It stays the same over all of its attempts.
type Request struct {
	// Class is an index into Site.Classes, and DataCentre one into Site.DataCentres.
	Class int
	// At is when the caller sends the first attempt.
	At         time.Duration
	DataCentre int
	// Caller is the index of the caller within the data centre.
	Caller int
	// Prompt holds the parts of the prompt and the caller's hint of the answer's length.
	Prompt *place.Prompt
	// Output is the number of tokens in the request's answer.
	Output int
	// Worth is the value that a policy is credited with for an answer in time, and LateWorth
	// the value for a late one. Both are in the arbitrary unit of Class.Worth.
	Worth     float64
	LateWorth float64
	// size is the number of prompt tokens plus outputTokenWeight times the number of output tokens.
	// The worth depends on size.
	size float64
	// band is the size band of the request within its class: Largest, Large or Rest.
	band int
	// tenth is the tenth of the request by size among those of its class that an engine can finish in
	// time, from 0 for the largest, or -1 if none can.
	tenth int
	// struck says that a fault ended an attempt of the request at its engine or VM.
	struck bool
	// refusalDelay is the time from sending the first attempt to its refusal.
	refusalDelay time.Duration
}

const (
	// outputTokenWeight is the weight of an output token in a request's size; a prompt token
	// has weight 1.
	outputTokenWeight = 10
	// fixedWorthPart is the fraction of a request's worth that does not depend on its size.
	fixedWorthPart = 0.3
	// maxWorthFactor limits the worth of a request, in multiples of the worth of its class.
	maxWorthFactor = 4
	// defaultSkew is the Zipf exponent of prefix levels that the file gives no skew for. It
	// was estimated from the prompts of days played.
	defaultSkew = 1.8
)

// requestGenerator generates the requests of a day.
type requestGenerator struct {
	site   *Site
	day    *Day
	random *rand.Rand
	// sharedParts holds the shared prompt parts by class and prefix level, and popularity the
	// distribution from which a request's part of each class and level is drawn.
	sharedParts [][][]place.Part
	popularity  [][]*zipf
	// lastHash is the last hash that was assigned to a part.
	lastHash uint64
}

// GenerateRequests returns the requests of a day in order of arrival. Equal seeds give identical
// requests.
func GenerateRequests(s *Site, d *Day, seed uint64) []*Request {
	g := &requestGenerator{site: s, day: d, random: rand.New(rand.NewPCG(seed, d.Seed))}
	for i := range s.Classes {
		g.addClass(&s.Classes[i])
	}
	var out []*Request
	for dc := range s.DataCentres {
		for c := range s.Classes {
			out = append(out, g.classRequests(dc, c)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	assignWorth(s, out)
	assignBands(s, out)
	return out
}

// addClass generates the shared prompt parts of a class and their popularity.
func (g *requestGenerator) addClass(c *Class) {
	var parts [][]place.Part
	var popularity []*zipf
	for _, level := range c.Chain {
		levelParts := make([]place.Part, level.Things)
		for i := range levelParts {
			levelParts[i] = place.Part{Hash: g.nextHash(), Tokens: max(int(g.sample(level.Tokens)), 1)}
		}
		parts = append(parts, levelParts)
		skew := level.Skew
		if skew == 0 {
			skew = defaultSkew
		}
		popularity = append(popularity, newZipf(level.Things, skew))
	}
	g.sharedParts = append(g.sharedParts, parts)
	g.popularity = append(g.popularity, popularity)
}

// nextHash returns a hash that no other part has.
func (g *requestGenerator) nextHash() uint64 { g.lastHash++; return g.lastHash }

// classRequests generates the requests that one class sends from one data centre: a Poisson
// process at the maximum rate, thinned to the current rate.
func (g *requestGenerator) classRequests(dc, c int) []*Request {
	maxRate := 0.0
	for t := 0.0; t < g.day.LengthS; t += rateStepS {
		maxRate = max(maxRate, g.site.rate(g.day, dc, c, t))
	}
	maxRate *= rateMargin
	var out []*Request
	if maxRate == 0 {
		return nil
	}
	for t := g.random.ExpFloat64() / maxRate; t < g.day.LengthS; t += g.random.ExpFloat64() / maxRate {
		if g.random.Float64()*maxRate < g.site.rate(g.day, dc, c, t) {
			out = append(out, g.newRequest(dc, c, seconds(t)))
		}
	}
	return out
}

const (
	// rateStepS is the step in seconds at which the rate is sampled to find its maximum, and
	// rateMargin accounts for higher values between the samples.
	rateStepS  = 0.1
	rateMargin = 1.05
)

// rate returns the requests per second of class c from data centre dc, t seconds into the day.
func (s *Site) rate(day *Day, dc, c int, t float64) float64 {
	total := 0.0
	for i := range s.Classes {
		total += s.Classes[i].Weight
	}
	rate := day.PerS[dc] * s.Classes[c].Weight / total
	if day.Swing > 0 {
		rate *= 1 + day.Swing*math.Sin(2*math.Pi*(t/day.PeriodS+s.DataCentres[dc].Phase))
	}
	for _, b := range day.Bursts {
		if b.Class == s.Classes[c].Name && t >= b.AtS && t < b.AtS+b.ForS {
			rate *= b.X
		}
	}
	return rate
}

// newRequest generates a request of class c from data centre dc.
func (g *requestGenerator) newRequest(dc, c int, at time.Duration) *Request {
	class := &g.site.Classes[c]
	r := &Request{Class: c, At: at, DataCentre: dc, Caller: g.random.IntN(g.site.DataCentres[dc].Callers), Prompt: &place.Prompt{}}
	if class.Plain {
		return r
	}
	p := r.Prompt
	for level, popularity := range g.popularity[c] {
		part := g.sharedParts[c][level][popularity.sample(g.random)]
		p.Parts = append(p.Parts, part)
		p.Tokens += part.Tokens
	}
	own := place.Part{Hash: g.nextHash(), Tokens: max(int(g.sample(class.Own)), 1)}
	p.Parts = append(p.Parts, own)
	p.Tokens += own.Tokens
	events := max(int(math.Round(g.sample(class.Events))), 1)
	r.Output = events * g.site.Engine.EventTokens
	p.MaxOutput = int(class.Events.Max) * g.site.Engine.EventTokens
	hint := float64(r.Output) * math.Exp(class.HintSpread*g.random.NormFloat64())
	p.Output = min(max(int(hint), 1), p.MaxOutput)
	p.BodyBytes = int(class.BytesPerToken * float64(p.Tokens))
	r.size = float64(p.Tokens + outputTokenWeight*r.Output)
	return r
}

// sample returns a random value from the distribution d.
func (g *requestGenerator) sample(d Distribution) float64 {
	if d.Spread == 0 {
		return d.Mean
	}
	variance := math.Log(1 + d.Spread*d.Spread)
	v := d.Mean * math.Exp(math.Sqrt(variance)*g.random.NormFloat64()-variance/2)
	if d.Max > 0 {
		v = min(v, d.Max)
	}
	return v
}

// assignWorth sets each request's worth from its size relative to the mean size of its class.
func assignWorth(s *Site, rs []*Request) {
	sums := make([]float64, len(s.Classes))
	counts := make([]float64, len(s.Classes))
	for _, r := range rs {
		sums[r.Class] += r.size
		counts[r.Class]++
	}
	for _, r := range rs {
		factor := 1.0
		if c := &s.Classes[r.Class]; !c.Plain {
			factor = min(fixedWorthPart+(1-fixedWorthPart)*r.size*counts[r.Class]/sums[r.Class], maxWorthFactor)
		}
		r.Worth = factor * s.Classes[r.Class].Worth
		r.LateWorth = factor * s.Classes[r.Class].LateWorth
	}
}

// zipf samples ranks from 0 with a probability proportional to (rank+1)^-skew. cumulative holds
// the running sums of the values (rank+1)^-skew.
type zipf struct{ cumulative []float64 }

// newZipf returns a distribution over n ranks with the exponent skew.
func newZipf(n int, skew float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -skew)
		z.cumulative[i] = sum
	}
	return z
}

// sample returns a random rank.
func (z *zipf) sample(random *rand.Rand) int {
	x := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return min(sort.SearchFloat64s(z.cumulative, x), len(z.cumulative)-1)
}
