package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/profile"
)

// Measurement is what a VM has measured of the engines of a service, and shares with the other VMs.
// One of Steps, Answer and StepLimit is set.
//
// Load pattern: answers that take ten seconds, and so many VMs that each of them has one every few
// seconds. A VM that learned from its own requests only would place tens of answers before it knew
// how long they take, and again after each restart.
type Measurement struct {
	Service string
	// Steps is the time of decode steps, divided by the slowdown of the target.
	Steps *profile.Steps
	// Answer is the length of a complete answer.
	Answer *profile.Answer
	// StepLimit is the longest decode step at which the longest answer of a request ends in time.
	StepLimit time.Duration
}

const (
	// sharedPerS is the number of measurements of each kind that all VMs together share per second
	// and service. What a VM receives therefore does not grow with the group.
	sharedPerS = 32
	// shareMinVMs is the smallest group in which measurements are shared. In smaller ones each VM has
	// enough answers of its own, and VMs that learn by themselves do not all make the same error.
	shareMinVMs = 12
	// maxMeasurements is the maximum number of measurements that are kept until they are reported.
	maxMeasurements = 64
	// limitShareInterval is the shortest time between two reports of an unchanged step limit by any VM.
	limitShareInterval = time.Second
)

// sharing limits how often this VM shares its measurements of one service.
type sharing struct {
	nextSteps, nextAnswer time.Time
}

// due reports whether a measurement may be shared now, and if so sets when the next one may be. size is
// the number of VMs in the group.
func due(next *time.Time, size int, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(time.Duration(size) * time.Second / sharedPerS)
	return true
}

// share keeps m for the next report to the other VMs. The caller holds p.mu.
func (p *Placer) share(m Measurement) {
	if len(p.measurements) < maxMeasurements {
		p.measurements = append(p.measurements, m)
	}
}

// sharingOf returns the sharing of a service's measurements, and the number of VMs. The caller holds p.mu.
func (p *Placer) sharingOf(service string) (*sharing, int) {
	s := p.sharings[service]
	if s == nil {
		s = &sharing{}
		p.sharings[service] = s
	}
	_, size := p.membership()
	return s, max(size, 1)
}

// shareSteps shares a measurement of decode steps if one is due. The caller holds p.mu.
func (p *Placer) shareSteps(service string, steps profile.Steps, now time.Time) {
	if s, size := p.sharingOf(service); size >= shareMinVMs && due(&s.nextSteps, size, now) {
		p.share(Measurement{Service: service, Steps: &steps})
	}
}

// shareAnswer shares the length of an answer if one is due. The caller holds p.mu.
func (p *Placer) shareAnswer(service string, answer profile.Answer, now time.Time) {
	if s, size := p.sharingOf(service); size >= shareMinVMs && due(&s.nextAnswer, size, now) {
		p.share(Measurement{Service: service, Answer: &answer})
	}
}

// shareStepLimit shares a step limit of this VM's request, unless a shorter one holds or a VM has
// shared it lately. The caller holds p.mu.
func (p *Placer) shareStepLimit(service string, l *stepLimit, step time.Duration, now time.Time) {
	if step > l.step || (step == l.shared && now.Sub(l.sharedAt) < limitShareInterval) {
		return
	}
	l.shared, l.sharedAt = step, now
	if _, size := p.membership(); size >= shareMinVMs {
		p.share(Measurement{Service: service, StepLimit: step})
	}
}

// TakeMeasurements returns this VM's measurements that are to be reported to other VMs, and clears
// them.
func (p *Placer) TakeMeasurements() []Measurement {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.measurements
	p.measurements = nil
	return out
}

// ObserveMeasurements takes in measurements of other VMs.
func (p *Placer) ObserveMeasurements(measurements []Measurement, now time.Time) {
	if p.cfg.Off.Profile {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range measurements {
		switch {
		case m.Steps != nil:
			p.profile(m.Service).ObserveSteps(*m.Steps)
		case m.Answer != nil:
			f := p.profile(m.Service)
			f.ObserveLength(m.Answer.Events, m.Answer.MaxTokens)
			f.ObserveAnswer(*m.Answer)
		case m.StepLimit > 0:
			l := p.stepLimitOf(m.Service)
			l.observe(m.StepLimit, now)
			if l.step == m.StepLimit {
				l.shared, l.sharedAt = m.StepLimit, now
			}
		}
	}
}
