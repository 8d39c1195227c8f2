//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	patience    = 3 * time.Second         // of a client, for one answer
	resendAfter = 1300 * time.Millisecond // retransmit_ms
	idleBound   = 3 * time.Second         // LOST: "a job has nothing running for 3 s"
)

type stepBody struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	MemMB      int    `json:"mem_mb,omitempty"`
	GPU        int    `json:"gpu,omitempty"`
	EstimateMS int    `json:"estimate_ms,omitempty"`
	After      []int  `json:"after_rev,omitempty"`
	Label      string `json:"constraints,omitempty"`
}

type jobBody struct {
	Spec  string     `json:"spec"`
	Steps []stepBody `json:"steps"`
}

// keptJob is a job that has to be kept, and what its client was told.
type keptJob struct {
	id       string
	body     jobBody
	accepted time.Time // zero: it wasn't
	state    string    // the last one told
}

func (w *world) newJob(body jobBody) *keptJob {
	return &keptJob{id: fmt.Sprintf("%016x", w.drawID()), body: body}
}

// simpleJob has one step of alike tasks.
func (w *world) simpleJob(tasks, cpu int, work time.Duration) *keptJob {
	return w.newJob(jobBody{
		Spec:  fmt.Sprintf("%d %d", work.Milliseconds(), cpu),
		Steps: []stepBody{{Count: tasks, CPU: cpu, MemMB: 64, EstimateMS: int(work.Milliseconds())}},
	})
}

// post hands a job in until it is accepted or rejected, as clients do. It reports whether it
// was accepted.
func (w *world) post(j *keptJob, machines []*machine) bool {
	body, err := json.Marshal(j.body)
	if err != nil {
		w.fail("%v", err)
	}
	for try := range 4 {
		m := machines[w.draw(len(machines))]
		a := w.call(m, http.MethodPost, j.id, body, patience)
		w.note("POST %s (%d tasks, %d bytes) at %s, sending %d: %d %s after %d ms", j.id, j.tasks(), len(body), m.name, try+1, a.status, a.body, a.took.Milliseconds())
		switch a.status {
		case http.StatusOK:
			j.accepted = time.Now()
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resendAfter)
		default:
			return false
		}
	}
	return false
}

func (j *keptJob) tasks() int {
	n := 0
	for _, step := range j.body.Steps {
		n += step.Count
	}
	return n
}

// ask asks for the state of a job.
func (w *world) ask(j *keptJob, machines []*machine) answer {
	m := machines[w.draw(len(machines))]
	a := w.call(m, http.MethodGet, j.id, nil, patience)
	w.note("GET %s at %s: %d %s after %d ms", j.id, m.name, a.status, a.body, a.took.Milliseconds())
	if a.status == http.StatusOK {
		j.state = a.state()
	}
	return a
}

// idleSince returns since when nothing of a job runs, or zero if something does.
func (w *world) idleSince(j *keptJob) time.Time {
	since := j.accepted
	for _, run := range w.ledger.RunsOf(j.id) {
		if run.Ended.IsZero() {
			return time.Time{}
		}
		if run.Ended.After(since) {
			since = run.Ended
		}
	}
	return since
}

// doneTasks returns how many tasks of a job have ended done.
func (w *world) doneTasks(j *keptJob) int {
	done := map[string]bool{}
	for _, run := range w.ledger.RunsOf(j.id) {
		if run.How == "done" {
			done[run.Task] = true
		}
	}
	return len(done)
}

// noteRuns records the runs of a job.
func (w *world) noteRuns(j *keptJob) {
	runs := w.ledger.RunsOf(j.id)
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	for i, run := range runs {
		if i == 40 {
			w.note("  and %d runs more", len(runs)-i)
			return
		}
		ended, how := "now", "at work"
		if !run.Ended.IsZero() {
			ended, how = fmt.Sprintf("%.3f", run.Ended.Sub(w.begin).Seconds()), run.How
		}
		w.note("  run %d of %s at %s: %.3f to %s, %s", run.Number, run.Task, run.Executor, run.Began.Sub(w.begin).Seconds(), ended, how)
	}
}

// mostInUse returns the largest share of the workers' processors that the jobs have used at once since
// a time, as their single steps ask for it.
func (w *world) mostInUse(jobs []*keptJob, since time.Time) float64 {
	type change struct {
		at  time.Time
		cpu int
	}
	var changes []change
	for _, j := range jobs {
		for _, run := range w.ledger.RunsOf(j.id) {
			cpu := j.body.Steps[0].CPU
			changes = append(changes, change{run.Began, cpu})
			if !run.Ended.IsZero() {
				changes = append(changes, change{run.Ended, -cpu})
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	used, most := 0, 0
	for _, c := range changes {
		used += c.cpu
		if c.at.After(since) {
			most = max(most, used)
		} else {
			most = used
		}
	}
	return float64(most) / float64(workerCPU*workersAZone*len(machinesOf))
}

// workersOf returns the workers of a zone.
func (w *world) workersOf(zone string) []*worker {
	w.workersM.Lock()
	defer w.workersM.Unlock()
	var found []*worker
	for _, e := range w.workers {
		if e.zone == zone {
			found = append(found, e)
		}
	}
	return found
}
