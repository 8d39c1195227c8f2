package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// Histograms hold ratios in thousandths and times in microseconds.
const (
	ratioScale   = 1000
	highestValue = int64(10 * time.Minute / time.Microsecond)
	digits       = 3
)

// Report is what a run measured. Slowdown is a job's response time over the
// time of its longest task. AgainstIdeal is the quantile of the slowdown over
// the same quantile with one clairvoyant queue; JobAgainstIdeal is the
// quantile of each job's own response over its ideal one, which is stricter.
// The clairvoyant queue serves the job with the fewest tasks first; AgainstFIFO
// compares with one that serves in order of arrival.
type Report struct {
	Scenario           string            `json:"scenario"`
	Policy             string            `json:"policy"`
	Load               float64           `json:"load"`
	Jobs               int               `json:"jobs"`
	Tasks              int               `json:"tasks"`
	Complete           int               `json:"complete"`
	Refused            int               `json:"refused"`
	MayHaveRun         int               `json:"may_have_run"`
	Goodput            float64           `json:"goodput"` // work of complete jobs over what the slots could do while jobs arrived
	SlowdownP50        float64           `json:"slowdown_p50"`
	SlowdownP99        float64           `json:"slowdown_p99"`
	AgainstFIFOP99     float64           `json:"against_fifo_p99"`
	AgainstIdealP50    float64           `json:"against_ideal_p50"`
	AgainstIdealP99    float64           `json:"against_ideal_p99"`
	JobAgainstIdealP50 float64           `json:"job_against_ideal_p50"`
	JobAgainstIdealP99 float64           `json:"job_against_ideal_p99"`
	ResponseP50MS      float64           `json:"response_p50_ms"`
	ResponseP99MS      float64           `json:"response_p99_ms"`
	Messages           map[string]uint64 `json:"messages"` // by kind
	WastedPerTask      float64           `json:"wasted_messages_per_task"`
	RefusedByKind      map[string]int    `json:"refused_by_kind"`
	MayHaveRunByKind   map[string]int    `json:"may_have_run_by_kind"`
	Resubmissions      int               `json:"resubmissions"`
	DoubleStarts       int               `json:"double_starts"`
	FalseNotRun        int               `json:"false_not_run"`
	CrossedOrPartial   int               `json:"crossed_or_partial"`
	Unserved           int               `json:"complete_without_start"`
	Groups             []Group           `json:"groups"`
	Sizes              []Group           `json:"sizes"` // by tasks in a job, in place of team and class

	slowdowns, ideals []float64 // sorted, of complete jobs, for the plot
}

// Group is the part of a report for a team and class, or for a job size.
type Group struct {
	Team          string  `json:"team,omitempty"`
	Class         string  `json:"class,omitempty"`
	Size          string  `json:"size,omitempty"`
	Jobs          int64   `json:"jobs"`
	SlowdownP50   float64 `json:"slowdown_p50"`
	SlowdownP99   float64 `json:"slowdown_p99"`
	ResponseP50MS float64 `json:"response_p50_ms"`
	ResponseP99MS float64 `json:"response_p99_ms"`
}

type histograms struct{ slowdown, response *hdrhistogram.Histogram }

func newHistograms() *histograms {
	return &histograms{
		slowdown: hdrhistogram.New(1, highestValue, digits),
		response: hdrhistogram.New(1, highestValue, digits),
	}
}

func (h *histograms) record(slowdown float64, response time.Duration) {
	_ = h.slowdown.RecordValue(min(highestValue, int64(slowdown*ratioScale)))
	_ = h.response.RecordValue(min(highestValue, response.Microseconds()))
}

func newReport(s *Scenario, policy string, arrivals []Arrival, results []ended) *Report {
	r := &Report{
		Scenario:         s.Name,
		Policy:           policy,
		Load:             s.Load,
		Jobs:             len(arrivals),
		Messages:         map[string]uint64{},
		RefusedByKind:    map[string]int{},
		MayHaveRunByKind: map[string]int{},
	}
	ideal, fifo := Ideal(arrivals, s.Slots, s.Latency, FewestFirst), Ideal(arrivals, s.Slots, s.Latency, FIFO)
	all, idealAll, fifoAll, perJob := newHistograms(), newHistograms(), newHistograms(), newHistograms()
	groups, sizes := map[Group]*histograms{}, map[Group]*histograms{}
	var work time.Duration
	for i := range arrivals {
		a, e := &arrivals[i], results[i]
		r.Tasks += len(a.Tasks)
		r.countOutcome(e)
		if e.outcome != once.Complete {
			continue
		}
		for _, task := range a.Tasks {
			work += task
		}
		slowdown, idealSlowdown := ratio(e.response, a.Longest()), ratio(ideal[i], a.Longest())
		all.record(slowdown, e.response)
		idealAll.record(idealSlowdown, ideal[i])
		fifoAll.record(ratio(fifo[i], a.Longest()), fifo[i])
		perJob.record(ratio(e.response, ideal[i]), e.response)
		recordGroup(groups, Group{Team: a.Team, Class: a.Class}, slowdown, e.response)
		recordGroup(sizes, Group{Size: sizeClass(len(a.Tasks))}, slowdown, e.response)
		r.slowdowns = append(r.slowdowns, slowdown)
		r.ideals = append(r.ideals, idealSlowdown)
	}
	sort.Float64s(r.slowdowns)
	sort.Float64s(r.ideals)
	r.Goodput = work.Seconds() / (s.Duration.Seconds() * float64(s.Slots))
	r.setQuantiles(all, idealAll, perJob)
	r.AgainstFIFOP99 = quotient(r.SlowdownP99, quantile(fifoAll.slowdown, 99))
	r.Groups, r.Sizes = summarize(groups), summarize(sizes)
	return r
}

