package cli

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/load"
	"github.com/google/subcommands"
)

type loadCommand struct {
	entries  string
	controls string
	scenario string
	load     float64
	duration time.Duration
	policy   string
	direct   bool
	attempt  time.Duration
	json     bool
	plot     string
	quiet    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive load and measure" }
func (*loadCommand) Usage() string {
	return `foxcroft load -entries ADDRESSES -controls ADDRESSES -scenario FILE [flags]
  Submit a scenario's jobs to entry hosts whose targets are stand-ins, and
  report response times against the ideal, messages, and broken promises, which
  make it fail.
  Example: foxcroft load -entries 127.0.0.11:8080 -controls 127.0.0.1:7100 -scenario scenarios/andina.ini
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "`addresses` of entry hosts, parted by commas")
	f.StringVar(&c.controls, "controls", "", "`addresses` of the stand-in targets' controls, parted by commas")
	f.StringVar(&c.scenario, "scenario", "", "the scenario `file`; see docs/LOAD.md")
	f.Float64Var(&c.load, "load", 0, "`share` of the capacity, in place of the scenario's")
	f.DurationVar(&c.duration, "duration", 0, "in place of the scenario's")
	f.StringVar(&c.policy, "policy", "default", "`label` for the report")
	f.BoolVar(&c.direct, "direct", false, "callers submit to their home's primary")
	f.DurationVar(&c.attempt, "attempt", 0, "how long a caller waits before it submits again; 0 for up to the deadline")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.StringVar(&c.plot, "plot", "", "draw the slowdowns into this PNG or SVG `file`")
	f.BoolVar(&c.quiet, "quiet", false, "no progress lines")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.entries == "" || c.controls == "" || c.scenario == "" {
		return misuse("load needs -entries, -controls and -scenario")
	}
	scenario, err := load.LoadScenario(c.scenario)
	if err != nil {
		return fail(err)
	}
	if c.load > 0 {
		scenario.Load = c.load
	}
	if c.duration > 0 {
		scenario.Duration = c.duration
	}
	options := load.Options{Entries: inifile.SplitList(c.entries), Controls: inifile.SplitList(c.controls), Direct: c.direct, Attempt: c.attempt, Policy: c.policy}
	if !c.quiet {
		options.Progress = os.Stderr
	}
	report, err := load.Run(ctx, scenario, options)
	if err != nil {
		return fail(err)
	}
	return c.print(report)
}

func (c *loadCommand) print(report *load.Report) subcommands.ExitStatus {
	if c.plot != "" {
		if err := report.Plot(c.plot); err != nil {
			return fail(err)
		}
	}
	if c.json {
		if status := printJSON(report); status != subcommands.ExitSuccess {
			return status
		}
	} else {
		report.Print(os.Stdout)
	}
	if err := report.Broken(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
