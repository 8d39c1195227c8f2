package kept

import "time"

// modelJob is a job with its caller, and what has become of it.
type modelJob struct {
	id         string
	attempts   int
	answers    []Verdict // to attempts to hand it in
	accepted   bool
	cancelSent bool
	cancelled  time.Duration // when its cancelling was acknowledged; 0 while it isn't
	shown      State         // the last that was told
	starts     int
	done       int
	failed     int
	noted      bool // its end was noted at executors
}

// allRefused reports whether every attempt to hand the job in was refused.
func (j *modelJob) allRefused() bool {
	refused := 0
	for _, verdict := range j.answers {
		if verdict == Refused {
			refused++
		}
	}
	return j.attempts > 0 && refused == j.attempts
}

// ask has a keeper do something and takes the answer, or Unknown when none comes.
func (w *world) ask(id string, do func(k *modelKeeper, number uint64), answered func(Answer)) {
	k := w.liveKeeper()
	if k == nil {
		w.after(answerTime, func() { answered(Answer{Verdict: Unknown}) })
		return
	}
	w.calls++
	number := w.calls
	over := false
	once := func(answer Answer) {
		if !over {
			over = true
			answered(answer)
		}
	}
	k.replies[number] = once
	w.asked[number] = id
	w.after(answerTime+200*ms, func() { once(Answer{Verdict: Unknown}) })
	w.after(w.between(1*ms, 10*ms), func() { k.handle(func() { do(k, number) }) })
}

// send hands a job in, and again as long as its fate is open.
func (w *world) send(j *modelJob) {
	j.attempts++
	cell := []string{"x", "y"}[w.random.IntN(2)]
	w.ask(j.id, func(k *modelKeeper, number uint64) {
		k.keeper.Accept(number, Record{ID: j.id, Cell: cell, Job: []byte(j.id)}, w.now+answerTime, w.now)
	}, func(answer Answer) {
		j.answers = append(j.answers, answer.Verdict)
		switch {
		case answer.Verdict == Accepted:
			w.accepted(j)
		case j.accepted || j.attempts > 8:
		case answer.Verdict == Unknown || w.chance(0.5):
			w.after(w.between(100*ms, time.Second), func() { w.send(j) })
		}
	})
}

// accepted takes that a job is kept: its caller asks, cancels or sends it again.
func (w *world) accepted(j *modelJob) {
	if j.accepted {
		return
	}
	j.accepted = true
	w.after(w.between(0, 300*ms), func() { w.poll(j) })
	if w.chance(0.2) {
		w.after(w.between(0, 3*time.Second), func() { w.send(j) })
	}
	if w.chance(0.3) {
		w.after(w.between(0, time.Second), func() { w.cancel(j) })
	}
}

// cancel cancels a job until that is acknowledged.
func (w *world) cancel(j *modelJob) {
	j.cancelSent = true
	w.ask(j.id, func(k *modelKeeper, number uint64) { k.cancel(number, j.id) }, func(answer Answer) {
		switch answer.Verdict {
		case Accepted:
			j.cancelled = w.now
		case NotFound:
			w.breaks("%s was accepted, and there is none to cancel", j.id)
		default:
			w.after(w.between(100*ms, 600*ms), func() { w.cancel(j) })
		}
	})
}

// poll asks for the state of an accepted job now and then.
func (w *world) poll(j *modelJob) {
	k := w.liveKeeper()
	if k != nil && w.now >= w.down {
		w.showState(j, k)
	}
	if w.now < exploreTime-5*time.Second {
		w.after(w.between(100*ms, 900*ms), func() { w.poll(j) })
	}
}

func (w *world) showState(j *modelJob, k *modelKeeper) {
	state, known := k.keeper.State(j.id)
	if !state.Ended() {
		state, known = w.rowState(j.id)
	}
	if !known {
		w.breaks("%s was accepted and isn't known", j.id)
		return
	}
	if j.shown.Ended() && state != j.shown {
		w.breaks("%s was %s and is %s", j.id, j.shown, state)
	}
	j.shown = state
	if state == Completed && j.done == 0 {
		w.breaks("%s is shown as completed and isn't done", j.id)
	}
}

// rowState reads the state of a job from its rows, the open one first.
func (w *world) rowState(id string) (State, bool) {
	if w.store.row(TableOpen, id) != nil {
		return Queued, true
	}
	if row := w.store.row(TableEnded, id); row != nil {
		end, err := jsonCodec{}.DecodeEnd(row.Value)
		return end.State, err == nil
	}
	return 0, false
}
