package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

// joins are the fronts that wait for jobs that are open here, or that this host asks
// another one for in their place.
type joins struct {
	mu      sync.Mutex
	waiting map[joinKey]*joined
}

// joinKey tells those that wait apart. A front that asks again takes its own place:
// it has lost its first call.
type joinKey struct {
	from  string // address of the host that asks
	asker string // of the front that it asks for
	id    string
}

type joined struct{ cancel context.CancelCauseFunc }

func newJoins() *joins { return &joins{waiting: map[joinKey]*joined{}} }

// add begins a wait and returns the context that ends it, and what to call at its end.
func (s *joins) add(key joinKey) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	entry := &joined{cancel: cancel}
	s.mu.Lock()
	before := s.waiting[key]
	s.waiting[key] = entry
	s.mu.Unlock()
	if before != nil {
		before.cancel(errLeft)
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

// left takes that one that waits has left, or has cancelled the job.
func (s *joins) left(key joinKey, cause error) {
	s.mu.Lock()
	entry := s.waiting[key]
	s.mu.Unlock()
	if entry != nil {
		entry.cancel(cause)
	}
}

// gone takes that a host's link has ended: all that wait by it have left.
func (s *joins) gone(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range s.waiting {
		if key.from == from {
			entry.cancel(errLeft)
		}
	}
}

// onJoin takes the wish of a front to wait for a job, or to do so no longer.
func (n *Node) onJoin(from *peerpb.Hello, m *peerpb.Join, reply peer.Reply) {
	key := joinKey{from: from.Address, asker: m.Asker, id: m.Id}
	switch m.Wish {
	case peerpb.Join_LEAVE:
		n.joins.left(key, errLeft)
		return
	case peerpb.Join_CANCEL:
		n.joins.left(key, errCancelled)
		return
	}
	ctx, end := n.joins.add(key)
	go func() {
		defer end()
		reply(n.answerJoin(ctx, m), 0)
	}()
}

// answerJoin waits for the end of a job for another front.
func (n *Node) answerJoin(ctx context.Context, m *peerpb.Join) *peerpb.Message {
	if m.Front != n.settings.PeerAddress {
		return n.passJoin(ctx, m)
	}
	if !bytes.Equal(m.Process, n.inc[:]) {
		// That process had ended when this one started, a time of its clock ago.
		return toOutcome(notOpen(n.settleTime() - n.Clock.Now()))
	}
	open, isCarried := n.front.joinable(m.Id)
	switch {
	case open == nil:
		return toOutcome(n.endOf(m.Id))
	case !isCarried:
		return toOutcome(n.searchesToo(m))
	}
	n.Log.Info("job_joined_from", "job", m.Id, "asker", m.Asker, "age_ms", (n.Clock.Now() - open.job.Received).Milliseconds())
	outcome, isOver := n.front.await(ctx, open)
	switch {
	case isOver && outcome.Reason == errStopping.Error():
		return toOutcome(notOpen(n.settleTime())) // the other front can go on with it
	case isOver:
		return toOutcome(outcome)
	case context.Cause(ctx) == errCancelled:
		open.cancel(errCancelled)
	}
	return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonBusy})
}

// searchesToo answers a front about a job that came to this one again too, and that this
// one searches for itself.
func (n *Node) searchesToo(m *peerpb.Join) job.Outcome {
	asker := openjobs.Front{Address: m.Asker, Process: string(m.AskerProcess)}
	n.openNews.mu.Lock()
	search := n.openNews.searches[m.Id]
	yields := search != nil && search.ShouldYield(n.openNews.others, asker, n.settings.PeerAddress, m.Follows, n.Clock.Now())
	n.openNews.mu.Unlock()
	if !yields {
		return job.Outcome{Kind: job.Moved, Reason: reasonBusy}
	}
	outcome := n.endOf(m.Id)
	if outcome.Kind == job.Moved {
		outcome.Reason = reasonYields
	}
	return outcome
}

// notOpen says that no run of a job is alive any more once a time has passed.
func notOpen(settle time.Duration) job.Outcome {
	return job.Outcome{Kind: job.Moved, Reason: reasonNotOpen, RetryAfter: max(0, settle)}
}

// endOf answers for a job that isn't open here any more: by its end, or by when its
// runs are over.
func (n *Node) endOf(id string) job.Outcome {
	e, known := n.openNews.endedAt(id)
	switch {
	case !known:
		return notOpen(0)
	case e.outcome.Kind == job.Completed, e.outcome.Kind == job.Failed:
		return e.outcome
	case e.outcome.Kind == job.Refused && !e.outcome.Started:
		return notOpen(0)
	}
	return notOpen(e.at + n.settleTime() - n.Clock.Now())
}

// passJoin asks a front in the place of one that holds no link to it.
func (n *Node) passJoin(ctx context.Context, m *peerpb.Join) *peerpb.Message {
	front := openjobs.Front{Address: m.Front, Process: string(m.Process)}
	passed := proto.Clone(m).(*peerpb.Join)
	if link := n.links.Link(m.Front); link != nil && link.Up() {
		outcome, answered := n.front.askBy(ctx, link, m.Front, passed)
		if answered {
			return toOutcome(outcome)
		}
		return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonBusy})
	}
	now := n.Clock.Now()
	for _, entry := range n.openNews.find(m.Id, now) {
		if entry.Front.Address == m.Front && entry.Front.Process == front.Process && n.sightOf(entry.Front).SameDomain {
			n.openNews.mu.Lock()
			overAt := n.openNews.others.RunsEndBy(entry, now)
			n.openNews.mu.Unlock()
			return toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonFrontOut, RetryAfter: max(0, overAt-now)})
		}
	}
	return peer.FailureMessage(errkind.New(errkind.PeerDown, "ask another host", "the front %s is out of sight, and nothing can be said of its job", m.Front))
}
