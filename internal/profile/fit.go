package profile

import (
	"cmp"
	"math"
	"slices"
)

const (
	// windowSize is the largest number of samples that an estimate is based on. At ten requests a
	// second the window spans some seconds, so that the estimates follow a release of new engines
	// within that time.
	windowSize = 256
	// refitInterval is the number of samples from one fit to the next, after the first
	// eagerSamples. A fit takes about 20 microseconds.
	refitInterval = 16
	// eagerSamples is the number of first samples. The estimate is fitted again after each of them.
	eagerSamples = 24
	// priorWeight is how many samples the prior counts as. Only the ratios of the prior's
	// coefficients count, not their magnitude.
	priorWeight = 4
	// inPlacePriorWeight is the priorWeight of the overhead of prefills in place. It consists of
	// decode steps, of whose time the prior knows nothing.
	inPlacePriorWeight = 1e-4
	// pairsPriorWeight is the priorWeight of the time of attention, whose ratio to the other times
	// differs between language models.
	pairsPriorWeight = 0.5
	// stepPriorWeight is the priorWeight of the estimate of the time between events. A concurrent
	// request adds little to that time, and a few samples would not outweigh a stronger prior.
	stepPriorWeight = 0.2
	// reweightRounds is how often the weights of the samples are recomputed in one fit, so that
	// outliers count less.
	reweightRounds = 4
	// outlierThreshold is the relative error above which the weight of a sample is reduced, in
	// inverse proportion to the error. Stalls, queues and slow engines multiply a time; other
	// requests in the same batch add a few tenths to it.
	outlierThreshold = 0.3
	// minCoefficientShare is the lower bound of a coefficient as a fraction of the scaled prior.
	minCoefficientShare = 1e-3
)

// dims is the maximum number of features, and so of coefficients, of an estimate.
const dims = 4

// vector holds the features of a value, which are the numbers that it depends on, or the
// coefficient of each feature.
type vector [dims]float64

// sample is one measured value with its features.
type sample struct {
	features vector
	value    float64
	// noise is the assumed size of the sample's error relative to that of an undisturbed sample,
	// which has a noise of 1.
	noise float64
}

// fit is a robust estimate of the coefficients c of the linear model value = c·features from the
// newest samples. Its prior gives the ratios of the coefficients. Their magnitude comes from the
// samples alone as soon as there is a sample, so that a few samples are enough for a good estimate,
// even of engines a hundred times as fast as the prior.
type fit struct {
	// prior holds the coefficients that are assumed before there are samples.
	prior vector
	// unscaled marks the coefficients whose prior is not scaled with the others, because they do
	// not depend on the engine's speed.
	unscaled [dims]bool
	// weights holds, for each coefficient, how many samples its prior counts as.
	weights vector
	// c holds the estimated coefficients.
	c vector
	// samples holds the newest samples, at most windowSize.
	samples []sample
	// next is the index of the sample to replace once there are windowSize samples, and seen the
	// number of all samples so far.
	next int
	seen int
}

// newFit returns a fit without samples, whose coefficients are those of the prior.
func newFit(prior vector) *fit { return newWeightedFit(prior, priorWeight) }

// newWeightedFit is newFit for a prior that counts as the given number of samples.
func newWeightedFit(prior vector, weight float64) *fit {
	f := &fit{prior: prior, c: prior}
	for i := range f.weights {
		f.weights[i] = weight
	}
	return f
}

// at returns the estimated value for these features.
func (f *fit) at(features vector) float64 { return dot(f.c, features) }

// add adds a sample. It ignores samples whose value is not positive or is infinite, and samples
// whose value by the scaled part of the prior is not positive.
func (f *fit) add(s sample) {
	if !(s.value > 0) || !(dot(f.scaledPart(f.prior), s.features) > 0) || math.IsInf(s.value, 0) {
		return
	}
	if len(f.samples) < windowSize {
		f.samples = append(f.samples, s)
	} else {
		f.samples[f.next] = s
		f.next = (f.next + 1) % windowSize
	}
	f.seen++
	if f.seen <= eagerSamples || f.seen%refitInterval == 0 {
		f.refit()
	}
}

