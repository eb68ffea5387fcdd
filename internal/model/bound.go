package model

import (
	"container/heap"
	"sort"
)

// Bound is an upper bound on the worth that policies can earn on a day, with the figures from
// which it was computed.
type Bound struct {
	// OfferedWorth is the worth of all requests if served in time, and Worth the bound.
	OfferedWorth float64
	Worth        float64
	// Capacity is the engine time that the fleet provides, in engine seconds per second. One
	// engine second is the work that a prefill engine with a time factor of 1 does in a second.
	Capacity float64
	// Seconds is the engine time that the requests need, indexed by the second of their first
	// attempt.
	Seconds []Demand
}

// Share returns the bound as a fraction of the offered worth.
func (b Bound) Share() float64 {
	if b.OfferedWorth == 0 {
		return 0
	}
	return b.Worth / b.OfferedWorth
}

// Demand is the engine time that the requests of one second need, in engine seconds.
type Demand struct {
	// Min assumes the cache hits that the bound's Assumptions allow, and Cold assumes none.
	Min, Cold float64
}

// Assumptions restrict a bound to policies with certain properties.
type Assumptions struct {
	// FixedStages says that engines do not change their stages.
	FixedStages bool
	// MissRate is the fraction of the shared prompt tokens that are prefilled, as they are not
	// in cache. If it is negative, each shared part is prefilled once in the whole day.
	MissRate float64
}

// AnyPolicy returns the assumptions that hold for every policy.
func AnyPolicy() Assumptions { return Assumptions{MissRate: -1} }

// task is the minimum engine time that a request needs, and the window in which it must be
// spent.
type task struct {
	// begin and end are in seconds of the day, and need is in engine seconds.
	begin, end float64
	need       float64
	// density is the worth earned per engine second.
	density float64
}

// Tasks are grouped into levels by density, and each task is counted with the highest density
// of its level. A level holds at most 1/minLevels of the tasks, whose densities are at most the
// fraction levelWidth below the highest.
const (
	// minLevels limits a level to the fraction 1/minLevels of all tasks, and levelWidth limits how
	// far, as a fraction, densities in a level may be below the highest one.
	minLevels  = 200
	levelWidth = 0.02
)

// NewBound returns an upper bound on the worth that the requests can earn under any policy to
// which the assumptions apply.
//
// Every request needs at least the prefill of its own tokens, and of each shared part that it is
// the first to use: no engine can have cached what none has prefilled. An answer occupies a slot
// of a decode engine, which prefills at half speed. Each second in one of n slots therefore costs
// at least 1/(2n) seconds of prefill. The engines are replaced by a single one with the capacity
// of all, which divides its time arbitrarily, knows all future requests, changes stages at no
// cost and transfers KV caches in no time. A request of which a fraction is served earns that
// fraction of its worth. Each of these simplifications can only raise the bound.
//
// A request earns its late worth if served by its deadline and, if its prefill completes within
// its latency objective, the rest of its worth. The maximum of each of the two is computed
// separately, as if the other took no engine time.
//
// With fixed stages, the capacity counts decode engines at half speed already, so slots cost
// nothing more.
func NewBound(s *Site, d *Day, requests []*Request, assume Assumptions) Bound {
	b := Bound{Seconds: make([]Demand, int(d.LengthS)+1), Capacity: s.engineCapacity(assume)}
	seen := make(map[uint64]bool)
	var late, inTime []task
	for _, r := range requests {
		c := &s.Classes[r.Class]
		b.OfferedWorth += r.Worth
		if c.Plain {
			b.Worth += r.Worth
			continue
		}
		need, cold := s.minEngineTime(r, seen, assume)
		second := &b.Seconds[int(r.At.Seconds())]
		second.Min += need
		second.Cold += cold
		begin := r.At.Seconds()
		networkS := 2 * (s.Network.CallerMS + s.Network.WithinMS) / thousand
		lateEnd := begin + (c.DeadlineMS / thousand) - networkS
		late = append(late, task{begin: begin, end: lateEnd, need: need, density: r.LateWorth / need})
		inTimeEnd := lateEnd
		if c.Events.Mean <= longAnswerEvents {
			inTimeEnd = begin + c.AimMS/thousand - networkS
		}
		if s.cannotBeInTime(d, r) {
			continue
		}
		inTime = append(inTime, task{begin: begin, end: inTimeEnd, need: need, density: (r.Worth - r.LateWorth) / need})
	}
	b.Worth += maxTotalWorth(late, b.Capacity) + maxTotalWorth(inTime, b.Capacity)
	b.Worth = min(b.Worth, b.OfferedWorth)
	return b
}