// sizeClass names the power of four that a job's tasks do not exceed.
func sizeClass(tasks int) string {
	limit := 1
	for limit < tasks {
		limit *= 4
	}
	return fmt.Sprintf("up to %4d tasks", limit)
}

func recordGroup(groups map[Group]*histograms, key Group, slowdown float64, response time.Duration) {
	if groups[key] == nil {
		groups[key] = newHistograms()
	}
	groups[key].record(slowdown, response)
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 1
	}
	return float64(a) / float64(b)
}

func (r *Report) countOutcome(e ended) {
	if e.crossed {
		r.CrossedOrPartial++
	}
	if e.tries > 1 {
		r.Resubmissions += e.tries - 1
	}
	switch e.outcome {
	case once.Complete:
		r.Complete++
	case once.Refused:
		r.Refused++
		r.RefusedByKind[string(e.kind)]++
	default:
		r.MayHaveRun++
		r.MayHaveRunByKind[string(e.kind)]++
	}
}

func (r *Report) setQuantiles(all, ideal, perJob *histograms) {
	r.SlowdownP50, r.SlowdownP99 = quantile(all.slowdown, 50), quantile(all.slowdown, 99)
	r.AgainstIdealP50 = quotient(r.SlowdownP50, quantile(ideal.slowdown, 50))
	r.AgainstIdealP99 = quotient(r.SlowdownP99, quantile(ideal.slowdown, 99))
	r.JobAgainstIdealP50, r.JobAgainstIdealP99 = quantile(perJob.slowdown, 50), quantile(perJob.slowdown, 99)
	r.ResponseP50MS, r.ResponseP99MS = millis(all.response, 50), millis(all.response, 99)
}

func summarize(groups map[Group]*histograms) []Group {
	var list []Group
	for group, h := range groups {
		group.Jobs = h.slowdown.TotalCount()
		group.SlowdownP50, group.SlowdownP99 = quantile(h.slowdown, 50), quantile(h.slowdown, 99)
		group.ResponseP50MS, group.ResponseP99MS = millis(h.response, 50), millis(h.response, 99)
		list = append(list, group)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Team+list[i].Class+list[i].Size < list[j].Team+list[j].Class+list[j].Size
	})
	return list
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// addCounts works out the messages. The least that a job needs is its request
// and answer, and two messages a task.
func (r *Report) addCounts(before, after counts, callerRequests uint64, arrivals []Arrival) {
	for incarnation, classes := range after.peers {
		for class, n := range classes {
			r.Messages[class] += n - before.peers[incarnation][class]
		}
	}
	r.Messages["caller"] = 2 * callerRequests
	r.Messages["target"] = 2 * (after.targets.Requests - before.targets.Requests)
	total := uint64(0)
	for _, n := range r.Messages {
		total += n
	}
	least := uint64(2 * len(arrivals))
	least += 2 * (after.targets.Starts - before.targets.Starts)
	r.WastedPerTask = quotient(float64(total)-float64(least), float64(r.Tasks))
	r.DoubleStarts = int(after.targets.Doubles - before.targets.Doubles)
}

func (r *Report) checkStarts(e ended, starts uint32) {
	switch e.outcome {
	case once.Refused:
		if starts > 0 {
			r.FalseNotRun++
		}
	case once.Complete:
		if starts == 0 {
			r.Unserved++
		}
	case once.Failed, once.Unknown:
	}
}

// Broken returns an error when a promise was broken during the run.
func (r *Report) Broken() error {
	if r.DoubleStarts+r.FalseNotRun+r.CrossedOrPartial+r.Unserved == 0 {
		return nil
	}
	return errkind.New(errkind.Internal, "report it with the scenario and the hosts' logs",
		"%d double starts, %d false not run, %d crossed or partial answers, %d complete without a start", r.DoubleStarts, r.FalseNotRun, r.CrossedOrPartial, r.Unserved)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "scenario %s, policy %s, load %.2f\n", r.Scenario, r.Policy, r.Load)
	fmt.Fprintf(table, "jobs\t%d\tcomplete %d, refused %d, may have run %d, resubmissions %d\n", r.Jobs, r.Complete, r.Refused, r.MayHaveRun, r.Resubmissions)
	fmt.Fprintf(table, "refused\t%v\tmay have run %v\n", r.RefusedByKind, r.MayHaveRunByKind)
	fmt.Fprintf(table, "goodput\t%.3f\t\n", r.Goodput)
	fmt.Fprintf(table, "slowdown\tp50 %.3f\tp99 %.3f\n", r.SlowdownP50, r.SlowdownP99)
	fmt.Fprintf(table, "against ideal\tp50 %.3f\tp99 %.3f\n", r.AgainstIdealP50, r.AgainstIdealP99)
	fmt.Fprintf(table, "each job against ideal\tp50 %.3f\tp99 %.3f\n", r.JobAgainstIdealP50, r.JobAgainstIdealP99)
	fmt.Fprintf(table, "messages\t%v\t\n", r.Messages)
	fmt.Fprintf(table, "wasted messages a task\t%.4f\t\n", r.WastedPerTask)
	fmt.Fprintf(table, "double starts %d\tfalse not run %d\tcrossed or partial %d\n", r.DoubleStarts, r.FalseNotRun, r.CrossedOrPartial)
	for _, g := range append(append([]Group(nil), r.Groups...), r.Sizes...) {
		fmt.Fprintf(table, "%s %s %s\t%d jobs\tslowdown p50 %.3f p99 %.3f, response p50 %.1f ms p99 %.1f ms\n", g.Team, g.Class, g.Size, g.Jobs, g.SlowdownP50, g.SlowdownP99, g.ResponseP50MS, g.ResponseP99MS)
	}
}
