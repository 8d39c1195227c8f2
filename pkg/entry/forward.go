package entry

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// maxHops bounds how often a job is passed on: to its domain, then to its
// primary, or to its backup, then to its primary.
const maxHops = 3

// answerSlack is how long after the deadline a forwarding host still waits
// for the primary's answer.
const answerSlack = time.Second

// unreachableReturn is when a caller may ask again after hosts could not be
// reached: links come back within it, or are given up.
const unreachableReturn = 100 * time.Millisecond

// settleTime is how long after its start a host waits for its links to come up
// before it says that another host cannot be reached.
const settleTime = 2 * time.Second

const settlePoll = 10 * time.Millisecond

// longestDeadline bounds the wait for jobs under their service's default
// deadline, which this host need not know.
const longestDeadline = 4 * time.Minute

// serveFunc answers for an id. It returns nil when no answer came.
type serveFunc func(ctx context.Context, id once.ID) *once.Answer

// resolve serves a submission with an id: here, at its primary, or by asking
// its backup. r is nil when only the answer is wanted.
func (h *Host) resolve(ctx context.Context, id once.ID, r *request, hops uint32) *once.Answer {
	if id.Home.Primary == h.inc {
		return h.resolveHere(ctx, id, r)
	}
	if hops >= maxHops {
		return unreachable("the primary of the id was not found within %d hops", maxHops)
	}
	ctx, cancel := h.boundWait(ctx, r)
	defer cancel()
	h.settle(ctx, id)
	next, ok := h.nextHop(id)
	if ok {
		answer := h.passOn(ctx, next, id, r, hops)
		if answer != nil || ctx.Err() != nil {
			return answer
		}
	}
	return h.askBackup(ctx, id, r, hops)
}

// settle gives a host that has just started time to find the hosts of an id.
func (h *Host) settle(ctx context.Context, id once.ID) {
	for h.Clock.Now() < settleTime && ctx.Err() == nil {
		_, primaryUp := h.nextHop(id)
		_, backupUp := h.members.view().ByIncarnation(id.Home.Backup)
		if primaryUp || backupUp || id.Home.Backup == h.inc {
			return
		}
		time.Sleep(settlePoll)
	}
}

func (h *Host) boundWait(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if r == nil {
		return context.WithCancel(ctx)
	}
	left := r.left
	if left == 0 {
		left = longestDeadline
	}
	return context.WithTimeout(ctx, r.received+left-h.Clock.Now()+answerSlack)
}

// batchWindow returns how long messages for a service may wait for company.
func (h *Host) batchWindow(service string) time.Duration {
	current := h.conf.get()
	if current == nil || current.doc.Services[service] == nil {
		return 0
	}
	return current.doc.Services[service].BatchWindow
}

func (h *Host) resolveHere(ctx context.Context, id once.ID, r *request) *once.Answer {
	if r != nil {
		return h.submitHere(ctx, id, r)
	}
	answer, j := h.memory.find(id)
	if answer != nil {
		return answer
	}
	if j != nil {
		return j.wait(ctx)
	}
	return unknownJob()
}

// nextHop returns the id's primary, or a host of its domain that knows it.
func (h *Host) nextHop(id once.ID) (member.Peer, bool) {
	view := h.members.view()
	if primary, ok := view.ByIncarnation(id.Home.Primary); ok {
		return primary, true
	}
	if id.Home.Domain == view.Self.Domain {
		return member.Peer{}, false
	}
	return view.RelayPeer(id.Home.Domain, id.Part)
}

// passOn forwards a submission. It returns nil when no answer came.
func (h *Host) passOn(ctx context.Context, next member.Peer, id once.ID, r *request, hops uint32) *once.Answer {
	m := &peerpb.Submit{Id: id.String(), Hops: hops + 1}
	var wait time.Duration
	if r != nil {
		m.Job, m.Digest = toJob(r, h.Clock.Now()), r.digest
		wait = h.batchWindow(r.labels.Service)
	}
	return h.callForAnswer(ctx, next, &peerpb.Message{Body: &peerpb.Message_Submit{Submit: m}}, wait)
}

func (h *Host) callForAnswer(ctx context.Context, to member.Peer, m *peerpb.Message, wait time.Duration) *once.Answer {
	link := h.members.linkTo(to)
	if link == nil {
		return nil
	}
	reply, err := link.Call(ctx, m, wait)
	if err != nil || reply.GetAnswer() == nil {
		return nil
	}
	return fromAnswer(reply.GetAnswer())
}

// askBackup asks the backup of an id whose primary does not answer. Nothing
// is ever said to be not run without its word.
func (h *Host) askBackup(ctx context.Context, id once.ID, r *request, hops uint32) *once.Answer {
	if id.Home.Backup == h.inc {
		return h.answerAsBackup(ctx, id, r, hops)
	}
	backup, ok := h.members.view().ByIncarnation(id.Home.Backup)
	if !ok || !id.Home.HasBackup() {
		return unreachable("neither the primary nor the backup of the id can be reached from here")
	}
	m := &peerpb.Ask{Id: id.String(), Hops: hops + 1}
	if r != nil {
		m.Job, m.Digest = toJob(r, h.Clock.Now()), r.digest
	}
	answer := h.callForAnswer(ctx, backup, &peerpb.Message{Body: &peerpb.Message_Ask{Ask: m}}, 0)
	if answer == nil && ctx.Err() == nil {
		return unreachable("the backup of the id did not answer")
	}
	return answer
}

// answerAsBackup answers for an id of which this host is the backup. If the
// primary can be reached from here after all, the job is passed on to it; if
// not, the home is fenced before anything is said.
func (h *Host) answerAsBackup(ctx context.Context, id once.ID, r *request, hops uint32) *once.Answer {
	if primary, ok := h.members.view().ByIncarnation(id.Home.Primary); ok && hops < maxHops {
		if answer := h.passOn(ctx, primary, id, r, hops); answer != nil {
			return answer
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	var digest uint64
	if r != nil {
		digest = r.digest
	}
	h.Log.Info("home_fenced", "id", id.String())
	return h.memory.fence(id, digest, h.Clock.Now())
}

func unreachable(format string, args ...any) *once.Answer {
	err := errkind.New(errkind.PeerDown, "submit the same id again; if this goes on, treat the job as one that may have run", format, args...)
	err.RetryAfter = unreachableReturn
	return once.NewAnswer(once.Unknown, err)
}

// orUnreachable turns the lack of an answer, nil, into one that says so.
func orUnreachable(answer *once.Answer) *once.Answer {
	if answer == nil {
		return unreachable("no answer came within the deadline")
	}
	return answer
}

// cancelAt passes a cancellation on to the job's primary.
func (h *Host) cancelAt(ctx context.Context, id once.ID) *once.Answer {
	if id.Home.Primary == h.inc {
		return h.cancel(id)
	}
	primary, ok := h.members.view().ByIncarnation(id.Home.Primary)
	if !ok {
		return unreachable("the primary of the id cannot be reached from here")
	}
	m := &peerpb.Message{Body: &peerpb.Message_Cancel{Cancel: &peerpb.Cancel{Id: id.String()}}}
	if answer := h.callForAnswer(ctx, primary, m, 0); answer != nil {
		return answer
	}
	return unreachable("the primary of the id did not answer")
}
