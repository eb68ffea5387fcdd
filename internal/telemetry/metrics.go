package telemetry

import (
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	promexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics is an OpenTelemetry meter and the Prometheus endpoint that exposes its instruments. Each
// program has one. Nothing is registered globally.
type Metrics struct {
	// Meter creates the instruments of the program.
	Meter   metric.Meter
	handler http.Handler
}

// NewMetrics returns the metrics of a program. name is the name of the meter.
func NewMetrics(name string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := promexporter.New(promexporter.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter:   provider.Meter(name),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Handler returns the handler of the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }
