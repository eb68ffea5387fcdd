package route

const (
	// busyWindow is the time over which a target's busy share is taken, in
	// seconds. It is long against the age of reports: entries that all see
	// the same old share must not swing together.
	busyWindow = 60.0
	// busySamples is how many reports of the window are kept.
	busySamples = 16
)

// Busy is how much work a target did a second over the last while, from its
// reports of the work done so far; with work in seconds it is the share of the
// time that the target was busy. It is not safe for concurrent use.
type Busy struct {
	samples []busySample
}

type busySample struct {
	at   float64
	work float64
}

// Report takes in that the target had done so much work by time at. Work that
// shrinks, as after a restart, begins anew.
func (b *Busy) Report(at, work float64) {
	n := len(b.samples)
	switch {
	case n > 0 && at <= b.samples[n-1].at:
		return
	case n == 0 || work < b.samples[n-1].work:
		b.samples = append(b.samples[:0], busySample{at: at, work: work})
		return
	case n > 1 && b.samples[n-1].at-b.samples[n-2].at < busyWindow/busySamples:
		b.samples[n-1] = busySample{at: at, work: work}
	default:
		b.samples = append(b.samples, busySample{at: at, work: work})
	}
	for len(b.samples) > 2 && at-b.samples[1].at >= busyWindow {
		b.samples = append(b.samples[:0], b.samples[1:]...)
	}
}

// Share returns the share; zero until two reports have come.
func (b *Busy) Share() float64 {
	n := len(b.samples)
	if n < 2 {
		return 0
	}
	first, last := b.samples[0], b.samples[n-1]
	return (last.work - first.work) / (last.at - first.at)
}
