package metrics

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/traffic"
	qt "github.com/frankban/quicktest"
)

func TestNodeMetricsAreServed(t *testing.T) {
	c := qt.New(t)
	n, err := NewNode(func() NodeGauges { return NodeGauges{OpenJobs: 3, Version: 7} }, carried(c, "hello"))
	c.Assert(err, qt.IsNil)
	n.JobEnded("route", "completed", 100*time.Millisecond)
	n.CommandAnswered("start", "accepted")
	n.OwnershipChanged("claimed")
	n.JobRedispatched("lost")
	n.StoreFailed("executors")
	n.RowsUnreadable("executors", "no_document", 2)
	assertServed(c, n.Handler(),
		`foxcroft_node_job_seconds_count{outcome="completed",route="route"} 1`,
		`foxcroft_node_orders_total{kind="start",verdict="accepted"} 1`,
		`foxcroft_node_ownership_changes_total{reason="claimed"} 1`,
		`foxcroft_node_jobs_handed_on_total{reason="lost"} 1`,
		`foxcroft_node_store_failures_total{news="executors"} 1`,
		`foxcroft_node_rows_unreadable_total{reason="no_document",table="executors"} 2`,
		`foxcroft_node_bytes_total{direction="out",purpose="store"} 5`,
		"foxcroft_node_jobs_open 3", "foxcroft_node_config_version 7",
	)
}

// carried returns a meter of a link that has carried a text to the store.
func carried(c *qt.C, text string) *traffic.Meter {
	meter := traffic.NewMeter()
	client, server := net.Pipe()
	defer client.Close()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	_, err := meter.Of(traffic.Store).Conn(client).Write([]byte(text))
	c.Assert(err, qt.IsNil)
	return meter
}
