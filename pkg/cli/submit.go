package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	"github.com/google/subcommands"
)

type submitCommand struct {
	entries  string
	service  string
	team     string
	class    string
	deadline time.Duration
	tasks    int
	millis   float64
	json     bool
}

func (*submitCommand) Name() string     { return "submit" }
func (*submitCommand) Synopsis() string { return "submit a job and print its whole answer" }
func (*submitCommand) Usage() string {
	return `foxcroft submit -entries ADDRESSES -service NAME -team NAME [flags] [TASK ...]
  Submit a job whose tasks are the JSON values given, or -tasks tasks for the
  stand-in targets, and print the whole answer.
  Example: foxcroft submit -entries 127.0.0.11:8080 -service formula-desk -team counters -tasks 5 -ms 50
  Example: foxcroft submit -entries 127.0.0.11:8080 -service formula-desk -team counters '{"ms":50,"echo":"ochre"}'
`
}

func (c *submitCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "`addresses` of entry hosts or the balancer, parted by commas")
	f.StringVar(&c.service, "service", "", "the service")
	f.StringVar(&c.team, "team", "", "the team")
	f.StringVar(&c.class, "class", "", "the class of work")
	f.DurationVar(&c.deadline, "deadline", 10*time.Second, "how long the answer may take")
	f.IntVar(&c.tasks, "tasks", 1, "number of tasks for the stand-in targets")
	f.Float64Var(&c.millis, "ms", 50, "milliseconds that each of them takes")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

// submitResult is what -json prints.
type submitResult struct {
	ID      string          `json:"id"`
	Tries   int             `json:"tries"`
	Results []jobapi.Result `json:"results"`
}

func (c *submitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.entries == "" || c.service == "" || c.team == "" {
		return misuse("submit needs -entries, -service and -team")
	}
	tasks, err := c.payloads(f.Args())
	if err != nil {
		return misuse("%v", err)
	}
	result, err := client.New(client.Options{Entries: inifile.SplitList(c.entries)}).Submit(ctx, client.Job{
		Service: c.service, Team: c.team, Class: c.class, Deadline: c.deadline, Tasks: tasks,
	})
	if err != nil {
		return fail(err)
	}
	if c.json {
		printed := submitResult{ID: result.ID, Tries: result.Tries}
		for _, output := range result.Results {
			printed.Results = append(printed.Results, output)
		}
		return printJSON(printed)
	}
	fmt.Printf("job %s is complete: %d results\n", result.ID, len(result.Results))
	for i, output := range result.Results {
		fmt.Printf("%4d  %s\n", i, output)
	}
	return subcommands.ExitSuccess
}

func (c *submitCommand) payloads(args []string) ([]json.RawMessage, error) {
	var tasks []json.RawMessage
	for _, arg := range args {
		if !json.Valid([]byte(arg)) {
			return nil, fmt.Errorf("task %q is not JSON; quote it for the shell", arg)
		}
		tasks = append(tasks, json.RawMessage(arg))
	}
	if len(tasks) > 0 {
		return tasks, nil
	}
	for i := range c.tasks {
		payload, err := json.Marshal(targetd.Work{Millis: c.millis, Echo: fmt.Sprintf("result of task %d", i)})
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, payload)
	}
	return tasks, nil
}
