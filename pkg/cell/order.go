package cell

import (
	"cmp"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Candidate is what an order may know of a job that has tasks to start.
type Candidate struct {
	Job      *job.Job
	Tier     int           // how good its answer can still be; the lower the better
	WorkLeft int64         // estimate of the tasks to start, in thousandths of a core x milliseconds
	Slack    time.Duration // until it has to start to make its objective; negative when it can't
}

// Rank places a job among others: the lower comes first, by Class and then by
// Cost.
type Rank struct {
	Class int
	Cost  float64
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Class, o.Class), cmp.Compare(r.Cost, o.Cost))
}

// Order decides whose tasks start first. Orders register themselves in Orders
// and are named by the setting order of [policy]. A cell has an Order of its
// own, so that it may learn; calls come one at a time.
type Order interface {
	// Observe takes a job that has come.
	Observe(j *job.Job)
	// Rank places a job.
	Rank(s Candidate) Rank
}

// Orders are the orders that there are. A plug-in makes an order for one cell.
var Orders = kernel.NewRegistry[func() Order]("order")

func init() {
	Orders.Register("arrival", func() Order { return statelessOrder(byArrival) })
	Orders.Register("slack", func() Order { return statelessOrder(bySlack) })
	Orders.Register("least-work", func() Order { return statelessOrder(byLeastWork) })
	Orders.Register("priority", func() Order { return statelessOrder(byPriority) })
	Orders.Register("value", newValueOrder)
}

// statelessOrder is an order that learns nothing.
type statelessOrder func(s Candidate) Rank

// Observe implements Order.
func (o statelessOrder) Observe(*job.Job) {}

// Rank implements Order.
func (o statelessOrder) Rank(s Candidate) Rank { return o(s) }

// byArrival is first come, first served.
func byArrival(s Candidate) Rank {
	return Rank{Cost: float64(s.Job.Received)}
}

// bySlack starts first what has to start first, among jobs that can be as good.
func bySlack(s Candidate) Rank {
	return Rank{Class: s.Tier, Cost: float64(s.Slack)}
}

// byLeastWork starts small jobs first, among jobs that can be as good.
func byLeastWork(s Candidate) Rank {
	return Rank{Class: s.Tier, Cost: float64(s.WorkLeft)}
}

// byPriority is byLeastWork within the priorities of the configuration.
func byPriority(s Candidate) Rank {
	return Rank{Class: classOf(s), Cost: float64(s.WorkLeft)}
}

// classOf ranks tiers first and priorities within them: an urgent job that is
// too late for its objective doesn't hold up others that can make theirs.
func classOf(s Candidate) int {
	return s.Tier<<priorityBits + min(max(s.Job.Priority, 0), 1<<priorityBits-1)
}

// priorityBits bound the priorities that are told apart.
const priorityBits = 16

// A job's value to its caller grows with its work, less than in proportion: the
// users' accounting of a job's worth, in shares of the route's mean.
const (
	baseValue       = 0.3 // of a job without work
	valueOfMeanWork = 0.7 // of a mean job's work
	maxValue        = 4.0
)

// valueOrder starts first, within a priority, the jobs that are worth the most
// for the work that is left of them, both measured against the usual job of the
// same route.
type valueOrder struct {
	meanWork byRoute[runningMean] // work of a job, by route
}

func newValueOrder() Order {
	return &valueOrder{meanWork: byRoute[runningMean]{}}
}

// Observe implements Order.
func (o *valueOrder) Observe(j *job.Job) {
	o.meanWork.of(j.Route).add(float64(j.Work()))
}

// Rank implements Order.
func (o *valueOrder) Rank(s Candidate) Rank {
	total := float64(max(s.Job.Work(), 1))
	usual := total
	if mean := o.meanWork[s.Job.Route]; mean != nil {
		usual = max(mean.value, 1)
	}
	value := min(baseValue+valueOfMeanWork*total/usual, maxValue)
	return Rank{Class: classOf(s), Cost: float64(s.WorkLeft) / usual / value}
}

// runningMean is the mean of the last values, more or less.
type runningMean struct {
	count int
	value float64
}

// meanWindow is the number of values that a runningMean looks back over: the
// jobs of a route differ by a factor of four, so that a hundred of them tell the
// mean to some percent.
const meanWindow = 100

func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (value - m.value) / float64(m.count)
}
