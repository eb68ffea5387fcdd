package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// wide returns a decode engine with many slots.
func wide(id string) *fleet.Target {
	t := engine(id, fleet.Decode)
	t.Slots = 96
	return t
}

// newTaught returns a taught placer; o may be changed later.
func newTaught(o others) *place.Placer {
	p := place.New(place.DefaultConfig("a"), o, unchanging)
	teach(p)
	return p
}

// writes has an engine write answers beside so many others, each event of 59 tokens in
// pause; each third one has stretch times the tokens that its caller expected.
func writes(p *place.Placer, o others, t *fleet.Target, beside int, pause time.Duration, stretch float64) {
	now := time.Now()
	before := o[t.ID]
	o[t.ID] = place.Work{Running: beside}
	for i := range 60 {
		q := hint()
		q.Limit = time.Hour
		c, _ := p.Decode([]*fleet.Target{t}, spec, q, "a", nil, now)
		events := hint().Output / 59
		if i%3 == 0 {
			events = int(stretch * float64(events))
		}
		c.Ticket.First(now)
		c.Ticket.Stream(events, pause*time.Duration(events-1))
		c.Ticket.End(place.Good, now)
	}
	o[t.ID] = before
}

// An engine whose steps grow by 1.7 in 100 with each request beside takes 15.5 s for the 12,000
// tokens that an answer may have beside 70 others, of the 15 s that it may take.
func TestLongAnswersLimitTheBatch(t *testing.T) {
	is := is.New(t)
	o := others{"d1": {Running: 70, Streams: 70}}
	p := newTaught(o)
	d1 := wide("d1")
	writes(p, o, d1, 60, 70*time.Millisecond, 2.4)
	c, _ := p.Read([]*fleet.Target{d1}, spec, hint(), nil, time.Now())
	is.True(c.Expected > 250*time.Millisecond)
	p = newTaught(o)
	writes(p, o, d1, 60, 70*time.Millisecond, 2.4)
	patient := hint()
	patient.Limit = time.Minute
	c, _ = p.Read([]*fleet.Target{d1}, spec, patient, nil, time.Now())
	is.True(c.Expected < 100*time.Millisecond)
}

// Where steps hardly grow, or answers are no longer than expected, the same batch is open.
func TestBatchIsLimitedByWhatIsLearned(t *testing.T) {
	for name, c := range map[string]struct {
		pause   time.Duration
		stretch float64
	}{"steps that hardly grow": {38 * time.Millisecond, 2.4}, "answers as expected": {77 * time.Millisecond, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := others{"d1": {Running: 70, Streams: 70}}
			p := newTaught(o)
			d1 := wide("d1")
			writes(p, o, d1, 60, c.pause, c.stretch)
			// What was needed before answers were known counts no more.
			later := time.Now().Add(time.Minute)
			choice, _ := p.Read([]*fleet.Target{d1}, spec, hint(), nil, later)
			is.True(choice.Expected < 100*time.Millisecond)
		})
	}
}

// Two engines of a service, one of which writes 1.5 times slower: answers that may be long go
// to the faster one, though it runs more, and short ones to the emptier one.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	is := is.New(t)
	o := others{}
	p := newTaught(o)
	fast, slow := wide("fast"), wide("slow")
	writes(p, o, fast, 0, 55*time.Millisecond, 2.4)
	writes(p, o, slow, 0, 83*time.Millisecond, 2.4)
	writes(p, o, fast, 0, 55*time.Millisecond, 2.4)
	o["fast"], o["slow"] = place.Work{Running: 12, Streams: 12}, place.Work{Running: 6, Streams: 6}
	both := []*fleet.Target{slow, fast}
	for range 20 {
		c, _ := p.Decode(both, spec, hint(), "a", nil, time.Now())
		is.Equal(c.Target.ID, "fast")
		c.Ticket.End(place.Neutral, time.Now())
		short := hint()
		short.Output, short.MaxOutput = 500, 500
		c, _ = p.Decode(both, spec, short, "a", nil, time.Now())
		is.Equal(c.Target.ID, "slow")
		c.Ticket.End(place.Neutral, time.Now())
	}
}

// A decode engine whose streams may be long reads other prompts only in the part of its time
// that the longest answers do not need; without streams it reads all.
func TestReadingLeavesLongAnswersTheirTime(t *testing.T) {
	// read returns how many of 500 prompts, one each 40 ms, the decode engine reads.
	read := func(streams int) (n int) {
		o := others{}
		p := newTaught(o)
		d1, p1 := wide("d1"), engine("p1", fleet.Prefill)
		writes(p, o, d1, 0, 55*time.Millisecond, 2.4)
		o["d1"] = place.Work{Running: streams, Streams: streams}
		// The prefill engine is busy, so that prompts would rather be read beside streams.
		o["p1"] = place.Work{Prefill: 200 * time.Millisecond, Prefills: 4}
		now := time.Now()
		hinted, _ := p.Decode([]*fleet.Target{d1}, spec, hint(), "a", nil, now)
		hinted.Ticket.End(place.Neutral, now)
		for i := range 500 {
			now = now.Add(40 * time.Millisecond)
			q := session(uint64(5000 + i))
			c, _ := p.Read([]*fleet.Target{d1, p1}, spec, q, nil, now)
			p.Commit(c, q, now)
			if c.InPlace {
				n++
			}
			c.Ticket.End(place.Neutral, now)
		}
		return n
	}
	is := is.New(t)
	is.Equal(read(0), 500)
	beside := read(3)
	t.Logf("%d of 500 prompts are read beside 3 streams", beside)
	is.True(beside > 0)
	is.True(beside < 200)
}

