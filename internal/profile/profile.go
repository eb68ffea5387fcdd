// Package profile estimates how fast the engines of a service are, from the times that this VM's
// own requests take. It uses no clock and no network: its callers pass in what they measured. VMs
// do not exchange their estimates: about ten requests are enough for the magnitude of each
// estimate, and a VM sends that many within a second or two.
//
// An engine first prefills a prompt, which means that it computes the prompt's KV cache, and then
// decodes: each decode step yields one token of the answer. The answer is sent as a stream of
// events, which hold one or more tokens each. A prompt is either prefilled separately, by a prefill
// engine that hands it off to a decode engine, or in place, by the decode engine itself. A handoff
// is the second send of such a prompt, to the decode engine, which fetches the KV cache.
package profile

import "time"

// The coefficients that each estimate starts from, its prior. Their magnitude matters only until
// there is a first sample; it is in the middle of the range of engines with one or several
// accelerators. What matters later is the ratio of the coefficients of an estimate, which depends
// on the architecture of the language model more than on the engine's speed.
const (
	// priorTokenMS is the time to prefill one token, without attention.
	priorTokenMS = 0.01
	// priorPairsMS is the time for a million pairs of tokens that attend to each other. In dense
	// models attention takes as long as everything else at a context of about ten times the
	// hidden size, 50,000 tokens, which is 25,000 pairs for each token.
	priorPairsMS = priorTokenMS * 1e6 / 25e3
	// priorOverheadMS is the time that a prefill takes outside of the engine: the network round
	// trip and the work of this VM.
	priorOverheadMS = 2
	// priorInPlaceOverheadMS is the same for a prompt that is prefilled in place, with the decode
	// steps until the first event.
	priorInPlaceOverheadMS = priorOverheadMS + priorHandoffMS
	// priorHandoffMS is the time until a decode engine sends the first event of a prompt that
	// another engine has prefilled, counted from sending it the prompt and without the transfer of
	// the KV cache.
	priorHandoffMS  = 5
	priorTransferMS = 0.5 // additional time to transfer the KV cache of 1,000 tokens
	// priorEventMS is the time between two events of a stream.
	priorEventMS = 30
	// priorEventTokens is the number of tokens in one event.
	priorEventTokens = 10
	// priorRunTimeMS is how long a running request occupies its slot.
	priorRunTimeMS = 1000
	// priorPlainMS is how long a request takes at an idle target of a plain service.
	priorPlainMS = 20
)

const (
	// inPlaceFactor is how many times slower a decode engine prefills a prompt in place than a
	// prefill engine does. The platform's documentation says half the speed.
	inPlaceFactor = 2
	// queueNoise is the relative growth of the noise of a prefill sample whose prompt waited for
	// other prompts for as long as its own prefill took. The wait is known only by estimate, as the
	// prompts ahead may have been partly done.
	queueNoise = 3
	// inPlaceNoise is the noise of a sample whose prompt was prefilled in place, between the decode
	// steps of other requests.
	inPlaceNoise = 3
	// minStreamEvents is the fewest events of a stream from which the number of tokens per event is
	// estimated. In a shorter stream the last event, which may hold fewer tokens than the others,
	// would distort the estimate.
	minStreamEvents = 4
	// reliableSamples is the fewest samples on which a reliable estimate is based.
	reliableSamples = 8
	// A size is known from minKnownSamples prefills that are at least knownSizeShare as large. A
	// single one may have been delayed by a stall.
	minKnownSamples = 2
	knownSizeShare  = 0.5
)

const (
	// priorStepGrowth is the fraction by which each concurrent request lengthens a decode step,
	// since the step reads that request's context too. This fraction differs between engines and is
	// therefore estimated.
	priorStepGrowth = 0.008
	// lengthQuantile is the fraction of the answers whose ratio of actual to expected length is at
	// most LengthRatio.
	lengthQuantile = 0.9
	// priorLengthRatio is the value of LengthRatio until there are reliableSamples answers. It is
	// well above 1 because callers' estimates of the length are often far off.
	priorLengthRatio = 2
)

