package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// Room in another cell is granted to as many jobs as fit there, until its owner can have reported them.
func TestRoomInOtherCellsIsGrantedOnce(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	o := newOwner(n, "z", 1, 0)
	load := func(free int64) ownership.Load {
		return ownership.Load{Ready: true, Services: []string{"s"}, CapacityCPU: 1000, FreeCPU: free}
	}
	idle := []ownership.Claim{{Cell: "y", Load: load(500)}, {Cell: "x", Load: load(1000)}}
	asking := func(service string, tasks int, cpu int64) *job.Job {
		return &job.Job{Service: service, Steps: []job.Step{{Count: tasks, Needs: job.Resources{CPU: cpu}}, {Count: 9, Needs: job.Resources{CPU: cpu}, After: []int{0}}}}
	}
	c.Assert(o.grantRoom(idle, asking("other", 1, 100), 0), qt.IsFalse)
	c.Assert(o.grantRoom(idle, asking("s", 4, 100), 0), qt.IsTrue)
	c.Assert(o.grantRoom(idle, asking("s", 30, 100), 0), qt.IsTrue, qt.Commentf("a job that is too large for any cell runs in an empty one"))
	c.Assert(o.grantRoom(idle, asking("s", 4, 100), time.Second), qt.IsFalse)
	c.Assert(o.grantRoom(idle, asking("s", 1, 100), time.Second), qt.IsTrue, qt.Commentf("it fits beside the first one"))
}
