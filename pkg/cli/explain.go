package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/foxcroft/foxcroft/pkg/explain"
	"github.com/google/subcommands"
)

type explainCommand struct{}

func (*explainCommand) Name() string           { return "explain" }
func (*explainCommand) Synopsis() string       { return "tell a request's story from logs" }
func (*explainCommand) SetFlags(*flag.FlagSet) {}
func (*explainCommand) Usage() string {
	return `foxcroft explain ID [FILE...]
  Read the logs of any number of nodes, or standard input, and tell what became
  of the request with this id, in order, and which decision failed it.
  Example: foxcroft explain 5c0e7a21d94b36f8 node-*.log
`
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return misuse("explain needs the id of a request")
	}
	id := f.Arg(0)
	var events []explain.Event
	err := eachLog(f.Args()[1:], func(log io.Reader) error {
		var err error
		events, err = explain.Read(events, log, id)
		return err
	})
	if err != nil {
		return fail(err)
	}
	if err := explain.Tell(events).Write(os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
