package model

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// exampleSite returns the first example installation with half of its engines.
func exampleSite(t *testing.T) *Site {
	t.Helper()
	s, err := Load("../../examples/model/kochi.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.DataCentres {
		s.DataCentres[i].Engines = 2
	}
	return s
}

// shortDay returns a day of six seconds with overload and faults.
func shortDay(s *Site) *Day {
	return &Day{
		Name: "short", Seed: 7, LengthS: 6, PerS: []float64{50, 50, 50}, Swing: 0.2, PeriodS: 3,
		Bursts:  []Burst{{Class: s.Classes[0].Name, AtS: 1, ForS: 2, X: 5}},
		Outages: []Outage{{AtS: 1, ForS: 2, Count: 1}, {AtS: 2, ForS: 1, Count: 1, Silent: true}, {AtS: 3, Count: 1, Drain: true}},
		Cuts:    []Cut{{DataCentre: s.DataCentres[0].Name, AtS: 3.5, ForS: 1}},
		Stops:   []Stop{{AtS: 5, ForS: 0.5}},
	}
}

// The examples load. A file with an unknown field and one without the required figures do not.
func TestExamplesLoad(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"../../examples/model/kochi.jsonc", "../../examples/model/nairobi.jsonc", "../../examples/model/ljubljana.jsonc"} {
		s, err := Load(path)
		is.NoErr(err)
		is.Equal(len(s.Days), 6)
	}
	_, err := Decode([]byte(`{"name": "x", "unknown": 1}`))
	is.True(err != nil)
	_, err = Decode([]byte(`{"name": "x"}`))
	is.True(err != nil)
}

// Two runs with the same seed must give identical reports.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	is := is.New(t)
	s := exampleSite(t)
	d := shortDay(s)
	text := func(seed uint64) string {
		r, err := NewReport(s, d, seed, []string{"random", "shares", "today"})
		is.NoErr(err)
		var b, svg strings.Builder
		is.NoErr(r.Write(&b))
		is.NoErr(r.Plot(&svg))
		return b.String() + svg.String()
	}
	first := text(3)
	is.Equal(text(3), first)
	is.True(text(4) != first)
}

// TestEveryRequestEndsOnce simulates a day with faults under each policy. Every request must have
// exactly one outcome, and the policy must not earn more than the bound.
func TestEveryRequestEndsOnce(t *testing.T) {
	s := exampleSite(t)
	d := shortDay(s)
	for seed := uint64(1); seed <= 2; seed++ {
		r, err := NewReport(s, d, seed, PolicyNames())
		if err != nil {
			t.Fatal(err)
		}
		generated := len(GenerateRequests(s, d, seed))
		for _, run := range r.Runs {
			total := run.Result.Total()
			if total.Offered != generated || total.Settled() != generated {
				t.Errorf("seed %d, %s: %d generated, %d offered, %d settled", seed, run.Policy, generated, total.Offered, total.Settled())
			}
			if total.Worth > r.Bound.Worth {
				t.Errorf("seed %d, %s: worth %.1f above the bound %.1f", seed, run.Policy, total.Worth, r.Bound.Worth)
			}
			if total.InTime == 0 {
				t.Errorf("seed %d, %s: nothing served in time", seed, run.Policy)
			}
		}
	}
}

// A report on a policy with an unknown name must fail.
func TestUnknownPolicyIsAnError(t *testing.T) {
	is := is.New(t)
	s := exampleSite(t)
	_, err := NewReport(s, shortDay(s), 1, []string{"none"})
	is.True(err != nil)
}

// recorder is a sequenceObserver that records the progress of a sequence, with the times at which
// its prompt was prefilled and its events produced.
type recorder struct {
	clock       *clock
	prefilledAt time.Duration
	cached      int
	events      []time.Duration
	ended       bool
	dropCount   int
	started     bool
}

// prefilled, eventProduced and dropped implement sequenceObserver.
func (s *recorder) prefilled(cached int) { s.prefilledAt, s.cached = s.clock.now, cached }
func (s *recorder) eventProduced(_ int, last bool) {
	s.events = append(s.events, s.clock.now)
	s.ended = last
}
func (s *recorder) dropped(started bool) { s.dropCount++; s.started = started }

// newTestEngine returns an engine with round numbers for its figures, and its clock.
func newTestEngine(stage fleet.Stage) (*engine, *clock) {
	c := &clock{}
	return &engine{
		target: &fleet.Target{ID: "e", Stage: stage}, timeFactor: 1, clock: c, cache: newKVCache(10000), tokens: &TokenCounts{},
		spec: &Engine{
			Slots: 2, Queue: 2, StepMS: 1, StepPerRunMS: 0.5, PrefillPerMS: 100, FirstMS: 5, Chunk: 400, EventTokens: 10, KVTokens: 10000,
		},
	}, c
}

