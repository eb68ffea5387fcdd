// Package profile estimates how fast the engines of a service are, from the times that this VM's
// own requests take. It uses no clock and no network: its callers pass in what they measured. Each
// VM estimates for itself: about ten requests are enough for the magnitude of each estimate, and a
// VM sends that many within a second or two.
package profile

import "time"

// The prior of each estimate. Its magnitude matters only until there is a first sample; it is in
// the middle of the range of engines with one or several accelerators. What matters later is the
// ratio of the coefficients of an estimate, which depends on the model's architecture more than
// on the engine's speed.
const (
	// priorTokenMS is the time to prefill one token, without attention.
	priorTokenMS = 0.01
	// priorPairsMS is the time for a million pairs of tokens that attend to each other. In dense
	// models attention takes as long as everything else at a context of about ten times the
	// hidden size, 50,000 tokens, which is 25,000 pairs for each token.
	priorPairsMS = priorTokenMS * 1e6 / 25e3
	// priorOverheadMS is the part of a measured prefill time that the engine does not take: the
	// network round trip and the work of this VM.
	priorOverheadMS = 2
	// priorHandoffMS is the time from sending a prompt, which another engine has prefilled, to a
	// decode engine until its first event, without the transfer of the KV cache. priorTransferMS
	// is what the transfer adds for each 1,000 tokens.
	priorHandoffMS  = 5
	priorTransferMS = 0.5
	// priorEventMS is the time between two events of a stream.
	priorEventMS = 30
	// priorEventTokens is the number of tokens in one event.
	priorEventTokens = 10
	// priorRunTimeMS is how long a run occupies its slot.
	priorRunTimeMS = 1000
	// priorPlainMS is the time of a request at an idle target of a plain service.
	priorPlainMS = 20
)

const (
	// inPlaceFactor is how many times slower a decode engine prefills a prompt in place than a
	// prefill engine does. The platform's documentation says half the speed.
	inPlaceFactor = 2
	// queueNoise is how much the noise of a prefill sample grows if its prompt waited for other
	// prompts for as long as its own prefill took: the prompts ahead may have been partly done.
	queueNoise = 3
	// inPlaceNoise is the noise of a sample whose prompt was prefilled in place, between the
	// tokens of other requests.
	inPlaceNoise = 3
	// minStreamEvents is the number of events from which a stream shows how many tokens an event
	// holds: its last event may hold fewer.
	minStreamEvents = 4
	// reliableSamples is the number of samples from which an estimate may be relied on.
	reliableSamples = 8
)

const (
	// priorStepGrowth is the fraction by which each concurrent request lengthens a decode step,
	// which reads its context too. It differs between engines and is therefore learned.
	priorStepGrowth = 0.008
	// lengthQuantile is the share of answers that are no longer than LengthRatio says.
	lengthQuantile = 0.9
	// priorLengthRatio is the value of LengthRatio before there are enough answers: callers'
	// estimates are often far off.
	priorLengthRatio = 2
)

// Profile holds the estimates for the targets of one service. All estimated times are in
// milliseconds. A Profile is not safe for concurrent use.
type Profile struct {
	// prefill estimates the time of a prefill.
	prefill *fit
	// handoff estimates the time from sending a prompt to a decode engine until its first event.
	handoff *fit
	// eventInterval estimates the time between two events of a stream.
	eventInterval *fit
	// loadedInterval estimates the time between two events from the engine's other work.
	loadedInterval *fit
	// eventTokens estimates the number of tokens in an event from the answer lengths that callers
	// expect.
	eventTokens *fit
	// maxEventTokens is an upper bound of the number of tokens in an event, from the maximum
	// lengths of answers.
	maxEventTokens slidingMin
	// answerLengths holds the ratios of the actual to the expected lengths of complete answers.
	answerLengths lengthRatios
	// runTime estimates how long a run occupies its slot.
	runTime movingMean
	// plainTime estimates the time of a plain request.
	plainTime *fit
}

