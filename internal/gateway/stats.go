package gateway

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/intake"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Stats holds the gateway's metrics. It is safe for concurrent use.
type Stats struct {
	requests metric.Int64Counter
	// duration is in seconds.
	duration metric.Float64Histogram
	// handlesNotFreed counts the handles that could not be freed.
	handlesNotFreed metric.Int64Counter
	// bySize counts generation requests by size class and outcome.
	bySize     metric.Int64Counter
	admissions metric.Int64Counter
	retries    metric.Int64Counter
	// targetLimits counts changes of the limits that targets state.
	targetLimits metric.Int64Counter
	// dials counts attempts to open a connection to a target.
	dials metric.Int64Counter
	// bodies counts the bodies of targets' responses.
	bodies metric.Int64Counter
	// resumed counts the streams that went on at another target.
	resumed metric.Int64Counter
	// callersEnded counts the connections that were ended for a resource.
	callersEnded metric.Int64Counter
	// callerBytes returns the memory that callers take. It is nil until watchCallers is called.
	callerBytes atomic.Pointer[func() int64]
}

// NewStats registers the gateway's instruments with m.
func NewStats(m metric.Meter) (*Stats, error) {
	requests, err := m.Int64Counter("garnet_requests", metric.WithDescription("requests answered, by status and kind of failure"))
	if err != nil {
		return nil, errors.Wrap(err, "requests counter")
	}
	duration, err := m.Float64Histogram("garnet_request_duration", metric.WithUnit("s"), metric.WithDescription("time from a request's arrival to its answer's end"))
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
	admissions, err := m.Int64Counter("garnet_admissions", metric.WithDescription("requests to model engines by size, whether they were sent and why not, whether they had waited for it, and whether their callers came back"))
	if err != nil {
		return nil, errors.Wrap(err, "admissions counter")
	}
	retries, err := m.Int64Counter("garnet_retries", metric.WithDescription("sends to further targets, by whether attempts and retry budget allowed them"))
	if err != nil {
		return nil, errors.Wrap(err, "retries counter")
	}
	limits, err := m.Int64Counter("garnet_target_limits", metric.WithDescription("changes of the limits on requests that targets state, by whether one was stated"))
	if err != nil {
		return nil, errors.Wrap(err, "limits counter")
	}
	dials, err := m.Int64Counter("garnet_target_dials", metric.WithDescription("attempts to open a connection to a target, by result"))
	if err != nil {
		return nil, errors.Wrap(err, "dials counter")
	}
	bodies, err := m.Int64Counter("garnet_target_bodies", metric.WithDescription("bodies of targets' answers, by framing and by whether they were complete"))
	if err != nil {
		return nil, errors.Wrap(err, "bodies counter")
	}
	resumed, err := m.Int64Counter("garnet_streams_resumed", metric.WithDescription("streams that were resumed, by whether their callers resumed them, and by how the version of the new target's software compares with that which began them"))
	if err != nil {
		return nil, errors.Wrap(err, "resumed streams counter")
	}
	ended, err := m.Int64Counter("garnet_callers_ended", metric.WithDescription("callers' connections that were ended or refused for descriptors or memory, by what they were doing"))
	if err != nil {
		return nil, errors.Wrap(err, "ended callers counter")
	}
	s := &Stats{requests: requests, duration: duration, handlesNotFreed: handles, bySize: bySize, admissions: admissions, retries: retries, targetLimits: limits, dials: dials, bodies: bodies, resumed: resumed, callersEnded: ended}
	_, err = m.Int64ObservableGauge("garnet_caller_memory", metric.WithUnit("By"), metric.WithDescription("memory reserved for callers' connections and requests"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if used := s.callerBytes.Load(); used != nil {
				o.Observe((*used)())
			}
			return nil
		}))
	return s, errors.Wrap(err, "caller memory gauge")
}

// watchCallers sets what returns the memory that callers take.
func (s *Stats) watchCallers(used func() int64) { s.callerBytes.Store(&used) }

// CallerEnded counts a connection that was ended or refused in a phase for a resource.
func (s *Stats) CallerEnded(p intake.Phase, r resource) {
	s.callersEnded.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("phase", p.String()), attribute.String("resource", string(r)),
	)))
}

// Request counts one request and its duration. kind is empty if the response came from a target.
func (s *Stats) Request(status int, kind errkind.Kind, took time.Duration) {
	set := metric.WithAttributeSet(attribute.NewSet(attribute.String("status", strconv.Itoa(status)), attribute.String("kind", string(kind))))
	s.requests.Add(context.Background(), 1, set)
	s.duration.Record(context.Background(), took.Seconds(), set)
}

// Generation counts one generation request by size and outcome.
func (s *Stats) Generation(route string, size fair.Size, event telemetry.Event) {
	s.bySize.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("prompt", size.Prompt.String()),
		attribute.String("answer", size.Answer.String()), attribute.String("outcome", string(event)),
	)))
}

// Admission counts a generation request that was sent to an engine, or refused because it could not
// be on time. waited says that it had been deferred before that.
func (s *Stats) Admission(route string, size fair.Size, a *admission, waited bool) {
	s.admissions.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("prompt", size.Prompt.String()), attribute.String("answer", size.Answer.String()),
		attribute.String("verdict", verdictName(a.decision.Verdict)), attribute.String("reason", string(a.decision.Reason)),
		attribute.Bool("waited", waited), attribute.Bool("again", a.callerRetry),
	)))
}

// Retry counts a decision on whether a request may be sent to a further target.
func (s *Stats) Retry(service string, allowed bool) {
	s.retries.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", service), attribute.Bool("allowed", allowed),
	)))
}

// TargetLimit counts a change of the limit that a target of the service states.
func (s *Stats) TargetLimit(service string, stated bool) {
	s.targetLimits.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", service), attribute.Bool("stated", stated),
	)))
}

// Dial counts an attempt to open a connection to a target, which failed with err unless err is nil.
func (s *Stats) Dial(err error) {
	var timeout net.Error
	result := "failed"
	switch {
	case err == nil:
		result = "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		result = "refused"
	case errors.Is(err, syscall.ETIMEDOUT), errors.As(err, &timeout) && timeout.Timeout():
		result = "timed_out"
	case errors.Is(err, context.Canceled):
		result = "canceled"
	}
	s.dials.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result))))
}

// Body counts the body of a target's answer.
func (s *Stats) Body(f httpsend.Framing, complete bool) {
	s.bodies.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("framing", f.String()), attribute.Bool("complete", complete),
	)))
}

// Resumed counts a stream that went on at a target. byCaller says that its caller has resumed it, and
// comparison how the version of the target's software compares with that which began the stream.
func (s *Stats) Resumed(byCaller bool, comparison versionComparison) {
	s.resumed.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.Bool("by_caller", byCaller), attribute.String("version", string(comparison)),
	)))
}

// HandleNotFreed counts a handle whose freeing call failed.
func (s *Stats) HandleNotFreed() { s.handlesNotFreed.Add(context.Background(), 1) }
