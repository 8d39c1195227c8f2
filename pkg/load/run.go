package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
)

const progressEvery = 5 * time.Second

// Options say where to drive a scenario.
type Options struct {
	Entries  []string // addresses of entry hosts; callers are spread as a balancer would
	Controls []string // addresses of the stand-in targets' controls
	Direct   bool     // callers submit to their home's primary
	Attempt  time.Duration
	Policy   string    // label for the report
	Progress io.Writer // one line now and then; nil for none
}

// ended is how a job ended.
type ended struct {
	outcome  once.Outcome
	kind     errkind.Kind
	response time.Duration
	tries    int
	crossed  bool // complete, but with another job's or a partial answer
}

// Run submits a scenario's arrivals, waits for all answers and reports.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	before, err := takeCounts(ctx, o)
	if err != nil {
		return nil, err
	}
	arrivals := s.Arrivals(fmt.Sprintf("%x", time.Now().UnixNano()))
	callers := client.New(client.Options{Entries: o.Entries, Direct: o.Direct, Attempt: o.Attempt})
	results := submitAll(ctx, s, callers, arrivals, o.Progress)
	after, err := takeCounts(ctx, o)
	if err != nil {
		return nil, err
	}
	report := newReport(s, o.Policy, arrivals, results)
	report.addCounts(before, after, callers.Sent(), arrivals)
	return report, report.verifyStarts(ctx, o.Controls, arrivals, results)
}

func submitAll(ctx context.Context, s *Scenario, callers *client.Client, arrivals []Arrival, progress io.Writer) []ended {
	results := make([]ended, len(arrivals))
	var wait sync.WaitGroup
	var done atomic.Int64
	stop := reportProgress(progress, &done, len(arrivals))
	defer stop()
	began := time.Now()
	for i := range arrivals {
		if !common.Sleep(ctx, time.Until(began.Add(arrivals[i].At))) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = submitOne(ctx, s, callers, &arrivals[i])
			done.Add(1)
		}()
	}
	wait.Wait()
	return results
}

func reportProgress(w io.Writer, done *atomic.Int64, jobs int) func() {
	if w == nil {
		return func() {}
	}
	ticker := time.NewTicker(progressEvery)
	go func() {
		for range ticker.C {
			fmt.Fprintf(w, "%d of %d jobs ended\n", done.Load(), jobs)
		}
	}()
	return ticker.Stop
}

func submitOne(ctx context.Context, s *Scenario, callers *client.Client, a *Arrival) ended {
	tasks := make([]json.RawMessage, len(a.Tasks))
	for i, task := range a.Tasks {
		work := targetd.Work{Millis: float64(task) / float64(time.Millisecond), Echo: echoOf(a, i)}
		tasks[i], _ = json.Marshal(work) // a struct of numbers and text never fails
	}
	began := time.Now()
	time.Sleep(s.Latency)
	result, err := callers.Submit(ctx, client.Job{
		Service: s.Service, Team: a.Team, Class: a.Class, Deadline: s.Deadline, Tasks: tasks, Part: a.Part,
	})
	time.Sleep(s.Latency)
	e := ended{response: time.Since(began)}
	if err != nil {
		e.outcome, e.kind = once.Unknown, errkind.Of(err)
		if jobError, ok := err.(*client.JobError); ok {
			e.outcome = jobError.Outcome
		}
		return e
	}
	e.outcome, e.tries = once.Complete, result.Tries
	e.crossed = len(result.Results) != len(a.Tasks)
	for i, output := range result.Results {
		e.crossed = e.crossed || string(output) != echoOf(a, i)
	}
	return e
}

func echoOf(a *Arrival, index int) string { return startKey(a, index) }

// startKey is the key under which the stand-in targets count a task.
func startKey(a *Arrival, index int) string { return fmt.Sprintf("%s/%d", a.Part, index) }
