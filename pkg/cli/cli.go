// Package cli is the command line: one file a subcommand.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Exit codes are those of google/subcommands: 0 for success, 1 for failure and
// 2 for wrong usage.

// Run runs the subcommand that the arguments name and returns the exit code.
func Run() int {
	commander := subcommands.NewCommander(flag.CommandLine, "foxcroft")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&entryCommand{}, "processes")
	commander.Register(&nodeCommand{}, "processes")
	commander.Register(&standinCommand{}, "processes")
	commander.Register(&applyCommand{}, "operators")
	commander.Register(&validateCommand{}, "operators")
	commander.Register(&statusCommand{}, "operators")
	commander.Register(&explainCommand{}, "operators")
	commander.Register(newLossesCommand(), "operators")
	commander.Register(newSpreadCommand(), "operators")
	commander.Register(&submitCommand{}, "callers")
	commander.Register(&loadCommand{}, "measurements")
	commander.Register(&overheadCommand{}, "measurements")
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// fail prints an error and returns the exit code of failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "foxcroft: "+err.Error())
	return subcommands.ExitFailure
}

// misuse prints what is wrong with the arguments and returns its exit code.
func misuse(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "foxcroft: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

func printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// untilSignal waits for SIGTERM or SIGINT.
func untilSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}
