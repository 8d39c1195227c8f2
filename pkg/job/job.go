// Package job holds the types of jobs whose tasks run under leases: the caller's
// submission, the names of its tasks and its outcome.
package job

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources are the needs of a task or the capacity of an executor.
type Resources struct {
	CPU      int64 // thousandths of a core
	MemoryMB int64
	GPU      int64
}

func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count        int
	Needs        Resources     // of each task
	Estimate     time.Duration // the caller's estimate of a task's run time; 0 when unknown
	After        []int         // earlier steps whose tasks must all be done first
	Constraint   string        // label that the executor must have; empty for none
	Affinity     string        // label of the rack that holds the data; empty for none
	AntiAffinity int           // most tasks of the step on one executor; 0 for no limit
}

// Job is a caller's job.
type Job struct {
	ID          string // chosen by the caller, unique and permanent
	Route       string // name of the route that the request matched
	Service     string // whose executors run its tasks
	Priority    int    // 0 is the highest
	MaxAttempts int    // number of failures after which a task is not retried
	Spec        string // passed to every task
	Steps       []Step
	Received    time.Duration // on the clock of the process that holds this value
	SentAfter   time.Duration // a lower bound of when its caller sent it, on the same clock; 0: none but Received is known
	IsDelayed   bool          // the network may have held it up for so long that its caller has sent it again
	Deadline    time.Duration // until when the caller waits
	Stretch     float64       // factor on the critical path in the objective
	Target      time.Duration // added to the objective
	Part        Part          // set when the value is a part of a job
	Kept        bool          // a kept job runs to completion whether or not its caller waits, and has no deadline
}

// Part identifies the tasks of a part of a single-step job. Each part is sent to an
// owner as a job with an ID of its own.
type Part struct {
	Whole string // id of the parent job; empty when the job is no part
	First int    // index in the parent job of the part's first task
	Of    int    // number of tasks of the parent job
}

// partSeparator separates the id of the parent job from the range of a part's tasks.
// Parts of the same job that are split differently by other fronts have other ids.
const partSeparator = "/"

// Split returns the parts of a single-step job, with counts tasks each.
func (j *Job) Split(counts []int) []*Job {
	parts := make([]*Job, 0, len(counts))
	first := 0
	for _, count := range counts {
		part := *j
		part.ID = j.ID + partSeparator + strconv.Itoa(first) + "-" + strconv.Itoa(first+count-1)
		part.Part = Part{Whole: j.ID, First: first, Of: j.Steps[0].Count}
		part.Steps = []Step{j.Steps[0]}
		part.Steps[0].Count = count
		parts = append(parts, &part)
		first += count
	}
	return parts
}

// WholeIDOf returns the id of the parent job for the id of a part, and the id of
// any other job as it is.
func WholeIDOf(id string) string {
	parent, _, _ := strings.Cut(id, partSeparator)
	return parent
}

// WholeID returns the id that the caller chose: that of the parent job for a part.
func (j *Job) WholeID() string {
	if j.Part.Whole != "" {
		return j.Part.Whole
	}
	return j.ID
}

func (j *Job) IsPart() bool { return j.Part.Whole != "" }

// TaskName returns the name of a task at executors.
func (j *Job) TaskName(key TaskKey) string { return TaskName(j.WholeID(), key) }

// TaskCount returns the number of tasks over all steps.
func (j *Job) TaskCount() int {
	count := 0
	for _, step := range j.Steps {
		count += step.Count
	}
	return count
}

// EarliestSending returns when the job's caller may have sent it at the earliest. It counts the time until
// it sends the job again from then on.
func (j *Job) EarliestSending() time.Duration {
	if j.SentAfter > 0 {
		return min(j.SentAfter, j.Received)
	}
	return j.Received
}

// LateFactor is the multiple of a job's objective after which its answer has no
// value to the caller.
const LateFactor = 3

// UsefulUntil returns until when an answer has value to the caller, given the length
// of the job's critical path.
func (j *Job) UsefulUntil(chain time.Duration) time.Duration {
	until := j.Received + LateFactor*j.Objective(chain)
	if j.Kept {
		return until
	}
	return min(j.Deadline, until)
}

// UnknownEstimate is the expected run time of a task without an estimate.
const UnknownEstimate = 200 * time.Millisecond

// TaskTime returns the expected run time of a task of the step.
func (s *Step) TaskTime() time.Duration {
	if s.Estimate > 0 {
		return s.Estimate
	}
	return UnknownEstimate
}

// TaskWork returns the expected work of a task of the step, in thousandths of a
// core x milliseconds.
func (s *Step) TaskWork() int64 { return s.Needs.CPU * s.TaskTime().Milliseconds() }

// Work returns the expected work of the job, or of the parent job for a part, in
// thousandths of a core x milliseconds.
func (j *Job) Work() int64 {
	if j.IsPart() {
		return workOf(j.Part.Of, &j.Steps[0])
	}
	var total int64
	for i := range j.Steps {
		total = min(total+workOf(j.Steps[i].Count, &j.Steps[i]), MaxWork)
	}
	return total
}

// MaxWork bounds the expected work of a job, so that sums over jobs don't overflow.
const MaxWork = 1 << 53

