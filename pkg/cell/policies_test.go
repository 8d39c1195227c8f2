package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// rankedJob returns a job of a route with a number of tasks of 200 ms.
func rankedJob(id, route string, priority, tasks int, received time.Duration) *job.Job {
	j := testJob(id, tasks, received)
	j.Route, j.Priority = route, priority
	return j
}

// observeUsualJobs lets an order observe a usual job of four tasks on each route.
func observeUsualJobs(order Order, routes ...string) {
	for _, route := range routes {
		order.Observe(rankedJob("usual", route, 0, 4, 0))
	}
}

func TestOrders(t *testing.T) {
	type scenario struct {
		testName string
		order    string
		first    *job.Job
		second   *job.Job
	}
	late := func(j *job.Job) *job.Job {
		j.Stretch, j.Target = 0, ms
		return j
	}
	scenarios := []scenario{
		{testName: "arrival: the earlier one", order: "arrival", first: rankedJob("b", "r", 5, 8, 0), second: rankedJob("a", "r", 0, 1, ms)},
		{testName: "slack: the one that has to start first", order: "slack", first: rankedJob("b", "r", 0, 8, 0), second: rankedJob("a", "r", 0, 1, ms)},
		{testName: "slack: one in time before a late one", order: "slack", first: rankedJob("b", "r", 0, 8, 10*ms), second: late(rankedJob("a", "r", 0, 1, 0))},
		{testName: "least work: the smaller one", order: "least-work", first: rankedJob("b", "r", 5, 1, ms), second: rankedJob("a", "r", 0, 2, 0)},
		{testName: "priority: the more urgent one", order: "priority", first: rankedJob("b", "r", 0, 8, ms), second: rankedJob("a", "s", 1, 1, 0)},
		{testName: "priority: the smaller of equal ones", order: "priority", first: rankedJob("b", "r", 1, 1, ms), second: rankedJob("a", "s", 1, 8, 0)},
		{testName: "priority: one in time before an urgent late one", order: "priority", first: rankedJob("b", "r", 3, 8, 0), second: late(rankedJob("a", "s", 0, 1, 0))},
		{testName: "value: the more urgent one", order: "value", first: rankedJob("b", "r", 0, 8, ms), second: rankedJob("a", "s", 1, 1, 0)},
		{testName: "value: the smaller one of a route", order: "value", first: rankedJob("b", "r", 0, 2, ms), second: rankedJob("a", "r", 0, 8, 0)},
		{testName: "value: a job of a new route counts as a usual one", order: "value", first: rankedJob("b", "r", 0, 3, ms), second: rankedJob("a", "new", 0, 1, 0)},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			makeOrder, err := Orders.Get(s.order)
			c.Assert(err, qt.IsNil)
			order := makeOrder()
			observeUsualJobs(order, "r", "s")
			candidate := func(j *job.Job) Candidate {
				return newJobState(Handover{Job: j, Epoch: 1}, newTaskTimes(), 0).candidate(0)
			}
			c.Assert(order.Rank(candidate(s.first)).compare(order.Rank(candidate(s.second))) < 0, qt.IsTrue)
		})
	}
}

// The mean of a route follows its jobs, so that the same job ranks as a large one among small
// jobs and as a small one among large jobs.
func TestValueOrderLearnsTheUsualJobOfARoute(t *testing.T) {
	c := qt.New(t)
	order := newValueOrder()
	cost := func() float64 {
		return order.Rank(newJobState(Handover{Job: rankedJob("a", "r", 0, 4, 0), Epoch: 1}, newTaskTimes(), 0).candidate(0)).Cost
	}
	order.Observe(rankedJob("s", "r", 0, 1, 0))
	amongSmall := cost()
	for range 10 * meanWindow {
		order.Observe(rankedJob("l", "r", 0, 16, 0))
	}
	c.Assert(cost() < amongSmall, qt.IsTrue)
}

func TestValueOrderForgetsRoutesBeyondItsBound(t *testing.T) {
	c := qt.New(t)
	order := &valueOrder{meanWork: byRoute[runningMean]{}}
	for i := range 3 * maxRoutes {
		order.Observe(rankedJob("a", "route"+time.Duration(i).String(), 0, 1, 0))
	}
	c.Assert(len(order.meanWork) <= maxRoutes, qt.IsTrue)
}
