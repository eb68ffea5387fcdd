package entry

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// usage counts each service's requests and answers since the process started. It is
// safe for concurrent use.
type usage struct {
	mu       sync.Mutex
	services map[string]*serviceUsage

	requests   metric.Int64Counter
	errorCount metric.Int64Counter
	duration   metric.Float64Histogram
}

// serviceUsage is the counters of one service. Answers are good, bad, or refused
// through the caller's own fault.
type serviceUsage struct {
	good, bad, refused uint64
	// arrivals is the number of requests since the last report. arrivalsPerS is the
	// arrival rate between the last two reports.
	arrivals     uint64
	arrivalsPerS float64
	inFlight     int
}

// newUsage returns empty counters and registers their metrics.
func newUsage(m *telemetry.Metrics) (*usage, error) {
	requests, err := m.Meter.Int64Counter("garnet_requests_total", metric.WithDescription("Requests by service and result."))
	if err != nil {
		return nil, errors.Wrap(err, "requests counter")
	}
	refusals, err := m.Meter.Int64Counter("garnet_errors_total", metric.WithDescription("Refusals and failures by service and kind."))
	if err != nil {
		return nil, errors.Wrap(err, "errors counter")
	}
	duration, err := m.Meter.Float64Histogram("garnet_request_duration_seconds", metric.WithDescription("Time from arrival to the end of the answer."), metric.WithUnit("s"))
	if err != nil {
		return nil, errors.Wrap(err, "duration histogram")
	}
	u := &usage{services: map[string]*serviceUsage{}, requests: requests, errorCount: refusals, duration: duration}
	return u, u.registerInFlightGauge(m)
}

// registerInFlightGauge registers the gauge of the requests in flight by service.
func (u *usage) registerInFlightGauge(m *telemetry.Metrics) error {
	gauge, err := m.Meter.Int64ObservableGauge("garnet_in_flight_requests", metric.WithDescription("Requests in hand by service."))
	if err != nil {
		return errors.Wrap(err, "in-flight gauge")
	}
	_, err = m.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u.mu.Lock()
		defer u.mu.Unlock()
		for name, s := range u.services {
			o.ObserveInt64(gauge, int64(s.inFlight), metric.WithAttributes(attribute.String("service", name)))
		}
		return nil
	}, gauge)
	return errors.Wrap(err, "register in-flight gauge")
}

// forService returns the service's counters, which it creates if needed. The caller
// must hold u.mu.
func (u *usage) forService(name string) *serviceUsage {
	s, ok := u.services[name]
	if !ok {
		s = &serviceUsage{}
		u.services[name] = s
	}
	return s
}

// countArrival counts a request. It is called before any limit is applied, because
// refused requests are part of the demand.
func (u *usage) countArrival(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forService(service).arrivals++
}

// acquire counts a request as in flight and returns true, unless the service already
// has limit of them. Zero is no limit.
func (u *usage) acquire(service string, limit int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.forService(service)
	if limit > 0 && s.inFlight >= limit {
		return false
	}
	s.inFlight++
	return true
}

// release undoes a successful acquire.
func (u *usage) release(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forService(service).inFlight--
}

// countAnswer counts an answer that took so many seconds. inTime tells whether it
// met the deadline if it is complete. err is the refusal or failure, or nil.
func (u *usage) countAnswer(service string, inTime bool, err *errkind.Error, seconds float64) {
	attr := attribute.String("service", service)
	u.mu.Lock()
	s := u.forService(service)
	result := "good"
	switch {
	case err != nil && err.Response().CallerFault:
		s.refused++
		result = "caller_fault"
	case err != nil || !inTime:
		s.bad++
		result = "bad"
	default:
		s.good++
	}
	u.mu.Unlock()
	ctx := context.Background()
	u.requests.Add(ctx, 1, metric.WithAttributes(attr, attribute.String("result", result)))
	u.duration.Record(ctx, seconds, metric.WithAttributes(attr))
	if err != nil {
		u.errorCount.Add(ctx, 1, metric.WithAttributes(attr, attribute.String("kind", string(err.Kind))))
	}
}

// demand returns the service's arrival rate between the last two reports, in
// requests per second, and its requests in flight.
func (u *usage) demand(service string) (perS float64, inFlight int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.forService(service)
	return s.arrivalsPerS, s.inFlight
}

// report returns the counters of all services for a steward and starts a new period
// of the arrival rates. elapsed is the time since the last report in seconds.
func (u *usage) report(elapsed float64) []*api.ServiceUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*api.ServiceUsage
	for name, s := range u.services {
		s.arrivalsPerS = float64(s.arrivals) / elapsed
		out = append(out, &api.ServiceUsage{
			Service: name, DemandPerS: s.arrivalsPerS,
			Usage: &api.Usage{Good: s.good, Bad: s.bad, Refused: s.refused},
		})
		s.arrivals = 0
	}
	return out
}
