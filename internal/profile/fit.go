package profile

import (
	"math"
	"slices"
)

const (
	// windowSize is how many samples an estimate is based on. Older samples no longer apply: the
	// window spans some seconds at ten requests a second, so that the estimates follow the
	// release of new engines within that time.
	windowSize = 256
	// refitInterval is the number of samples between two fits of a full window. A fit takes about
	// 20 microseconds.
	refitInterval = 16
	// eagerSamples is the number of first samples after each of which the estimate is fitted at
	// once.
	eagerSamples = 24
	// priorWeight is how many samples the prior counts as. Only the ratio of its
	// coefficients counts, not their magnitude.
	priorWeight = 4
	// stepPriorWeight is the same for the time between events. The contribution of each
	// concurrent request is small, and a few samples would not outweigh a stronger prior.
	stepPriorWeight = 0.2
	// reweightRounds is how often the weights of outliers are recomputed in one fit.
	reweightRounds = 4
	// outlierThreshold is the relative error from which the weight of a sample decreases, in
	// proportion to the error. Stalls, queues and slow engines multiply a time; other requests in
	// the same batch add a few tenths.
	outlierThreshold = 0.3
	// minCoefficientShare is the lower bound of a coefficient as a fraction of the scaled prior.
	minCoefficientShare = 1e-3
)

// dims is the maximum number of terms of a model.
const dims = 3

// vector holds the sizes on which a value depends, or the coefficient of each size.
type vector [dims]float64

// sample is one measured value and the sizes it depends on.
type sample struct {
	size  vector
	value float64
	// noise is the factor by which the sample is less reliable than a clean one, which has 1.
	noise float64
}

// fit is a robust estimate of the coefficients c of the linear model value = c·size from the
// newest samples. Its prior gives the ratio of the coefficients. Their magnitude comes from the
// samples alone as soon as there is one, so that engines a hundred times as fast as the prior are
// estimated well after the first few samples.
type fit struct {
	prior vector
	// fixed is the index of the coefficient whose prior is not scaled with the others, as it does
	// not depend on the engine's speed, or -1.
	fixed int
	// weight is how many samples the prior counts as.
	weight float64
	// c holds the estimated coefficients.
	c       vector
	samples []sample
	// next is the index of the sample to replace in a full window, and seen the number of all
	// samples so far.
	next int
	seen int
}

// newFit returns a fit without samples, which estimates the prior.
func newFit(prior vector) *fit { return &fit{prior: prior, fixed: -1, weight: priorWeight, c: prior} }

// at returns the estimated value for a size.
func (f *fit) at(size vector) float64 { return dot(f.c, size) }

// add adds a sample. It ignores samples whose value or size is not positive, or whose value is
// infinite.
func (f *fit) add(s sample) {
	if !(s.value > 0) || !(dot(f.scalablePrior(), s.size) > 0) || math.IsInf(s.value, 0) {
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

// scalablePrior returns the prior without its fixed term.
func (f *fit) scalablePrior() vector {
	v := f.prior
	if f.fixed >= 0 {
		v[f.fixed] = 0
	}
	return v
}

// refit estimates the coefficients. The prior is first scaled by the median ratio of the cleaner
// half of the samples to the prior. The coefficients then minimize the weighted squares of the
// relative errors, with the scaled prior as additional samples.
func (f *fit) refit() {
	scale := f.priorScale()
	base := f.prior
	for i := range base {
		if i != f.fixed {
			base[i] *= scale
		}
	}
	c := base
	for range reweightRounds {
		c = f.solveWeighted(base, c)
	}
	f.c = c
}

// priorScale returns the median ratio of the cleaner half of the samples to the prior.
func (f *fit) priorScale() float64 {
	noises := make([]float64, 0, len(f.samples))
	for _, s := range f.samples {
		noises = append(noises, s.noise)
	}
	medianNoise := median(noises)
	scalable := f.scalablePrior()
	ratios := make([]float64, 0, len(f.samples))
	for _, s := range f.samples {
		if s.noise <= medianNoise {
			ratios = append(ratios, s.value/dot(scalable, s.size))
		}
	}
	return median(ratios)
}

// solveWeighted performs one round of weighted least squares around base, the scaled prior. The
// weights depend on the errors of the samples under c, the coefficients of the round before.
func (f *fit) solveWeighted(base, c vector) vector {
	var a [dims]vector
	var b vector
	for i := range base {
		a[i][i] = 1
		if base[i] > 0 {
			a[i][i] = f.weight / (base[i] * base[i])
			b[i] = f.weight / base[i]
		}
	}
	for _, s := range f.samples {
		expected := dot(c, s.size)
		if expected <= 0 {
			continue
		}
		w := 1 / (s.noise * s.noise * expected * expected)
		if relErr := math.Abs(s.value/expected - 1); relErr > outlierThreshold {
			w *= outlierThreshold / relErr
		}
		for i := range base {
			for j := range base {
				a[i][j] += w * s.size[i] * s.size[j]
			}
			b[i] += w * s.size[i] * s.value
		}
	}
	out := solveLinear(a, b)
	for i := range out {
		out[i] = max(out[i], minCoefficientShare*base[i])
	}
	return out
}

// solveLinear solves a·x = b by Gaussian elimination. The matrix a is symmetric and positive
// definite, as every term has a prior.
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
func dot(a, b vector) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] }

// median returns the middle of the values, or 0 if there are none. It sorts values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
