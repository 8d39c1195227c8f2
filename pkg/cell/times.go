package cell

import (
	"math"
	"time"
)

// Callers' estimates are rough: on the users' deployments a job's true time
// differs from its estimate by a factor of 1.7, and jobs with low estimates take
// longer than these, those with high ones shorter. So the time of a task is
// expected from the times that tasks with like estimates took: a line through
// the logarithms, by route.
const (
	minSamples    = 20   // times before which the estimate stands as it is
	sampleWindow  = 2000 // times that the line looks back over; a cell ends some hundred tasks a second
	outlierFactor = 3.0  // of the expected time; a longer or shorter one counts as that much
	minSpread     = 1e-4 // of logarithms: estimates that differ less are all the same
)

// taskTimes learns how long tasks take. It isn't safe for concurrent use.
type taskTimes struct {
	routes byRoute[timeRegression]
}

func newTaskTimes() *taskTimes { return &taskTimes{routes: byRoute[timeRegression]{}} }

// observe takes the time of a task that ended well.
func (t *taskTimes) observe(route string, estimate, took time.Duration) {
	t.routes.of(route).add(logTime(estimate), logTime(took))
}

// expect returns how long a task should take.
func (t *taskTimes) expect(route string, estimate time.Duration) time.Duration {
	line := t.routes[route]
	if line == nil || line.count < minSamples {
		return estimate
	}
	return time.Duration(math.Exp(line.at(logTime(estimate))) * float64(time.Millisecond))
}

func logTime(d time.Duration) float64 {
	return math.Log(max(d.Seconds()*1000, 1))
}

// timeRegression is a regression line through the last points, more or less.
type timeRegression struct {
	count        int
	meanX, meanY float64
	varX, covXY  float64
}

func (l *timeRegression) add(x, y float64) {
	if l.count >= minSamples {
		expected := l.at(x)
		y = min(max(y, expected-math.Log(outlierFactor)), expected+math.Log(outlierFactor))
	}
	l.count = min(l.count+1, sampleWindow)
	weight := 1 / float64(l.count)
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += weight * dx
	l.meanY += weight * dy
	l.varX += weight * ((1-weight)*dx*dx - l.varX)
	l.covXY += weight * ((1-weight)*dx*dy - l.covXY)
}

// at returns the line's value. Its slope is kept between 0, where estimates tell
// nothing, and 1, where they are off by a factor only.
func (l *timeRegression) at(x float64) float64 {
	slope := 0.0
	if l.varX > minSpread {
		slope = min(max(l.covXY/l.varX, 0), 1)
	}
	return l.meanY + slope*(x-l.meanX)
}
