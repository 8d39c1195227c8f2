// Package jobwire converts jobs to and from the protobuf messages that hosts exchange
// and that are stored in the rows of kept jobs.
package jobwire

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// ToDispatch returns the message that sends a job to the owner of a cell. Times are
// sent relative to now, as clocks of different processes are not comparable.
func ToDispatch(j *job.Job, cellName string, epoch int, progress []job.Progress, settle, now time.Duration) *peerpb.Dispatch {
	m := &peerpb.Dispatch{
		Id:          j.ID,
		Cell:        cellName,
		Route:       j.Route,
		Service:     j.Service,
		Priority:    uint32(j.Priority),
		MaxAttempts: uint32(j.MaxAttempts),
		TimeLeftUs:  (j.Deadline - now).Microseconds(),
		Stretch:     j.Stretch,
		TargetUs:    j.Target.Microseconds(),
		Whole:       j.Part.Whole,
		PartFirst:   uint32(j.Part.First),
		PartOf:      uint32(j.Part.Of),
		AgeUs:       (now - j.Received).Microseconds(),
		Spec:        j.Spec,
		Epoch:       uint32(epoch),
		Kept:        j.Kept,
		Progress:    ToProgress(progress),
		SettleUs:    settle.Microseconds(),
	}
	for _, step := range j.Steps {
		m.Steps = append(m.Steps, toStep(step))
	}
	return m
}

func toStep(step job.Step) *peerpb.StepSpec {
	m := &peerpb.StepSpec{
		Count:        uint32(step.Count),
		Cpu:          step.Needs.CPU,
		MemoryMb:     step.Needs.MemoryMB,
		Gpu:          step.Needs.GPU,
		EstimateMs:   step.Estimate.Milliseconds(),
		Constraint:   step.Constraint,
		Affinity:     step.Affinity,
		AntiAffinity: uint32(step.AntiAffinity),
	}
	for _, earlier := range step.After {
		m.After = append(m.After, uint32(earlier))
	}
	return m
}

// FromDispatch returns the job of a message that arrived at now.
func FromDispatch(m *peerpb.Dispatch, now time.Duration) *job.Job {
	received := now - common.Microseconds(m.AgeUs)
	j := &job.Job{
		ID:          m.Id,
		Route:       m.Route,
		Service:     m.Service,
		Priority:    int(m.Priority),
		MaxAttempts: int(m.MaxAttempts),
		Spec:        m.Spec,
		Received:    received,
		Deadline:    now + common.Microseconds(m.TimeLeftUs),
		Stretch:     m.Stretch,
		Target:      common.Microseconds(m.TargetUs),
		Kept:        m.Kept,
		Part:        job.Part{Whole: m.Whole, First: int(m.PartFirst), Of: int(m.PartOf)},
	}
	for _, step := range m.Steps {
		j.Steps = append(j.Steps, fromStep(step))
	}
	return j
}

func fromStep(m *peerpb.StepSpec) job.Step {
	step := job.Step{
		Count:        int(m.Count),
		Needs:        job.Resources{CPU: m.Cpu, MemoryMB: m.MemoryMb, GPU: m.Gpu},
		Estimate:     common.Milliseconds(m.EstimateMs),
		Constraint:   m.Constraint,
		Affinity:     m.Affinity,
		AntiAffinity: int(m.AntiAffinity),
	}
	for _, earlier := range m.After {
		step.After = append(step.After, int(earlier))
	}
	return step
}

// ToProgress converts the progress of a job's tasks to its message.
func ToProgress(progress []job.Progress) []*peerpb.TaskProgress {
	var ms []*peerpb.TaskProgress
	for _, p := range progress {
		ms = append(ms, &peerpb.TaskProgress{
			Step: uint32(p.Key.Step), Index: uint32(p.Key.Index), Done: p.Done, Failures: uint32(p.Failures), Run: p.Run,
			Crashes: uint32(p.CrashEvidence), AllCrashes: uint32(p.Crashes), CrashedAt: p.CrashedAt, FailedRuns: p.FailedRuns, Executor: p.ActiveAt, ActiveUs: p.ActiveFor.Microseconds(),
		})
	}
	return ms
}

// FromProgress converts the message of the progress of a job's tasks.
func FromProgress(ms []*peerpb.TaskProgress) []job.Progress {
	var progress []job.Progress
	for _, m := range ms {
		evidence := int(m.Crashes)
		if m.AllCrashes == 0 {
			evidence = 0 // of a build that doesn't assess crashes
		}
		progress = append(progress, job.Progress{
			Key: job.TaskKey{Step: int(m.Step), Index: int(m.Index)}, Done: m.Done, Failures: int(m.Failures), Run: m.Run,
			Crashes: int(max(m.Crashes, m.AllCrashes)), CrashedAt: m.CrashedAt, CrashEvidence: evidence, FailedRuns: m.FailedRuns, ActiveAt: m.Executor, ActiveFor: common.Microseconds(m.ActiveUs),
		})
	}
	return progress
}
