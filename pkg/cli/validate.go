package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/google/subcommands"
)

type validateCommand struct{}

func (*validateCommand) Name() string             { return "validate" }
func (*validateCommand) Synopsis() string         { return "check a configuration" }
func (*validateCommand) SetFlags(_ *flag.FlagSet) {}
func (*validateCommand) Usage() string {
	return `foxcroft validate FILE
  Check a configuration without applying it. Each problem names its file, its
  line and the remedy.
  Example: foxcroft validate examples/andina.ini
`
}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return misuse("validate needs one file")
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	doc, err := config.Parse(f.Arg(0), data)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s is good: %d services, %d pools, %d teams, %d rules\n", f.Arg(0), len(doc.Services), len(doc.Pools), len(doc.Teams), len(doc.Rules))
	return subcommands.ExitSuccess
}
