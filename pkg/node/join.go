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

// Answers to a front that asks to join a job, all of kind job.Moved.
const (
	reasonNotOpen  = "not_open"           // no run of the job is alive once RetryAfter is over
	reasonYields   = "yields"             // the same, by one that has it open and will ask the asker
	reasonFrontOut = "front_out_of_sight" // the same, by one of the front's domain that was asked in its place
	reasonBusy     = "ask_again"          // the front searches, or the way to it has broken
)

// joinElsewhere has a job that another front holds open end there. It returns false,
// and how to begin, when none does and no run of an earlier sending can be alive.
func (f *front) joinElsewhere(ctx context.Context, open *openJob) (job.Outcome, attempt, bool) {
	n, j := f.node, open.job
	own := n.endOf(j.ID)
	if own.Kind != job.Moved {
		n.Log.Info("job_joined", "job", j.ID, "front", n.settings.PeerAddress, "outcome", own.Kind.String())
		n.metrics.JobJoined("here")
		return own, attempt{}, true
	}
	if own.RetryAfter == 0 && len(n.openNews.find(j.ID, n.Clock.Now())) == 0 {
		return job.Outcome{}, attempt{epoch: 1, started: n.openNews.mayHaveRun(j.ID)}, false
	}
	f.markStarted(open)
	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()
	s := n.openNews.newSearch(open, n.Clock.Now()+own.RetryAfter)
	if outcome, found := f.search(ctx, j.ID, s, false); found {
		outcome.Started = outcome.Started || n.openNews.mayHaveRun(j.ID)
		return outcome, attempt{}, true
	}
	return job.Outcome{}, attempt{epoch: 2, started: true}, false
}

// rejoin has a job end elsewhere that this front handed to an owner and has back, when it
// has come again meanwhile: this front may have been out of sight, or have stood still, so
// that another one took it for gone.
func (f *front) rejoin(ctx context.Context, j *job.Job) (job.Outcome, bool) {
	n := f.node
	if back := n.openNews.heardAgainAt(); n.Clock.Now() < back && n.Clock.Now() >= j.Received+openjobs.AnnounceAfter(n.settings.ResubmitAfter) {
		f.sleepUntil(ctx, back)
	}
	if len(n.openNews.find(j.WholeID(), n.Clock.Now())) == 0 {
		return job.Outcome{}, false
	}
	return f.search(ctx, j.WholeID(), openjobs.NewSearch(j.WholeID(), 0), true)
}

// search asks the fronts that may hold a job open, until it has ended at one of them or
// none does and no run of it can be alive.
func (f *front) search(ctx context.Context, id string, search *openjobs.Search, follows bool) (job.Outcome, bool) {
	n := f.node
	began := n.Clock.Now()
	for {
		if outcome, found := f.askAll(ctx, id, search, follows); found {
			return outcome, true
		}
		at, mayStart := n.openNews.next(search, n.Clock.Now())
		if mayStart {
			n.Log.Info("job_not_joined", "job", id, "waited_ms", (n.Clock.Now() - began).Milliseconds())
			n.metrics.JobJoined("not")
			return job.Outcome{}, false
		}
		if !f.sleepUntil(ctx, at) {
			return abandoned(ctx, true), true
		}
	}
}

// askAll asks all fronts that may hold a job open, and returns its end if one does.
func (f *front) askAll(ctx context.Context, id string, search *openjobs.Search, follows bool) (job.Outcome, bool) {
	n := f.node
	n.openNews.mu.Lock()
	entries := search.Round(n.openNews.others, n.Clock.Now())
	n.openNews.mu.Unlock()
	for _, entry := range entries {
		outcome, replies, found := f.ask(ctx, id, &entry, follows)
		if found {
			return outcome, true
		}
		if ctx.Err() != nil {
			return abandoned(ctx, true), true
		}
		link := n.links.Link(entry.Front.Address)
		sight := n.sightOf(entry.Front)
		n.openNews.mu.Lock()
		search.HandleReplies(n.openNews.others, entry, replies, sight, link != nil && link.Up(), n.Clock.Now())
		n.openNews.mu.Unlock()
	}
	return job.Outcome{}, false
}