// An answer of 200 events takes a quarter of a minute. What had ended told of short answers
// and of the smaller batches of seconds ago, so that after a crash that gathered 90 streams
// at each engine left, and for seconds after a start, long answers were reckoned wrongly:
//
//	event=request_failed beside=36 longest_ms=16633 event_us=72313 last_event=195
//	event=request_failed beside=6 longest_ms=38350 event_us=64440 last_event=208
//
// The answers that are being made tell the pace of their batch within a second or two.
func TestPaceIsLearnedWhileAnswersAreMade(t *testing.T) {
	for _, pause := range []time.Duration{70 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			o := others{"d1": {Running: 5, Streams: 5}}
			p := newTaught(o)
			d1 := wide("d1")
			writes(p, o, d1, 5, 55*time.Millisecond, 2.4)
			now := time.Now()
			running := make([]*place.Ticket, 20)
			for i := range running {
				c, ok := p.Decode([]*fleet.Target{d1}, spec, hint(), "a", nil, now)
				is.True(ok)
				c.Ticket.First(now)
				c.Ticket.Events(1, now)
				running[i] = c.Ticket
			}
			o["d1"] = place.Work{Running: 60, Streams: 60}
			for range 48 {
				now = now.Add(pause)
				for _, t := range running {
					t.Events(1, now)
				}
			}
			q := hint()
			c, _ := p.Decode([]*fleet.Target{d1}, spec, q, "a", nil, now)
			most := time.Duration(q.MaxOutput/59) * pause
			t.Logf("the longest answer takes %s, and is reckoned to take %s", most, c.Seat.Longest)
			is.True(c.Seat.Longest > most*8/10)
			is.True(c.Seat.Longest < most*12/10)
		})
	}
}