// prompt returns a prompt with one shared part and one part that no other prompt has. The arguments
// are the lengths of the parts in tokens.
func prompt(shared, own int) *place.Prompt {
	return &place.Prompt{Tokens: shared + own, Parts: []place.Part{{Hash: 1, Tokens: shared}, {Hash: uint64(1000 + own), Tokens: own}}}
}

// noExpiry is an expiry beyond the end of every test.
const noExpiry = time.Hour

// A prefill engine takes one step for each chunk of a prompt, and does not prefill a shared part
// again that is in its cache.
func TestPrefillEngineProcessesPromptInChunks(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Prefill)
	a := &recorder{clock: c}
	first := &sequence{prompt: prompt(600, 400), prefillOnly: true, expiresAt: noExpiry, observer: a}
	is.True(e.submit(first))
	c.runUntil(time.Minute)
	// Chunks of 400, 400 and 200 tokens: 5, 5 and 3 ms, and 5 ms to the first token.
	is.Equal(a.prefilledAt, 18*time.Millisecond)
	is.Equal(a.cached, 0)
	e.freeHandle(first)

	// The shared part is cached: 300 tokens in one step.
	b := &recorder{clock: c}
	begin := c.now
	is.True(e.submit(&sequence{prompt: prompt(600, 300), prefillOnly: true, expiresAt: noExpiry, observer: b}))
	c.runUntil(time.Minute)
	is.Equal(b.prefilledAt-begin, 9*time.Millisecond)
	is.Equal(b.cached, 600)
}

// The space that the end of one prompt leaves in a chunk is used for the next prompt.
func TestTwoPromptsShareAChunk(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Prefill)
	a, b := &recorder{clock: c}, &recorder{clock: c}
	is.True(e.submit(&sequence{prompt: prompt(100, 200), prefillOnly: true, expiresAt: noExpiry, observer: a}))
	q := prompt(100, 500)
	q.Parts[0].Hash = 2
	is.True(e.submit(&sequence{prompt: q, prefillOnly: true, expiresAt: noExpiry, observer: b}))
	c.runUntil(time.Minute)
	// 300 tokens of the first and 100 of the second in 5 ms, then 400 in 5 ms and
	// 100 in 2 ms.
	is.Equal(a.prefilledAt, 10*time.Millisecond)
	is.Equal(b.prefilledAt, 17*time.Millisecond)
}

// A decode engine prefills at half speed, and its running streams are slowed only during the steps
// in which it prefills.
func TestDecodeEnginePrefillsBetweenTokens(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Decode)
	a := &recorder{clock: c}
	is.True(e.submit(&sequence{prompt: prompt(50, 50), output: 21, expiresAt: noExpiry, observer: a}))
	c.runUntil(time.Minute)
	// One chunk of 100 tokens at half the speed: 3 ms, and 5 ms to the first token;
	// then a token every 1.5 ms, ten to an event.
	is.Equal(a.events, []time.Duration{8 * time.Millisecond, 23 * time.Millisecond, 38 * time.Millisecond})
	is.True(a.ended)

	// While 200 tokens are prefilled, each step takes 2 ms more for 100 of them.
	stream, prefilling := &recorder{clock: c}, &recorder{clock: c}
	begin := c.now
	is.True(e.submit(&sequence{prompt: prompt(50, 50), output: 11, expiresAt: noExpiry, observer: stream}))
	c.after(6*time.Millisecond, func() {
		q := prompt(50, 150)
		q.Parts[0].Hash = 3
		is.True(e.submit(&sequence{prompt: q, output: 1, expiresAt: noExpiry, observer: prefilling}))
	})
	c.runUntil(time.Minute)
	// The shared 50 tokens and the own 50 are cached: the first token comes after a
	// step of 1 ms and 5 ms; of the ten that follow two take 3.5 ms.
	is.Equal(stream.events[0]-begin, 6*time.Millisecond)
	is.Equal(stream.events[1]-begin, (6+15+4)*time.Millisecond)
	is.True(prefilling.ended)
}

// An engine whose slots and queue are full refuses further sequences. Sequences are dropped once
// their time has expired, and their slots and cache memory are released.
func TestFullEngineRefusesAndExpiredSequencesAreDropped(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Decode)
	var all []*recorder
	for range 4 {
		s := &recorder{clock: c}
		all = append(all, s)
		is.True(e.submit(&sequence{prompt: prompt(10, 10), output: 1001, expiresAt: 20 * time.Millisecond, observer: s}) == (len(all) <= 2))
	}
	c.runUntil(time.Minute)
	for _, s := range all[:2] {
		is.Equal(s.dropCount, 1)
		is.True(s.started)
	}
	is.Equal(e.cache.reservedTokens, 0)
	is.Equal(e.busySlots(), 0)
}