// Profile holds the estimates for the targets of one service. All estimated times are in
// milliseconds. A Profile is not safe for concurrent use.
type Profile struct {
	// prefill estimates the time of a prefill as a function of the two features of prefillFeatures
	// and of two constants for the overheads: that of separate prefills, and that of prefills in
	// place.
	prefill *fit
	// handoff estimates the time of a handoff (see HandoffTime) as a function of handoffFeatures.
	handoff *fit
	// eventInterval estimates the time between two events of a stream, for the usual number of
	// concurrent requests and without concurrent prefill.
	eventInterval *fit
	// loadInterval estimates the time between two events of a stream as a function of the
	// features of the engine's Load.
	loadInterval *fit
	// eventTokens estimates the number of tokens in an event: the answer length that a caller
	// expects, divided by the number of events of the answer.
	eventTokens *fit
	// maxEventTokens is an upper bound of the number of tokens in an event: the least quotient of
	// the maximum length of an answer and its number of events.
	maxEventTokens slidingMin
	// answerLengths holds the ratios of the actual to the expected lengths of complete answers.
	answerLengths lengthRatios
	// runTime estimates how long a running request occupies its slot.
	runTime movingMean
	// plainTime estimates the time of a plain request.
	plainTime *fit
}

// New returns a profile without samples, whose estimates are those of the priors.
func New() *Profile {
	prefill := newFit(vector{priorTokenMS, priorPairsMS, separate: priorOverheadMS, inPlace: priorInPlaceOverheadMS})
	prefill.weights[pairs] = pairsPriorWeight
	prefill.unscaled[separate], prefill.unscaled[inPlace] = true, true
	prefill.weights[inPlace] = inPlacePriorWeight
	loaded := newWeightedFit(vector{priorEventMS, priorEventMS * priorStepGrowth, inPlaceFactor * priorTokenMS}, stepPriorWeight)
	return &Profile{
		prefill: prefill, answerLengths: lengthRatios{quantile: priorLengthRatio}, maxEventTokens: newSlidingMin(),
		handoff: newFit(vector{priorHandoffMS, priorTransferMS}), eventInterval: newFit(vector{priorEventMS}),
		loadInterval: loaded,
		eventTokens:  newFit(vector{priorEventTokens}), runTime: movingMean{value: priorRunTimeMS},
		plainTime: newFit(vector{priorPlainMS}),
	}
}

// Indices of the features of a prefill after the first one, the number of tokens.
const (
	// pairs is the index of the number of pairs of tokens.
	pairs = 1
	// separate and inPlace are the indices of the two overheads. Of each sample one of them is 1.
	separate = 2
	inPlace  = 3
)

// prefillFeatures returns the features of a prefill: the number of tokens that are not cached, and
// the number of pairs of tokens that these form with the tokens before them, in millions.
func prefillFeatures(tokens, cached int) vector {
	missing := float64(max(tokens-cached, 0))
	return vector{missing, missing * float64(tokens+cached) / 2 / 1e6}
}

// OverheadTime returns the time that a prefill takes outside of the engine: the network round trip
// and the work of this VM.
func (p *Profile) OverheadTime() time.Duration { return millis(p.prefill.at(vector{separate: 1})) }

// InPlaceOverheadTime returns the time until the first event of a prompt that is prefilled in place,
// without InPlacePrefillTime: the network round trip, the work of this VM and decode steps.
func (p *Profile) InPlaceOverheadTime() time.Duration {
	return millis(p.prefill.at(vector{inPlace: 1}))
}

// PrefillTime returns how long a prefill engine takes to prefill a prompt of this many tokens, of
// which it has cached the given number.
func (p *Profile) PrefillTime(tokens, cached int) time.Duration {
	return millis(p.prefill.at(prefillFeatures(tokens, cached)))
}

// InPlacePrefillTime returns how long a decode engine takes to prefill a prompt of this many tokens
// in place, while it runs other requests. cached is the number of these tokens that the engine has
// cached.
func (p *Profile) InPlacePrefillTime(tokens, cached int) time.Duration {
	return inPlaceFactor * p.PrefillTime(tokens, cached)
}

// PrefillKnown reports whether PrefillTime is based on enough samples.
func (p *Profile) PrefillKnown() bool { return p.prefill.seen >= reliableSamples }

