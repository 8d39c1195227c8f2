package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// servesKept says whether this version keeps jobs.
const servesKept = true

// reasonKeptNotServed tells callers that jobs can't be kept.
const reasonKeptNotServed = "kept_jobs_not_served"

// notServed is the answer of a version that doesn't keep jobs.
var notServed = kept.Answer{Verdict: kept.Refused, Reason: reasonKeptNotServed, RetryAfter: comeBack}

// Keep implements Service.
func (n *Node) Keep(ctx context.Context, j *job.Job) kept.Answer {
	if !n.servesKept {
		return notServed
	}
	return n.keeping.Keep(ctx, j)
}

// KeptState implements Service.
func (n *Node) KeptState(ctx context.Context, id string) kept.Answer {
	if !n.servesKept {
		return kept.Answer{Verdict: kept.NotFound}
	}
	return n.keeping.State(ctx, id)
}

// CancelKept implements Service.
func (n *Node) CancelKept(ctx context.Context, id string) kept.Answer {
	if !n.servesKept {
		return kept.Answer{Verdict: kept.NotFound}
	}
	return n.keeping.Cancel(ctx, id)
}
