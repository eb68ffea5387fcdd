// Package roles decides how many engines of a service do prefill, decode or
// both, as the mix of work moves. It is pure: plain values in, a decision with
// its reasons out; no clock and no network.
package roles

import "math"

// Split is how many engines fill each role.
type Split struct {
	Prefill int
	Decode  int
	Both    int
}

// Engines returns how many engines the split has.
func (s Split) Engines() int { return s.Prefill + s.Decode + s.Both }

// Changes returns how many engines change their role from s to o, for splits
// of as many engines.
func (s Split) Changes(o Split) int {
	return max(o.Prefill-s.Prefill, 0) + max(o.Decode-s.Decode, 0) + max(o.Both-s.Both, 0)
}

// Usable reports whether the split can serve at all: someone prefills and
// someone decodes.
func (s Split) Usable() bool {
	return s.Both > 0 || (s.Prefill > 0 && s.Decode > 0)
}

// Mix is the work that arrives, in engines kept busy by it.
type Mix struct {
	Prefill float64
	Decode  float64
}

// Total is all the work that arrives.
func (m Mix) Total() float64 { return m.Prefill + m.Decode }

// Served returns the share of the mix that the split carries in time. An
// engine with both roles does either work at the rate mixed, below 1, as
// prefill and decode in one batch slow each other.
func (s Split) Served(m Mix, mixed float64) float64 {
	both := mixed * float64(s.Both)
	share := 1.0
	if m.Prefill > 0 {
		share = min(share, (float64(s.Prefill)+both)/m.Prefill)
	}
	if m.Decode > 0 {
		share = min(share, (float64(s.Decode)+both)/m.Decode)
	}
	if m.Total() > 0 {
		share = min(share, (float64(s.Prefill)+float64(s.Decode)+both)/m.Total())
	}
	return share
}

// lost is the work not served in time, in engines.
func (s Split) lost(m Mix, mixed float64) float64 { return (1 - s.Served(m, mixed)) * m.Total() }

// maxUnits bounds the number of groups that engines are planned in; a larger
// fleet moves several at a time.
const maxUnits = 24

// Config sets up a planner.
type Config struct {
	// Engines is how many engines there are.
	Engines int
	// Mixed is the rate of an engine that does both, relative to a dedicated
	// one.
	Mixed float64
	// Away is for how many seconds a change takes an engine away, drain and
	// cold cache included.
	Away float64
	// ChangeCost is the price of one change from the service's row, in
	// seconds of one engine's goodput, on top of what it loses.
	ChangeCost float64
}

// Planner follows the mix and plans the split. It keeps the work function of
// the past: for each split, the least loss with which a plan made in hindsight
// could have reached it. A change is made once the present split's regret
// against another has grown to the price of the change; noise, which favours
// now one and now the other, never gets there. It is not safe for concurrent
// use.
type Planner struct {
	cfg    Config
	unit   int
	splits []Split
	work   []float64
	next   []float64
}

// NewPlanner returns a planner that starts from the split current.
func NewPlanner(cfg Config, current Split) *Planner {
	p := &Planner{cfg: cfg, unit: (cfg.Engines + maxUnits - 1) / maxUnits}
	p.unit = max(p.unit, 1)
	p.splits = allSplits(cfg.Engines, p.unit)
	p.work = make([]float64, len(p.splits))
	p.next = make([]float64, len(p.splits))
	for i, s := range p.splits {
		p.work[i] = p.price(current, s)
	}
	return p
}

// allSplits lists the usable splits of n engines in steps of unit.
func allSplits(n, unit int) []Split {
	var out []Split
	for pre := 0; pre <= n; pre += unit {
		for dec := 0; pre+dec <= n; dec += unit {
			s := Split{Prefill: pre, Decode: dec, Both: n - pre - dec}
			if s.Usable() {
				out = append(out, s)
			}
		}
	}
	return out
}

