package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// labelPair is two labels with their values.
type labelPair struct{ firstName, first, secondName, second string }

// labelCache keeps the options for pairs of labels that have come up, since
// making one takes longer than the counting. Its size is bounded by the label
// values, as that of the metrics is.
type labelCache struct{ options sync.Map }

// pair returns the option that labels a measurement.
func (c *labelCache) pair(firstName, first, secondName, second string) metric.MeasurementOption {
	key := labelPair{firstName, first, secondName, second}
	if option, ok := c.options.Load(key); ok {
		return option.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(attribute.String(firstName, first), attribute.String(secondName, second)))
	c.options.Store(key, option)
	return option
}
