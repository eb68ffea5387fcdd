package route

const (
	// workWindow is the time over which a target's work rate is averaged, in
	// seconds. It is much longer than the age of the reports, so that entries
	// that all act on the same outdated value do not oscillate together.
	workWindow = 60.0
	// maxWorkSamples is how many samples spread over the window are kept.
	maxWorkSamples = 16
)

// WorkRate measures how much work a target did per second over the last
// workWindow, from its reports of the total work done so far. With work counted
// in seconds the result is the share of the time in which the target was busy.
// It is not safe for concurrent use.
type WorkRate struct {
	samples []workSample
}

// workSample is the total work that a target had done at one time.
type workSample struct {
	at   float64
	work float64
}

// Report records that the target had done work in total by time at, in
// seconds. A total below the last one, as after a restart of the target,
// discards all samples. A report no newer than the last is ignored.
func (b *WorkRate) Report(at, work float64) {
	n := len(b.samples)
	switch {
	case n > 0 && at <= b.samples[n-1].at:
		return
	case n == 0 || work < b.samples[n-1].work:
		b.samples = append(b.samples[:0], workSample{at: at, work: work})
		return
	case n > 1 && b.samples[n-1].at-b.samples[n-2].at < workWindow/maxWorkSamples:
		b.samples[n-1] = workSample{at: at, work: work}
	default:
		b.samples = append(b.samples, workSample{at: at, work: work})
	}
	for len(b.samples) > 2 && at-b.samples[1].at >= workWindow {
		b.samples = append(b.samples[:0], b.samples[1:]...)
	}
}

// PerSecond returns the work done per second, or zero before the second report.
func (b *WorkRate) PerSecond() float64 {
	n := len(b.samples)
	if n < 2 {
		return 0
	}
	first, last := b.samples[0], b.samples[n-1]
	return (last.work - first.work) / (last.at - first.at)
}
