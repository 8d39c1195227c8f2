package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	"github.com/foxcroft/foxcroft/pkg/target"
)

// OverheadOptions say what Overhead measures.
type OverheadOptions struct {
	Entry   string // address of the one entry host
	Target  string // address of a target that it uses
	Service string
	Team    string
	Rounds  int           // of a call straight to the target and one through the host
	Task    time.Duration // own time of the measured tasks
	Batches int           // jobs of empty tasks, for the cost of a task
	Tasks   int           // in each
	Callers int           // that submit them at once
}

// OverheadReport is what an entry host adds to a call, and what a task costs.
type OverheadReport struct {
	StraightP50MS  float64 `json:"straight_p50_ms"`
	StraightP99MS  float64 `json:"straight_p99_ms"`
	ThroughP50MS   float64 `json:"through_p50_ms"`
	ThroughP99MS   float64 `json:"through_p99_ms"`
	RatioP50       float64 `json:"ratio_p50"`
	RatioP99       float64 `json:"ratio_p99"`
	EmptyTasks     int     `json:"empty_tasks"`
	TasksPerCore   float64 `json:"empty_tasks_a_second_a_core"` // of the entry host's processor time
	TasksPerSecond float64 `json:"empty_tasks_a_second"`
}

// Overhead measures calls straight to a target and through an entry host, in
// turn, and then the processor time that empty tasks take.
func Overhead(ctx context.Context, o OverheadOptions) (*OverheadReport, error) {
	callers := client.New(client.Options{Entries: []string{o.Entry}})
	straight, through := newTimes(), newTimes()
	for round := range o.Rounds {
		if err := timed(straight, func() error { return callTarget(ctx, o, round) }); err != nil {
			return nil, err
		}
		if err := timed(through, func() error { return submitTasks(ctx, callers, o, 1, o.Task) }); err != nil {
			return nil, err
		}
	}
	report := &OverheadReport{
		StraightP50MS: millis(straight, 50), StraightP99MS: millis(straight, 99),
		ThroughP50MS: millis(through, 50), ThroughP99MS: millis(through, 99),
	}
	report.RatioP50 = quotient(report.ThroughP50MS, report.StraightP50MS)
	report.RatioP99 = quotient(report.ThroughP99MS, report.StraightP99MS)
	return report, report.measureCost(ctx, callers, o)
}

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestValue, digits) }

func timed(times *hdrhistogram.Histogram, do func() error) error {
	began := time.Now()
	if err := do(); err != nil {
		return err
	}
	return times.RecordValue(time.Since(began).Microseconds())
}

func payload(task time.Duration) []byte {
	body, _ := json.Marshal(targetd.Work{Millis: float64(task) / float64(time.Millisecond)}) // never fails
	return body
}

func callTarget(ctx context.Context, o OverheadOptions, round int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Target+target.RunPath, bytes.NewReader(payload(o.Task)))
	if err != nil {
		return err
	}
	request.Header.Set(target.HeaderTask, fmt.Sprintf("straight~%d/0", round))
	request.Header.Set(target.HeaderAttempt, "straight")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.TargetLost, "check that the target runs", "target %s does not answer", o.Target)
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func submitTasks(ctx context.Context, callers *client.Client, o OverheadOptions, tasks int, task time.Duration) error {
	payloads := make([]json.RawMessage, tasks)
	for i := range payloads {
		payloads[i] = payload(task)
	}
	_, err := callers.Submit(ctx, client.Job{Service: o.Service, Team: o.Team, Tasks: payloads})
	return err
}

func (r *OverheadReport) measureCost(ctx context.Context, callers *client.Client, o OverheadOptions) error {
	before, err := cpuSeconds(ctx, o.Entry)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := submitBatches(ctx, callers, o); err != nil {
		return err
	}
	elapsed := time.Since(began)
	after, err := cpuSeconds(ctx, o.Entry)
	if err != nil {
		return err
	}
	r.EmptyTasks = o.Batches * o.Tasks
	r.TasksPerCore = quotient(float64(r.EmptyTasks), after-before)
	r.TasksPerSecond = quotient(float64(r.EmptyTasks), elapsed.Seconds())
	return nil
}

func submitBatches(ctx context.Context, callers *client.Client, o OverheadOptions) error {
	work := make(chan struct{}, o.Batches)
	for range o.Batches {
		work <- struct{}{}
	}
	close(work)
	failures := make(chan error, o.Callers)
	var wait sync.WaitGroup
	for range o.Callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range work {
				if err := submitTasks(ctx, callers, o, o.Tasks, 0); err != nil {
					failures <- err
					return
				}
			}
		}()
	}
	wait.Wait()
	close(failures)
	return <-failures
}

func cpuSeconds(ctx context.Context, entry string) (float64, error) {
	var status jobapi.HostStatus
	err := getJSON(ctx, "http://"+entry+jobapi.PathStatus, &status)
	return status.CPUSeconds, err
}
