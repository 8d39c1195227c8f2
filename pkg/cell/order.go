package cell

import (
	"cmp"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Candidate is what an order may know of a queued job that has tasks to start.
type Candidate struct {
	Job      *job.Job
	Tier     int           // how good its answer can still be; lower is better
	WorkLeft int64         // estimated work of the tasks to start, in millicores x milliseconds
	Slack    time.Duration // time until it has to start to meet its objective; negative when it cannot
}

// Rank is the position of a job in the scheduling order: by Class, then by Cost; lower comes
// first.
type Rank struct {
	Class int
	Cost  float64
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Class, o.Class), cmp.Compare(r.Cost, o.Cost))
}

// Order decides whose tasks start first. Implementations are registered in Orders and selected by
// the setting order of [policy]. Each cell has its own Order, so that it may learn; calls are not
// concurrent.
type Order interface {
	// Observe records a job that has arrived.
	Observe(j *job.Job)
	// Rank returns the position of a job.
	Rank(s Candidate) Rank
}

// Orders has the constructors of all scheduling orders by name.
var Orders = kernel.NewRegistry[func() Order]("order")

func init() {
	Orders.Register("arrival", func() Order { return statelessOrder(byArrival) })
	Orders.Register("slack", func() Order { return statelessOrder(bySlack) })
	Orders.Register("least-work", func() Order { return statelessOrder(byLeastWork) })
	Orders.Register("priority", func() Order { return statelessOrder(byPriority) })
	Orders.Register("value", newValueOrder)
}

// statelessOrder is an Order that does not learn.
type statelessOrder func(s Candidate) Rank

// Observe implements Order.
func (o statelessOrder) Observe(*job.Job) {}

// Rank implements Order.
func (o statelessOrder) Rank(s Candidate) Rank { return o(s) }

// byArrival ranks jobs first come, first served.
func byArrival(s Candidate) Rank {
	return Rank{Cost: float64(s.Job.Received)}
}

// bySlack ranks jobs of the same tier by the time at which they have to start.
func bySlack(s Candidate) Rank {
	return Rank{Class: s.Tier, Cost: float64(s.Slack)}
}

// byLeastWork ranks small jobs first within a tier.
func byLeastWork(s Candidate) Rank {
	return Rank{Class: s.Tier, Cost: float64(s.WorkLeft)}
}

// byPriority ranks jobs by tier and configured priority, and small jobs first within these.
func byPriority(s Candidate) Rank {
	return Rank{Class: classOf(s), Cost: float64(s.WorkLeft)}
}

// classOf ranks by tier first and by priority within a tier: an urgent job that cannot meet its
// objective does not delay jobs that can.
func classOf(s Candidate) int {
	return s.Tier<<priorityBits + min(max(s.Job.Priority, 0), 1<<priorityBits-1)
}

// priorityBits limits the range of priorities.
const priorityBits = 16

// The value of a job to its caller is a linear function of its work relative to the mean of
// its route, up to a maximum.
const (
	baseValue       = 0.3 // of a job without work
	valueOfMeanWork = 0.7 // added for the mean work of the route
	maxValue        = 4.0
)

// valueOrder ranks jobs of the same class by the value per remaining work, both relative to the
// mean job of their route.
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
	routeMean := total
	if mean := o.meanWork[s.Job.Route]; mean != nil {
		routeMean = max(mean.value, 1)
	}
	value := min(baseValue+valueOfMeanWork*total/routeMean, maxValue)
	return Rank{Class: classOf(s), Cost: float64(s.WorkLeft) / routeMean / value}
}

// runningMean is an approximate mean of the last meanWindow values.
type runningMean struct {
	count int
	value float64
}

// meanWindow is the number of values that a runningMean covers. The work of the jobs of a route
// varies by a factor of four, so that a hundred of them give the mean to within a few percent.
const meanWindow = 100

func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (value - m.value) / float64(m.count)
}
