package route

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// The replay simulates several independent entries that send requests to fake
// engines, in virtual time. Each engine prefills one prompt at a time and caches
// the most recently used prefixes. The same seed gives the same results.

// scenario is the configuration of one replay.
type scenario struct {
	entries     int
	engines     int
	reportAge   float64 // age of the load reports, in seconds
	sharedView  bool    // all entries share one view that is always current
	hotPrefixes int     // number of prefixes that get hotShare of the requests
	requests    int
	seed        uint64
}

// views returns how many independent views of the engines there are.
func (s scenario) views() int {
	if s.sharedView {
		return 1
	}
	return s.entries
}

const (
	promptSeconds     = 0.100 // mean prefill time of a prompt whose prefix is not cached
	cachedShare       = 0.5   // part of that time that a cached prefix saves
	hotShare          = 0.4
	utilisation       = 0.5 // share of time the engines work if every prefix is cached
	prefixesPerEngine = 24  // prefixes in use, for each engine
	cacheSize         = 40  // prefixes that an engine's cache holds
)

// fakeEngine is one engine: a queue and an LRU cache of prefixes.
type fakeEngine struct {
	until   float64 // when the queued work is done
	work    float64 // seconds of work accepted so far
	history []report
	cache   map[uint64]*list.Element
	lru     *list.List
}

// report is the state of an engine at one time.
type report struct{ at, until, work float64 }

// lookup reports whether the prefix is cached, and makes it the most recent one.
func (e *fakeEngine) lookup(prefix uint64) bool {
	if el, ok := e.cache[prefix]; ok {
		e.lru.MoveToFront(el)
		return true
	}
	e.cache[prefix] = e.lru.PushFront(prefix)
	if e.lru.Len() > cacheSize {
		old := e.lru.Back()
		delete(e.cache, old.Value.(uint64))
		e.lru.Remove(old)
	}
	return false
}

// run queues a prompt at time now whose uncached prefill takes seconds. It
// returns its wait in seconds and whether its prefix was cached.
func (e *fakeEngine) run(now, seconds float64, prefix uint64) (wait float64, hit bool) {
	hit = e.lookup(prefix)
	if hit {
		seconds *= 1 - cachedShare
	}
	start := max(e.until, now)
	e.until = start + seconds
	e.work += seconds
	e.history = append(e.history, report{at: now, until: e.until, work: e.work})
	return start - now, hit
}

// policy returns the index of the engine for a request at one entry.
type policy func(v *entryView, r Request, rnd *rand.Rand) int

// entryView is the state of the engines as one entry knows it.
type entryView struct {
	targets []Target
	loads   []Load
	busy    []WorkRate
	memory  *State
	read    []int // how many reports of each engine's history have arrived
	next    int   // the next engine of the round-robin policy
}

// newEntryView returns the view of an entry that has no reports yet.
// newEntryView returns the view of an entry that has no reports yet.
func newEntryView(s scenario) *entryView {
	v := &entryView{targets: make([]Target, s.engines), loads: make([]Load, s.engines), busy: make([]WorkRate, s.engines), read: make([]int, s.engines), memory: &State{Caches: NewCaches(1<<14, 300), Rates: NewRates(1<<12, 10)}}
	for i := range v.targets {
		v.targets[i] = Target{Hash: mix(uint64(i) + 1), Roles: EndToEnd}
	}
	return v
}

// refresh records the reports that have arrived by now.
func (v *entryView) refresh(engines []*fakeEngine, now float64, s scenario) {
	age := s.reportAge
	if s.sharedView {
		age = 0
	}
	for i, e := range engines {
		old := v.read[i]
		for v.read[i] < len(e.history) && e.history[v.read[i]].at <= now-age {
			v.read[i]++
		}
		if v.read[i] > 0 && (v.read[i] > old || age > 0) {
			v.loads[i].Report(now-age, e.history[v.read[i]-1].until)
		}
		if n := v.read[i]; n > 0 {
			v.busy[i].Report(now-age, e.history[n-1].work)
		}
		v.targets[i].BusyUntil, v.targets[i].Busy = v.loads[i].BusyUntil(), v.busy[i].PerSecond()
	}
}

// replayResult holds percentiles of the waits in seconds and the cache hit rate.
type replayResult struct{ p50, p99, hits float64 }

