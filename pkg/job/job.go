// Package job holds the types of jobs whose tasks run under leases: what a
// caller submits, how its tasks are named, and how it ended.
package job

import (
	"strconv"
	"strings"
	"time"
)

// Resources is what a task asks for, or what an executor has.
type Resources struct {
	CPU      int64 // thousandths of a core
	MemoryMB int64
	GPU      int64
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Step is a set of like tasks.
type Step struct {
	Count        int
	Needs        Resources     // of each task
	Estimate     time.Duration // a rough guess of a task's time; 0 when unknown
	After        []int         // earlier steps whose tasks must all be done first
	Constraint   string        // label that the executor must have; empty for none
	Affinity     string        // label of the rack that holds the data; empty for none
	AntiAffinity int           // tasks of the step on one executor at most; 0 for no limit
}

// Job is a caller's job in the product's own terms.
type Job struct {
	ID          string // chosen by the caller; names the job for good
	Route       string // name of the route that it came by
	Service     string // whose executors run its tasks
	Priority    int    // 0 comes first
	MaxAttempts int    // ends by failure that a task may have
	Spec        string // handed to every task
	Steps       []Step
	Received    time.Duration // on the clock of the process that holds this value
	Deadline    time.Duration // the caller waits no longer
	Stretch     float64       // of the longest chain of work, in the time for a good answer
	Target      time.Duration // added to that time
	Part        Part          // set when the value is a part of a job
	Kept        bool          // it runs to its end whether or not anybody waits, and has no deadline
}

// Part says which tasks of a job of one step belong to a part of it. The parts
// of a job go to owners as jobs of their own, each with an ID of its own.
type Part struct {
	Whole string // id of the whole job; empty for a whole job
	First int    // index in the whole job of the part's first task
	Of    int    // tasks of the whole job
}

// partSeparator stands between the id of a job and the tasks of a part. Parts of
// the same job that other fronts have cut otherwise have other ids.
const partSeparator = "/"

// Split returns the parts of a job of one step, of so many tasks each.
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

// WholeIDOf returns the id of the whole job for the id of a job or of a part.
func WholeIDOf(id string) string {
	whole, _, _ := strings.Cut(id, partSeparator)
	return whole
}

// WholeID returns the id that the caller chose.
func (j *Job) WholeID() string {
	if j.Part.Whole != "" {
		return j.Part.Whole
	}
	return j.ID
}

// IsPart reports whether the value is a part of a job.
func (j *Job) IsPart() bool { return j.Part.Whole != "" }

// TaskName returns the name under which executors know a task.
func (j *Job) TaskName(key TaskKey) string { return TaskName(j.WholeID(), key) }

// TaskCount returns the number of tasks over all steps.
func (j *Job) TaskCount() int {
	count := 0
	for _, step := range j.Steps {
		count += step.Count
	}
	return count
}

// LateFactor is how many times its objective an answer may take and still be
// worth something, by the users' accounting.
const LateFactor = 3

// UsefulUntil returns until when an answer is worth something to the caller, for
// a longest chain of work.
func (j *Job) UsefulUntil(chain time.Duration) time.Duration {
	until := j.Received + LateFactor*j.Objective(chain)
	if j.Kept {
		return until
	}
	return min(j.Deadline, until)
}

// UnknownEstimate stands for the time of a task whose caller gave no guess.
const UnknownEstimate = 200 * time.Millisecond

// TaskTime returns the expected time of a task of the step.
func (s *Step) TaskTime() time.Duration {
	if s.Estimate > 0 {
		return s.Estimate
	}
	return UnknownEstimate
}

// TaskWork returns the expected work of a task of the step, in thousandths of a
// core x milliseconds.
func (s *Step) TaskWork() int64 { return s.Needs.CPU * s.TaskTime().Milliseconds() }

// Work returns the expected work of the job, of the whole job for a part, in
// thousandths of a core x milliseconds.
func (j *Job) Work() int64 {
	if j.IsPart() {
		return int64(j.Part.Of) * j.Steps[0].TaskWork()
	}
	var total int64
	for i := range j.Steps {
		total += int64(j.Steps[i].Count) * j.Steps[i].TaskWork()
	}
	return total
}

// TaskKey names a task within its job.
type TaskKey struct {
	Step  int
	Index int
}

// TaskName returns the name under which executors know a task of a job that
// runs once: ID.0.STEP.INDEX.
func TaskName(id string, key TaskKey) string {
	return id + ".0." + strconv.Itoa(key.Step) + "." + strconv.Itoa(key.Index)
}

// Progress is what an owner tells the next one of a task.
type Progress struct {
	Key      TaskKey
	Done     bool
	Failures int
	Run      int64 // highest run number used
	Crashes  int   // executors that have crashed under it
}

// Kind says how a job ended at an owner.
type Kind uint8

// The ways in which a job ends at an owner.
const (
	Completed Kind = iota + 1 // every task is done
	Failed                    // a task has failed as often as it may
	Refused                   // nothing ran, and nothing of it will
	Expired                   // the deadline came after a task may have started
	Moved                     // the owner gave the cell up; hand the job to the next
	Lost                      // no owner can be asked; tasks may run until their leases end
)

var kindNames = [...]string{"none", "completed", "failed", "refused", "expired", "moved", "lost"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Outcome is the end of a job at an owner.
type Outcome struct {
	Kind       Kind
	Reason     string // for logs
	RetryAfter time.Duration
	Started    bool          // a task of it may have started
	Chain      time.Duration // the longest chain of work as the owner expected it; 0 when not told
	Progress   []Progress
}

// Objective returns the time from its receipt within which an answer is a good
// one, for a longest chain of work.
func (j *Job) Objective(chain time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(chain)) + j.Target
}

// LongestChain returns the time that the job takes with room for everything,
// by the caller's estimates.
func (j *Job) LongestChain() time.Duration {
	return j.LongestChainOf(func(step int) time.Duration { return j.Steps[step].Estimate })
}

// LongestChainOf is LongestChain with other times of the steps' tasks.
func (j *Job) LongestChainOf(taskTime func(step int) time.Duration) time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		chains[i] = taskTime(i)
		for _, earlier := range step.After {
			chains[i] = max(chains[i], chains[earlier]+taskTime(i))
		}
		longest = max(longest, chains[i])
	}
	return longest
}
