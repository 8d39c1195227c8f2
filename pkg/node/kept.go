package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// servesKept is whether this version serves kept jobs: durable jobs that run to
// completion whether or not their callers wait.
const servesKept = true

const reasonKeptNotServed = "kept_jobs_not_served"

// keptNotServed is the answer of a node that does not serve kept jobs.
var keptNotServed = kept.Answer{Verdict: kept.Refused, Reason: reasonKeptNotServed, RetryAfter: refusalRetryAfter}

// Keep implements Service.
func (n *Node) Keep(ctx context.Context, j *job.Job) kept.Answer {
	if !n.servesKept {
		return keptNotServed
	}
	return n.keeping.Keep(ctx, j)
}

// KeptState implements Service.
func (n *Node) KeptState(ctx context.Context, id string) kept.Answer {
	if !n.servesKept {
		return keptNotServed // other nodes may serve the job
	}
	return n.keeping.State(ctx, id)
}

// CancelKept implements Service.
func (n *Node) CancelKept(ctx context.Context, id string) kept.Answer {
	if !n.servesKept {
		return keptNotServed // other nodes may serve the job
	}
	return n.keeping.Cancel(ctx, id)
}
