package stages

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// prefillCount returns how many engines of a service should prefill: their configured share, but
// no more than the engines that decoding does not need. Unless prompts queue, engines are ordered to
// prefill only up to the number that the VMs can keep busy.
//
// Load pattern: thousands of engines and little traffic for each of them. An order costs more than
// the prompts that its engine will prefill are worth.
func (c *Controller) prefillCount(targets []*fleet.Target) int {
	staying, prefill := countEngines(targets)
	share := int(math.Round(c.cfg.PrefillShare * float64(staying)))
	backlogged := c.prefillBacklogged(targets)
	if !backlogged {
		share = min(share, max(prefill, c.usefulPrefill()))
	}
	return min(share, staying-c.minDecodeCount(targets, backlogged))
}

// prefillEnginesPerVM is the number of prefill engines that the prompts of one VM keep busy.
const prefillEnginesPerVM = 2

// usefulPrefill returns how many prefill engines all VMs can keep busy.
func (c *Controller) usefulPrefill() int {
	if c.groupSize == nil {
		return math.MaxInt
	}
	return prefillEnginesPerVM * c.groupSize()
}

// minDecodeCount returns the minimum number of decode engines of a service: enough for the recent
// peak of the running requests with each engine filled to decodeUtilization. backlogged says that
// prompts queue at the prefill engines.
//
// Load pattern: periods of long answers and periods of many prompts alternate within seconds.
// Engines that decoding needed recently are kept for the next period of long answers, except
// while prompts queue.
func (c *Controller) minDecodeCount(targets []*fleet.Target, backlogged bool) int {
	if len(targets) == 0 {
		return 0
	}
	// decodeDemand takes the lock of the placer, which chooses the targets of requests. The placer
	// calls Changing while it holds that lock, so c.mu must not be held here.
	demand := c.decodeDemand(targets)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.decodePeaks[targets[0].Service]
	if p == nil {
		p = &demandPeaks{long: slidingPeak{window: peakWindow}, short: slidingPeak{window: backlogPeakWindow}}
		c.decodePeaks[targets[0].Service] = p
	}
	return int(math.Ceil(p.observe(demand, backlogged, c.clock()) / decodeUtilization))
}

// demandPeaks holds the recent peak demand for decode engines over a long and a short window.
type demandPeaks struct {
	long  slidingPeak
	short slidingPeak
}

// observe records the demand at the time at and returns the peak to plan for. This is the peak of
// the short window while prefill is backlogged, and the peak of the long window otherwise.
func (p *demandPeaks) observe(demand float64, backlogged bool, at time.Duration) float64 {
	long, short := p.long.observe(demand, at), p.short.observe(demand, at)
	if backlogged {
		// The demand from before the backlog no longer counts once the backlog has cleared.
		p.long = p.short
		p.long.window = peakWindow
		return short
	}
	return long
}

// slidingPeak is the maximum of the values observed within the last one to two windows.
type slidingPeak struct {
	// window is the length of a window.
	window time.Duration
	// current is the maximum of the current window, which began at start; previous is the maximum
	// of the window before it.
	current  float64
	previous float64
	start    time.Duration
}

// observe records the value at the time at and returns the maximum of the last one to two windows.
func (p *slidingPeak) observe(value float64, at time.Duration) float64 {
	if at-p.start >= p.window {
		p.current, p.previous, p.start = 0, p.current, at
	}
	p.current = max(p.current, value)
	return max(p.current, p.previous)
}
