package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// BenchmarkOverloadedCell measures the time that a cell of 60 executors with 800 queued jobs
// spends on one task: its start, its end and the placement of the next one.
func BenchmarkOverloadedCell(b *testing.B) {
	const executors, queued = 60, 800
	now := time.Second
	c := New(DefaultParams(time.Second, testJobLease, 50*ms), 7, 0)
	c.MarkListComplete()
	var listed []catalog.Executor
	for i := range executors {
		listed = append(listed, testExecutor(i))
	}
	c.SetExecutors(listed, now)
	for i := range executors {
		c.HoldAnswered(testIncarnation(i), HoldResponse{Clock: time.Minute + now}, now, now)
	}
	jobs := 0
	refill := func() {
		for len(c.jobs) < queued {
			jobs++
			j := testJob(fmt.Sprintf("%016x", jobs), 4, now)
			j.Deadline = now + time.Hour
			c.Submit(Handover{Job: j, Epoch: 1, RenewedAt: now}, now)
		}
	}
	refill()
	number := int64(0)
	b.ResetTimer()
	for range b.N {
		now += 3 * ms
		commands, _, _ := c.TakeActions()
		for _, command := range commands {
			switch command.Kind {
			case Start:
				c.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, Accepted, time.Minute+now, now)
			case Hold:
				e := c.executors[command.Executor.Incarnation()]
				response := HoldResponse{Clock: time.Minute + now}
				for _, r := range e.sortedRuns() {
					if r.state != running {
						response.Running = append(response.Running, RunningTask{Task: r.name, Run: r.number})
						continue
					}
					number++
					response.Ended = append(response.Ended, EndedTask{Number: e.lastEndNumber + 1 + int64(len(response.Ended)), Task: r.name, Run: r.number})
				}
				c.HoldAnswered(command.Executor.Incarnation(), response, now-ms, now)
			}
		}
		if len(commands) == 0 {
			c.Tick(now)
		}
		refill()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(number, 1)), "ns/task")
}
