package cli

import (
	"context"
	"flag"
	"os"

	"github.com/foxcroft/foxcroft/pkg/losses"
	"github.com/google/subcommands"
)

type lossesCommand struct{}

func (*lossesCommand) Name() string           { return "losses" }
func (*lossesCommand) Synopsis() string       { return "tell from logs why jobs missed their objectives" }
func (*lossesCommand) SetFlags(*flag.FlagSet) {}
func (*lossesCommand) Usage() string {
	return `foxcroft losses [FILE...]
  Read the logs of all nodes, or standard input, and count by route and size, by
  domain and by two seconds how many jobs missed their objectives, and why.
  Example: foxcroft losses node-*.log
`
}

func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report := losses.NewReport()
	if err := eachLog(f.Args(), report.Read); err != nil {
		return fail(err)
	}
	if err := report.Write(os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
