// Package profile learns how fast the engines of a service are, from the times that
// this VM's own requests take. It has no clock and no network: callers bring what
// they measured. Every VM learns for itself: some ten requests tell the size of each
// figure, and a VM sends that many within a second or two.
package profile

import "time"

// The prior of each figure. Its size counts until there is a first sample; it lies in
// the middle of what engines of one or several accelerators do. What lasts of it is
// the relation of a figure's two parts, which is the model's architecture more than
// the engine's speed.
const (
	// priorTokenMS is the time to read one token.
	priorTokenMS = 0.01
	// priorPairsMS is the time for a million pairs of tokens that attend to each
	// other. In dense models attention takes as long as all else at a context of
	// some ten times the hidden size, 50,000 tokens: 25,000 pairs a token.
	priorPairsMS = priorTokenMS * 1e6 / 25e3
	// priorWayMS is the part of a reading's time that is not the engine's: the way
	// there and back, and what this VM takes itself.
	priorWayMS = 2
	// priorHopMS is the time from the send of a prompt that was read elsewhere to its
	// first event, without its moving, and priorMoveMS what moving 1,000 tokens adds.
	priorHopMS  = 5
	priorMoveMS = 0.5
	// priorEventMS is the time between two events of a stream.
	priorEventMS = 30
	// priorEventTokens is how many tokens an event holds.
	priorEventTokens = 10
	// priorRunMS is how long a run keeps its slot.
	priorRunMS = 1000
	// priorPlainMS is the time of a plain call at an idle target.
	priorPlainMS = 20
)

const (
	// inPlaceFactor is how many times slower a decode engine reads a prompt
	// (platform's pages: at half the speed).
	inPlaceFactor = 2
	// queueNoise is how much less a sample tells that waited for others as long as it
	// took itself: what was ahead may have been partly done.
	queueNoise = 3
	// inPlaceNoise is the same for a prompt that is read between others' tokens.
	inPlaceNoise = 3
	// tellingEvents is the number of events from which a stream tells how many tokens
	// each holds: the last one may hold fewer.
	tellingEvents = 4
	// known is the number of samples from which a figure may be relied on.
	known = 8
)

const (
	// priorGrowth is the part by which each running request makes a decode step longer, for
	// its context is read in each. Engines differ: it is learned.
	priorGrowth = 0.008
	// longShare is the part of the answers that are no longer than Stretch says.
	longShare = 0.9
	// priorStretch is Stretch before answers are known: callers' estimates are often far off.
	priorStretch = 2
)

// Profile is what is known of one service's targets. It is not safe for concurrent
// use.
type Profile struct {
	read  *fit
	hop   *fit
	event *fit
	// step is the time between two events by what runs and is read beside.
	step        *fit
	eventTokens *fit
	// atMost holds the most tokens that an event may hold by the length that answers have had.
	atMost least
	// lengths holds how many times the expected length whole answers had.
	lengths lengths
	run     mean
	plain   *fit
}

// New returns a profile that knows only its prior.
func New() *Profile {
	read := newFit(vector{priorTokenMS, priorPairsMS, priorWayMS})
	read.fixed = 2
	step := newFit(vector{priorEventMS, priorEventMS * priorGrowth, inPlaceFactor * priorTokenMS})
	step.weight = stepSamples
	return &Profile{
		read: read, lengths: lengths{stretch: priorStretch}, atMost: newLeast(),
		hop: newFit(vector{priorHopMS, priorMoveMS}), event: newFit(vector{priorEventMS}),
		step:        step,
		eventTokens: newFit(vector{priorEventTokens}), run: mean{value: priorRunMS},
		plain: newFit(vector{priorPlainMS}),
	}
}

// readSize is a prompt's size for reading: its tokens behind the cached ones, and the
// pairs that these make, in millions.
func readSize(tokens, cached int) vector {
	missing := float64(max(tokens-cached, 0))
	return vector{missing, missing * float64(tokens+cached) / 2 / 1e6}
}

// WayTime is the part of a reading's time that is not the engine's.
func (p *Profile) WayTime() time.Duration { return millis(p.read.at(vector{2: 1})) }

// ReadTime is how long a prefill engine takes for a prompt of which it holds cached
// tokens, and InPlaceTime how long a decode engine does, beside its other work.
func (p *Profile) ReadTime(tokens, cached int) time.Duration {
	return millis(p.read.at(readSize(tokens, cached)))
}

// InPlaceTime is ReadTime for a decode engine.
func (p *Profile) InPlaceTime(tokens, cached int) time.Duration {
	return inPlaceFactor * p.ReadTime(tokens, cached)
}

// KnowsReading reports whether ReadTime rests on enough samples.
func (p *Profile) KnowsReading() bool { return p.read.seen >= known }

// ObserveRead takes in that a prefill engine took so long for a prompt, ahead of which
// it had others' prompts in hand.
func (p *Profile) ObserveRead(tokens, cached int, ahead, took time.Duration) {
	p.observeRead(readSize(tokens, cached), 1, ahead, took)
}