// New returns a profile that holds only the priors.
func New() *Profile {
	prefill := newFit(vector{priorTokenMS, priorPairsMS, priorOverheadMS})
	prefill.fixed = 2
	loaded := newFit(vector{priorEventMS, priorEventMS * priorStepGrowth, inPlaceFactor * priorTokenMS})
	loaded.weight = stepPriorWeight
	return &Profile{
		prefill: prefill, answerLengths: lengthRatios{quantile: priorLengthRatio}, maxEventTokens: newSlidingMin(),
		handoff: newFit(vector{priorHandoffMS, priorTransferMS}), eventInterval: newFit(vector{priorEventMS}),
		loadedInterval: loaded,
		eventTokens:    newFit(vector{priorEventTokens}), runTime: movingMean{value: priorRunTimeMS},
		plainTime: newFit(vector{priorPlainMS}),
	}
}

// prefillSize returns the size of a prefill: the tokens that are not cached, and the pairs of
// tokens that these form with the tokens before them, in millions.
func prefillSize(tokens, cached int) vector {
	missing := float64(max(tokens-cached, 0))
	return vector{missing, missing * float64(tokens+cached) / 2 / 1e6}
}

// OverheadTime returns the part of a measured prefill time that the engine does not take: the network
// round trip and the work of this VM.
func (p *Profile) OverheadTime() time.Duration { return millis(p.prefill.at(vector{2: 1})) }

// PrefillTime returns how long a prefill engine takes to prefill a prompt of which it has cached the
// given number of tokens.
func (p *Profile) PrefillTime(tokens, cached int) time.Duration {
	return millis(p.prefill.at(prefillSize(tokens, cached)))
}

// InPlacePrefillTime returns how long a decode engine takes to prefill the prompt in place, beside its
// other work.
func (p *Profile) InPlacePrefillTime(tokens, cached int) time.Duration {
	return inPlaceFactor * p.PrefillTime(tokens, cached)
}

// PrefillKnown reports whether PrefillTime is based on enough samples.
func (p *Profile) PrefillKnown() bool { return p.prefill.seen >= reliableSamples }

// ObservePrefill records that a prefill engine took a time for a prompt. ahead is the part of it in
// which the engine was expected to work on prompts that it had received before.
func (p *Profile) ObservePrefill(tokens, cached int, ahead, took time.Duration) {
	p.observePrefill(prefillSize(tokens, cached), 1, ahead, took)
}

// ObserveInPlacePrefill records the same as ObservePrefill for a decode engine that prefilled a prompt in
// place.
func (p *Profile) ObserveInPlacePrefill(tokens, cached int, ahead, took time.Duration) {
	size := prefillSize(tokens, cached)
	p.observePrefill(vector{inPlaceFactor * size[0], inPlaceFactor * size[1]}, inPlaceNoise, ahead, took)
}

// observePrefill adds a prefill sample of the given size. A sample that waited for others is
// noisier.
func (p *Profile) observePrefill(size vector, noise float64, ahead, took time.Duration) {
	own := toMillis(took - ahead)
	if own <= 0 {
		return
	}
	size[2] = 1
	if ahead > 0 {
		noise *= 1 + queueNoise*float64(ahead)/float64(took-ahead)
	}
	p.prefill.add(sample{size: size, value: own, noise: noise})
}

// HandoffTime returns the time from sending a prompt, which another engine has prefilled, to a decode
// engine until its first event. It includes the transfer of the KV cache of the given number of
// tokens.
func (p *Profile) HandoffTime(tokens int) time.Duration { return millis(p.handoff.at(kvSize(tokens))) }

// ObserveHandoff records one such time.
func (p *Profile) ObserveHandoff(tokens int, took time.Duration) {
	p.handoff.add(sample{size: kvSize(tokens), value: toMillis(took), noise: 1})
}

// kvSize returns the size of a handoff: a constant and the tokens of the transferred KV cache, in
// thousands.
func kvSize(tokens int) vector { return vector{1, float64(tokens) / 1e3} }

// EventInterval returns the usual time between two events of a stream.
func (p *Profile) EventInterval() time.Duration { return millis(p.eventInterval.at(unitSize)) }

// EventTokens returns the number of tokens in an event. It is the expected length of answers by
// their number of events, but no more than lets every recent answer stay within its maximum
// length.
func (p *Profile) EventTokens() float64 { return min(p.eventTokens.at(unitSize), p.maxEventTokens.min) }

// TokenTime returns the usual time of a decode step, which produces one token.
func (p *Profile) TokenTime() time.Duration {
	return millis(p.eventInterval.at(unitSize) / p.EventTokens())
}