// price is the price of going from one split to another, in engine-seconds.
func (p *Planner) price(from, to Split) float64 {
	return float64(from.Changes(to)) * (p.cfg.Away + p.cfg.ChangeCost)
}

// Observe takes in the mix seen over the last seconds. A report that is
// missing is left out; the work function then stands still.
func (p *Planner) Observe(m Mix, seconds float64) {
	for i, s := range p.splits {
		p.work[i] += s.lost(m, p.cfg.Mixed) * seconds
	}
	least := math.Inf(1)
	for i, to := range p.splits {
		best := p.work[i]
		for j, from := range p.splits {
			best = min(best, p.work[j]+p.price(from, to))
		}
		p.next[i] = best
		least = min(least, best)
	}
	// Only differences matter; keep the numbers small.
	for i := range p.next {
		p.work[i] = p.next[i] - least
	}
}

// Option is one split with its price in engine-seconds: the loss of the best
// plan that ends in it, and of going there.
type Option struct {
	Split Split
	Price float64
}

// Decision is what the planner wants.
type Decision struct {
	// Target is the split to go to; the present one for no change.
	Target Split
	// Regret is how much more the present split has lost than Target.
	Regret float64
	// Cost is the price of going to Target.
	Cost float64
	// Options are the present split, the target and the cheapest others.
	Options []Option
}

// optionsShown bounds the options of a decision record.
const optionsShown = 3

// tolerance absorbs rounding when a regret is compared with a price.
const tolerance = 1e-9

// Decide returns the split to be in, given the present one.
func (p *Planner) Decide(current Split) Decision {
	here := p.workAt(current)
	best := Option{Split: current, Price: here}
	options := []Option{best}
	for i, s := range p.splits {
		cost := p.price(current, s)
		price := p.work[i] + cost
		if s != current {
			options = insertOption(options, Option{Split: s, Price: price})
		}
		// At equal price the split with the least loss so far is better.
		if price < best.Price-tolerance || (price <= best.Price+tolerance && p.work[i] < p.workAt(best.Split)-tolerance) {
			best = Option{Split: s, Price: price}
		}
	}
	return Decision{
		Target: best.Split, Regret: here - p.workAt(best.Split), Cost: p.price(current, best.Split), Options: options,
	}
}

// insertOption keeps the present split first and the cheapest others after it.
func insertOption(options []Option, o Option) []Option {
	i := len(options)
	for i > 1 && options[i-1].Price > o.Price {
		i--
	}
	options = append(options, Option{})
	copy(options[i+1:], options[i:])
	options[i] = o
	return options[:min(len(options), optionsShown+1)]
}

// workAt is the work function at a split, also one that is not in units.
func (p *Planner) workAt(s Split) float64 {
	best := math.Inf(1)
	for i, other := range p.splits {
		if other == s {
			return p.work[i]
		}
		best = min(best, p.work[i]+p.price(other, s))
	}
	return best
}

// Step returns the next single change on the way from one split to another:
// the role to take an engine from and the role to give it. ok is false when
// there is nothing to do, or when the change would take the last engine that
// prefills or decodes.
func Step(from, to Split) (take, give Role, ok bool) {
	for _, r := range allRoles {
		if from.of(r) > to.of(r) {
			take = r
		}
		if from.of(r) < to.of(r) {
			give = r
		}
	}
	if take == "" || give == "" {
		return "", "", false
	}
	left := from.with(take, -1)
	// While it is away the engine serves nobody.
	return take, give, left.Usable()
}

// Role is what an engine does.
type Role string

// The roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

var allRoles = []Role{RoleBoth, RolePrefill, RoleDecode}

func (s Split) of(r Role) int {
	switch r {
	case RolePrefill:
		return s.Prefill
	case RoleDecode:
		return s.Decode
	}
	return s.Both
}

func (s Split) with(r Role, n int) Split {
	switch r {
	case RolePrefill:
		s.Prefill += n
	case RoleDecode:
		s.Decode += n
	default:
		s.Both += n
	}
	return s
}
