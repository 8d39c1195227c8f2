package entry

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// maxHops bounds how often a job is forwarded: to its domain, then to its primary, or
// to its backup, then to its primary.
const maxHops = 3

// answerSlack is how long after the deadline a forwarding host still waits
// for the primary's answer.
const answerSlack = time.Second

// unreachableReturn is the time after which a caller may retry when hosts could not be
// reached. By then links are up again or counted as down.
const unreachableReturn = 100 * time.Millisecond

// linkSetupTime is how long after its start a host waits for its links to come up
// before it answers that another host is unreachable.
const linkSetupTime = 2 * time.Second

const linkSetupPoll = 10 * time.Millisecond

// longestDeadline bounds the wait for jobs with their service's default deadline, which
// this host may not know.
const longestDeadline = 4 * time.Minute

// serveFunc returns the answer for an id, or nil when there was none in time.
type serveFunc func(ctx context.Context, id once.ID) *once.Answer

// resolve serves a submission with an id: on this host, at its primary, or by asking
// its backup. r is nil when only the answer is requested.
func (h *Host) resolve(ctx context.Context, id once.ID, r *request, hops uint32) *once.Answer {
	if id.Home.Primary == h.inc {
		return h.resolveHere(ctx, id, r)
	}
	if hops >= maxHops {
		return unreachable("the primary of the id was not found within %d hops", maxHops)
	}
	ctx, cancel := h.boundWait(ctx, r)
	defer cancel()
	h.awaitLinks(ctx, id)
	next, ok := h.nextHop(id)
	if ok {
		answer := h.forward(ctx, next, id, r, hops)
		if answer != nil || ctx.Err() != nil {
			return answer
		}
	}
	return h.askBackup(ctx, id, r, hops)
}

// awaitLinks gives a host that has just started time to connect to the hosts of an id.
func (h *Host) awaitLinks(ctx context.Context, id once.ID) {
	for h.Clock.Now() < linkSetupTime && ctx.Err() == nil {
		_, primaryUp := h.nextHop(id)
		_, backupUp := h.members.view().ByIncarnation(id.Home.Backup)
		if primaryUp || backupUp || id.Home.Backup == h.inc {
			return
		}
		time.Sleep(linkSetupPoll)
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

// batchWindow returns how long messages for a service may wait to be batched.
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

// nextHop returns the id's primary, or else a host of the primary's domain.
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

// forward forwards a submission. It returns nil when no answer came.
func (h *Host) forward(ctx context.Context, next member.Peer, id once.ID, r *request, hops uint32) *once.Answer {
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

// askBackup asks the backup of an id whose primary does not answer. Only the backup
// can confirm that the job did not run.
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

// answerAsBackup answers for an id of which this host is the backup. If this host can
// reach the primary, it forwards the job there; otherwise it fences the home before it
// answers.
func (h *Host) answerAsBackup(ctx context.Context, id once.ID, r *request, hops uint32) *once.Answer {
	if primary, ok := h.members.view().ByIncarnation(id.Home.Primary); ok && hops < maxHops {
		if answer := h.forward(ctx, primary, id, r, hops); answer != nil {
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

// orUnreachable replaces a nil answer by one that says that hosts were unreachable.
func orUnreachable(answer *once.Answer) *once.Answer {
	if answer == nil {
		return unreachable("no answer came within the deadline")
	}
	return answer
}

// cancelAt forwards a cancellation to the job's primary.
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
