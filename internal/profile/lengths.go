package profile

import "slices"

// lengthRatios estimates the ratio of the actual length of an answer to the length that its caller
// expected.
type lengthRatios struct {
	// ratios is a ring buffer of the ratio of the actual to the expected length of the newest
	// answers, next the index of the ratio to replace, and seen the number of all answers so far.
	ratios [windowSize]float64
	next   int
	seen   int
	// quantile is the ratio that a fraction lengthQuantile of the newest answers does not exceed.
	quantile float64
}

// add adds the ratio of one answer. The quantile is recomputed after each of the first answers,
// once there are reliableSamples, and after every refitInterval answers later.
func (l *lengthRatios) add(ratio float64) {
	l.ratios[l.next] = ratio
	l.next = (l.next + 1) % windowSize
	l.seen++
	if l.seen < reliableSamples || (l.seen > eagerSamples && l.seen%refitInterval != 0) {
		return
	}
	sorted := slices.Sorted(slices.Values(l.ratios[:min(l.seen, windowSize)]))
	l.quantile = sorted[int(lengthQuantile*float64(len(sorted)-1))]
}
