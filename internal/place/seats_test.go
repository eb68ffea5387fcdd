package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// engineWith96Slots returns a decode engine of service "m" with 96 slots.
func engineWith96Slots(id string) *fleet.Target {
	t := engine(id, fleet.Decode)
	t.Slots = 96
	return t
}

// trainedPlacerWithWork returns a placer that has observed what train describes. o is the work of
// other VMs, which the test may change later.
func trainedPlacerWithWork(o peerWork) *place.Placer {
	p := place.New(place.DefaultConfig("a"), o, noStageChange)
	train(p)
	return p
}

// observeAnswers has a placer observe 60 answers of an engine that runs the given number of
// requests, with an event of 59 tokens every eventGap. Every third answer has outputFactor times
// the tokens that its caller expected.
func observeAnswers(p *place.Placer, o peerWork, t *fleet.Target, running int, eventGap time.Duration, outputFactor float64) {
	now := time.Now()
	before := o[t.ID]
	o[t.ID] = place.Work{Running: running}
	for i := range 60 {
		q := longAnswerPrompt()
		q.Limit = time.Hour
		c, _ := p.Decode([]*fleet.Target{t}, spec, q, "a", nil, now)
		events := longAnswerPrompt().Output / 59
		if i%3 == 0 {
			events = int(outputFactor * float64(events))
		}
		c.Ticket.FirstEvent(now)
		c.Ticket.ObserveAnswer(events, eventGap*time.Duration(events-1))
		c.Ticket.End(place.Good, now)
	}
	o[t.ID] = before
}

// The decode steps of an engine grow by 1.7% with each request in its batch. In a batch with 70
// other requests, an answer with the maximum length, 12,000 tokens, takes 15.5 s. That is longer
// than the limit of 15 s, so the request has to wait for a seat. With a limit of a minute the
// request does not wait.
func TestLongAnswersLimitTheBatch(t *testing.T) {
	is := is.New(t)
	o := peerWork{"d1": {Running: 70, Streams: 70}}
	p := trainedPlacerWithWork(o)
	d1 := engineWith96Slots("d1")
	observeAnswers(p, o, d1, 60, 70*time.Millisecond, 2.4)
	c, _ := p.Prefill([]*fleet.Target{d1}, spec, longAnswerPrompt(), nil, time.Now())
	is.True(c.Expected > 250*time.Millisecond)
	p = trainedPlacerWithWork(o)
	observeAnswers(p, o, d1, 60, 70*time.Millisecond, 2.4)
	relaxed := longAnswerPrompt()
	relaxed.Limit = time.Minute
	c, _ = p.Prefill([]*fleet.Target{d1}, spec, relaxed, nil, time.Now())
	is.True(c.Expected < 100*time.Millisecond)
}

// If steps hardly grow with the batch, or answers are no longer than expected, the batch of 70
// requests that is full in TestLongAnswersLimitTheBatch has free seats.
func TestBatchIsLimitedByWhatIsLearned(t *testing.T) {
	for name, c := range map[string]struct {
		eventGap     time.Duration
		outputFactor float64
	}{"steps hardly grow": {38 * time.Millisecond, 2.4}, "answers as long as expected": {77 * time.Millisecond, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := peerWork{"d1": {Running: 70, Streams: 70}}
			p := trainedPlacerWithWork(o)
			d1 := engineWith96Slots("d1")
			observeAnswers(p, o, d1, 60, c.eventGap, c.outputFactor)
			// After a minute, the step limit that was observed before any answers were known has
			// expired.
			later := time.Now().Add(time.Minute)
			choice, _ := p.Prefill([]*fleet.Target{d1}, spec, longAnswerPrompt(), nil, later)
			is.True(choice.Expected < 100*time.Millisecond)
		})
	}
}

// Of two engines of a service, one is 1.5 times slower. Long answers go to the faster one although
// it runs more requests. Short answers go to the slower one, which runs fewer.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	is := is.New(t)
	o := peerWork{}
	p := trainedPlacerWithWork(o)
	fast, slow := engineWith96Slots("fast"), engineWith96Slots("slow")
	observeAnswers(p, o, fast, 0, 55*time.Millisecond, 2.4)
	observeAnswers(p, o, slow, 0, 83*time.Millisecond, 2.4)
	observeAnswers(p, o, fast, 0, 55*time.Millisecond, 2.4)
	o["fast"], o["slow"] = place.Work{Running: 12, Streams: 12}, place.Work{Running: 6, Streams: 6}
	both := []*fleet.Target{slow, fast}
	for range 20 {
		c, _ := p.Decode(both, spec, longAnswerPrompt(), "a", nil, time.Now())
		is.Equal(c.Target.ID, "fast")
		c.Ticket.End(place.Neutral, time.Now())
		short := longAnswerPrompt()
		short.Output, short.MaxOutput = 500, 500
		c, _ = p.Decode(both, spec, short, "a", nil, time.Now())
		is.Equal(c.Target.ID, "slow")
		c.Ticket.End(place.Neutral, time.Now())
	}
}

