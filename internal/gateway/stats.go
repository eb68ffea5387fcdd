package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Stats counts requests by route and outcome.
type Stats struct {
	requests metric.Int64Counter
	seconds  metric.Float64Histogram
	handles  metric.Int64Counter
	bySize   metric.Int64Counter
	admitted metric.Int64Counter
	retries  metric.Int64Counter
}

// NewStats returns the gateway's instruments.
func NewStats(m metric.Meter) (*Stats, error) {
	requests, err := m.Int64Counter("garnet_requests", metric.WithDescription("requests answered, by status and kind of failure"))
	if err != nil {
		return nil, errors.Wrap(err, "requests counter")
	}
	seconds, err := m.Float64Histogram("garnet_request_duration", metric.WithUnit("s"), metric.WithDescription("time from a request's arrival to its answer's end"))
	if err != nil {
		return nil, errors.Wrap(err, "duration histogram")
	}
	handles, err := m.Int64Counter("garnet_handles_not_freed", metric.WithDescription("KV cache handles whose freeing call failed"))
	if err != nil {
		return nil, errors.Wrap(err, "handles counter")
	}
	bySize, err := m.Int64Counter("garnet_generations_by_size", metric.WithDescription("requests to model engines by outcome and by their size among the last ones of their route"))
	if err != nil {
		return nil, errors.Wrap(err, "size counter")
	}
	admitted, err := m.Int64Counter("garnet_admissions", metric.WithDescription("requests to model engines by size, whether they were sent and why not, whether they had waited for it, and whether their callers came back"))
	if err != nil {
		return nil, errors.Wrap(err, "admissions counter")
	}
	retries, err := m.Int64Counter("garnet_retries", metric.WithDescription("sends to further targets, by whether attempts and retry budget allowed them"))
	return &Stats{requests: requests, seconds: seconds, handles: handles, bySize: bySize, admitted: admitted, retries: retries}, errors.Wrap(err, "retries counter")
}

// Request counts one request; kind is empty for an answer of a target.
func (s *Stats) Request(status int, kind errkind.Kind, took time.Duration) {
	set := metric.WithAttributeSet(attribute.NewSet(attribute.String("status", strconv.Itoa(status)), attribute.String("kind", string(kind))))
	s.requests.Add(context.Background(), 1, set)
	s.seconds.Record(context.Background(), took.Seconds(), set)
}

// Generation counts one request to a model engine by its size and how it ended.
func (s *Stats) Generation(route string, b fair.Size, event telemetry.Event) {
	s.bySize.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("prompt", b.Prompt.String()),
		attribute.String("answer", b.Answer.String()), attribute.String("outcome", string(event)),
	)))
}

// Admission counts a request to a model engine that was sent, or refused for want of time.
func (s *Stats) Admission(route string, b fair.Size, a *admission, waited bool) {
	s.admitted.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("prompt", b.Prompt.String()), attribute.String("answer", b.Answer.String()),
		attribute.String("verdict", verdictName(a.ruling.Verdict)), attribute.String("reason", string(a.ruling.Reason)),
		attribute.Bool("waited", waited), attribute.Bool("again", a.again),
	)))
}

// Retry counts whether a request might be sent to a further target.
func (s *Stats) Retry(service string, allowed bool) {
	s.retries.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", service), attribute.Bool("allowed", allowed),
	)))
}

// HandleLost counts a handle that could not be freed.
func (s *Stats) HandleLost() { s.handles.Add(context.Background(), 1) }