// replay runs a scenario with a policy. The first half of the requests warms the
// caches up and is not counted.
func replay(s scenario, choose policy) replayResult {
	rnd := rand.New(rand.NewPCG(s.seed, 7))
	engines := make([]*fakeEngine, s.engines)
	for i := range engines {
		engines[i] = &fakeEngine{cache: map[uint64]*list.Element{}, lru: list.New()}
	}
	views := make([]*entryView, s.entries)
	for i := range views {
		views[i] = newEntryView(s)
	}
	rate := utilisation * float64(s.engines) / (promptSeconds * (1 - cachedShare))
	var waits []float64
	hits, now := 0, 0.0
	for n := range s.requests {
		now += rnd.ExpFloat64() / rate
		seconds := promptSeconds * math.Exp(0.6*rnd.NormFloat64()-0.18)
		prefix := mix(1000 + rnd.Uint64N(uint64(prefixesPerEngine*s.engines)))
		if s.hotPrefixes > 0 && rnd.Float64() < hotShare {
			prefix = mix(10 + rnd.Uint64N(uint64(s.hotPrefixes)))
		}
		v := views[0]
		if !s.sharedView {
			v = views[rnd.IntN(s.entries)]
		}
		v.refresh(engines, now, s)
		v.memory.Rates.Add(prefix, now)
		r := Request{Now: now, Role: EndToEnd, Prefix: prefix, Entries: s.views(), Seconds: seconds, CachedSeconds: seconds * cachedShare, Random: rnd.Uint64()}
		i := choose(v, r, rnd)
		work := seconds
		if v.memory.Caches.Has(prefix, v.targets[i].Hash, now) {
			work *= 1 - cachedShare
		}
		v.memory.Caches.Set(prefix, v.targets[i].Hash, now)
		v.loads[i].Sent(now, work)
		wait, hit := engines[i].run(now, seconds, prefix)
		if n < s.requests/2 {
			continue // warming up
		}
		waits = append(waits, wait)
		if hit {
			hits++
		}
	}
	sort.Float64s(waits)
	return replayResult{
		p50: waits[len(waits)/2], p99: waits[len(waits)*99/100], hits: float64(hits) / float64(len(waits)),
	}
}

// pick is the policy of this package.
// pick is the policy of this package.
func pick(v *entryView, r Request, _ *rand.Rand) int { return Pick(v.targets, r, v.memory).Index }

// uniformRandom chooses any engine with equal probability.
// uniformRandom chooses any engine with equal probability.
func uniformRandom(v *entryView, _ Request, rnd *rand.Rand) int { return rnd.IntN(len(v.targets)) }

// roundRobin chooses the engines in turn.
// roundRobin chooses the engines in turn.
func roundRobin(v *entryView, _ Request, _ *rand.Rand) int {
	v.next++
	return v.next % len(v.targets)
}

// leastReported chooses the engine with the least work at the last reports.
// leastReported chooses the engine with the least work at the last reports.
func leastReported(v *entryView, r Request, _ *rand.Rand) int {
	best := 0
	for i := range v.loads {
		if v.loads[i].reportedUntil < v.loads[best].reportedUntil {
			best = i
		}
	}
	return best
}

// twoChoices draws two engines and chooses the one with less reported work.
// twoChoices draws two engines and chooses the one with less reported work.
func twoChoices(v *entryView, r Request, rnd *rand.Rand) int {
	a, b := rnd.IntN(len(v.targets)), rnd.IntN(len(v.targets))
	if v.loads[b].reportedUntil < v.loads[a].reportedUntil {
		return b
	}
	return a
}

// hashOnly chooses the first home of the prefix, whatever its load.
// hashOnly chooses the first home of the prefix, whatever its load.
func hashOnly(v *entryView, r Request, _ *rand.Rand) int {
	var top [maxTopHomes]int
	rendezvous(v.targets, r, false, top[:])
	return top[0]
}

// policies lists the policies by the names that the figures use.
// policies lists the policies by the names that the figures use.
var policies = []struct {
	name   string
	choose policy
}{
	{"ours", pick}, {"random", uniformRandom}, {"round_robin", roundRobin},
	{"least_reported", leastReported}, {"two_choices", twoChoices}, {"hash_only", hashOnly},
}

// newScenario returns a scenario with current reports and no hot prefixes.
// newScenario returns a scenario with current reports and no hot prefixes.
func newScenario(entries, engines int) scenario {
	return scenario{entries: entries, engines: engines, requests: 4000 * engines, seed: 1}
}

// BenchmarkFigures prints the figures of the replays for "make bench".
func BenchmarkFigures(b *testing.B) {
	for b.Loop() {
		for _, size := range [][2]int{{8, 12}, {68, 217}} {
			for _, hot := range []int{0, 1, 5} {
				printScenario(size, hot)
			}
		}
	}
}

// printScenario prints the figures of all policies at several report ages. size is
// printScenario prints the figures of all policies at several report ages. size is
// the number of entries and of engines.
func printScenario(size [2]int, hot int) {
	s := newScenario(size[0], size[1])
	if size[1] > 100 {
		s.requests = 600 * size[1]
	}
	s.hotPrefixes = hot
	fresh := s
	fresh.sharedView = true
	base := replay(fresh, pick)
	fmt.Printf("figure route_%dx%d_hot%d_fresh_p99_wait %.4f s\n", size[0], size[1], hot, base.p99)
	for _, age := range []float64{0, 0.5, 2, 5} {
		s.reportAge = age
		for _, p := range policies {
			f := replay(s, p.choose)
			fmt.Printf("figure route_%dx%d_hot%d_age%g_%s p99 %.4f s, p50 %.4f s, ratio %.3f, hits %.3f\n", size[0], size[1], hot, age, p.name, f.p99, f.p50, f.p99/base.p99, f.hits)
		}
	}
}
