package route

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// The replay sends a recorded mix through several independent entries to fake
// engines, in virtual time: each engine prefills one prompt after the other
// and keeps the prefixes used last. The same seed gives the same figures.

// scene is the set-up of one replay.
type scene struct {
	entries  int
	engines  int
	age      float64 // of load reports, in seconds
	shared   bool    // one picture for all entries, always fresh
	hot      int     // prefixes that share hotShare of the requests
	requests int
	seed     uint64
}

// pictures is how many independent pictures of the engines there are.
func (s scene) pictures() int {
	if s.shared {
		return 1
	}
	return s.entries
}

const (
	promptSeconds = 0.100 // mean prefill of a prompt without its prefix cached
	cachedShare   = 0.5   // of that work, saved by a cached prefix
	hotShare      = 0.4
	utilisation   = 0.5 // of the engines, if every prefix were met
	perEngine     = 24  // prefixes in use for each engine
	cacheSize     = 40  // prefixes that an engine's cache holds
)

// fakeEngine is one engine: a queue and a cache.
type fakeEngine struct {
	until   float64
	work    float64
	history []report
	cache   map[uint64]*list.Element
	lru     *list.List
}

type report struct{ at, until, work float64 }

func (e *fakeEngine) meets(prefix uint64) bool {
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

// run serves a prompt at time now and returns its wait and whether its prefix
// was cached.
func (e *fakeEngine) run(now, seconds float64, prefix uint64) (wait float64, hit bool) {
	hit = e.meets(prefix)
	if hit {
		seconds *= 1 - cachedShare
	}
	start := max(e.until, now)
	e.until = start + seconds
	e.work += seconds
	e.history = append(e.history, report{at: now, until: e.until, work: e.work})
	return start - now, hit
}

// policy chooses an engine for a request at one entry.
type policy func(v *entryView, r Request, rnd *rand.Rand) int

// entryView is one entry's picture of the engines.
type entryView struct {
	targets []Target
	loads   []Load
	busy    []Busy
	memory  *Memory
	read    []int // how much of each engine's history has been reported
	next    int   // for round robin
}

func newEntryView(s scene) *entryView {
	v := &entryView{targets: make([]Target, s.engines), loads: make([]Load, s.engines), busy: make([]Busy, s.engines), read: make([]int, s.engines), memory: &Memory{Seen: NewSeen(1<<14, 300), Heat: NewHeat(1<<12, 10)}}
	for i := range v.targets {
		v.targets[i] = Target{Hash: mix(uint64(i) + 1), Roles: Whole}
	}
	return v
}

// refresh takes in the reports that have arrived by now.
func (v *entryView) refresh(engines []*fakeEngine, now float64, s scene) {
	age := s.age
	if s.shared {
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
		v.targets[i].Until, v.targets[i].Busy = v.loads[i].Until(), v.busy[i].Share()
	}
}

type figures struct{ p50, p99, hits float64 }

func replay(s scene, choose policy) figures {
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
		prefix := mix(1000 + rnd.Uint64N(uint64(perEngine*s.engines)))
		if s.hot > 0 && rnd.Float64() < hotShare {
			prefix = mix(10 + rnd.Uint64N(uint64(s.hot)))
		}
		v := views[0]
		if !s.shared {
			v = views[rnd.IntN(s.entries)]
		}
		v.refresh(engines, now, s)
		v.memory.Heat.Add(prefix, now)
		r := Request{Now: now, Role: Whole, Prefix: prefix, Entries: s.pictures(), Seconds: seconds, CachedSeconds: seconds * cachedShare, Random: rnd.Uint64()}
		i := choose(v, r, rnd)
		work := seconds
		if v.memory.Seen.Has(prefix, v.targets[i].Hash, now) {
			work *= 1 - cachedShare
		}
		v.memory.Seen.Set(prefix, v.targets[i].Hash, now)
		v.loads[i].Sent(now, work)
		wait, hit := engines[i].run(now, seconds, prefix)
		if n < s.requests/2 {
			continue // warm-up
		}
		waits = append(waits, wait)
		if hit {
			hits++
		}
	}
	sort.Float64s(waits)
	return figures{
		p50: waits[len(waits)/2], p99: waits[len(waits)*99/100], hits: float64(hits) / float64(len(waits)),
	}
}

func ours(v *entryView, r Request, _ *rand.Rand) int { return Pick(v.targets, r, v.memory).Index }

func randomly(v *entryView, _ Request, rnd *rand.Rand) int { return rnd.IntN(len(v.targets)) }

func roundRobin(v *entryView, _ Request, _ *rand.Rand) int {
	v.next++
	return v.next % len(v.targets)
}

func leastReported(v *entryView, r Request, _ *rand.Rand) int {
	best := 0
	for i := range v.loads {
		if v.loads[i].reportedUntil < v.loads[best].reportedUntil {
			best = i
		}
	}
	return best
}

func twoChoices(v *entryView, r Request, rnd *rand.Rand) int {
	a, b := rnd.IntN(len(v.targets)), rnd.IntN(len(v.targets))
	if v.loads[b].reportedUntil < v.loads[a].reportedUntil {
		return b
	}
	return a
}

func hashOnly(v *entryView, r Request, _ *rand.Rand) int {
	var top [homes]int
	rendezvous(v.targets, r, false, top[:])
	return top[0]
}

var policies = []struct {
	name   string
	choose policy
}{
	{"ours", ours}, {"random", randomly}, {"round_robin", roundRobin},
	{"least_reported", leastReported}, {"two_choices", twoChoices}, {"hash_only", hashOnly},
}

func sceneOf(entries, engines int) scene {
	return scene{entries: entries, engines: engines, requests: 4000 * engines, seed: 1}
}

// BenchmarkFigures prints the figures of the replay for "make bench".
func BenchmarkFigures(b *testing.B) {
	for b.Loop() {
		for _, size := range [][2]int{{8, 12}, {68, 217}} {
			for _, hot := range []int{0, 1, 5} {
				printScene(size, hot)
			}
		}
	}
}

func printScene(size [2]int, hot int) {
	s := sceneOf(size[0], size[1])
	if size[1] > 100 {
		s.requests = 600 * size[1]
	}
	s.hot = hot
	fresh := s
	fresh.shared = true
	base := replay(fresh, ours)
	fmt.Printf("figure route_%dx%d_hot%d_fresh_p99_wait %.4f s\n", size[0], size[1], hot, base.p99)
	for _, age := range []float64{0, 0.5, 2, 5} {
		s.age = age
		for _, p := range policies {
			f := replay(s, p.choose)
			fmt.Printf("figure route_%dx%d_hot%d_age%g_%s p99 %.4f s, p50 %.4f s, ratio %.3f, hits %.3f\n", size[0], size[1], hot, age, p.name, f.p99, f.p50, f.p99/base.p99, f.hits)
		}
	}
}
