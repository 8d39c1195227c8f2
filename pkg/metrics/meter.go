package metrics

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// timeBuckets are the bounds of the histograms of times, in seconds.
var timeBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30, 60}

// served is a meter with the registry that serves its instruments.
type served struct {
	meter    metric.Meter
	registry *prometheus.Registry
}

func newServed() (served, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return served{}, errors.Wrap(err, "make the exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return served{meter: provider.Meter("foxcroft"), registry: registry}, nil
}

// Handler serves the metrics.
func (s served) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// gaugeField is a gauge that is read from a snapshot.
type gaugeField[T any] struct {
	name string
	read func(T) int64
}

// observeFields makes a gauge of each field of the snapshots that take gives.
func observeFields[T any](meter metric.Meter, take func() T, fields []gaugeField[T]) error {
	for _, field := range fields {
		_, err := meter.Int64ObservableGauge(field.name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(field.read(take()))
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}