// cannotBeInTime reports whether a request cannot be served in time under any policy, because it
// arrives while all VMs are stopped or its stream would still run when they stop.
func (s *Site) cannotBeInTime(d *Day, r *Request) bool {
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

// longAnswerEvents is the mean number of events above which a class has long answers. In the bound
// on the worth in time, the work on a long answer may last until its deadline, and that on other
// answers must end within the latency objective.
const longAnswerEvents = 10

// engineCapacity returns the capacity of the fleet in engine seconds per second.
func (s *Site) engineCapacity(assume Assumptions) float64 {
	sum, n := 0.0, 0
	for _, dc := range s.DataCentres {
		for k := range dc.Engines {
			part := 1 / s.TimeFactor(n)
			if assume.FixedStages && k >= s.PrefillEngines(dc) {
				part /= decodePrefillSlowdown
			}
			sum += part
			n++
		}
	}
	return sum
}

// minEngineTime returns the minimum engine seconds that a request needs, and those that it needs
// if nothing is cached. seen holds the shared parts that were prefilled before and is updated.
func (s *Site) minEngineTime(r *Request, seen map[uint64]bool, assume Assumptions) (need, cold float64) {
	e := &s.Engine
	parts := r.Prompt.Parts
	toPrefill := parts[len(parts)-1].Tokens
	for _, p := range parts[:len(parts)-1] {
		if assume.MissRate >= 0 {
			toPrefill += int(assume.MissRate * float64(p.Tokens))
			continue
		}
		if !seen[p.Hash] {
			seen[p.Hash] = true
			toPrefill += p.Tokens
		}
	}
	slot := float64(r.Output-e.EventTokens) * e.StepMS / float64(e.Slots) * (1 - 1.0/decodePrefillSlowdown)
	if assume.FixedStages {
		slot = 0
	}
	return (s.minPrefillMS(toPrefill) + slot) / thousand, (s.minPrefillMS(r.Prompt.Tokens) + slot) / thousand
}

// minPrefillMS returns the minimum time in milliseconds for the prefill of a number of tokens: in
// full chunks, with attention only among these tokens.
func (s *Site) minPrefillMS(tokens int) float64 {
	e, n := &s.Engine, float64(tokens)
	return n/e.PrefillPerMS + n/float64(e.Chunk)*e.StepMS + e.PairsMS*n*n/2/million
}

// maxTotalWorth returns the maximum worth of the tasks that one engine of the given capacity, in
// engine seconds per second, can complete within their windows. A task that is done in part earns
// that fraction of its worth.
//
// For tasks of one density this is the maximum time that they can use, which serving by the
// earliest deadline achieves. The total is the sum over the levels of density of the time used
// by tasks at or above the level, times the difference to the density of the next lower level.
func maxTotalWorth(tasks []task, capacity float64) float64 {
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].begin < tasks[j].begin })
	densities := make([]float64, len(tasks))
	for i, t := range tasks {
		densities[i] = t.density
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(densities)))
	maxPerLevel := (len(densities) + minLevels - 1) / minLevels
	sum := 0.0
	for from, to := 0, 0; from < len(densities); from = to {
		// All tasks of a level are counted with its highest density.
		top := densities[from]
		for to < len(densities) && to-from < maxPerLevel && densities[to] >= top*(1-levelWidth) {
			to++
		}
		next := 0.0
		if to < len(densities) {
			next = densities[to]
		}
		sum += (top - next) * maxUsedTime(tasks, capacity, densities[to-1])
	}
	return sum
}

// maxUsedTime returns the maximum engine seconds that the tasks with a density of at least
// minDensity can use. tasks must be sorted by begin.
func maxUsedTime(tasks []task, capacity, minDensity float64) float64 {
	used, now := 0.0, 0.0
	var open deadlineHeap
	next := 0
	for {
		for next < len(tasks) && (tasks[next].begin <= now || len(open) == 0) {
			t := tasks[next]
			next++
			if t.density < minDensity {
				continue
			}
			now = max(now, t.begin)
			heap.Push(&open, openTask{end: t.end, need: t.need})
		}
		if len(open) == 0 {
			return used
		}
		p := &open[0]
		if p.end <= now {
			heap.Pop(&open)
			continue
		}
		until := min(now+p.need/capacity, p.end)
		if next < len(tasks) {
			until = min(until, tasks[next].begin)
		}
		done := (until - now) * capacity
		used += done
		p.need -= done
		now = until
		if p.need <= needEpsilon {
			heap.Pop(&open)
		}
	}
}

// needEpsilon is the need in engine seconds below which a task counts as done.
const needEpsilon = 1e-12

// openTask is a task whose window has begun. need is the engine seconds that it still needs.
type openTask struct{ end, need float64 }

// deadlineHeap implements heap.Interface for open tasks. The one whose window ends first is on top.
type deadlineHeap []openTask

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(openTask)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
