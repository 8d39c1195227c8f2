package entry

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// check checks a request against the configuration in force.
func (h *Host) check(r *request) (*spec, *errkind.Error) {
	current := h.conf.get()
	if current == nil {
		return nil, notReady()
	}
	service := current.doc.Services[r.labels.Service]
	if service == nil {
		return nil, errkind.New(errkind.UnknownService, "use a service of the configuration in force", "service %q is not known", r.labels.Service)
	}
	team := current.doc.Teams[r.labels.Team]
	if team == nil || !team.Allows(service.Name) {
		return nil, errkind.New(errkind.UnknownTeam, "use a team that the configuration allows for the service", "team %q may not use service %q", r.labels.Team, r.labels.Service)
	}
	if err := checkTasks(service, r.tasks); err != nil {
		return nil, err
	}
	left := r.left
	if left == 0 {
		left = service.DefaultDeadline
	}
	if left < 0 || left > service.MaxDeadline {
		return nil, errkind.New(errkind.BadRequest, "set deadline_ms between 1 and "+service.MaxDeadline.String(), "the deadline of %s is out of range", left)
	}
	return &spec{
		request:  r,
		service:  service,
		pool:     current.doc.PoolFor(service, r.labels.Team, r.labels.Class),
		team:     team,
		deadline: r.received + left,
	}, nil
}

func checkTasks(service *config.Service, tasks [][]byte) *errkind.Error {
	if len(tasks) == 0 || len(tasks) > service.MaxTasks {
		return errkind.New(errkind.BadRequest, "put 1 to max_tasks tasks into a job", "a job of %d tasks is out of range for service %s, whose max_tasks is %d", len(tasks), service.Name, service.MaxTasks)
	}
	for i, task := range tasks {
		if len(task) == 0 {
			return errkind.New(errkind.BadRequest, "give each task a payload", "task %d is empty", i)
		}
	}
	return nil
}

func notReady() *errkind.Error {
	err := errkind.New(errkind.NotReady, "try another entry host, or wait until /readyz says ready", "the host has no configuration yet")
	err.RetryAfter = time.Second
	return err
}

// submit serves a submission whose id text may be empty, a plain key or an id
// with a home. It returns the resolved id and the answer, which is nil when ctx ended
// first.
func (h *Host) submit(ctx context.Context, idText string, r *request) (string, *once.Answer) {
	id, err := h.resolveID(ctx, idText, r)
	if err != nil {
		return idText, outcomeOfError(err)
	}
	return id.String(), h.resolve(ctx, id, r, 0)
}

// outcomeOfError returns the answer for an error: refused when nothing ran, unknown when
// the job may have run.
func outcomeOfError(err error) *once.Answer {
	e := errkind.From(err)
	switch e.Kind {
	case errkind.PlatformDown, errkind.PlatformMaybe, errkind.PeerDown, errkind.Internal:
		return once.NewAnswer(once.Unknown, e)
	}
	return once.NewAnswer(once.Refused, e)
}

// submitHere serves a submission whose primary is this host. A request that
// the configuration does not allow is refused for good: its id is closed.
func (h *Host) submitHere(ctx context.Context, id once.ID, r *request) *once.Answer {
	checked, refusal := h.check(r)
	if refusal != nil {
		return h.refuseHere(ctx, id, r, refusal)
	}
	var made *job
	verdict, answer, j := h.memory.submit(id, r.digest, h.Clock.Now(), func() *job {
		made = newJob(checked, id, h.Clock.Now())
		return made
	})
	switch verdict {
	case once.Answered:
		return answer
	case once.Record, once.Run:
		h.begin(made, verdict)
		return made.wait(ctx)
	case once.Join, once.NotMine:
	}
	return h.join(ctx, id, j)
}

func (h *Host) refuseHere(ctx context.Context, id once.ID, r *request, refusal *errkind.Error) *once.Answer {
	answer, j := h.memory.refuse(id, r.digest, h.Clock.Now(), once.NewAnswer(once.Refused, refusal))
	if answer != nil {
		return answer
	}
	return h.join(ctx, id, j)
}

// join waits for a job that is under way, or has just ended when j is nil.
func (h *Host) join(ctx context.Context, id once.ID, j *job) *once.Answer {
	if j != nil {
		return j.wait(ctx)
	}
	answer, _ := h.memory.find(id)
	return answer
}

// begin admits a new job, has the backup record it, and queues its tasks.
func (h *Host) begin(j *job, verdict once.Verdict) {
	d := h.dispatcher(j.pool.Name)
	if d == nil {
		h.finish(j, j.stop(notReady()))
		return
	}
	if refusal := d.admit(j); refusal != nil {
		h.finish(j, j.stop(refusal))
		return
	}
	context.AfterFunc(j.ctx, func() { d.stop(j, deadlinePassed()) })
	if verdict == once.Record && !h.settings.SkipRecord && !h.recordAtBackup(j) {
		refused := h.memory.recordLost(j.id)
		if j.stop(recordRefused()) != nil {
			h.finish(j, refused)
		}
		return
	}
	if verdict == once.Record && !h.memory.recorded(j.id) {
		return // it ended in the meantime
	}
	d.enqueue(j)
}

func deadlinePassed() *errkind.Error {
	return errkind.New(errkind.DeadlinePassed, "allow a longer deadline, or submit when there is less load", "the deadline passed before the job was complete")
}

// finish stores the answer of a job and sends it to the waiting callers.
func (h *Host) finish(j *job, answer *once.Answer) {
	if answer == nil {
		return
	}
	j.answer = h.memory.end(j.id, answer)
	close(j.done)
	if answer.Outcome != once.Failed {
		// Attempts of a failed job occupy their slots until they end, since their
		// targets are still running them.
		j.cancel()
	}
	h.copyAnswer(j)
	h.metrics.JobEnded(j.labels, answerName(answer), h.Clock.Now()-j.received)
	h.Log.Debug("job_ended", "id", j.idText, "result", answerName(answer))
}

func answerName(a *once.Answer) string {
	if a.Outcome == once.Complete {
		return a.Outcome.String()
	}
	return string(a.Kind)
}

// cancel ends a job of this host; its tasks that have not started don't run.
func (h *Host) cancel(id once.ID) *once.Answer {
	answer, j := h.memory.find(id)
	if answer != nil {
		return answer
	}
	if j == nil {
		return unknownJob()
	}
	err := errkind.New(errkind.Cancelled, "submit under a new id if it was a mistake", "the job was cancelled")
	if d := h.dispatcher(j.pool.Name); d != nil {
		d.stop(j, err)
	}
	return j.wait(j.ctx)
}

func unknownJob() *once.Answer {
	return once.NewAnswer(once.Unknown, errkind.New(errkind.UnknownJob, "check the id; answers are kept for the retention time", "no job of this id is known"))
}
