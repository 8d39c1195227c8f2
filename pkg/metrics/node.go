package metrics

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/traffic"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// NodeGauges are read when a node's metrics are scraped.
type NodeGauges struct {
	OpenJobs       int64 // that callers of this node wait for
	Cells          int64 // that this node owns
	QueuedWork     int64 // thousandths of a core x milliseconds, in its cells
	FreeCPU        int64 // thousandths of a core, in its cells
	Peers          int64 // links that are up
	Version        int64 // of the configuration in force
	ExecutorsAgeMS int64 // since the newest reading of the executors was asked for
	ClosedDomains  int64 // that operators have closed to new work, as far as this node knows
	LogDropped     int64 // lines
	KeptOpen       int64 // kept jobs that this node looks after
	// KeptAwaitingCell is the number of those that have waited for long to leave a cell without an
	// owner.
	KeptAwaitingCell int64
}

// Node are the instruments of a node.
type Node struct {
	served
	response metric.Float64Histogram
	orders   metric.Int64Counter
	claims   metric.Int64Counter
	handOns  metric.Int64Counter
	store    metric.Int64Counter
	rows     metric.Int64Counter
	joins    metric.Int64Counter
	told     metric.Int64Counter

	openTwice metric.Int64Counter
	runsTwice metric.Int64Counter
	labels    labelCache
	kept      keptInstruments
}

// NewNode makes a node's instruments. gauges is called at each scrape, and bytes
// are what the node's link has carried.
func NewNode(gauges func() NodeGauges, bytes *traffic.Meter) (*Node, error) {
	served, err := newServed()
	if err != nil {
		return nil, err
	}
	n := &Node{served: served}
	if err := n.makeInstruments(served.meter); err != nil {
		return nil, errors.Wrap(err, "make the instruments")
	}
	if err := n.kept.make(served.meter); err != nil {
		return nil, errors.Wrap(err, "make the instruments of kept jobs")
	}
	if err := observeBytes(served.meter, bytes); err != nil {
		return nil, errors.Wrap(err, "make the counters of bytes")
	}
	return n, errors.Wrap(observeNode(served.meter, gauges), "make the gauges")
}

// observeBytes makes the counter of bytes by purpose and direction.
func observeBytes(meter metric.Meter, bytes *traffic.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for _, purpose := range traffic.Purposes() {
			counter := bytes.Of(purpose)
			o.Observe(int64(counter.In()), bytesOf(purpose, "in"))
			o.Observe(int64(counter.Out()), bytesOf(purpose, "out"))
		}
		return nil
	}
	_, err := meter.Int64ObservableCounter("foxcroft_node_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes on the node's link, by purpose and direction."), metric.WithInt64Callback(observe))
	return err
}

func bytesOf(purpose traffic.Purpose, direction string) metric.ObserveOption {
	return metric.WithAttributes(attribute.String("purpose", purpose.String()), attribute.String("direction", direction))
}

func (n *Node) makeInstruments(meter metric.Meter) error {
	var err error
	n.response, err = meter.Float64Histogram("foxcroft_node_job_seconds", metric.WithUnit("s"),
		metric.WithDescription("From the receipt of a job to its answer, by route and outcome."),
		metric.WithExplicitBucketBoundaries(timeBuckets...))
	if err != nil {
		return err
	}
	counters := []struct {
		target      *metric.Int64Counter
		name        string
		description string
	}{
		{&n.orders, "foxcroft_node_orders", "Orders to executors, by kind and verdict."},
		{&n.claims, "foxcroft_node_ownership_changes", "Cells claimed and released, by reason."},
		{&n.handOns, "foxcroft_node_jobs_handed_on", "Jobs handed to another owner, by reason."},
		{&n.store, "foxcroft_node_store_failures", "Failed readings of the store, by news."},
		{&n.rows, "foxcroft_node_rows_unreadable", "Rows that can't be used, by table and reason."},
		{&n.joins, "foxcroft_node_jobs_joined", "Jobs sent again while an earlier sending looked open, by where that was."},
		{&n.told, "foxcroft_node_open_jobs_told", "Open jobs told to other hosts, jobs times hosts."},
		{&n.openTwice, "foxcroft_node_jobs_open_twice", "Jobs announced by the owner of another cell while open here too, by where."},
		{&n.runsTwice, "foxcroft_node_tasks_run_twice", "Runs that executors list beside another run of their task in the same cell."},
	}
	for _, counter := range counters {
		if *counter.target, err = meter.Int64Counter(counter.name, metric.WithDescription(counter.description)); err != nil {
			return err
		}
	}
	return nil
}