// Lower values of priority are served first.
func TestHigherPriorityIsServedFirst(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Prefill)
	low, high := &recorder{clock: c}, &recorder{clock: c}
	is.True(e.submit(&sequence{prompt: prompt(400, 400), prefillOnly: true, priority: 1, expiresAt: noExpiry, observer: low}))
	q := prompt(400, 400)
	q.Parts[0].Hash, q.Parts[1].Hash = 5, 6
	is.True(e.submit(&sequence{prompt: q, prefillOnly: true, priority: 0, expiresAt: noExpiry, observer: high}))
	c.runUntil(time.Minute)
	is.True(high.prefilledAt < low.prefilledAt)
}

// A crash drops all sequences and clears the cache, and the engine refuses sequences from then on.
func TestCrashLosesSequencesAndCache(t *testing.T) {
	is := is.New(t)
	e, c := newTestEngine(fleet.Decode)
	a := &recorder{clock: c}
	is.True(e.submit(&sequence{prompt: prompt(50, 50), output: 1001, expiresAt: noExpiry, observer: a}))
	c.after(50*time.Millisecond, e.crash)
	c.runUntil(time.Minute)
	is.Equal(a.dropCount, 1)
	is.Equal(e.cache.partTokens+e.cache.reservedTokens, 0)
	is.True(!e.submit(&sequence{prompt: prompt(50, 50), output: 1, expiresAt: noExpiry, observer: a}))
}

// The cache evicts the least recently used part first and never a pinned one.
func TestCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	is := is.New(t)
	c := newKVCache(100)
	for hash := uint64(1); hash <= 3; hash++ {
		is.True(c.reserve(30))
		c.release(30)
		c.insert(hash, 30)
		c.unpin(hash)
	}
	is.True(c.pin(1)) // the first part is used again and pinned
	is.True(c.reserve(20))
	is.True(!c.pin(2)) // the least recently used part was evicted
	is.True(c.pin(3))
	is.True(!c.reserve(30)) // pinned parts are not evicted
	c.unpin(3)
	is.True(c.reserve(30))
	is.True(!c.pin(3))
	is.True(c.pin(1))
}

// maxTotalWorth must respect the windows of tasks, prefer tasks of higher density, and move a task
// within its window to make room for another.
func TestMaxTotalWorth(t *testing.T) {
	is := is.New(t)
	near := func(got, want float64) bool { return math.Abs(got-want) < 1e-9 }
	// One engine for one second: only the task of higher density fits whole, and half of
	// the other.
	tasks := []task{{begin: 0, end: 1, need: 0.75, density: 4}, {begin: 0, end: 1, need: 0.5, density: 2}}
	is.True(near(maxTotalWorth(tasks, 1), 0.75*4+0.25*2))
	// Tasks in separate windows cannot use each other's time.
	tasks = []task{{begin: 0, end: 1, need: 3, density: 1}, {begin: 5, end: 6, need: 0.5, density: 1}}
	is.True(near(maxTotalWorth(tasks, 1), 1.5))
	// The first task can be done later to make room for the second.
	tasks = []task{{begin: 0, end: 2, need: 1, density: 5}, {begin: 0, end: 1, need: 1, density: 1}}
	is.True(near(maxTotalWorth(tasks, 1), 6))
	is.Equal(maxTotalWorth(nil, 1), 0.0)
}

// BestHitRate must count only the shared tokens that the cache of an engine can hold between two
// requests of a session.
func TestBestHitRateCountsCachedTokens(t *testing.T) {
	is := is.New(t)
	s := &Site{Engine: Engine{KVTokens: 1000}, DataCentres: []DataCentre{{Engines: 2}}}
	ask := func(hash uint64, shared, own int) *Request {
		q := prompt(shared, own)
		q.Parts[0].Hash, q.Parts[1].Hash = hash, hash<<32+uint64(own)
		return &Request{Prompt: q}
	}
	// Two sessions of 600 tokens fit one engine each, and are prefilled once.
	var rs []*Request
	for i := range 4 {
		rs = append(rs, ask(1, 600, 10+i), ask(2, 600, 10+i))
	}
	is.Equal(BestHitRate(s, rs), 0.75)
	// With own parts of 300 tokens an engine caches one session, not two: of three sessions
	// one stays cached, and is hit in three of its four requests.
	rs = nil
	for i := range 4 {
		for hash := uint64(1); hash <= 3; hash++ {
			rs = append(rs, ask(hash, 600, 300+i))
		}
	}
	is.Equal(BestHitRate(s, rs), 0.25)
}