// KnowsPrefill reports whether PrefillTime is based on recent prefills of about this size or more.
// The time of a larger one is extrapolated and may be several times off.
func (p *Profile) KnowsPrefill(tokens, cached int) bool {
	scaled := p.prefill.scaledPart(p.prefill.prior)
	least := knownSizeShare * dot(scaled, prefillFeatures(tokens, cached))
	n := 0
	for _, s := range p.prefill.samples {
		if dot(scaled, s.features) >= least {
			n++
		}
	}
	return n >= minKnownSamples
}

// ObservePrefill records the time that a prefill engine took for a prompt. ahead is the part of
// took in which the engine was expected to work on prompts that it had received before.
func (p *Profile) ObservePrefill(tokens, cached int, ahead, took time.Duration) {
	features := prefillFeatures(tokens, cached)
	features[separate] = 1
	p.observePrefill(features, 1, ahead, took)
}

// ObserveInPlacePrefill records the same as ObservePrefill for a decode engine that prefilled the
// prompt in place. took is the time until the first event.
func (p *Profile) ObserveInPlacePrefill(tokens, cached int, ahead, took time.Duration) {
	features := prefillFeatures(tokens, cached)
	p.observePrefill(vector{inPlaceFactor * features[0], inPlaceFactor * features[1], inPlace: 1}, inPlaceNoise, ahead, took)
}

// observePrefill adds a prefill sample. A sample whose prompt waited for others gets more noise.
// Nothing is recorded if the whole time was spent on the prompts ahead.
func (p *Profile) observePrefill(features vector, noise float64, ahead, took time.Duration) {
	own := toMillis(took - ahead)
	if own <= 0 {
		return
	}
	if ahead > 0 {
		noise *= 1 + queueNoise*float64(ahead)/float64(took-ahead)
	}
	p.prefill.add(sample{features: features, value: own, noise: noise})
}

// HandoffTime returns the time until a decode engine sends the first event of a prompt of n tokens
// that another engine has prefilled, counted from sending the prompt to the decode engine. It
// includes the transfer of the KV cache.
func (p *Profile) HandoffTime(n int) time.Duration { return millis(p.handoff.at(handoffFeatures(n))) }

// ObserveHandoff records the time that a handoff of a prompt of this many tokens took, as defined
// by HandoffTime.
func (p *Profile) ObserveHandoff(tokens int, took time.Duration) {
	p.handoff.add(sample{features: handoffFeatures(tokens), value: toMillis(took), noise: 1})
}

// handoffFeatures returns the features of a handoff: a constant, and the number of tokens of the
// transferred KV cache, in thousands.
func handoffFeatures(tokens int) vector { return vector{1, float64(tokens) / 1e3} }

// EventInterval returns the usual time between two events of a stream, without concurrent prefill.
func (p *Profile) EventInterval() time.Duration { return millis(p.eventInterval.at(constant)) }

// EventTokens returns the number of tokens in an event: the expected length of recent answers
// divided by their number of events. The result is limited so that no recent answer would exceed
// its maximum length.
func (p *Profile) EventTokens() float64 { return min(p.eventTokens.at(constant), p.maxEventTokens.min) }

// TokenTime returns the usual time of a decode step, which produces one token.
func (p *Profile) TokenTime() time.Duration {
	return millis(p.eventInterval.at(constant) / p.EventTokens())
}

// StepTime returns the time of a decode step of a request that runs concurrently with the given
// number of other requests.
func (p *Profile) StepTime(others int) time.Duration {
	return millis(p.loadInterval.at(Load{Running: others}.vector()) / p.EventTokens())
}

// StepSamples returns the number of recent samples that StepTime is based on.
func (p *Profile) StepSamples() int { return len(p.loadInterval.samples) }

// LoadedInterval returns the time between two events of a stream, given the other work of its
// engine.
func (p *Profile) LoadedInterval(l Load) time.Duration { return millis(p.loadInterval.at(l.vector())) }