// ask asks for one front, by the ways that there are until one settles it, and
// returns the job's end there if it is found.
func (f *front) ask(ctx context.Context, id string, entry *openjobs.Entry, follows bool) (end job.Outcome, replies []openjobs.Reply, found bool) {
	n := f.node
	for _, way := range entry.Contacts(n.othersToAsk()...) {
		link := n.links.Link(way)
		if link == nil || !link.Up() {
			continue
		}
		outcome, answered := f.askBy(ctx, link, way, n.joinOf(id, entry.Front, follows))
		if ctx.Err() != nil {
			return job.Outcome{}, nil, false
		}
		if answered && outcome.Kind != job.Moved {
			n.Log.Info("job_joined", "job", id, "front", entry.Front.Address, "by", way, "outcome", outcome.Kind.String())
			n.metrics.JobJoined("elsewhere")
			return outcome, nil, true
		}
		reply := verdictOf(outcome, answered, n.Clock.Now())
		replies = append(replies, reply)
		if reply.Verdict == openjobs.NotOpen || reply.Verdict == openjobs.Yields {
			break
		}
	}
	return job.Outcome{}, replies, false
}

// verdictOf reads the answer to a front that asks to join a job that hasn't ended there.
func verdictOf(outcome job.Outcome, answered bool, now time.Duration) openjobs.Reply {
	reply := openjobs.Reply{At: now, RunsEndBy: now + outcome.RetryAfter}
	switch {
	case !answered:
		reply.Verdict = openjobs.Unanswered
	case outcome.Reason == reasonNotOpen:
		reply.Verdict = openjobs.NotOpen
	case outcome.Reason == reasonYields:
		reply.Verdict = openjobs.Yields
	case outcome.Reason == reasonFrontOut:
		reply.Verdict = openjobs.Unreachable
	default:
		reply.Verdict = openjobs.Busy
	}
	return reply
}

// markStarted notes that an earlier sending of a job may have started.
func (f *front) markStarted(open *openJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.started = true
}

// reached takes an answer by way of another host, which the front gave unless that
// one says that it is out of sight there too.
func (o *openNews) reached(address string, outcome *peerpb.Outcome, now time.Duration) {
	if outcome == nil || outcome.Reason == reasonFrontOut {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.others.ConfirmAlive(address, now)
}

// joinOf makes the wish of this front to wait for a job.
func (n *Node) joinOf(id string, front openjobs.Front, follows bool) *peerpb.Join {
	return &peerpb.Join{
		Id: id, Front: front.Address, Process: []byte(front.Process),
		Asker: n.settings.PeerAddress, AskerProcess: n.inc[:], Follows: follows,
	}
}

// askBy asks one host to let a front wait for a job, and tells it when that one leaves.
// The link beats fast meanwhile, so that a host that dies is soon known as lost.
func (f *front) askBy(ctx context.Context, link *peer.Link, way string, wish *peerpb.Join) (job.Outcome, bool) {
	defer f.noteDispatch(way)()
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Join{Join: wish}}, 0)
	if err == nil && way != wish.Front {
		f.node.openNews.reached(wish.Front, answer.GetOutcome(), f.node.Clock.Now())
	}
	if ctx.Err() != nil {
		leave := proto.Clone(wish).(*peerpb.Join)
		leave.Wish = peerpb.Join_LEAVE
		if context.Cause(ctx) == errCancelled {
			leave.Wish = peerpb.Join_CANCEL
		}
		link.Send(&peerpb.Message{Body: &peerpb.Message_Join{Join: leave}}, 0)
		return job.Outcome{}, false
	}
	if err != nil {
		f.node.Log.Info("join_unanswered", "job", wish.Id, "front", wish.Front, "by", way, "error", err.Error())
		return job.Outcome{}, false
	}
	if outcome := answer.GetOutcome(); outcome != nil {
		return fromOutcome(outcome), true
	}
	return job.Outcome{}, false
}