// A decode engine with streams prefills prompts in place only in the fraction of its time that the
// longest answers do not need. Without streams it prefills all prompts.
func TestPrefillLeavesTimeForLongAnswers(t *testing.T) {
	// countInPlace returns how many of 500 prompts, one every 40 ms, are prefilled in place by the
	// decode engine, which runs the given number of streams.
	countInPlace := func(streams int) (n int) {
		o := peerWork{}
		p := trainedPlacerWithWork(o)
		d1, p1 := engineWith96Slots("d1"), engine("p1", fleet.Prefill)
		observeAnswers(p, o, d1, 0, 55*time.Millisecond, 2.4)
		o["d1"] = place.Work{Running: streams, Streams: streams}
		// The prefill engine is busy, so that a prefill in place would be cheaper.
		o["p1"] = place.Work{Prefill: 200 * time.Millisecond, Prefills: 4}
		now := time.Now()
		longAnswer, _ := p.Decode([]*fleet.Target{d1}, spec, longAnswerPrompt(), "a", nil, now)
		longAnswer.Ticket.End(place.Neutral, now)
		for i := range 500 {
			now = now.Add(40 * time.Millisecond)
			q := sessionPrompt(uint64(5000 + i))
			c, _ := p.Prefill([]*fleet.Target{d1, p1}, spec, q, nil, now)
			p.Commit(c, q, now)
			if c.InPlace {
				n++
			}
			c.Ticket.End(place.Neutral, now)
		}
		return n
	}
	is := is.New(t)
	is.Equal(countInPlace(0), 500)
	withStreams := countInPlace(3)
	t.Logf("%d of 500 prompts are prefilled in place at an engine with 3 streams", withStreams)
	is.True(withStreams > 0)
	is.True(withStreams < 200)
}

// Guards against learning step times only from complete answers. An answer of 200 events takes 15
// s. When step times were learned in that way, the answers that were complete were the short ones,
// and their times showed the smaller batches of some seconds earlier. After a crash that moved 90
// streams to each remaining engine, and for seconds after a start, the times of long answers were
// therefore estimated wrongly:
//
//	event=request_failed beside=36 longest_ms=16633 event_us=72313 last_event=195
//	event=request_failed beside=6 longest_ms=38350 event_us=64440 last_event=208
//
// The answers in progress show the step time of their batch within a second or two.
func TestStepTimeIsLearnedDuringAnswers(t *testing.T) {
	for _, eventGap := range []time.Duration{70 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(eventGap.String(), func(t *testing.T) {
			is := is.New(t)
			o := peerWork{"d1": {Running: 5, Streams: 5}}
			p := trainedPlacerWithWork(o)
			d1 := engineWith96Slots("d1")
			observeAnswers(p, o, d1, 5, 55*time.Millisecond, 2.4)
			now := time.Now()
			running := make([]*place.Ticket, 20)
			for i := range running {
				c, ok := p.Decode([]*fleet.Target{d1}, spec, longAnswerPrompt(), "a", nil, now)
				is.True(ok)
				c.Ticket.FirstEvent(now)
				c.Ticket.AddEvents(1, now)
				running[i] = c.Ticket
			}
			o["d1"] = place.Work{Running: 60, Streams: 60}
			for range 48 {
				now = now.Add(eventGap)
				for _, t := range running {
					t.AddEvents(1, now)
				}
			}
			q := longAnswerPrompt()
			c, _ := p.Decode([]*fleet.Target{d1}, spec, q, "a", nil, now)
			want := time.Duration(q.MaxOutput/59) * eventGap
			t.Logf("the longest answer takes %s, estimated %s", want, c.Seat.LongestAnswer)
			is.True(c.Seat.LongestAnswer > want*8/10)
			is.True(c.Seat.LongestAnswer < want*12/10)
		})
	}
}

