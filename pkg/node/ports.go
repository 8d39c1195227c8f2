// Package node is the dispatcher process of a host. As a front it accepts callers' jobs,
// as an owner it leads cells of executors and leases tasks to them, and it follows the
// store and the other nodes for changes of configuration and membership. pkg/cell and
// pkg/ownership make the decisions, and this package does the I/O. An adapter translates
// between the node and the platform's callers, executors and store.
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
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/tables"
	"github.com/foxcroft/foxcroft/pkg/traffic"
)

// Snapshot is one revision of a document, such as the configuration, in the store's
// format, so that nodes can relay it without decoding it.
type Snapshot struct {
	Revision uint64 // increases with each change
	Body     []byte
}

// OperatorChanges holds the operators' changes: the configuration, and the domains that
// are closed to new jobs or opened again.
type OperatorChanges struct {
	Position uint64   // of the store's history, to continue from
	Body     []byte   // the newest configuration in the store's format; empty when unchanged
	Closed   []string // domains
	Opened   []string // domains

	Unreadable []catalog.Unreadable // entries that are ignored
}

// Member is a node's row in the store.
type Member struct {
	Name        string
	Domain      string
	PeerAddress string
	Capacity    ownership.Capacity
	Answers     bool // it answers hosts that are alone; those of earlier builds don't
	Contact     member.ContactMark

	AnswersDomains bool // it answers hosts that ask about other domains; those of earlier builds don't
}

// MemberChanges holds changes of the nodes' rows.
type MemberChanges struct {
	Position   uint64               // of the store's history, to continue from
	Listed     []Member             // new or changed
	Removed    []string             // names of nodes whose rows were removed
	Unreadable []catalog.Unreadable // these count as removed
}

// Store is the platform's metadata store. A call that returns an error may have taken
// effect. Implementations must be safe for concurrent use.
type Store interface {
	// Operator returns the newest configuration and all closed domains.
	Operator(ctx context.Context) (OperatorChanges, error)
	// AwaitOperator waits for changes after a position of the store's history and
	// returns them with the next position, or only the next position when nothing has
	// changed. The error is of kind errkind.NotFound when the history does not reach
	// back to the given position.
	AwaitOperator(ctx context.Context, after uint64) (OperatorChanges, error)
	// Executors returns the executors that have published themselves.
	Executors(ctx context.Context) (*catalog.Executors, error)
	// ExecutorChanges returns the changes of that list since a revision, without
	// waiting. The error is of kind errkind.NotFound when the store's history does not
	// reach back to the revision.
	ExecutorChanges(ctx context.Context, since uint64) (*catalog.ExecutorChanges, error)
	// Ping checks with minimal traffic whether the store can be read.
	Ping(ctx context.Context) error
	// Members returns the rows of all nodes.
	Members(ctx context.Context) (MemberChanges, error)
	// AwaitMembers waits for changes of the nodes' rows as AwaitOperator does.
	AwaitMembers(ctx context.Context, after uint64) (MemberChanges, error)
	// Announce writes this node's row.
	Announce(ctx context.Context, member Member) error
	// Withdraw removes this node's row.
	Withdraw(ctx context.Context, name string) error
}

// StartRequest is the request to an executor to start a run.
type StartRequest struct {
	Task     string
	Run      int64
	Spec     string
	Deadline time.Duration // on the executor's clock
	Token    int64
}

// HoldRequest is the long-poll request that renews an executor's leases and lists its runs.
type HoldRequest struct {
	Deadline time.Duration // end of the leases on the executor's clock; 0 renews nothing
	Token    int64
	AckedEnd int64
	Wait     time.Duration
}

// StopRequest is the request to an executor to stop a run.
type StopRequest struct {
	Task  string
	Run   int64
	Token int64
}

// CommandResult is the result of a start or stop request.
type CommandResult struct {
	Verdict cell.Verdict
	Clock   time.Duration // the executor's clock; 0 when the answer did not contain it
	Message string        // the executor's message when the verdict is not Accepted, for logs
}

// Executors sends requests to executors. A call returns after at most timeout and has no
// error: a missing answer is a verdict, too.
type Executors interface {
	Start(executor *catalog.Executor, request StartRequest, timeout time.Duration) CommandResult
	Stop(executor *catalog.Executor, request StopRequest, timeout time.Duration) CommandResult
	Hold(executor *catalog.Executor, request HoldRequest, timeout time.Duration) cell.HoldResponse
}

// Service is the part of the node that an adapter's front uses.
type Service interface {
	// AwaitConfiguration returns the configuration in effect. Shortly after the node's start it waits
	// until one is loaded. It returns nil if there is none, or when ctx ends.
	AwaitConfiguration(ctx context.Context) *catalog.Configuration
	// Submit runs a job and returns its outcome. It returns early when ctx ends.
	Submit(ctx context.Context, j *job.Job) job.Outcome
	// Waiting returns the number of a route's jobs of which no task has started.
	Waiting(route string) int
	// State returns the state of a job that this node holds open for a caller.
	State(id string) (started, known bool)
	// Cancel withdraws a job that this node holds open for a caller.
	Cancel(id string) bool
	// Keep accepts a kept job: a durable job that runs to completion whether or not its
	// caller waits. It returns early when ctx ends.
	Keep(ctx context.Context, j *job.Job) kept.Answer
	// KeptState returns the state of a kept job.
	KeptState(ctx context.Context, id string) kept.Answer
	// CancelKept cancels a kept job for good.
	CancelKept(ctx context.Context, id string) kept.Answer
	// Ready reports whether the load balancer should send this node new connections.
	Ready() bool
	// Now returns the current time of the clock that jobs' deadlines refer to.
	Now() time.Duration
}

// Adapter translates between the node and one platform.
type Adapter interface {
	Store() Store
	// Tables returns the store's tables for the nodes' own persistent state.
	Tables() tables.Store
	Executors() Executors
	// DecodeConfiguration decodes a configuration in the store's format.
	DecodeConfiguration(snapshot Snapshot) (*catalog.Configuration, error)
	// Front returns the handler of callers' requests.
	Front(service Service) http.Handler
	// Readiness returns the handler of the load balancer's readiness check.
	Readiness(service Service) http.Handler
}

// Adapters is the registry of adapters by name.
var Adapters = kernel.NewRegistry[func(*settings.Node, *traffic.Meter) Adapter]("adapter")
