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

// Metrics is a program's OpenTelemetry meter with its scrape endpoint. Each
// program owns one; nothing is registered globally.
type Metrics struct {
	Meter   metric.Meter
	handler http.Handler
}

// NewMetrics returns the metrics of the program called name.
func NewMetrics(name string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := promexporter.New(promexporter.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter:   provider.Meter(name),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Handler serves the scrape endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }
