package model

import (
	"container/heap"
	"sort"
)

// Bound is what no policy can earn more than on a day, with what it rests on.
type Bound struct {
	Owed  float64
	Worth float64
	// Power is the engine seconds that there are in a second.
	Power float64
	// Seconds is the engine time asked for and the engine time there is, by the
	// second of the first attempt.
	Seconds []Capacity
}

// Share is the bound as a part of what is owed.
func (b Bound) Share() float64 {
	if b.Owed == 0 {
		return 0
	}
	return b.Worth / b.Owed
}

// Capacity is one second's engine time in engine seconds.
type Capacity struct {
	// Asked is with as many parts held as the bound supposes, Cold with none.
	Asked, Cold float64
}

// Supposed narrows a bound to some policies.
type Supposed struct {
	// FixedStages says that each engine keeps its stage.
	FixedStages bool
	// Missed is the share of the shared tokens that are read; where it is negative
	// they are read once on the whole day.
	Missed float64
}

// AnyPolicy is the bound on whatever a policy does.
func AnyPolicy() Supposed { return Supposed{Missed: -1} }

// task is the least engine time that a request takes, in the window in which
// it must be taken.
type task struct {
	begin, end float64
	need       float64
	// density is the worth for an engine second.
	density float64
}

// Tasks are told apart by levels of density, and taken to have the highest of
// theirs: a level holds one part in levels of the tasks at most, and densities
// that lie within levelWidth of the highest.
const (
	levels     = 200
	levelWidth = 0.02
)

// NewBound returns the most worth that any policy could earn for the requests.
//
// Every request takes at least the reading of its own tokens, and of a shared
// part where it is the first of all to ask for it: no engine can hold what
// none has read. An answer takes a slot of an engine that decodes, which reads
// at half the speed: of each second at least a half divided by the slots is
// lost to reading. The engines are taken for one that does as much as all of
// them at once, divides its time at will, knows all that comes, changes stages
// at no cost and moves memory in no time. Of a request served in part, that
// part of its worth counts. Each of these only adds to what can be earned.
//
// A request in time earns its late worth and, if its reading is done within
// the aim, the rest. The most of either is reckoned by itself.
//
// With fixed stages, decode engines read at half the speed all the time, and
// slots cost nothing more.
func NewBound(s *Site, d *Day, requests []*Request, suppose Supposed) Bound {
	b := Bound{Seconds: make([]Capacity, int(d.LengthS)+1), Power: s.enginePower(suppose)}
	seen := make(map[uint64]bool)
	var late, inTime []task
	for _, r := range requests {
		c := &s.Classes[r.Class]
		b.Owed += r.Worth
		if c.Plain {
			b.Worth += r.Worth
			continue
		}
		need, cold := s.least(r, seen, suppose)
		second := &b.Seconds[int(r.At.Seconds())]
		second.Asked += need
		second.Cold += cold
		begin := r.At.Seconds()
		reach := 2 * (s.Network.CallerMS + s.Network.WithinMS) / thousand
		long := begin + (c.DeadlineMS / thousand) - reach
		late = append(late, task{begin: begin, end: long, need: need, density: r.LateWorth / need})
		soon := long
		if c.Events.Mean <= longEvents {
			soon = begin + c.AimMS/thousand - reach
		}
		if s.lateAtBest(d, r) {
			continue
		}
		inTime = append(inTime, task{begin: begin, end: soon, need: need, density: (r.Worth - r.LateWorth) / need})
	}
	b.Worth += mostWorth(late, b.Power) + mostWorth(inTime, b.Power)
	b.Worth = min(b.Worth, b.Owed)
	return b
}

// lateAtBest says that a request cannot be in time: it comes while all VMs are
// stopped, or its stream would still run when they stop.
func (s *Site) lateAtBest(d *Day, r *Request) bool {
	steps := r.Output - s.Engine.EventTokens
	end := r.At + millis(float64(steps)*s.Engine.StepMS)
	for _, stop := range d.Stops {
		from, to := seconds(stop.AtS), seconds(stop.AtS+stop.ForS)
		switch {
		case r.At < from:
			if end > from {
				return true
			}
		case r.At < to-millis(s.Classes[r.Class].AimMS):
			return true
		}
	}
	return false
}

