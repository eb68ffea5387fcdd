// Package roles plans how many engines of a service do prefill, decode or both,
// as the mix of prefill and decode work changes. It is pure: it uses no clock and
// no network, and a decision comes with its reasons.
package roles

import "math"

// Split is the number of engines in each role.
type Split struct {
	Prefill int
	Decode  int
	Both    int
}

// Engines returns the number of engines in the split.
func (s Split) Engines() int { return s.Prefill + s.Decode + s.Both }

// Changes returns how many engines must change their role to get from s to o, a
// split of the same number of engines.
func (s Split) Changes(o Split) int {
	return max(o.Prefill-s.Prefill, 0) + max(o.Decode-s.Decode, 0) + max(o.Both-s.Both, 0)
}

// Usable reports whether the split can serve requests: at least one engine does
// prefill and at least one does decode.
func (s Split) Usable() bool {
	return s.Both > 0 || (s.Prefill > 0 && s.Decode > 0)
}

// Mix is the prefill and decode work that arrives, each as the number of
// dedicated engines that it keeps busy.
type Mix struct {
	Prefill float64
	Decode  float64
}

// Total returns the sum of prefill and decode work.
func (m Mix) Total() float64 { return m.Prefill + m.Decode }

// Served returns the share of the mix, from 0 to 1, that the split can serve as
// it arrives. An engine that does both works at the rate mixed relative to a
// dedicated one. The rate is below 1, as prefill and decode in one batch slow
// each other down.
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

// unserved returns the work that the split cannot serve as it arrives, in
// engines.
func (s Split) unserved(m Mix, mixed float64) float64 { return (1 - s.Served(m, mixed)) * m.Total() }

// maxGroups bounds the number of groups in which engines are planned. In a larger
// fleet a group has several engines, which change their role together.
const maxGroups = 24

// Config configures a Planner.
type Config struct {
	// Engines is the number of engines.
	Engines int
	// Mixed is the rate of an engine that does both prefill and decode,
	// relative to a dedicated one.
	Mixed float64
	// Away is the time in seconds that an engine loses to a role change,
	// including the drain before it and the cold cache after it.
	Away float64
	// ChangeCost is the additional cost of one role change from the service's
	// row, in seconds of one engine's goodput.
	ChangeCost float64
}

// Planner plans the split from the observed mixes, by the work function
// algorithm for metrical task systems. The work function of a split is the least
// cost, in unserved work and role changes, of any plan made in hindsight that
// ends in that split now. The planner leaves the current split once its regret,
// the difference of the two work functions, has grown to the cost of the change.
// Noise, which favours now one split and now the other, does not add up to that.
// It is not safe for concurrent use.
type Planner struct {
	cfg Config
	// groupSize is the number of engines in a group.
	groupSize int
	splits    []Split
	// workFunction has the value of each of splits in engine-seconds, less the
	// smallest of them.
	workFunction []float64
	// next is scratch space of Observe.
	next []float64
}

// NewPlanner returns a planner for a fleet that is now in the split current.
func NewPlanner(cfg Config, current Split) *Planner {
	p := &Planner{cfg: cfg, groupSize: (cfg.Engines + maxGroups - 1) / maxGroups}
	p.groupSize = max(p.groupSize, 1)
	p.splits = allSplits(cfg.Engines, p.groupSize)
	p.workFunction = make([]float64, len(p.splits))
	p.next = make([]float64, len(p.splits))
	for i, s := range p.splits {
		p.workFunction[i] = p.changeCost(current, s)
	}
	return p
}

// allSplits returns the usable splits of n engines in steps of unit engines.
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

// changeCost returns the cost of changing from one split to another, in
// engine-seconds.
func (p *Planner) changeCost(from, to Split) float64 {
	return float64(from.Changes(to)) * (p.cfg.Away + p.cfg.ChangeCost)
}