// scaledPart returns v with 0 in place of the unscaled coefficients.
func (f *fit) scaledPart(v vector) vector {
	for i, unscaled := range f.unscaled {
		if unscaled {
			v[i] = 0
		}
	}
	return v
}

// refit estimates the coefficients. It first scales the prior, except for the unscaled
// coefficients, to the samples (see priorScale). The coefficients then minimize the weighted squares
// of the relative errors, with the scaled prior as additional samples.
func (f *fit) refit() {
	scale := f.priorScale()
	base := f.prior
	for i := range base {
		if !f.unscaled[i] {
			base[i] *= scale
		}
	}
	c := base
	for range reweightRounds {
		c = f.solveWeighted(base, c)
	}
	f.c = c
}

// priorScale returns by which factor the values of the samples, less the part of the unscaled
// coefficients, exceed the values by the scaled part of the prior. It is a weighted median: a sample
// says the more the larger its scaled part is, since the error of the unscaled part matters less.
//
// Load pattern: nearly all prompts are short, and their prefills are a small part of the measured
// times. An unweighted median would be that of the short prompts alone.
func (f *fit) priorScale() float64 {
	scaled := f.scaledPart(f.prior)
	var unscaled vector
	for i := range unscaled {
		unscaled[i] = f.c[i] - f.scaledPart(f.c)[i]
	}
	ratios := make([]weightedValue, 0, len(f.samples))
	for _, s := range f.samples {
		size := dot(scaled, s.features)
		rest := max(s.value-dot(unscaled, s.features), minScaledShare*s.value)
		ratios = append(ratios, weightedValue{value: rest / size, weight: size / s.noise})
	}
	return weightedMedian(ratios)
}

// minScaledShare is the smallest fraction of a sample's value that is taken for the part that
// depends on the engine's speed.
const minScaledShare = 0.05

// solveWeighted returns the coefficients of one round of weighted least squares. base is the scaled
// prior. The weight of a sample depends on its error under c, the coefficients of the previous
// round.
func (f *fit) solveWeighted(base, c vector) vector {
	var a [dims]vector
	var b vector
	for i := range base {
		a[i][i] = 1
		if base[i] > 0 {
			a[i][i] = f.weights[i] / (base[i] * base[i])
			b[i] = f.weights[i] / base[i]
		}
	}
	for _, s := range f.samples {
		expected := dot(c, s.features)
		if expected <= 0 {
			continue
		}
		w := 1 / (s.noise * s.noise * expected * expected)
		if relErr := math.Abs(s.value/expected - 1); relErr > outlierThreshold {
			w *= outlierThreshold / relErr
		}
		for i := range base {
			for j := range base {
				a[i][j] += w * s.features[i] * s.features[j]
			}
			b[i] += w * s.features[i] * s.value
		}
	}
	out := solveLinear(a, b)
	for i := range out {
		out[i] = max(out[i], minCoefficientShare*base[i])
	}
	return out
}

// solveLinear solves a·x = b by Gaussian elimination. The matrix a must be symmetric and positive
// definite. Those of solveWeighted are, as every coefficient has a prior.
func solveLinear(a [dims]vector, b vector) vector {
	for i := range dims {
		for r := i + 1; r < dims; r++ {
			k := a[r][i] / a[i][i]
			for c := i; c < dims; c++ {
				a[r][c] -= k * a[i][c]
			}
			b[r] -= k * b[i]
		}
	}
	var x vector
	for i := dims - 1; i >= 0; i-- {
		x[i] = b[i]
		for c := i + 1; c < dims; c++ {
			x[i] -= a[i][c] * x[c]
		}
		x[i] /= a[i][i]
	}
	return x
}

// dot returns the scalar product of two vectors.
func dot(a, b vector) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] + a[3]*b[3] }

// weightedValue is a value that counts as weight values.
type weightedValue struct {
	value  float64
	weight float64
}

// weightedMedian returns the least value such that the values up to it have at least half of the
// total weight, or 0 if there are no values. It sorts values in place.
func weightedMedian(values []weightedValue) float64 {
	slices.SortFunc(values, func(a, b weightedValue) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, v := range values {
		total += v.weight
	}
	sum := 0.0
	for _, v := range values {
		if sum += v.weight; sum >= total/2 {
			return v.value
		}
	}
	return 0
}
