// Package metrics holds the OpenTelemetry instruments of an entry host and of a
// node, and serves them in the Prometheus format. docs/METRICS.md lists them.
package metrics

import (
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// otherClass stands for the classes beyond maxClasses, since callers choose
// them freely and each makes new series.
const (
	otherClass = "other"
	maxClasses = 64
)

// Labels tell one kind of work from another.
type Labels struct {
	Service string
	Team    string
	Class   string
}

// Gauges are read when the metrics are scraped.
type Gauges struct {
	Waiting  int64 // tasks
	Busy     int64 // slots
	Free     int64 // slots
	IDs      int64 // remembered as primary and as backup
	Peers    int64 // links that are up
	Version  int64 // of the configuration in force
	Suspects int64 // slow targets
}

// Metrics are the instruments of an entry host.
type Metrics struct {
	served
	response metric.Float64Histogram
	wait     metric.Float64Histogram
	jobs     metric.Int64Counter
	attempts metric.Int64Counter

	mu      sync.RWMutex
	classes map[string]bool
	sets    map[setKey]attribute.Set
}

type setKey struct {
	labels Labels
	result string
}

// New makes the instruments. counters are those of the peer links, and gauges
// is called at each scrape.
func New(counters *peer.Counters, gauges func() Gauges) (*Metrics, error) {
	served, err := newServed()
	if err != nil {
		return nil, err
	}
	m := &Metrics{served: served, classes: map[string]bool{}, sets: map[setKey]attribute.Set{}}
	if err := m.makeInstruments(served.meter); err != nil {
		return nil, errors.Wrap(err, "make the instruments")
	}
	if err := observeGauges(served.meter, gauges); err != nil {
		return nil, errors.Wrap(err, "make the gauges")
	}
	return m, errors.Wrap(observePeers(served.meter, counters), "make the peer counters")
}

func (m *Metrics) makeInstruments(meter metric.Meter) error {
	var err error
	buckets := metric.WithExplicitBucketBoundaries(timeBuckets...)
	if m.response, err = meter.Float64Histogram("foxcroft_job_response_seconds", metric.WithUnit("s"), metric.WithDescription("From the receipt of a job to its answer."), buckets); err != nil {
		return err
	}
	if m.wait, err = meter.Float64Histogram("foxcroft_task_wait_seconds", metric.WithUnit("s"), metric.WithDescription("From the receipt of a job to the start of each task."), buckets); err != nil {
		return err
	}
	if m.jobs, err = meter.Int64Counter("foxcroft_jobs", metric.WithDescription("Jobs that ended, by result.")); err != nil {
		return err
	}
	m.attempts, err = meter.Int64Counter("foxcroft_attempts", metric.WithDescription("Task attempts that ended, by result."))
	return err
}

func observeGauges(meter metric.Meter, gauges func() Gauges) error {
	return observeFields(meter, gauges, []gaugeField[Gauges]{
		{"foxcroft_tasks_waiting", func(g Gauges) int64 { return g.Waiting }},
		{"foxcroft_slots_busy", func(g Gauges) int64 { return g.Busy }},
		{"foxcroft_slots_free", func(g Gauges) int64 { return g.Free }},
		{"foxcroft_ids_kept", func(g Gauges) int64 { return g.IDs }},
		{"foxcroft_peers_up", func(g Gauges) int64 { return g.Peers }},
		{"foxcroft_config_version", func(g Gauges) int64 { return g.Version }},
		{"foxcroft_targets_suspect", func(g Gauges) int64 { return g.Suspects }},
	})
}

func observePeers(meter metric.Meter, counters *peer.Counters) error {
	observe := func(read func(peer.Class) uint64) metric.Int64Callback {
		return func(_ context.Context, o metric.Int64Observer) error {
			for _, class := range peer.Classes() {
				o.Observe(int64(read(class)), metric.WithAttributes(attribute.String("class", class.String())))
			}
			return nil
		}
	}
	if _, err := meter.Int64ObservableCounter("foxcroft_peer_messages", metric.WithInt64Callback(observe(counters.Frames))); err != nil {
		return err
	}
	_, err := meter.Int64ObservableCounter("foxcroft_peer_bytes", metric.WithInt64Callback(observe(counters.Bytes)))
	return err
}

// JobEnded counts a job. result is its outcome, or the kind of its error.
func (m *Metrics) JobEnded(labels Labels, result string, response time.Duration) {
	set := metric.WithAttributeSet(m.set(labels, result))
	m.jobs.Add(context.Background(), 1, set)
	m.response.Record(context.Background(), response.Seconds(), set)
}

// AttemptEnded counts a task attempt that waited for its slot for wait.
func (m *Metrics) AttemptEnded(labels Labels, result string, wait time.Duration) {
	set := metric.WithAttributeSet(m.set(labels, result))
	m.attempts.Add(context.Background(), 1, set)
	m.wait.Record(context.Background(), wait.Seconds(), set)
}

// set returns the attributes of a series, made once.
func (m *Metrics) set(labels Labels, result string) attribute.Set {
	key := setKey{labels: labels, result: result}
	m.mu.RLock()
	found, ok := m.sets[key]
	m.mu.RUnlock()
	if ok {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.classes[labels.Class] && len(m.classes) >= maxClasses {
		return newSet(Labels{Service: labels.Service, Team: labels.Team, Class: otherClass}, result)
	}
	m.classes[labels.Class] = true
	found = newSet(labels, result)
	m.sets[key] = found
	return found
}

func newSet(labels Labels, result string) attribute.Set {
	return attribute.NewSet(
		attribute.String("service", labels.Service),
		attribute.String("team", labels.Team),
		attribute.String("class", labels.Class),
		attribute.String("result", result),
	)
}