// StepTime returns the time of a decode step of a request that runs beside the given number of
// other requests.
func (p *Profile) StepTime(beside int) time.Duration {
	return millis(p.loadedInterval.at(Load{Running: beside}.size()) / p.EventTokens())
}

// LoadedInterval returns the time between two events of a stream, given the engine's other work.
func (p *Profile) LoadedInterval(b Load) time.Duration { return millis(p.loadedInterval.at(b.size())) }

// MaxConcurrent returns how many other requests may run beside a request for its decode steps to take
// no longer than step. It is negative if they take longer even without others.
func (p *Profile) MaxConcurrent(step time.Duration) float64 {
	ms := toMillis(step) * p.EventTokens()
	return (ms - p.loadedInterval.at(unitSize)) / p.loadedInterval.at(vector{0, 1})
}

// StepGrowth returns the time that one more concurrent request adds to a decode step.
func (p *Profile) StepGrowth() time.Duration {
	return millis(p.loadedInterval.at(vector{0, 1}) / p.EventTokens())
}

// ObserveLength records that an answer of at most maxOutput tokens has had the given number of
// events so far.
func (p *Profile) ObserveLength(events, maxOutput int) {
	if events >= minStreamEvents && maxOutput > 0 {
		p.maxEventTokens.add(float64(maxOutput) / float64(events))
	}
}

// Load is the work that an engine does beside a stream.
type Load struct {
	// Running is the number of other requests that the engine runs, and Read the number of prompt
	// tokens that it prefills between two events of the stream.
	Running       int
	PrefillTokens float64
}

// size returns the size on which the time between two events depends: a constant, the concurrent
// requests and the prefilled tokens.
func (b Load) size() vector { return vector{1, float64(max(b.Running, 0)), max(b.PrefillTokens, 0)} }

// LengthRatio returns the ratio of the actual to the expected length of an answer that a share
// lengthQuantile of the answers does not exceed.
func (p *Profile) LengthRatio() float64 { return p.answerLengths.quantile }

// ObserveAnswer records a complete answer: its number of events and the number of tokens that its
// caller expected.
func (p *Profile) ObserveAnswer(events, expected int) {
	if events < minStreamEvents {
		return
	}
	p.eventTokens.add(sample{size: unitSize, value: float64(expected) / float64(events), noise: 1})
	p.answerLengths.add(float64(events) * p.EventTokens() / float64(max(expected, 1)))
}

// ObserveEvents records the time that a number of consecutive events of a stream took, and the
// engine's other work meanwhile.
//
// Concurrent prefill is a term of the model. When its estimated time was subtracted from the
// sample instead, the rest was wrong for the steps of engines that prefill much: these steps
// seemed slow and the engines were given still more to prefill.
func (p *Profile) ObserveEvents(events int, took time.Duration, b Load) {
	if events <= 0 {
		return
	}
	interval := toMillis(took) / float64(events)
	p.loadedInterval.add(sample{size: b.size(), value: interval, noise: 1})
	prefill := p.loadedInterval.at(vector{2: b.size()[2]})
	p.eventInterval.add(sample{size: unitSize, value: max(interval-prefill, interval/2), noise: 1})
}

// RunTime returns how long a run occupies its slot on a decode engine on average. A full engine
// ends one of its runs every RunTime/slots.
func (p *Profile) RunTime() time.Duration { return millis(p.runTime.value) }

// ObserveRun records how long one run occupied its slot.
func (p *Profile) ObserveRun(took time.Duration) { p.runTime.add(toMillis(took)) }

// PlainTime returns the usual time of a plain request.
func (p *Profile) PlainTime() time.Duration { return millis(p.plainTime.at(unitSize)) }

// ObservePlain records the time of one plain request.
func (p *Profile) ObservePlain(took time.Duration) {
	p.plainTime.add(sample{size: unitSize, value: toMillis(took), noise: 1})
}

// movingMean is the mean of about the newest meanWindow samples.
type movingMean struct {
	value float64
	seen  int
}

// meanWindow is the number of samples after which older ones lose their weight exponentially.
const meanWindow = 64

// add adds a sample.
func (m *movingMean) add(y float64) {
	m.seen++
	m.value += (y - m.value) / float64(min(m.seen, meanWindow))
}

// unitSize is the size of what depends on nothing: it selects the constant term of a model.
var unitSize = vector{1, 0}

// millis returns a duration of the given milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// toMillis returns a duration in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
