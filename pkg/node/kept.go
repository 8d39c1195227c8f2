package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// reasonKeptNotServed tells callers that jobs can't be kept yet.
const reasonKeptNotServed = "kept_jobs_not_served"

// Keep implements Service.
func (n *Node) Keep(context.Context, *job.Job) kept.Answer {
	return kept.Answer{Verdict: kept.Refused, Reason: reasonKeptNotServed, RetryAfter: comeBack}
}

// KeptState implements Service.
func (n *Node) KeptState(context.Context, string) kept.Answer {
	return kept.Answer{Verdict: kept.Gone}
}

// CancelKept implements Service.
func (n *Node) CancelKept(context.Context, string) kept.Answer {
	return kept.Answer{Verdict: kept.Gone}
}
