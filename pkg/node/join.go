package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

// Reasons in replies to a join request whose job has no outcome yet. All these replies are
// of kind job.Moved.
const (
	reasonNotOpen          = "not_open"           // no run of the job is alive after RetryAfter
	reasonYields           = "yields"             // also searched for here, and the asker goes first; no run is alive after RetryAfter
	reasonFrontUnreachable = "front_out_of_sight" // from hosts of earlier releases that have no link to the front; it says nothing of the front's runs
	reasonBusy             = "ask_again"          // unresolved: the front is still searching itself, or the link to it broke
)

// joinElsewhere returns the outcome of an earlier submission of a job, from this front's
// record or from the front that holds it open. If there is none, it returns false and the
// state to begin with, once no run of an earlier submission can be alive.
func (f *front) joinElsewhere(ctx context.Context, open *openJob) (job.Outcome, attempt, bool) {
	n, j := f.node, open.job
	own := n.endOf(j.ID)
	if own.Kind != job.Moved {
		n.Log.Info("job_joined", "job", j.ID, "front", n.settings.PeerAddress, "outcome", own.Kind.String())
		n.metrics.JobJoined("here")
		return own, attempt{}, true
	}
	if outcome, isolated := f.awaitContact(ctx, j.ID); isolated {
		return outcome, attempt{}, true
	}
	isNew := func() bool { return own.RetryAfter == 0 && len(n.openJobTable.find(j.ID, n.Clock.Now())) == 0 }
	if isNew() {
		if outcome, ended := f.awaitMissedAnnouncements(ctx, open); ended {
			return outcome, attempt{}, true
		}
	}
	if j.IsDelayed && isNew() {
		if outcome, ended := f.awaitMeeting(ctx, open); ended {
			return outcome, attempt{}, true
		}
	}
	if isNew() {
		return job.Outcome{}, attempt{epoch: 1, started: n.openJobTable.mayHaveRun(j.ID), namesRuns: true}, false
	}
	f.markStarted(open)
	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()
	s := n.openJobTable.newSearch(open, n.Clock.Now()+own.RetryAfter)
	if outcome, found := f.search(ctx, j.ID, s, false); found {
		outcome.Started = outcome.Started || n.openJobTable.mayHaveRun(j.ID)
		return outcome, attempt{}, true
	}
	return job.Outcome{}, attempt{epoch: 2, started: true, asked: s.Asked()}, false
}

// rejoin joins a job that an owner returned to this front, if it was meanwhile resubmitted
// to another one. That happens if this front was unreachable or paused, so that the other
// front took it for dead. After such a fault it first waits for the announcements of the
// other fronts.
func (f *front) rejoin(ctx context.Context, j *job.Job, state *attempt) (job.Outcome, bool) {
	n := f.node
	if resyncedAt := n.openJobTable.resyncedAt(); n.Clock.Now() < resyncedAt && n.Clock.Now() >= j.EarliestSending()+openjobs.AnnounceAfter(n.settings.ResubmitAfter) {
		f.sleepUntil(ctx, resyncedAt)
	}
	if len(n.openJobTable.find(j.WholeID(), n.Clock.Now())) == 0 {
		return job.Outcome{}, false
	}
	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()
	return f.searchAgain(ctx, j, state)
}

// searchAgain is search for a front that goes on following its own runs of a job, or those of other
// parts of it.
func (f *front) searchAgain(ctx context.Context, j *job.Job, state *attempt) (job.Outcome, bool) {
	s := f.node.openJobTable.newRejoin(j, state)
	outcome, ended := f.search(ctx, j.WholeID(), s, true)
	state.asked = state.asked.Merged(s.Asked())
	return outcome, ended
}

// joinOpenAt joins a job that an owner didn't accept, at the front of which the owner knows that it
// holds the job open. It returns false once no run of the earlier submission can be alive.
func (f *front) joinOpenAt(ctx context.Context, j *job.Job, owner string, at *job.OpenAt, state *attempt) (job.Outcome, bool) {
	n, id := f.node, j.WholeID()
	open := f.openJob(id)
	if open == nil || at.Address == n.settings.PeerAddress {
		return job.Outcome{}, false
	}
	front := openjobs.Front{Address: at.Address, Domain: at.Domain, Process: at.Process}
	n.recordOpenJobs(front, owner, []openjobs.Announcement{{ID: id, Remaining: at.Remaining}}, false)
	f.markStarted(open)
	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()
	// This front goes on following its own runs, or those of other parts, and for fronts that wait here.
	if j.IsPart() || state.formerCell != "" || !f.stopFollowing(open) {
		return f.searchAgain(ctx, j, state)
	}
	s := n.openJobTable.newSearch(open, 0)
	outcome, ended := f.search(ctx, id, s, false)
	state.asked = state.asked.Merged(s.Asked())
	f.setFollowed(open, !ended)
	return outcome, ended
}

