package job

import (
	"errors"
	"time"
)

// Upper bounds for a job.
const (
	MaxTasks  = 100_000
	MaxFigure = 1_000_000_000 // of a resource that a task needs, and of its estimate in milliseconds
)

// Check returns why a job that another program has written can't be carried out, or nil. Callers'
// jobs are within its bounds.
func (j *Job) Check() error {
	if j.ID == "" || len(j.Steps) == 0 {
		return errors.New("the job has no id or no steps")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	switch {
	case tasks > MaxTasks:
		return errors.New("the job has too many tasks")
	case j.IsPart() && (len(j.Steps) > 1 || j.Part.First < 0 || j.Part.Of > MaxTasks || j.Part.First > j.Part.Of-tasks):
		return errors.New("the part has tasks that the job lacks")
	case !(j.Stretch >= 0 && j.Stretch <= MaxFigure):
		return errors.New("the stretch is out of range")
	}
	return nil
}

// check returns why the step with an index can't be carried out, or nil.
func (s *Step) check(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return errors.New("a step has a count below 1 or too many tasks")
	}
	for _, figure := range []int64{s.Needs.CPU, s.Needs.MemoryMB, s.Needs.GPU, int64(s.Estimate / time.Millisecond)} {
		if figure < 0 || figure > MaxFigure {
			return errors.New("a step has a negative figure or one that is too large")
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return errors.New("a step comes after one that is not before it")
		}
	}
	return nil
}
