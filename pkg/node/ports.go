// Package node is a host that dispatches leased tasks: it takes callers' jobs
// as their front, owns cells of executors, and learns news from the store and
// from other nodes. The decisions are in pkg/cell and pkg/ownership; this
// package carries them out. An adapter speaks with callers, executors and the
// store in the platform's own terms.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/kernel"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/tables"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// Snapshot is one state of some news, in the form in which the store holds it,
// so that nodes can pass it on unread.
type Snapshot struct {
	Revision uint64 // rises with each change
	Body     []byte
}

// OperatorChanges is what operators have changed: the configuration, and the
// domains that they have closed to new work or opened again.
type OperatorChanges struct {
	Position uint64   // of the store's history, to go on from
	Body     []byte   // the newest configuration in the store's form; empty when it hasn't changed
	Closed   []string // domains
	Opened   []string // domains

	Unreadable []catalog.Unreadable // they change nothing
}

// Member is a node's row in the store.
type Member struct {
	Name        string
	Domain      string
	PeerAddress string
	Capacity    ownership.Capacity
}

// MemberChanges is what has changed in the nodes' rows.
type MemberChanges struct {
	Position   uint64               // of the store's history, to go on from
	Listed     []Member             // new or changed
	Removed    []string             // names of nodes whose rows are gone
	Unreadable []catalog.Unreadable // they count as gone
}

// Store is the platform's metadata store. A call that fails may have been
// done. Implementations are safe for concurrent use.
type Store interface {
	// Operator returns the newest configuration and all closed domains.
	Operator(ctx context.Context) (OperatorChanges, error)
	// AwaitOperator waits for a change after a position of the history and
	// returns it with the next position, or that position alone when nothing
	// has changed. The error is of kind errkind.NotFound when the history
	// doesn't reach back so far.
	AwaitOperator(ctx context.Context, after uint64) (OperatorChanges, error)
	// Executors returns the executors that have published themselves.
	Executors(ctx context.Context) (*catalog.Executors, error)
	// ExecutorChanges returns at once what has changed in that list since a
	// revision. The error is of kind errkind.NotFound when the store's history
	// doesn't reach back so far.
	ExecutorChanges(ctx context.Context, since uint64) (*catalog.ExecutorChanges, error)
	// Ping reports whether the store can be read, by as few bytes as possible.
	Ping(ctx context.Context) error
	// Members returns all of the nodes' rows.
	Members(ctx context.Context) (MemberChanges, error)
	// AwaitMembers is AwaitOperator for the nodes' rows.
	AwaitMembers(ctx context.Context, after uint64) (MemberChanges, error)
	// Announce writes this node's row.
	Announce(ctx context.Context, member Member) error
	// Withdraw removes this node's row.
	Withdraw(ctx context.Context, name string) error
}

// StartOrder asks an executor to start a run.
type StartOrder struct {
	Task     string
	Run      int64
	Spec     string
	Deadline time.Duration // on the executor's clock
	Token    int64
}

// HoldOrder asks an executor what it runs, and renews its leases.
type HoldOrder struct {
	Deadline time.Duration // on the executor's clock; 0 renews nothing
	Token    int64
	LastSeen int64
	Wait     time.Duration
}

// StopOrder asks an executor to end a run.
type StopOrder struct {
	Task  string
	Run   int64
	Token int64
}

// CommandResult is how an order to start or to stop a run went.
type CommandResult struct {
	Verdict cell.Verdict
	Clock   time.Duration // the executor's; 0 when not told
	Message string        // what an answer other than Accepted said, for logs
}

// Executors carries orders to executors. The calls return within a time and
// never fail: a call without an answer is a verdict too.
type Executors interface {
	Start(executor *catalog.Executor, order StartOrder, within time.Duration) CommandResult
	Stop(executor *catalog.Executor, order StopOrder, within time.Duration) CommandResult
	Hold(executor *catalog.Executor, order HoldOrder, within time.Duration) cell.HoldResponse
}

// Service is what an adapter's front may ask of the node.
type Service interface {
	// Configuration returns the configuration in force, or nil before there is one.
	Configuration() *catalog.Configuration
	// Submit runs a job and returns its end. It returns early when ctx ends.
	Submit(ctx context.Context, j *job.Job) job.Outcome
	// Waiting returns the number of a route's jobs of which no task has begun.
	Waiting(route string) int
	// State returns the state of a job that this node holds open for a caller.
	State(id string) (started, known bool)
	// Cancel withdraws a job that this node holds open for a caller.
	Cancel(id string) bool
	// Keep accepts a job that is to be kept. It returns early when ctx ends.
	Keep(ctx context.Context, j *job.Job) kept.Answer
	// KeptState returns the state of a kept job.
	KeptState(ctx context.Context, id string) kept.Answer
	// CancelKept cancels a kept job for good.
	CancelKept(ctx context.Context, id string) kept.Answer
	// Ready reports whether this node should get new connections; one that stops
	// shouldn't.
	Ready() bool
	// Now returns the time that jobs are measured by.
	Now() time.Duration
}

// Adapter translates between the product and one platform.
type Adapter interface {
	Store() Store
	// Tables returns the store's tables for state of the product's own.
	Tables() tables.Store
	Executors() Executors
	// DecodeConfiguration reads a configuration in the store's form.
	DecodeConfiguration(snapshot Snapshot) (*catalog.Configuration, error)
	// Front serves callers.
	Front(service Service) http.Handler
	// Readiness serves the balancer's check.
	Readiness(service Service) http.Handler
}

// Adapters is the registry of adapters by name.
var Adapters = kernel.NewRegistry[func(*settings.Node, *traffic.Meter) Adapter]("adapter")