// Two engines of a service, one 1.3 times slower. The slower one runs fewer answers, which take
// longer all the same; taken for one engine, steps seemed not to grow with what runs beside. So
// the faster one was given 50 to 60 answers at once, each reckoned to end in 13.6 s, and made an
// event each 72 ms, of which the longest answer may take 70:
//
//	event=request_failed kind=client_gone ms=14999 beside=52 longest_ms=13765 last_event=210
func TestGrowthIsLearnedOfEnginesThatDifferInSpeed(t *testing.T) {
	is := is.New(t)
	o := others{}
	p := newTaught(o)
	fast, slow := wide("fast"), wide("slow")
	pause := func(t *fleet.Target, beside int) time.Duration {
		ms := 53 + 0.35*float64(beside)
		if t == slow {
			ms *= 1.3
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		for t, most := range map[*fleet.Target]int{fast: 60, slow: 25} {
			beside := most - r.IntN(15)
			writes(p, o, t, beside, pause(t, beside), 2.4)
		}
	}
	for _, target := range []*fleet.Target{fast, slow} {
		for _, beside := range []int{5, 30, 70} {
			o[target.ID] = place.Work{Running: beside}
			q := hint()
			c, _ := p.Decode([]*fleet.Target{target}, spec, q, "a", nil, time.Now())
			c.Ticket.End(place.Neutral, time.Now())
			want := time.Duration(q.MaxOutput/59) * pause(target, beside)
			t.Logf("%s beside %d: %s reckoned, %s it is", target.ID, beside, c.Seat.Longest, want)
			is.True(c.Seat.Longest > want*9/10)
			is.True(c.Seat.Longest < want*11/10)
		}
	}
}

// Two engines, one 1.3 times slower, too slow for the longest answers. In a burst of prompts
// the reading that other VMs place unseen is worth more than a seat was, so that short answers
// were dealt to both alike until the faster one's seats were taken, and long ones found none:
// of 377 answers 85 were refused, most of the largest among them.
func TestShorterAnswersLeaveTheFasterTarget(t *testing.T) {
	is := is.New(t)
	o := others{}
	p := place.New(place.DefaultConfig("a"), late{o}, unchanging)
	teach(p)
	fast, slow := wide("fast"), wide("slow")
	for range 3 {
		writes(p, o, fast, 0, 55*time.Millisecond, 2.4)
		writes(p, o, fast, 60, 78*time.Millisecond, 2.4)
		writes(p, o, slow, 0, 74*time.Millisecond, 2.4)
		writes(p, o, slow, 60, 105*time.Millisecond, 2.4)
	}
	o["fast"], o["slow"] = place.Work{Running: 16, Streams: 16}, place.Work{Running: 46, Streams: 46}
	both := []*fleet.Target{fast, slow}
	now := time.Now()
	for range 100 {
		run, _ := p.Decode(both, spec, hint(), "a", nil, now)
		run.Ticket.End(place.Good, now.Add(5*time.Second))
	}
	elsewhere := engine("p1", fleet.Prefill)
	c, _ := p.Read([]*fleet.Target{elsewhere, slow}, spec, session(1), nil, now)
	c.Ticket.End(place.Neutral, now)
	toFast := func(q *place.Prompt) (n int) {
		for i := range 200 {
			q.Parts = []place.Part{{Hash: uint64(1000 + i), Tokens: q.Tokens}}
			now = now.Add(10 * time.Millisecond)
			// Other VMs have prompts read elsewhere for 40 ms in each 10 ms.
			p.Observe([]place.Use{{Target: elsewhere.ID, Missing: 10000, Reads: true}}, now)
			c, _ := p.Read(both, spec, q, nil, now)
			if c.Target == fast {
				n++
			}
			c.Ticket.End(place.Neutral, now)
		}
		return n
	}
	long := toFast(hint())
	short := hint()
	short.Output, short.MaxOutput = 500, 500
	few := toFast(short)
	t.Logf("of 200 long answers %d go to the faster engine, of 200 short ones %d", long, few)
	is.True(long > 150)
	is.True(few < 50)
}

// late knows of others' work 30 ms late.
type late struct{ others }

func (late) Age() time.Duration { return 30 * time.Millisecond }

// How many engines decode follows from what their runs fill. Counted by slots, 37 runs filled
// 0.4 of an engine whose steps were already too long for the longest answers, so that while
// these were lost another decode engine was ordered to prefill. Here the longest answers end in
// time beside 38 others:
//
//	event=order_sent engine=i-3783467ec3 stage=prefill
//	event=request_failed kind=stream_lost beside=33 event_us=70644 last_event=194
func TestDecodingIsFilledBySeats(t *testing.T) {
	is := is.New(t)
	o := others{}
	p := newTaught(o)
	d1 := wide("d1")
	writes(p, o, d1, 0, 55*time.Millisecond, 2.4)
	writes(p, o, d1, 60, 78*time.Millisecond, 2.4)
	o["d1"] = place.Work{Running: 40, Streams: 40}
	targets := []*fleet.Target{d1}
	now := time.Now()
	c, _ := p.Decode(targets, spec, hint(), "a", nil, now)
	c.Ticket.End(place.Neutral, now)
	long := p.Decoding(targets, spec, now)
	t.Logf("40 runs fill %.2f of an engine", long)
	is.True(long > 0.9)
	// Where no answer is long, slots count.
	is.True(p.Decoding(targets, spec, now.Add(time.Minute)) < 0.5)
}

// A long answer that waited for a seat at the only target fast enough for it was passed over by
// newcomers until it was refused.
func TestNewcomersLeaveSeatsToThoseThatWait(t *testing.T) {
	is := is.New(t)
	o := others{}
	p := newTaught(o)
	fast, slow := wide("fast"), wide("slow")
	for range 3 {
		writes(p, o, fast, 0, 55*time.Millisecond, 2.4)
		writes(p, o, fast, 60, 78*time.Millisecond, 2.4)
		writes(p, o, slow, 0, 83*time.Millisecond, 2.4)
		writes(p, o, slow, 60, 117*time.Millisecond, 2.4)
	}
	both := []*fleet.Target{fast, slow}
	now := time.Now()
	for range 100 {
		run, _ := p.Decode(both, spec, hint(), "a", nil, now)
		run.Ticket.End(place.Good, now.Add(5*time.Second))
	}
	read := func(q *place.Prompt) place.Choice {
		c, ok := p.Read(both, spec, q, nil, now)
		is.True(ok)
		c.Ticket.End(place.Neutral, now)
		return c
	}
	asked := place.Asked{Objective: 200 * time.Millisecond, Left: 15 * time.Second, Patience: 2 * time.Second}

	running := 50
	o["fast"], o["slow"] = place.Work{Running: running, Streams: running}, place.Work{Running: 80, Streams: 80}
	first := read(hint())
	t.Logf("beside %d the wait for a seat is %s", running, first.SeatWait)
	is.Equal(place.Judge(first, asked).Reason, place.NoSeat)
	waiting := p.Wait("m", first)

	// Seats become free, one after the other.
	for first.SeatWait > 0 {
		running--
		o["fast"] = place.Work{Running: running, Streams: running}
		again := hint()
		again.Deferred = true
		first = read(again)
	}
	is.Equal(place.Judge(first, asked).Verdict, place.Send)
	newcomer := read(hint())
	is.Equal(newcomer.Target.ID, "fast")
	is.True(newcomer.SeatWait > 0)
	// One that is short enough for the slower target does not wait.
	short := hint()
	short.Output, short.MaxOutput = 500, 500
	is.Equal(read(short).SeatWait, time.Duration(0))

	waiting.End(place.Neutral, now)
	is.Equal(read(hint()).SeatWait, time.Duration(0))
}
