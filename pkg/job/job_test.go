package job

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func wideJob() *Job {
	return &Job{ID: "a", Stretch: 2, Target: time.Second, Steps: []Step{{Count: 7, Needs: Resources{CPU: 10}, Estimate: 100 * time.Millisecond}}}
}

func TestPartsUseTheTaskNamesOfTheParentJob(t *testing.T) {
	c := qt.New(t)
	parent := wideJob()
	parts := parent.Split([]int{4, 3})
	c.Assert(parts, qt.HasLen, 2)
	c.Assert(parts[0].ID != parts[1].ID && parts[0].ID != parent.ID, qt.IsTrue)
	c.Assert(parts[1].WholeID(), qt.Equals, "a")
	c.Assert(parts[1].TaskCount(), qt.Equals, 3)
	c.Assert(parts[1].Part.First, qt.Equals, 4)
	c.Assert(parts[1].TaskName(TaskKey{Index: 4}), qt.Equals, parent.TaskName(TaskKey{Index: 4}))
	c.Assert(parts[1].Work(), qt.Equals, parent.Work(), qt.Commentf("a part reports the work of its parent job"))
	c.Assert(parent.Steps[0].Count, qt.Equals, 7, qt.Commentf("Split does not change the parent job"))
}

func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	c := qt.New(t)
	j := wideJob()
	j.Steps = append(j.Steps, Step{Count: 1, Estimate: 50 * time.Millisecond, After: []int{0}}, Step{Count: 1, Estimate: 120 * time.Millisecond})
	c.Assert(j.LongestChain(), qt.Equals, 150*time.Millisecond)
	c.Assert(j.Objective(j.LongestChain()), qt.Equals, 1300*time.Millisecond)
}