// ObserveInPlace is ObserveRead for a decode engine.
func (p *Profile) ObserveInPlace(tokens, cached int, ahead, took time.Duration) {
	x := readSize(tokens, cached)
	p.observeRead(vector{inPlaceFactor * x[0], inPlaceFactor * x[1]}, inPlaceNoise, ahead, took)
}

func (p *Profile) observeRead(x vector, noise float64, ahead, took time.Duration) {
	own := inMillis(took - ahead)
	if own <= 0 {
		return
	}
	x[2] = 1
	if ahead > 0 {
		noise *= 1 + queueNoise*float64(ahead)/float64(took-ahead)
	}
	p.read.add(sample{x: x, y: own, noise: noise})
}

// HopTime is the time from the send of a prompt that was read elsewhere to its first
// event.
func (p *Profile) HopTime(tokens int) time.Duration { return millis(p.hop.at(hopSize(tokens))) }

// ObserveHop takes in one such time.
func (p *Profile) ObserveHop(tokens int, took time.Duration) {
	p.hop.add(sample{x: hopSize(tokens), y: inMillis(took), noise: 1})
}

func hopSize(tokens int) vector { return vector{1, float64(tokens) / 1e3} }

// EventPause is the usual time between two events of a stream.
func (p *Profile) EventPause() time.Duration { return millis(p.event.at(one)) }

// EventTokens is how many tokens an event holds: what callers expect by the events that
// come, where none of the answers would then have been longer than it may be.
func (p *Profile) EventTokens() float64 { return min(p.eventTokens.at(one), p.atMost.least) }

// TokenTime is the usual time of a decode step.
func (p *Profile) TokenTime() time.Duration {
	return millis(p.event.at(one) / p.EventTokens())
}

// StepTime is the time of a decode step of a request beside so many others.
func (p *Profile) StepTime(beside int) time.Duration {
	return millis(p.step.at(Beside{Running: beside}.size()) / p.EventTokens())
}

// PauseBeside is the time between two events of a stream by what is beside it.
func (p *Profile) PauseBeside(b Beside) time.Duration { return millis(p.step.at(b.size())) }

// MaxBeside is how many others may run beside a request for its steps to take no longer
// than step; it is negative where they take longer alone.
func (p *Profile) MaxBeside(step time.Duration) float64 {
	ms := inMillis(step) * p.EventTokens()
	return (ms - p.step.at(one)) / p.step.at(vector{0, 1})
}

// StepGrowth is what one more request beside adds to a decode step.
func (p *Profile) StepGrowth() time.Duration {
	return millis(p.step.at(vector{0, 1}) / p.EventTokens())
}

// ObserveLength takes in that an answer of at most so many tokens has had so many events.
func (p *Profile) ObserveLength(events, maxOutput int) {
	if events >= tellingEvents && maxOutput > 0 {
		p.atMost.add(float64(maxOutput) / float64(events))
	}
}

// Beside is what an engine does beside a stream.
type Beside struct {
	// Running is the requests that it runs, and Read the prompt tokens that it reads between
	// two events.
	Running int
	Read    float64
}

func (b Beside) size() vector { return vector{1, float64(max(b.Running, 0)), max(b.Read, 0)} }

// Stretch is how many times as long as its caller expects an answer may well be.
func (p *Profile) Stretch() float64 { return p.lengths.stretch }

// ObserveAnswer takes in a whole answer: its events, and the tokens that its caller expected.
func (p *Profile) ObserveAnswer(events, expected int) {
	if events < tellingEvents {
		return
	}
	p.eventTokens.add(sample{x: one, y: float64(expected) / float64(events), noise: 1})
	p.lengths.add(float64(events) * p.EventTokens() / float64(max(expected, 1)))
}

// ObservePace takes in the time of so many events of a stream in a row, and what was beside it.
// Reading is a size of its own: taken off as reckoned, it left too much or too little for the
// steps where engines read much, so that these seemed slow and were given still more to read.
func (p *Profile) ObservePace(events int, took time.Duration, b Beside) {
	if events <= 0 {
		return
	}
	pause := inMillis(took) / float64(events)
	p.step.add(sample{x: b.size(), y: pause, noise: 1})
	reading := p.step.at(vector{2: b.size()[2]})
	p.event.add(sample{x: one, y: max(pause-reading, pause/2), noise: 1})
}

// RunTime is how long a run keeps its slot at a decode engine on average: a full engine
// ends one of its runs each RunTime/slots.
func (p *Profile) RunTime() time.Duration { return millis(p.run.value) }

// ObserveRun takes in one run.
func (p *Profile) ObserveRun(took time.Duration) { p.run.add(inMillis(took)) }

// PlainTime is the usual time of a plain call.
func (p *Profile) PlainTime() time.Duration { return millis(p.plain.at(one)) }

// ObservePlain takes in the time of a plain call.
func (p *Profile) ObservePlain(took time.Duration) {
	p.plain.add(sample{x: one, y: inMillis(took), noise: 1})
}

// mean is a moving mean.
type mean struct {
	value float64
	seen  int
}

// meanWindow is how many samples a moving mean rests on.
const meanWindow = 64

func (m *mean) add(y float64) {
	m.seen++
	m.value += (y - m.value) / float64(min(m.seen, meanWindow))
}

// one is the size of what has none.
var one = vector{1, 0}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