func observeNode(meter metric.Meter, gauges func() NodeGauges) error {
	return observeFields(meter, gauges, []gaugeField[NodeGauges]{
		{"foxcroft_node_jobs_open", func(g NodeGauges) int64 { return g.OpenJobs }},
		{"foxcroft_node_cells_owned", func(g NodeGauges) int64 { return g.Cells }},
		{"foxcroft_node_queued_work", func(g NodeGauges) int64 { return g.QueuedWork }},
		{"foxcroft_node_free_cpu", func(g NodeGauges) int64 { return g.FreeCPU }},
		{"foxcroft_node_peers_up", func(g NodeGauges) int64 { return g.Peers }},
		{"foxcroft_node_config_version", func(g NodeGauges) int64 { return g.Version }},
		{"foxcroft_node_executors_age_ms", func(g NodeGauges) int64 { return g.ExecutorsAgeMS }},
		{"foxcroft_node_closed_domains", func(g NodeGauges) int64 { return g.ClosedDomains }},
		{"foxcroft_node_kept_open", func(g NodeGauges) int64 { return g.KeptOpen }},
		{"foxcroft_kept_jobs_awaiting_cell", func(g NodeGauges) int64 { return g.KeptAwaitingCell }},
		{"foxcroft_node_log_lines_dropped", func(g NodeGauges) int64 { return g.LogDropped }},
	})
}

// JobEnded counts a job.
func (n *Node) JobEnded(route, outcome string, took time.Duration) {
	n.response.Record(context.Background(), took.Seconds(), n.labels.pair("route", route, "outcome", outcome))
}

// CommandAnswered counts a command to an executor by its verdict, which may be that no answer
// came.
func (n *Node) CommandAnswered(kind, verdict string) {
	n.orders.Add(context.Background(), 1, n.labels.pair("kind", kind, "verdict", verdict))
}

// OwnershipChanged counts a cell that was claimed or released.
func (n *Node) OwnershipChanged(reason string) {
	n.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// JobRedispatched counts a job that goes to another owner.
func (n *Node) JobRedispatched(reason string) {
	n.handOns.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// StoreFailed counts a reading of the store that failed.
func (n *Node) StoreFailed(news string) {
	n.store.Add(context.Background(), 1, metric.WithAttributes(attribute.String("news", news)))
}

// RowsUnreadable counts rows of a table that can't be used.
func (n *Node) RowsUnreadable(table, reason string, rows int) {
	n.rows.Add(context.Background(), int64(rows), n.labels.pair("table", table, "reason", reason))
}

// JobJoined counts a job that came again while an earlier sending looked open.
func (n *Node) JobJoined(where string) {
	n.joins.Add(context.Background(), 1, metric.WithAttributes(attribute.String("where", where)))
}

// OpenJobsTold counts open jobs that other hosts were told of.
func (n *Node) OpenJobsTold(count int) { n.told.Add(context.Background(), int64(count)) }

// JobOpenTwice counts a job that the owner of another cell has announced while it is open here too:
// in a cell, or at the front.
func (n *Node) JobOpenTwice(where string) {
	n.openTwice.Add(context.Background(), 1, metric.WithAttributes(attribute.String("where", where)))
}

// TaskRunsTwice counts a run that an executor lists while another run of its task may go on in the same
// cell.
func (n *Node) TaskRunsTwice() { n.runsTwice.Add(context.Background(), 1) }
