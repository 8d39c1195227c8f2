package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/entry"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/google/subcommands"
)

type entryCommand struct {
	settings string
	check    bool
	profile  string
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry host" }
func (*entryCommand) Usage() string {
	return `foxcroft entry -settings FILE [-check]
  Run an entry host until SIGTERM, which is a planned stop.
  Example: foxcroft entry -settings bogota-1.ini
`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings `file`; see docs/CONFIG.md")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
	f.StringVar(&c.profile, "cpuprofile", "", "write a processor profile into this `file` until the stop")
}

func (c *entryCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return misuse("entry needs -settings FILE")
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		return fail(err)
	}
	if c.check {
		fmt.Println("the settings are good")
		return subcommands.ExitSuccess
	}
	logger, err := common.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		return fail(err)
	}
	host, err := entry.Initialize(s, logger)
	if err != nil {
		return fail(err)
	}
	stopProfile, err := startProfile(c.profile)
	if err != nil {
		return fail(err)
	}
	defer stopProfile()
	if err := host.Start(); err != nil {
		return fail(err)
	}
	untilSignal()
	host.Stop()
	return subcommands.ExitSuccess
}

// startProfile writes a processor profile until the function that it returns
// is called. An empty path means none.
func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
