// Package spread reads the logs of the hosts of an installation and says how long news
// takes to reach all of them, and what their links carry by purpose.
package spread

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/foxcroft/foxcroft/pkg/joblog"
	"github.com/pkg/errors"
)

// longestSpread bounds how long after the first host another one still counts as reached by
// the same news: a later one has started since, or was cut off.
const longestSpread = 15 * time.Second

// event is a line that tells of news, or of what a link carries in bytes a second.
type event struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Node     string    `json:"node"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	rates

	Cells     int  `json:"cells"`
	Hub       bool `json:"hub"`
	ReadsList bool `json:"reads_list"`
}

// rates are bytes a second by purpose.
type rates struct {
	StoreIn      int64 `json:"store_in"`
	StoreOut     int64 `json:"store_out"`
	PeersIn      int64 `json:"peers_in"`
	PeersOut     int64 `json:"peers_out"`
	News         int64 `json:"peers_news_bytes"`
	Control      int64 `json:"peers_control_bytes"`
	ExecutorsIn  int64 `json:"executors_in"`
	ExecutorsOut int64 `json:"executors_out"`
	CallersIn    int64 `json:"callers_in"`
	CallersOut   int64 `json:"callers_out"`
}

// purposes are the rates that a report tells, with their names.
var purposes = []struct {
	name string
	of   func(r *rates) int64
}{
	{name: "store in", of: func(r *rates) int64 { return r.StoreIn }},
	{name: "store out", of: func(r *rates) int64 { return r.StoreOut }},
	{name: "peers in", of: func(r *rates) int64 { return r.PeersIn }},
	{name: "peers out", of: func(r *rates) int64 { return r.PeersOut }},
	{name: "of it news", of: func(r *rates) int64 { return r.News }},
	{name: "of it control", of: func(r *rates) int64 { return r.Control }},
	{name: "executors in", of: func(r *rates) int64 { return r.ExecutorsIn }},
	{name: "executors out", of: func(r *rates) int64 { return r.ExecutorsOut }},
	{name: "callers in", of: func(r *rates) int64 { return r.CallersIn }},
	{name: "callers out", of: func(r *rates) int64 { return r.CallersOut }},
}

// role is what a host does beside serving callers.
type role string

// The roles, the one with the most work first: a host of several counts as the first.
const (
	reader role = "reader"
	owner  role = "owner"
	hub    role = "hub"
	other  role = "other"
)

var roles = []role{reader, owner, hub, other}

func (e *event) role() role {
	switch {
	case e.ReadsList:
		return reader
	case e.Cells > 0:
		return owner
	case e.Hub:
		return hub
	}
	return other
}

// Report is what the lines tell.
type Report struct {
	configurations map[uint64]map[string]time.Time // by version and host: in force there
	lists          map[uint64]map[string]time.Time // by revision and host: passed on to it
	carried        map[role][]rates
}

// NewReport makes an empty report.
func NewReport() *Report {
	return &Report{configurations: map[uint64]map[string]time.Time{}, lists: map[uint64]map[string]time.Time{}, carried: map[role][]rates{}}
}

// Read takes a log in.
func (r *Report) Read(log io.Reader) error {
	return joblog.Lines(log, "", func(line []byte) {
		e := &event{}
		if json.Unmarshal(line, e) == nil {
			r.take(e)
		}
	})
}

func (r *Report) take(e *event) {
	switch e.Message {
	case "configuration_in_force":
		note(r.configurations, e.Version, e)
	case "executors_passed_on":
		note(r.lists, e.Revision, e)
	case "traffic":
		r.carried[e.role()] = append(r.carried[e.role()], e.rates)
	}
}

// note keeps when a host first had some news.
func note(news map[uint64]map[string]time.Time, number uint64, e *event) {
	if news[number] == nil {
		news[number] = map[string]time.Time{}
	}
	if known, ok := news[number][e.Node]; !ok || e.Time.Before(known) {
		news[number][e.Node] = e.Time
	}
}

// delays are how long after the first host the others had news.
type delays struct {
	hosts  int
	middle time.Duration
	late   time.Duration // 99 of 100 had it by then
	last   time.Duration
}

// delaysOf works the delays of news out.
func delaysOf(byHost map[string]time.Time) delays {
	var first time.Time
	for _, at := range byHost {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var after []time.Duration
	for _, at := range byHost {
		if d := at.Sub(first); d <= longestSpread {
			after = append(after, d)
		}
	}
	slices.Sort(after)
	at := func(hundredths int) time.Duration { return after[(len(after)-1)*hundredths/100] }
	return delays{hosts: len(after), middle: at(50), late: at(99), last: after[len(after)-1]}
}

// Write prints the delays of all news, and the rates by role.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "news\thosts\tmiddle ms\t99 of 100\tlast\t")
	writeNews(table, "configuration", r.configurations)
	writeNews(table, "list", r.lists)
	fmt.Fprintln(table)
	fmt.Fprint(table, "bytes a second, middle / most\t")
	for _, role := range roles {
		fmt.Fprintf(table, "%s\t", role)
	}
	fmt.Fprintln(table)
	for _, purpose := range purposes {
		fmt.Fprintf(table, "%s\t", purpose.name)
		for _, role := range roles {
			fmt.Fprintf(table, "%s\t", middleAndMost(r.carried[role], purpose.of))
		}
		fmt.Fprintln(table)
	}
	return errors.Wrap(table.Flush(), "write the report")
}

// writeNews prints the news that reached several hosts, the oldest first.
func writeNews(w io.Writer, name string, news map[uint64]map[string]time.Time) {
	var numbers []uint64
	for number, byHost := range news {
		if len(byHost) > 1 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		d := delaysOf(news[number])
		fmt.Fprintf(w, "%s %d\t%d\t%d\t%d\t%d\t\n", name, number, d.hosts, d.middle.Milliseconds(), d.late.Milliseconds(), d.last.Milliseconds())
	}
}

// middleAndMost returns the middle and the largest of some rates.
func middleAndMost(carried []rates, of func(r *rates) int64) string {
	if len(carried) == 0 {
		return "-"
	}
	var values []int64
	for i := range carried {
		values = append(values, of(&carried[i]))
	}
	slices.Sort(values)
	return fmt.Sprintf("%d / %d", values[len(values)/2], values[len(values)-1])
}
