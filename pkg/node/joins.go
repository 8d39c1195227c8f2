package node

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

// joins are the join requests of other fronts that this host is serving: for jobs that are
// open here, and those that it relays to another front.
type joins struct {
	mu      sync.Mutex
	waiting map[joinKey]*joinWait
}

// joinKey identifies a join request. A repeated request of the same front replaces the
// earlier one, whose call the front has lost.
type joinKey struct {
	from  string // address of the host that sent the request
	asker string // address of the front that waits
	id    string
}

type joinWait struct{ cancel context.CancelCauseFunc }

func newJoins() *joins { return &joins{waiting: map[joinKey]*joinWait{}} }

// add registers a request. It returns a context that ends when the request is cancelled, and
// a function to call when it is answered.
func (s *joins) add(key joinKey) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	entry := &joinWait{cancel: cancel}
	s.mu.Lock()
	previous := s.waiting[key]
	s.waiting[key] = entry
	s.mu.Unlock()
	if previous != nil {
		previous.cancel(errLeft)
	}
	return ctx, func() {
		cancel(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.waiting[key] == entry {
			delete(s.waiting, key)
		}
	}
}

// cancel ends the wait of a request, because the front has left or has cancelled the job.
func (s *joins) cancel(key joinKey, cause error) {
	s.mu.Lock()
	entry := s.waiting[key]
	s.mu.Unlock()
	if entry != nil {
		entry.cancel(cause)
	}
}

// linkClosed cancels all requests that came over a host's link, which has closed.
func (s *joins) linkClosed(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range s.waiting {
		if key.from == from {
			entry.cancel(errLeft)
		}
	}
}

// onJoin handles a front's request to join a job, or its withdrawal.
func (n *Node) onJoin(from *peerpb.Hello, m *peerpb.Join, reply peer.Reply) {
	key := joinKey{from: from.Address, asker: m.Asker, id: m.Id}
	switch m.Wish {
	case peerpb.Join_LEAVE:
		n.joins.cancel(key, errLeft)
		return
	case peerpb.Join_CANCEL:
		n.joins.cancel(key, errCancelled)
		return
	}
	ctx, end := n.joins.add(key)
	go func() {
		defer end()
		answer := n.answerJoin(ctx, m)
		if outcome := answer.GetOutcome(); outcome != nil && ctx.Err() == nil {
			n.Log.Info("join_reply_sent", "job", m.Id, "front", m.Front, "asker", m.Asker, "reason", outcome.Reason, "runs_end_in_ms", outcome.RetryAfterUs/1000)
		}
		reply(answer, 0)
	}()
}

// answerJoin answers a join request. If the job is followed here, it waits for the outcome.
func (n *Node) answerJoin(ctx context.Context, m *peerpb.Join) *peerpb.Message {
	if m.Front != n.settings.PeerAddress {
		return n.relayJoin(ctx, m)
	}
	if !bytes.Equal(m.Process, n.inc[:]) {
		// The process asked for had ended when this one started, so its runs end within the
		// settle time counted from this process's start.
		return toOutcome(notOpen(n.settleTime() - n.Clock.Now()))
	}
	open, isFollowed := n.front.joinable(ctx, m.Id)
	switch {
	case open == nil && ctx.Err() != nil: // the abandoned job may not have ended
		return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonBusy})
	case open == nil:
		return toOutcome(n.endOf(m.Id))
	case !isFollowed:
		return toOutcome(n.answerWhileSearching(m))
	}
	n.Log.Info("job_joined_from", "job", m.Id, "asker", m.Asker, "age_ms", (n.Clock.Now() - open.job.Received).Milliseconds())
	if !m.Follows {
		n.refuseIfPaused(open)
	}
	outcome, isOver := n.awaitOrYield(ctx, open, m)
	switch {
	case isOver && leavesJobToOthers(outcome.Reason):
		if outcome.Kind == job.Refused && !outcome.Started {
			return toOutcome(notOpen(0))
		}
		return toOutcome(notOpen(n.settleTime())) // the asking front continues the job
	case isOver:
		return toOutcome(outcome)
	case context.Cause(ctx) == errCancelled:
		open.cancel(errCancelled)
	}
	return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonBusy})
}

// reasonPaused marks a job that a host refuses because it was paused, and the caller has resubmitted the job to
// another host.
const reasonPaused = "paused"