// Observe updates the work function for a mix that lasted for the given number of
// seconds. A missing report is not observed and leaves the work function as it
// is.
func (p *Planner) Observe(m Mix, seconds float64) {
	for i, s := range p.splits {
		p.workFunction[i] += s.unserved(m, p.cfg.Mixed) * seconds
	}
	least := math.Inf(1)
	for i, to := range p.splits {
		best := p.workFunction[i]
		for j, from := range p.splits {
			best = min(best, p.workFunction[j]+p.changeCost(from, to))
		}
		p.next[i] = best
		least = min(least, best)
	}
	// Only differences matter. Subtracting the least value keeps the numbers small.
	for i := range p.next {
		p.workFunction[i] = p.next[i] - least
	}
}

// Option is one split that was considered. Price is its work function plus the
// cost of changing to it, in engine-seconds.
type Option struct {
	Split Split
	Price float64
}

// Decision is the planner's choice of a split.
type Decision struct {
	// Target is the chosen split, which is the current one for no change.
	Target Split
	// Regret is the work function of the current split less that of Target, in
	// engine-seconds.
	Regret float64
	// Cost is the cost of changing to Target, in engine-seconds.
	Cost float64
	// Options is the current split followed by the cheapest others, in order of
	// their price.
	Options []Option
}

// maxOtherOptions bounds the options of a decision besides the current split.
const maxOtherOptions = 3

// tolerance absorbs rounding errors when prices or work functions are compared.
const tolerance = 1e-9

// Decide returns the split that the engines should be in, given the current one.
func (p *Planner) Decide(current Split) Decision {
	here := p.workFunctionAt(current)
	best := Option{Split: current, Price: here}
	options := []Option{best}
	for i, s := range p.splits {
		cost := p.changeCost(current, s)
		price := p.workFunction[i] + cost
		if s != current {
			options = insertOption(options, Option{Split: s, Price: price})
		}
		// At equal prices the split with the smaller work function is better.
		if price < best.Price-tolerance || (price <= best.Price+tolerance && p.workFunction[i] < p.workFunctionAt(best.Split)-tolerance) {
			best = Option{Split: s, Price: price}
		}
	}
	return Decision{
		Target: best.Split, Regret: here - p.workFunctionAt(best.Split), Cost: p.changeCost(current, best.Split), Options: options,
	}
}

// insertOption inserts o in order of price after the current split, which stays
// first, and drops the most expensive options beyond maxOtherOptions.
func insertOption(options []Option, o Option) []Option {
	i := len(options)
	for i > 1 && options[i-1].Price > o.Price {
		i--
	}
	options = append(options, Option{})
	copy(options[i+1:], options[i:])
	options[i] = o
	return options[:min(len(options), maxOtherOptions+1)]
}

// workFunctionAt returns the work function of a split, also of one that does not
// consist of whole groups and so is not among the planner's splits.
func (p *Planner) workFunctionAt(s Split) float64 {
	best := math.Inf(1)
	for i, other := range p.splits {
		if other == s {
			return p.workFunction[i]
		}
		best = min(best, p.workFunction[i]+p.changeCost(other, s))
	}
	return best
}

// NextChange returns the next single role change on the way from one split to another:
// the role to take an engine from and the role to give it. ok is false if the
// splits are equal, or if the change would take away the last engine that does
// prefill or decode.
func NextChange(from, to Split) (take, give Role, ok bool) {
	for _, r := range allRoles {
		if from.count(r) > to.count(r) {
			take = r
		}
		if from.count(r) < to.count(r) {
			give = r
		}
	}
	if take == "" || give == "" {
		return "", "", false
	}
	left := from.add(take, -1)
	// The engine serves no requests during its change.
	return take, give, left.Usable()
}

// Role is the kind of work that an engine does.
type Role string

// The roles of an engine, as orders to engines name them.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// allRoles lists every role of an engine.
var allRoles = []Role{RoleBoth, RolePrefill, RoleDecode}

// count returns the number of engines in the role r.
func (s Split) count(r Role) int {
	switch r {
	case RolePrefill:
		return s.Prefill
	case RoleDecode:
		return s.Decode
	}
	return s.Both
}

// add returns the split with n more engines in the role r.
func (s Split) add(r Role, n int) Split {
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
