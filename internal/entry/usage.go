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

// usage counts each service's answers since the process started. It is safe
// for concurrent use.
type usage struct {
	mu       sync.Mutex
	services map[string]*serviceUsage

	requests metric.Int64Counter
	refusals metric.Int64Counter
	duration metric.Float64Histogram
}

type serviceUsage struct {
	good, bad, refused uint64
	// arrived counts requests since perS was last taken.
	arrived  uint64
	perS     float64
	inFlight int
}

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
	u := &usage{services: map[string]*serviceUsage{}, requests: requests, refusals: refusals, duration: duration}
	return u, u.watchInFlight(m)
}

// watchInFlight exposes the requests in hand.
func (u *usage) watchInFlight(m *telemetry.Metrics) error {
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

func (u *usage) service(name string) *serviceUsage {
	s, ok := u.services[name]
	if !ok {
		s = &serviceUsage{}
		u.services[name] = s
	}
	return s
}

// arrive counts a request before any limit is applied: what is refused is
// demand too.
func (u *usage) arrive(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.service(service).arrived++
}

// begin takes a place in flight, unless the service already has limit of them;
// a limit of zero is none.
func (u *usage) begin(service string, limit int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.service(service)
	if limit > 0 && s.inFlight >= limit {
		return false
	}
	s.inFlight++
	return true
}

// end gives back what begin took.
func (u *usage) end(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.service(service).inFlight--
}

// result counts an answer. inTime says whether a complete answer met the
// deadline; err is the refusal or failure, or nil.
func (u *usage) result(service string, inTime bool, err *errkind.Error, seconds float64) {
	attr := attribute.String("service", service)
	u.mu.Lock()
	s := u.service(service)
	result := "good"
	switch {
	case err != nil && err.Answer().CallerFault:
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
		u.refusals.Add(ctx, 1, metric.WithAttributes(attr, attribute.String("kind", string(err.Kind))))
	}
}

// demand returns the requests a second that arrived lately and the requests
// in flight.
func (u *usage) demand(service string) (perS float64, inFlight int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.service(service)
	return s.perS, s.inFlight
}

// report returns the counters for a steward; elapsed is the seconds since the
// last report.
func (u *usage) report(elapsed float64) []*api.ServiceUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*api.ServiceUsage
	for name, s := range u.services {
		s.perS = float64(s.arrived) / elapsed
		out = append(out, &api.ServiceUsage{
			Service: name, DemandPerS: s.perS,
			Usage: &api.Usage{Good: s.good, Bad: s.bad, Refused: s.refused},
		})
		s.arrived = 0
	}
	return out
}
