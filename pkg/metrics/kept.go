package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// keptInstruments are those of kept jobs.
type keptInstruments struct {
	commit metric.Float64Histogram
	group  metric.Int64Histogram
	calls  metric.Int64Counter
	labels labelCache
}

// groupBuckets are the bounds of the histogram of group sizes: a transaction holds 33
// jobs at most.
var groupBuckets = []float64{1, 2, 4, 8, 16, 32}

func (k *keptInstruments) make(meter metric.Meter) error {
	var err error
	k.commit, err = meter.Float64Histogram("foxcroft_kept_commit_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time of a transaction of kept jobs, by outcome."),
		metric.WithExplicitBucketBoundaries(timeBuckets...))
	if err != nil {
		return err
	}
	k.group, err = meter.Int64Histogram("foxcroft_kept_group_size",
		metric.WithDescription("Changes of kept jobs in a transaction."),
		metric.WithExplicitBucketBoundaries(groupBuckets...))
	if err != nil {
		return err
	}
	k.calls, err = meter.Int64Counter("foxcroft_kept_calls", metric.WithDescription("Calls about kept jobs, by call and verdict."))
	return err
}

// KeptWritten counts a transaction of kept jobs.
func (n *Node) KeptWritten(outcome string, changes int, took time.Duration) {
	n.kept.commit.Record(context.Background(), took.Seconds(), n.kept.labels.pair("call", "commit", "outcome", outcome))
	n.kept.group.Record(context.Background(), int64(changes))
}

// KeptAnswered counts an answer to a caller.
func (n *Node) KeptAnswered(call, verdict string) {
	n.kept.calls.Add(context.Background(), 1, n.kept.labels.pair("call", call, "verdict", verdict))
}