// refuseIfPaused refuses a job that another front asks for, if this process was paused a moment ago and has
// the job in a cell of its own without having started anything of it. A host that stands still most of the time
// would keep the job from the other front until its deadline.
func (n *Node) refuseIfPaused(open *openJob) {
	now := n.Clock.Now()
	if now >= n.openJobTable.resyncedAt() && !n.renewals.wasPausedUntil(now) {
		return
	}
	for _, o := range n.allOwners() {
		o.refuseUnstarted(open.job.ID, reasonPaused)
	}
}

// leavesJobToOthers reports whether a job ended here for a reason that lies with this host, so that
// another front may continue it.
func leavesJobToOthers(reason string) bool {
	return slices.Contains([]string{errStopping.Error(), errUnconfirmed.Error(), errStandsStill.Error(), reasonTooLate, reasonPaused}, reason)
}

// yieldCheckInterval is how often a front checks whether it has to yield a job that it follows.
const yieldCheckInterval = 100 * time.Millisecond

// awaitOrYield waits for the outcome of an open job for another front. If that one follows the job
// as well, it also returns when this front yields to it. It returns false if ctx ends first.
func (n *Node) awaitOrYield(ctx context.Context, open *openJob, m *peerpb.Join) (job.Outcome, bool) {
	asker := openjobs.Front{Address: m.Asker, Process: string(m.AskerProcess)}
	for m.Follows {
		now := n.Clock.Now()
		if runsEndBy, yields := n.openJobTable.yieldRejoin(m.Id, asker, n.settings.PeerAddress, now); yields {
			n.front.leave(open)
			return job.Outcome{Kind: job.Moved, Reason: reasonYields, RetryAfter: max(0, runsEndBy-now)}, true
		}
		select {
		case <-open.done:
			return open.outcome, true
		case <-ctx.Done():
			return n.front.await(ctx, open)
		case <-time.After(yieldCheckInterval):
		}
	}
	return n.front.await(ctx, open)
}

// answerWhileSearching answers a join request for a job that this front is searching for
// itself, because it was resubmitted to both fronts.
func (n *Node) answerWhileSearching(m *peerpb.Join) job.Outcome {
	asker := openjobs.Front{Address: m.Asker, Process: string(m.AskerProcess)}
	n.openJobTable.mu.Lock()
	search := n.openJobTable.searches[m.Id]
	shouldYield := search != nil && search.ShouldYield(n.openJobTable.others, asker, n.settings.PeerAddress, m.Follows, n.Clock.Now())
	n.openJobTable.mu.Unlock()
	if !shouldYield {
		return job.Outcome{Kind: job.Moved, Reason: reasonBusy}
	}
	outcome := n.endOf(m.Id)
	if outcome.Kind == job.Moved {
		outcome.Reason = reasonYields
	}
	return outcome
}

// notOpen is the reply that a job isn't open here, and that no run of it is alive after
// runsEndIn.
func notOpen(runsEndIn time.Duration) job.Outcome {
	return job.Outcome{Kind: job.Moved, Reason: reasonNotOpen, RetryAfter: max(0, runsEndIn)}
}

// endOf answers for a job that isn't open here: by its outcome if that is final, or if executors have
// crashed under the job too often to start it again; and otherwise by the time after which none of its runs is alive.
func (n *Node) endOf(id string) job.Outcome {
	e, known := n.openJobTable.recordedEnd(id)
	switch {
	case !known:
		return notOpen(0)
	case e.outcome.Kind == job.Completed, e.outcome.Kind == job.Failed:
		return e.outcome
	case e.outcome.Reason == cell.ReasonCrashes:
		return e.outcome // further starts might crash further executors
	case e.outcome.Kind == job.Refused && !e.outcome.Started:
		return notOpen(0)
	}
	return notOpen(e.at + n.settleTime() - n.Clock.Now())
}

// relayJoin forwards a join request to a front to which the asker has no link.
func (n *Node) relayJoin(ctx context.Context, m *peerpb.Join) *peerpb.Message {
	relayed := proto.Clone(m).(*peerpb.Join)
	if link := n.links.Link(m.Front); link != nil && link.Up() {
		outcome, answered := n.front.askVia(ctx, link, m.Front, relayed)
		if answered {
			return toOutcome(outcome)
		}
		return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonBusy})
	}
	return peer.FailureMessage(errkind.New(errkind.PeerDown, "ask another host", "the front %s is unreachable from here too, and the state of its job is unknown", m.Front))
}