// longEvents is the mean number of events above which answers are long: the
// work of one in time may lie anywhere up to its time limit.
const longEvents = 10

// enginePower is the engine seconds that the fleet has in a second.
func (s *Site) enginePower(suppose Supposed) float64 {
	sum, n := 0.0, 0
	for _, dc := range s.DataCentres {
		for k := range dc.Engines {
			part := 1 / s.TimeFactor(n)
			if suppose.FixedStages && k >= s.Prefillers(dc) {
				part /= inPlaceSlowdown
			}
			sum += part
			n++
		}
	}
	return sum
}

// least is the least engine seconds that a request takes, and what it takes
// where nothing is held. seen holds the parts that were read before.
func (s *Site) least(r *Request, seen map[uint64]bool, suppose Supposed) (need, cold float64) {
	e := &s.Engine
	parts := r.Prompt.Parts
	missing := parts[len(parts)-1].Tokens
	for _, p := range parts[:len(parts)-1] {
		if suppose.Missed >= 0 {
			missing += int(suppose.Missed * float64(p.Tokens))
			continue
		}
		if !seen[p.Hash] {
			seen[p.Hash] = true
			missing += p.Tokens
		}
	}
	slot := float64(r.Output-e.EventTokens) * e.StepMS / float64(e.Slots) * (1 - 1.0/inPlaceSlowdown)
	if suppose.FixedStages {
		slot = 0
	}
	return (s.reading(missing) + slot) / thousand, (s.reading(r.Prompt.Tokens) + slot) / thousand
}

// reading is the least milliseconds for reading so many tokens: those of a
// full chunk, and of pairs only among themselves.
func (s *Site) reading(tokens int) float64 {
	e, n := &s.Engine, float64(tokens)
	return n/e.PrefillPerMS + n/float64(e.Chunk)*e.StepMS + e.PairsMS*n*n/2/million
}

// mostWorth is the most worth of tasks that one engine of that power can do
// within their windows, each in part if need be.
//
// For tasks of one density it is the most time that can be used, which serving
// by the earliest deadline gives. The worth of all is the sum over the levels
// of density of the time used by tasks at or above each, times the step to the
// next lower one.
func mostWorth(tasks []task, power float64) float64 {
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].begin < tasks[j].begin })
	densities := make([]float64, len(tasks))
	for i, t := range tasks {
		densities[i] = t.density
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(densities)))
	most := (len(densities) + levels - 1) / levels
	sum := 0.0
	for from, to := 0, 0; from < len(densities); from = to {
		// The tasks of a level are all taken to have its highest density.
		top := densities[from]
		for to < len(densities) && to-from < most && densities[to] >= top*(1-levelWidth) {
			to++
		}
		next := 0.0
		if to < len(densities) {
			next = densities[to]
		}
		sum += (top - next) * usedTime(tasks, power, densities[to-1])
	}
	return sum
}

// usedTime is the most engine time that the tasks of a density at least can use.
func usedTime(tasks []task, power, least float64) float64 {
	used, now := 0.0, 0.0
	var open deadlines
	next := 0
	for {
		for next < len(tasks) && (tasks[next].begin <= now || len(open) == 0) {
			t := tasks[next]
			next++
			if t.density < least {
				continue
			}
			now = max(now, t.begin)
			heap.Push(&open, pending{end: t.end, need: t.need})
		}
		if len(open) == 0 {
			return used
		}
		p := &open[0]
		if p.end <= now {
			heap.Pop(&open)
			continue
		}
		until := min(now+p.need/power, p.end)
		if next < len(tasks) {
			until = min(until, tasks[next].begin)
		}
		done := (until - now) * power
		used += done
		p.need -= done
		now = until
		if p.need <= leastNeed {
			heap.Pop(&open)
		}
	}
}

// leastNeed is the engine seconds below which a task counts as done.
const leastNeed = 1e-12

// pending is a task that is open, and deadlines a heap of them by their end.
type pending struct{ end, need float64 }

type deadlines []pending

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, j int) bool { return h[i].end < h[j].end }
func (h deadlines) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlines) Push(x any)        { *h = append(*h, x.(pending)) }
func (h *deadlines) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
