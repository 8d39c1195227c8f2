package kept

import "time"

// modelJob is a job with its caller, and the record of what happened to it.
type modelJob struct {
	id           string
	attempts     int
	answers      []Verdict // to the submissions
	accepted     bool
	cancelSent   bool
	cancelled    time.Duration // when the cancellation was acknowledged; 0 before
	shown        State         // the last state returned to the caller
	starts       int
	done         int
	failed       int
	endForgotten bool // the executors have forgotten its end
}

// allRefused reports whether every submission was refused.
func (j *modelJob) allRefused() bool {
	refused := 0
	for _, verdict := range j.answers {
		if verdict == Refused {
			refused++
		}
	}
	return j.attempts > 0 && refused == j.attempts
}

// ask makes a call of a coordinator and passes on its answer, or Unknown if none arrives
// in time.
func (sim *simulation) ask(id string, do func(co *modelCoordinator, number uint64), answered func(Answer)) {
	co := sim.liveCoordinator()
	if co == nil {
		sim.after(answerTime, func() { answered(Answer{Verdict: Unknown}) })
		return
	}
	sim.calls++
	number := sim.calls
	over := false
	once := func(answer Answer) {
		if !over {
			over = true
			answered(answer)
		}
	}
	co.replies[number] = once
	sim.asked[number] = id
	sim.after(answerTime+200*ms, func() { once(Answer{Verdict: Unknown}) })
	sim.after(sim.between(1*ms, 10*ms), func() { co.handle(func() { do(co, number) }) })
}

// send submits a job, and again while its outcome is unknown.
func (sim *simulation) send(j *modelJob) {
	j.attempts++
	cell := []string{"x", "y"}[sim.random.IntN(2)]
	sim.ask(j.id, func(co *modelCoordinator, number uint64) {
		co.coordinator.Accept(number, Record{ID: j.id, Cell: cell, Job: []byte(j.id)}, sim.now+answerTime, sim.now)
	}, func(answer Answer) {
		j.answers = append(j.answers, answer.Verdict)
		switch {
		case answer.Verdict == Accepted:
			sim.accepted(j)
		case j.accepted || j.attempts > 8:
		case answer.Verdict == Unknown || sim.chance(0.5):
			sim.after(sim.between(100*ms, time.Second), func() { sim.send(j) })
		}
	})
}

// accepted starts what the caller of an accepted job does: it queries, cancels or
// resubmits the job.
func (sim *simulation) accepted(j *modelJob) {
	if j.accepted {
		return
	}
	j.accepted = true
	sim.after(sim.between(0, 300*ms), func() { sim.poll(j) })
	if sim.chance(0.2) {
		sim.after(sim.between(0, 3*time.Second), func() { sim.send(j) })
	}
	if sim.chance(0.3) {
		sim.after(sim.between(0, time.Second), func() { sim.cancel(j) })
	}
}

// cancel cancels a job until the cancellation is acknowledged.
func (sim *simulation) cancel(j *modelJob) {
	j.cancelSent = true
	sim.ask(j.id, func(co *modelCoordinator, number uint64) { co.cancel(number, j.id) }, func(answer Answer) {
		switch answer.Verdict {
		case Accepted:
			j.cancelled = sim.now
		case NotFound:
			sim.reportViolation("%s was accepted, but its cancel got not found", j.id)
		default:
			sim.after(sim.between(100*ms, 600*ms), func() { sim.cancel(j) })
		}
	})
}

// poll queries the state of an accepted job from time to time.
func (sim *simulation) poll(j *modelJob) {
	co := sim.liveCoordinator()
	if co != nil && sim.now >= sim.down {
		sim.showState(j, co)
	}
	if sim.now < simulationPeriod-5*time.Second {
		sim.after(sim.between(100*ms, 900*ms), func() { sim.poll(j) })
	}
}

func (sim *simulation) showState(j *modelJob, co *modelCoordinator) {
	state, known := co.coordinator.State(j.id)
	if !state.Ended() {
		state, known = sim.rowState(j.id)
	}
	if !known {
		sim.reportViolation("%s was accepted, but its state is unknown", j.id)
		return
	}
	if j.shown.Ended() && state != j.shown {
		sim.reportViolation("%s was %s and is %s", j.id, j.shown, state)
	}
	j.shown = state
	if state == Completed && j.done == 0 {
		sim.reportViolation("%s is reported as completed but has not run to completion", j.id)
	}
}

// rowState reads the state of a job from its rows, the open one first.
func (sim *simulation) rowState(id string) (State, bool) {
	if sim.store.row(TableOpen, id) != nil {
		return Queued, true
	}
	if row := sim.store.row(TableEnded, id); row != nil {
		end, err := jsonCodec{}.DecodeEnd(row.Value)
		return end.State, err == nil
	}
	return 0, false
}
