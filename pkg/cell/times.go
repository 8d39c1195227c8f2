package cell

import (
	"math"
	"time"
)

// Callers' estimates are rough, with errors of a factor of 1.7 on the users' deployments, and
// biased: low ones tend to be too low, high ones too high. The expected time of a task is
// therefore predicted from the times of earlier tasks by a linear regression of the logarithms of
// time and estimate, for each route.
const (
	minSamples    = 20   // with fewer the estimate is used as it is
	sampleWindow  = 2000 // number of samples that the regression covers
	outlierFactor = 3.0  // samples are limited to this factor of the expected time
	minSpread     = 1e-4 // variance of the logarithms of estimates below which they count as equal
)

// taskTimes predicts how long tasks take. It is not safe for concurrent use.
type taskTimes struct {
	routes byRoute[timeRegression]
}

func newTaskTimes() *taskTimes { return &taskTimes{routes: byRoute[timeRegression]{}} }

// observe records the time of a completed task.
func (t *taskTimes) observe(route string, estimate, took time.Duration) {
	t.routes.of(route).add(logTime(estimate), logTime(took))
}

// expect returns the expected time of a task.
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

// timeRegression is an approximate regression line through the last sampleWindow samples.
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

// at returns the line's value. Its slope is limited to the range from 0 (estimates have no
// information) to 1 (estimates are off by a constant factor).
func (l *timeRegression) at(x float64) float64 {
	slope := 0.0
	if l.varX > minSpread {
		slope = min(max(l.covXY/l.varX, 0), 1)
	}
	return l.meanY + slope*(x-l.meanX)
}
