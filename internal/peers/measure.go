package peers

import (
	"time"

	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/profile"
)

// Measurements holds what this VM has measured of the engines. place.Placer implements it.
type Measurements interface {
	// TakeMeasurements returns this VM's measurements to be shared since its last call.
	TakeMeasurements() []place.Measurement
	// ObserveMeasurements takes in measurements that other VMs have shared.
	ObserveMeasurements(measurements []place.Measurement, now time.Time)
}

// SetMeasurements sets what holds the measurements of engines. It must be called before Start.
func (p *Peers) SetMeasurements(m Measurements) { p.measurements = m }

// measurement is the wire form of place.Measurement. A measurement of steps has a TookUS, one of an
// answer MaxTokens, and a step limit StepLimitNS. The other fields are those of profile.Steps,
// profile.Load and profile.Answer with the same names.
type measurement struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	Events        int
	TookUS        int64
	Running       int
	PrefillTokens float32
	Expected      int
	MaxTokens     int
	StepLimitNS   int64
	// Origin is the originHash of the VM that measured, see sendRecord.
	Origin uint16
}

// takeMeasurements returns the wire form of this VM's measurements to be shared.
func (p *Peers) takeMeasurements() []measurement {
	if p.measurements == nil {
		return nil
	}
	origin := originHash(p.self.VM)
	var out []measurement
	for _, m := range p.measurements.TakeMeasurements() {
		w := measurement{Service: m.Service, StepLimitNS: int64(m.StepLimit), Origin: origin}
		if s := m.Steps; s != nil {
			w.Events, w.TookUS, w.Running, w.PrefillTokens = s.Events, s.Took.Microseconds(), s.Load.Running, float32(s.Load.PrefillTokens)
		}
		if a := m.Answer; a != nil {
			w.Events, w.Expected, w.MaxTokens = a.Events, a.Expected, a.MaxTokens
		}
		out = append(out, w)
	}
	return out
}

// observeMeasurements takes in the measurements of a report but those of this VM, which a digest
// contains too.
func (p *Peers) observeMeasurements(measurements []measurement, now time.Time) {
	if p.measurements == nil || len(measurements) == 0 {
		return
	}
	own := originHash(p.self.VM)
	out := make([]place.Measurement, 0, len(measurements))
	for _, w := range measurements {
		if w.Origin != own {
			out = append(out, w.decode())
		}
	}
	p.measurements.ObserveMeasurements(out, now)
}

// decode returns the measurement from its wire form.
func (w *measurement) decode() place.Measurement {
	m := place.Measurement{Service: w.Service, StepLimit: time.Duration(w.StepLimitNS)}
	switch {
	case w.TookUS > 0:
		m.Steps = &profile.Steps{Events: w.Events, Took: time.Duration(w.TookUS) * time.Microsecond,
			Load: profile.Load{Running: w.Running, PrefillTokens: float64(w.PrefillTokens)}}
	case w.MaxTokens > 0:
		m.Answer = &profile.Answer{Events: w.Events, Expected: w.Expected, MaxTokens: w.MaxTokens}
	}
	return m
}

// recordQueue holds the records for the next summary or digest, of each kind at most maxQueuedRecords
// and those of one more report.
type recordQueue struct {
	sends        []sendRecord
	measurements []measurement
	admissions   []admission
}

// add adds the records of a report.
func (q *recordQueue) add(r *report) {
	if len(q.sends) < maxQueuedRecords {
		q.sends = append(q.sends, r.SendRecords...)
	}
	if len(q.measurements) < maxQueuedRecords {
		q.measurements = append(q.measurements, r.Measurements...)
	}
	if len(q.admissions) < maxQueuedRecords {
		q.admissions = append(q.admissions, r.Admissions...)
	}
}

// moveTo sets the records of a report to the queued ones and empties the queue.
func (q *recordQueue) moveTo(r *report) {
	r.SendRecords, r.Measurements, r.Admissions = q.sends, q.measurements, q.admissions
	*q = recordQueue{}
}
