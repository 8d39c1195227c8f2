// Package losses reads the logs of the hosts of an installation and says how
// many jobs missed their objectives, and why.
package losses

import (
	"io"
	"sort"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/joblog"
)

// Cause is why a job missed its objective.
type Cause string

// The causes, in the order in which they are looked for: the first that the
// lines show is named.
const (
	FrontLost     Cause = "host lost"        // its front never told its end
	Refused       Cause = "refused"          // and nothing of it ran
	OwnerChanged  Cause = "owner changed"    // it went from owner to owner
	RunFailed     Cause = "run failed"       // a task of it ended failed
	TargetSilent  Cause = "target silent"    // a lease ran out, or an order was lost
	TargetSlow    Cause = "target slow"      // a run was far behind and stopped, or took twice its estimate
	WaitedForRoom Cause = "waited for room"  // its last task started too late
	RanLong       Cause = "ran long"         // none of these: its tasks took longer than the objective allows
	NoOwner       Cause = "no owner in time" // it was never started, and not refused
)

var causes = []Cause{FrontLost, Refused, OwnerChanged, RunFailed, TargetSilent, TargetSlow, WaitedForRoom, RanLong, NoOwner}

// slowFactor is how many times its estimate a run takes that counts as slow.
const slowFactor = 2

// record is what the lines tell of a job.
type record struct {
	at        time.Time // of its first line
	domain    string
	end       *joblog.Event
	handOns   int
	failures  int
	silences  int
	behind    int
	starts    int
	lastStart time.Duration            // from the job's receipt to the start of the task that ended last
	lastRun   time.Duration            // of that task
	startedAt map[string]time.Duration // from the job's receipt, by task
}

// Report is what became of the jobs of some logs.
type Report struct {
	jobs    map[string]*record
	domains map[string]string // of hosts, by name
	start   time.Time         // the first job's first line
}

// NewReport makes an empty report.
func NewReport() *Report {
	return &Report{jobs: map[string]*record{}, domains: map[string]string{}}
}

// Read takes a log in. Lines of a host's start come before those of its jobs.
func (r *Report) Read(log io.Reader) error {
	return joblog.Read(log, "", r.take)
}

func (r *Report) take(event joblog.Event) {
	if event.Message == "started" {
		r.domains[event.Node] = event.Domain
		return
	}
	if id := event.JobID(); id != "" {
		r.takeOfJob(id, event)
	}
}

func (r *Report) takeOfJob(id string, event joblog.Event) {
	j := r.jobs[id]
	if j == nil {
		j = &record{startedAt: map[string]time.Duration{}}
		r.jobs[id] = j
	}
	if j.at.IsZero() || event.Time.Before(j.at) {
		j.at = event.Time
	}
	if r.start.IsZero() || event.Time.Before(r.start) {
		r.start = event.Time
	}
	switch event.Message {
	case "job_dispatched":
		j.domain = r.domains[event.Node]
	case "job_ended":
		j.domain = r.domains[event.Node]
		j.end = &event
	case "job_handed_on":
		j.handOns++
	case "task_started":
		j.starts++
		j.startedAt[event.Task] = milliseconds(event.AgeMS)
	case "task_ended":
		j.takeEnd(event)
	case "lease_over", "run_absent":
		j.silences++
	case "run_behind":
		j.behind++
	}
}

func (j *record) takeEnd(event joblog.Event) {
	switch event.Detail {
	case "done":
		j.lastStart, j.lastRun = j.startedAt[event.Task], milliseconds(event.AgeMS)
	case "failed":
		j.failures++
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// result is how well a job was answered.
type result int

const (
	met    result = iota // within its objective
	late                 // within three times of it
	little               // later
	unserved
)

func (j *record) result() result {
	if j.end == nil || j.end.Outcome != "completed" {
		return unserved
	}
	switch {
	case j.end.TookMS <= j.end.ObjectiveMS:
		return met
	case j.end.TookMS <= job.LateFactor*j.end.ObjectiveMS:
		return late
	}
	return little
}

// cause names why a job missed its objective.
func (j *record) cause() Cause {
	switch {
	case j.end == nil:
		return FrontLost
	case j.end.Outcome == "refused":
		return Refused
	case j.handOns > 0:
		return OwnerChanged
	case j.failures > 0:
		return RunFailed
	case j.silences > 0:
		return TargetSilent
	case j.behind > 0 || j.lastRun > slowFactor*milliseconds(j.end.EstimateMS):
		return TargetSlow
	case j.starts == 0:
		return NoOwner
	case j.lastStart+milliseconds(j.end.EstimateMS) > milliseconds(j.end.ObjectiveMS) || j.end.Outcome != "completed":
		return WaitedForRoom
	}
	return RanLong
}

// sizes of jobs within their route: the users count the largest tenth and the
// fifth below it by themselves.
const (
	largestShare = 0.1
	largeShare   = 0.3
)

// sizeNames returns the size of every job that has ended, by id.
func (r *Report) sizeNames() map[string]string {
	byRoute := map[string][]string{}
	for id, j := range r.jobs {
		if j.end != nil {
			byRoute[j.end.Route] = append(byRoute[j.end.Route], id)
		}
	}
	names := map[string]string{}
	for _, ids := range byRoute {
		sort.Slice(ids, func(a, b int) bool { return r.jobs[ids[a]].end.Work > r.jobs[ids[b]].end.Work })
		for i, id := range ids {
			names[id] = sizeName(float64(i) / float64(len(ids)))
		}
	}
	return names
}

func sizeName(share float64) string {
	switch {
	case share < largestShare:
		return "largest tenth"
	case share < largeShare:
		return "fifth below"
	}
	return "others"
}
