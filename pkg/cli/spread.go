package cli

import (
	"context"
	"flag"
	"os"

	"github.com/foxcroft/foxcroft/pkg/spread"
	"github.com/google/subcommands"
)

type spreadCommand struct{}

func (*spreadCommand) Name() string { return "spread" }
func (*spreadCommand) Synopsis() string {
	return "tell from logs how fast news reaches all nodes, and what links carry by purpose"
}
func (*spreadCommand) SetFlags(*flag.FlagSet) {}
func (*spreadCommand) Usage() string {
	return `foxcroft spread [FILE...]
  Read the logs of all nodes, or standard input, and tell how long configurations and
  changes of the list of executors take from the first node to the others, and how many
  bytes a second nodes receive and send by purpose, for each role.
  Example: foxcroft spread node-*.log
`
}

func (c *spreadCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report := spread.NewReport()
	if err := eachLog(f.Args(), report.Read); err != nil {
		return fail(err)
	}
	if err := report.Write(os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