// search asks the fronts that may hold a job open until one returns its outcome. It returns
// false once none holds the job open and no run of it can be alive. follows tells that
// this front already follows the job.
func (f *front) search(ctx context.Context, id string, search *openjobs.Search, follows bool) (job.Outcome, bool) {
	n := f.node
	began := n.Clock.Now()
	for {
		if outcome, found := f.askAll(ctx, id, search, follows); found {
			return outcome, true
		}
		at, mayStart := n.openJobTable.next(id, search, n.Clock.Now())
		if mayStart {
			n.Log.Info("job_not_joined", "job", id, "waited_ms", (n.Clock.Now() - began).Milliseconds())
			n.metrics.JobJoined("not")
			return job.Outcome{}, false
		}
		if n.standsStillOften() {
			return givenUp(errStandsStill.Error(), true), true
		}
		if !f.sleepUntil(ctx, at) {
			return abandoned(ctx, true), true
		}
	}
}

// askAll does one round of a search: it asks each front that may hold the job open, and
// returns the job's outcome if one of them does.
func (f *front) askAll(ctx context.Context, id string, search *openjobs.Search, follows bool) (job.Outcome, bool) {
	n := f.node
	n.openJobTable.mu.Lock()
	entries := search.Round(n.openJobTable.others, n.Clock.Now())
	n.openJobTable.mu.Unlock()
	for _, entry := range entries {
		outcome, replies, found := f.ask(ctx, id, &entry, follows)
		if found {
			return outcome, true
		}
		if ctx.Err() != nil {
			return abandoned(ctx, true), true
		}
		n.openJobTable.mu.Lock()
		search.HandleReplies(n.openJobTable.others, entry, replies, n.Clock.Now())
		n.openJobTable.mu.Unlock()
	}
	return job.Outcome{}, false
}

// ask sends a join request for one front's job over each host that may reach that front,
// until a reply is conclusive. It returns the job's outcome if found is set, and otherwise
// the replies.
func (f *front) ask(ctx context.Context, id string, entry *openjobs.Entry, follows bool) (outcome job.Outcome, replies []openjobs.Reply, found bool) {
	n := f.node
	for _, via := range entry.Contacts(n.hostsToAsk()...) {
		link := n.links.Link(via)
		if link == nil || !link.Up() {
			continue
		}
		outcome, answered := f.askVia(ctx, link, via, n.joinRequest(id, entry.Front, follows))
		if ctx.Err() != nil {
			return job.Outcome{}, nil, false
		}
		if answered && outcome.Kind != job.Moved {
			n.Log.Info("job_joined", "job", id, "front", entry.Front.Address, "by", via, "outcome", outcome.Kind.String())
			n.metrics.JobJoined("elsewhere")
			return outcome, nil, true
		}
		reply := toReply(outcome, answered, n.Clock.Now())
		replies = append(replies, reply)
		n.Log.Info("join_answered", "job", id, "front", entry.Front.Address, "by", via, "verdict", reply.Verdict.String(), "runs_end_in_ms", outcome.RetryAfter.Milliseconds())
		if reply.Verdict == openjobs.NotOpen || reply.Verdict == openjobs.Yields {
			break
		}
	}
	return job.Outcome{}, replies, false
}

// toReply converts the answer to a join request that brought no outcome of the job.
func toReply(outcome job.Outcome, answered bool, now time.Duration) openjobs.Reply {
	reply := openjobs.Reply{RunsEndBy: now + outcome.RetryAfter}
	switch {
	case !answered, outcome.Reason == reasonFrontUnreachable:
		reply.Verdict = openjobs.Unanswered
	case outcome.Reason == reasonNotOpen:
		reply.Verdict = openjobs.NotOpen
	case outcome.Reason == reasonYields:
		reply.Verdict = openjobs.Yields
	default:
		reply.Verdict = openjobs.Busy
	}
	return reply
}

// markStarted records that an earlier submission of a job may have started.
func (f *front) markStarted(open *openJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.started = true
}

// joinRequest makes this front's request to wait for a job that another front holds open.
func (n *Node) joinRequest(id string, front openjobs.Front, follows bool) *peerpb.Join {
	return &peerpb.Join{
		Id: id, Front: front.Address, Process: []byte(front.Process),
		Asker: n.settings.PeerAddress, AskerProcess: n.inc[:], Follows: follows,
	}
}

// askVia sends a join request to the front itself or to a host that relays it, and
// withdraws it when ctx ends. Meanwhile the link sends heartbeats at the fast rate, so that
// the death of the host is detected soon.
func (f *front) askVia(ctx context.Context, link *peer.Link, via string, request *peerpb.Join) (job.Outcome, bool) {
	defer f.recordDispatch(via)()
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Join{Join: request}}, 0)
	if ctx.Err() != nil {
		leave := proto.Clone(request).(*peerpb.Join)
		leave.Wish = peerpb.Join_LEAVE
		if context.Cause(ctx) == errCancelled {
			leave.Wish = peerpb.Join_CANCEL
		}
		link.Send(&peerpb.Message{Body: &peerpb.Message_Join{Join: leave}}, 0)
		return job.Outcome{}, false
	}
	if err != nil {
		f.node.Log.Info("join_unanswered", "job", request.Id, "front", request.Front, "by", via, "error", err.Error())
		return job.Outcome{}, false
	}
	if outcome := answer.GetOutcome(); outcome != nil {
		return fromOutcome(outcome), true
	}
	return job.Outcome{}, false
}