// MaxConcurrent returns how many other requests may run concurrently with a request for its decode
// steps to take no longer than step. The result is negative if the steps take longer even when the
// request runs alone.
func (p *Profile) MaxConcurrent(step time.Duration) float64 {
	ms := toMillis(step) * p.EventTokens()
	return (ms - p.loadInterval.at(constant)) / p.loadInterval.at(vector{0, 1})
}

// StepGrowth returns the time that one more concurrent request adds to a decode step.
func (p *Profile) StepGrowth() time.Duration {
	return millis(p.loadInterval.at(vector{0, 1}) / p.EventTokens())
}

// ObserveLength records that an answer, which may have at most maxOutput tokens, has had the given
// number of events so far.
func (p *Profile) ObserveLength(events, maxOutput int) {
	if events >= minStreamEvents && maxOutput > 0 {
		p.maxEventTokens.add(float64(maxOutput) / float64(events))
	}
}

// Load is the work that an engine does concurrently with a stream.
type Load struct {
	// Running is the number of other requests that the engine runs.
	Running int
	// PrefillTokens is the number of prompt tokens that it prefills between two events of the
	// stream.
	PrefillTokens float64
}

// vector returns the features on which the time between two events depends: a constant, the
// number of concurrent requests and the number of prefilled tokens.
func (l Load) vector() vector { return vector{1, float64(max(l.Running, 0)), max(l.PrefillTokens, 0)} }

// LengthRatio returns the ratio of actual to expected length that a fraction lengthQuantile of the
// recent answers does not exceed.
func (p *Profile) LengthRatio() float64 { return p.answerLengths.quantile }

// ObserveAnswer records a complete answer: its number of events and the number of tokens that its
// caller expected.
func (p *Profile) ObserveAnswer(events, expected int) {
	if events < minStreamEvents {
		return
	}
	p.eventTokens.add(sample{features: constant, value: float64(expected) / float64(events), noise: 1})
	p.answerLengths.add(float64(events) * p.EventTokens() / float64(max(expected, 1)))
}

// ObserveEvents records the time that a number of consecutive events of a stream took, and the
// engine's other work meanwhile.
//
// Concurrent prefill is a feature of the estimate. Subtracting the estimated prefill time from the
// sample instead left too much or too little time for the decode steps of engines that prefill
// much. These steps seemed slow, and the engines were given still more to prefill.
func (p *Profile) ObserveEvents(events int, took time.Duration, load Load) {
	if events <= 0 {
		return
	}
	interval := toMillis(took) / float64(events)
	p.loadInterval.add(sample{features: load.vector(), value: interval, noise: 1})
	prefill := p.loadInterval.at(vector{2: load.vector()[2]})
	p.eventInterval.add(sample{features: constant, value: max(interval-prefill, interval/2), noise: 1})
}

// RunTime returns how long a running request occupies its slot at a decode engine on average. A
// full engine finishes one request every RunTime/slots.
func (p *Profile) RunTime() time.Duration { return millis(p.runTime.value) }

// ObserveRun records how long one request occupied its slot at a decode engine.
func (p *Profile) ObserveRun(took time.Duration) { p.runTime.add(toMillis(took)) }

// PlainTime returns the usual time of a plain request, which is one to a service whose targets are
// not model engines.
func (p *Profile) PlainTime() time.Duration { return millis(p.plainTime.at(constant)) }

// ObservePlain records the time of one plain request.
func (p *Profile) ObservePlain(took time.Duration) {
	p.plainTime.add(sample{features: constant, value: toMillis(took), noise: 1})
}

// movingMean is a moving average of about the newest meanWindow samples.
type movingMean struct {
	// value is the mean.
	value float64
	// seen is the number of all samples so far.
	seen int
}

// meanWindow is the number of samples over which a movingMean averages. Up to that number of
// samples, the value is their plain mean; after that, the weight of older samples decays
// exponentially.
const meanWindow = 64

// add adds a sample.
func (m *movingMean) add(value float64) {
	m.seen++
	m.value += (value - m.value) / float64(min(m.seen, meanWindow))
}

// constant holds the features of a value that depends on nothing. These features select the
// constant term of an estimate.
var constant = vector{1, 0}

// millis returns a duration of the given milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// toMillis returns a duration in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