// workOf returns the expected work of a number of tasks of a step.
func workOf(tasks int, s *Step) int64 {
	return int64(min(float64(tasks)*float64(s.TaskWork()), MaxWork))
}

// TaskKey identifies a task within its job.
type TaskKey struct {
	Step  int
	Index int
}

// TaskName returns the name of a task at executors: ID.0.STEP.INDEX.
func TaskName(id string, key TaskKey) string {
	return id + ".0." + strconv.Itoa(key.Step) + "." + strconv.Itoa(key.Index)
}

// Progress is the state of a task that one owner hands over to the next.
type Progress struct {
	Key      TaskKey
	Done     bool
	Failures int
	Run      int64 // highest run number used
	Crashes  int   // executors that crashed while they ran it
	// CrashedAt are the incarnations of these executors. Some may be missing: builds of before don't report them.
	CrashedAt []string
	// CrashEvidence is how many of these crashes are evidence that the task causes them. It is 0 if
	// the former owner did not report it.
	CrashEvidence int

	FailedRuns []int64 // run numbers of Failures; some may be missing

	ActiveAt  string        // the incarnation of the executor at which a run may be active; empty when unknown
	ActiveFor time.Duration // how long that run may be active from now, at most; 0 if there is none
}

// maxCrashedAt bounds the executors that Progress.CrashedAt names.
const maxCrashedAt = 16

// MergeCrashes returns the crashes under a task by two reports, which may tell of the same ones. Crashes whose
// executors aren't named count as the same.
func MergeCrashes(crashes int, crashedAt []string, others int, othersAt []string) (int, []string) {
	all := slices.Clone(crashedAt)
	for _, executor := range othersAt {
		if len(all) < maxCrashedAt && !slices.Contains(all, executor) {
			all = append(all, executor)
		}
	}
	return max(crashes, others, len(all)), all
}

// AgeProgress returns progress that was reported some time ago as of now: its runs can be active
// for less time.
func AgeProgress(progress []Progress, age time.Duration) []Progress {
	isActive := func(p Progress) bool { return p.ActiveFor > 0 }
	if !slices.ContainsFunc(progress, isActive) {
		return progress
	}
	aged := slices.Clone(progress)
	for i := range aged {
		if aged[i].ActiveFor = max(0, aged[i].ActiveFor-age); !isActive(aged[i]) {
			aged[i].ActiveAt = ""
		}
	}
	return aged
}

// Kind is the way in which a job ended at an owner.
type Kind uint8

const (
	Completed Kind = iota + 1 // every task is done
	Failed                    // a task has failed MaxAttempts times
	Refused                   // no task has run, and none will
	Expired                   // the deadline passed after a task may have started
	Moved                     // the owner released the cell; the job must be sent to the next owner
	Lost                      // no owner is reachable; tasks may run until their leases end
)

var kindNames = [...]string{"none", "completed", "failed", "refused", "expired", "moved", "lost"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// KindOf returns the kind with a number that another host sent, and 0 for numbers that this build
// does not know.
func KindOf(number uint32) Kind {
	if number > uint32(Lost) {
		return 0
	}
	return Kind(number)
}

// Outcome is the result of a job at an owner.
type Outcome struct {
	Kind       Kind
	Reason     string // for logs
	RetryAfter time.Duration
	Started    bool          // a task may have started
	Chain      time.Duration // the length of the critical path that the owner expected; 0 when unknown
	Progress   []Progress
	NamesRuns  bool    // Progress names all runs of the job that may be active
	OpenAt     *OpenAt // the front that holds the job open, if an owner didn't accept the job for that
}

// NamesAllRuns reports whether Progress names all runs that owners of the job may have left. before
// tells so of the owners before the one that has returned it.
func (o *Outcome) NamesAllRuns(before bool) bool {
	return o.NamesRuns || !o.Started && before
}

// OpenAt is the front that holds a job open.
type OpenAt struct {
	Address   string
	Domain    string
	Process   string        // its incarnation, as bytes
	Remaining time.Duration // until no run of the job can be alive
}

// Objective returns the time from the job's receipt within which its answer is on
// time, given the length of its critical path.
func (j *Job) Objective(chain time.Duration) time.Duration {
	stretched := time.Duration(min(j.Stretch*float64(chain), float64(maxObjective)))
	return min(stretched+min(j.Target, maxObjective), maxObjective)
}

// maxObjective bounds the sums over the estimates of a job, so that LateFactor times an objective
// doesn't overflow.
const maxObjective = 10 * 365 * 24 * time.Hour

// LongestChain returns the length of the job's critical path by the caller's
// estimates: its run time with unlimited capacity.
func (j *Job) LongestChain() time.Duration {
	return j.LongestChainOf(func(step int) time.Duration { return j.Steps[step].Estimate })
}

// LongestChainOf is LongestChain with run times per step from taskTime.
func (j *Job) LongestChainOf(taskTime func(step int) time.Duration) time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		chains[i] = taskTime(i)
		for _, earlier := range step.After {
			chains[i] = min(max(chains[i], chains[earlier]+taskTime(i)), maxObjective)
		}
		longest = max(longest, chains[i])
	}
	return longest
}