// Guards against estimating one speed for engines that differ in speed. Of two engines of a
// service, one is 1.3 times slower. The slower one runs smaller batches, but its steps take longer
// all the same. When both were assumed to be equally fast, steps seemed not to grow with the batch
// size. The faster engine was therefore given 50 to 60 answers at once, each estimated to end in
// 13.6 s, and took 72 ms per event, where the longest answer may take 70 ms:
//
//	event=request_failed kind=client_gone ms=14999 beside=52 longest_ms=13765 last_event=210
func TestStepGrowthIsLearnedOfEnginesThatDifferInSpeed(t *testing.T) {
	is := is.New(t)
	o := peerWork{}
	p := trainedPlacerWithWork(o)
	fast, slow := engineWith96Slots("fast"), engineWith96Slots("slow")
	eventGap := func(t *fleet.Target, running int) time.Duration {
		ms := 53 + 0.35*float64(running)
		if t == slow {
			ms *= 1.3
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		for t, maxRunning := range map[*fleet.Target]int{fast: 60, slow: 25} {
			running := maxRunning - r.IntN(15)
			observeAnswers(p, o, t, running, eventGap(t, running), 2.4)
		}
	}
	for _, target := range []*fleet.Target{fast, slow} {
		for _, running := range []int{5, 30, 70} {
			o[target.ID] = place.Work{Running: running}
			q := longAnswerPrompt()
			c, _ := p.Decode([]*fleet.Target{target}, spec, q, "a", nil, time.Now())
			c.Ticket.End(place.Neutral, time.Now())
			want := time.Duration(q.MaxOutput/59) * eventGap(target, running)
			t.Logf("%s with %d other requests: estimated %s, actual %s", target.ID, running, c.Seat.LongestAnswer, want)
			is.True(c.Seat.LongestAnswer > want*9/10)
			is.True(c.Seat.LongestAnswer < want*11/10)
		}
	}
}

// Guards against filling the faster engine with short answers. Of two engines, one is 1.3 times
// slower and too slow for the longest answers. In a burst of prompts, the unreported prefills of
// other VMs outweighed the cost of a seat. Short answers were therefore spread equally over both
// engines until the seats of the faster one were taken, and long answers found none: of 377 answers
// 85 were refused, among them most of the largest.
func TestShortAnswersLeaveFasterTargetToLongOnes(t *testing.T) {
	is := is.New(t)
	o := peerWork{}
	p := place.New(place.DefaultConfig("a"), delayedWork{o}, noStageChange)
	train(p)
	fast, slow := engineWith96Slots("fast"), engineWith96Slots("slow")
	for range 3 {
		observeAnswers(p, o, fast, 0, 55*time.Millisecond, 2.4)
		observeAnswers(p, o, fast, 60, 78*time.Millisecond, 2.4)
		observeAnswers(p, o, slow, 0, 74*time.Millisecond, 2.4)
		observeAnswers(p, o, slow, 60, 105*time.Millisecond, 2.4)
	}
	o["fast"], o["slow"] = place.Work{Running: 16, Streams: 16}, place.Work{Running: 46, Streams: 46}
	both := []*fleet.Target{fast, slow}
	now := time.Now()
	for range 100 {
		run, _ := p.Decode(both, spec, longAnswerPrompt(), "a", nil, now)
		run.Ticket.End(place.Good, now.Add(5*time.Second))
	}
	elsewhere := engine("p1", fleet.Prefill)
	c, _ := p.Prefill([]*fleet.Target{elsewhere, slow}, spec, sessionPrompt(1), nil, now)
	c.Ticket.End(place.Neutral, now)
	countFast := func(q *place.Prompt) (n int) {
		for i := range 200 {
			q.Parts = []place.Part{{Hash: uint64(1000 + i), Tokens: q.Tokens}}
			now = now.Add(10 * time.Millisecond)
			// Every 10 ms, other VMs place 40 ms of prefill work at the prefill engine.
			p.Observe([]place.SendRecord{{Target: elsewhere.ID, Missing: 10000, Prefills: true}}, now)
			c, _ := p.Prefill(both, spec, q, nil, now)
			if c.Target == fast {
				n++
			}
			c.Ticket.End(place.Neutral, now)
		}
		return n
	}
	longToFast := countFast(longAnswerPrompt())
	short := longAnswerPrompt()
	short.Output, short.MaxOutput = 500, 500
	shortToFast := countFast(short)
	t.Logf("of 200 long answers %d go to the faster engine, of 200 short ones %d", longToFast, shortToFast)
	is.True(longToFast > 150)
	is.True(shortToFast < 50)
}

// delayedWork is the work of other VMs, from reports that are 30 ms old.
type delayedWork struct{ peerWork }

// Age implements place.PeerWork.
func (delayedWork) Age() time.Duration { return 30 * time.Millisecond }

// Guards against counting the load of decode engines by slots. The number of engines that decode
// follows from how far the running requests fill them. Counted by slots, 37 requests filled 0.4 of
// an engine whose steps were already too long for the longest answers. Those answers were lost, and
// at the same time another decode engine was ordered to prefill:
//
//	event=order_sent engine=i-3783467ec3 stage=prefill
//	event=request_failed kind=stream_lost beside=33 event_us=70644 last_event=194
//
// In this test, the longest answers end in time in a batch with 38 other requests.
func TestDecodeLoadCountsSeats(t *testing.T) {
	is := is.New(t)
	o := peerWork{}
	p := trainedPlacerWithWork(o)
	d1 := engineWith96Slots("d1")
	observeAnswers(p, o, d1, 0, 55*time.Millisecond, 2.4)
	observeAnswers(p, o, d1, 60, 78*time.Millisecond, 2.4)
	o["d1"] = place.Work{Running: 40, Streams: 40}
	targets := []*fleet.Target{d1}
	now := time.Now()
	c, _ := p.Decode(targets, spec, longAnswerPrompt(), "a", nil, now)
	c.Ticket.End(place.Neutral, now)
	filled := p.DecodeLoad(targets, spec, now)
	t.Logf("40 running requests fill %.2f of an engine", filled)
	is.True(filled > 0.9)
	// A minute later the step limit of the long answers has expired, and the load counts by slots.
	is.True(p.DecodeLoad(targets, spec, now.Add(time.Minute)) < 0.5)
}

// Guards against new requests that overtake deferred ones. When new requests did not count the
// deferred ones, a request with a long answer, which waited for a seat at the only target fast
// enough for it, was overtaken until it was refused.
func TestNewRequestsLeaveSeatsToDeferredOnes(t *testing.T) {
	is := is.New(t)
	o := peerWork{}
	p := trainedPlacerWithWork(o)
	fast, slow := engineWith96Slots("fast"), engineWith96Slots("slow")
	for range 3 {
		observeAnswers(p, o, fast, 0, 55*time.Millisecond, 2.4)
		observeAnswers(p, o, fast, 60, 78*time.Millisecond, 2.4)
		observeAnswers(p, o, slow, 0, 83*time.Millisecond, 2.4)
		observeAnswers(p, o, slow, 60, 117*time.Millisecond, 2.4)
	}
	both := []*fleet.Target{fast, slow}
	now := time.Now()
	for range 100 {
		run, _ := p.Decode(both, spec, longAnswerPrompt(), "a", nil, now)
		run.Ticket.End(place.Good, now.Add(5*time.Second))
	}
	prefill := func(q *place.Prompt) place.Choice {
		c, ok := p.Prefill(both, spec, q, nil, now)
		is.True(ok)
		c.Ticket.End(place.Neutral, now)
		return c
	}
	admission := place.AdmissionInput{Objective: 200 * time.Millisecond, TimeLeft: 15 * time.Second, Patience: 2 * time.Second}

	running := 50
	o["fast"], o["slow"] = place.Work{Running: running, Streams: running}, place.Work{Running: 80, Streams: 80}
	first := prefill(longAnswerPrompt())
	t.Logf("with %d other requests the wait for a seat is %s", running, first.SeatWait)
	is.Equal(place.Admit(first, admission).Reason, place.NoSeat)
	waiting := p.AddDeferred("m", first)

	// Seats become free one by one.
	for first.SeatWait > 0 {
		running--
		o["fast"] = place.Work{Running: running, Streams: running}
		again := longAnswerPrompt()
		again.Deferred = true
		first = prefill(again)
	}
	is.Equal(place.Admit(first, admission).Verdict, place.Send)
	newChoice := prefill(longAnswerPrompt())
	is.Equal(newChoice.Target.ID, "fast")
	is.True(newChoice.SeatWait > 0)
	// A request that is short enough for the slower target does not wait.
	short := longAnswerPrompt()
	short.Output, short.MaxOutput = 500, 500
	is.Equal(prefill(short).SeatWait, time.Duration(0))

	waiting.End(place.Neutral, now)
	is.Equal(prefill(longAnswerPrompt()).SeatWait, time.Duration(0))
}
