package cli

import (
	"context"
	"flag"
	"time"

	"github.com/foxcroft/foxcroft/pkg/load"
	"github.com/google/subcommands"
)

type overheadCommand struct{ options load.OverheadOptions }

func (*overheadCommand) Name() string     { return "overhead" }
func (*overheadCommand) Synopsis() string { return "measure what an entry host adds to a call" }
func (*overheadCommand) Usage() string {
	return `foxcroft overhead -entry ADDRESS -target ADDRESS -service NAME -team NAME [flags]
  Call a stand-in target straight and through an entry host, in turn, and print
  the ratios and the processor time of empty tasks as JSON.
  Example: scripts/overhead.sh
`
}

func (c *overheadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Entry, "entry", "", "`address` of the entry host")
	f.StringVar(&c.options.Target, "target", "", "`address` of a target that it uses")
	f.StringVar(&c.options.Service, "service", "", "the service")
	f.StringVar(&c.options.Team, "team", "", "the team")
	f.IntVar(&c.options.Rounds, "rounds", 400, "calls of each kind")
	f.DurationVar(&c.options.Task, "task", 50*time.Millisecond, "own time of the measured tasks")
	f.IntVar(&c.options.Batches, "batches", 400, "jobs of empty tasks")
	f.IntVar(&c.options.Tasks, "tasks", 500, "tasks in each")
	f.IntVar(&c.options.Callers, "callers", 4, "callers that submit them at once")
}

func (c *overheadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.Entry == "" || c.options.Target == "" || c.options.Service == "" || c.options.Team == "" {
		return misuse("overhead needs -entry, -target, -service and -team")
	}
	report, err := load.Overhead(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	return printJSON(report)
}
