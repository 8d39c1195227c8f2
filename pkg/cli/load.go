package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type loadCommand struct{}

func (*loadCommand) Name() string             { return "load" }
func (*loadCommand) Synopsis() string         { return "drive load and measure" }
func (*loadCommand) Usage() string            { return "foxcroft load\n" }
func (*loadCommand) SetFlags(_ *flag.FlagSet) {}
func (*loadCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return misuse("load is not built yet")
}
