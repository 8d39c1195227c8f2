package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/foxcroft/foxcroft/pkg/losses"
	"github.com/foxcroft/foxcroft/pkg/spread"
	"github.com/google/subcommands"
)

// logReport is what a command tells of the logs of all nodes.
type logReport interface {
	// Read takes a log in.
	Read(log io.Reader) error
	// Write prints what the logs tell.
	Write(w io.Writer) error
}

// reportCommand reads logs and prints a report.
type reportCommand struct {
	name      string
	synopsis  string
	usage     string
	newReport func() logReport
}

func newLossesCommand() *reportCommand {
	return &reportCommand{
		name:     "losses",
		synopsis: "tell from logs why jobs missed their objectives",
		usage: `foxcroft losses [FILE...]
  Read the logs of all nodes, or standard input, and count by route and size, by
  domain and by two seconds how many jobs missed their objectives, and why.
  Example: foxcroft losses node-*.log
`,
		newReport: func() logReport { return losses.NewReport() },
	}
}

func newSpreadCommand() *reportCommand {
	return &reportCommand{
		name:     "spread",
		synopsis: "tell from logs how fast news reaches all nodes, and what links carry by purpose",
		usage: `foxcroft spread [FILE...]
  Read the logs of all nodes, or standard input, and tell how long configurations and
  changes of the list of executors take from the first node to the others, and how many
  bytes a second nodes receive and send by purpose, for each role.
  Example: foxcroft spread node-*.log
`,
		newReport: func() logReport { return spread.NewReport() },
	}
}

func (c *reportCommand) Name() string           { return c.name }
func (c *reportCommand) Synopsis() string       { return c.synopsis }
func (c *reportCommand) Usage() string          { return c.usage }
func (c *reportCommand) SetFlags(*flag.FlagSet) {}

func (c *reportCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report := c.newReport()
	if err := eachLog(f.Args(), report.Read); err != nil {
		return fail(err)
	}
	if err := report.Write(os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
