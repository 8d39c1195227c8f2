package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/logbuffer"
	"github.com/foxcroft/foxcroft/pkg/node"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/google/subcommands"
)

// settingsVariable names the variable that holds the path of the settings file
// when the command line doesn't.
const settingsVariable = "FOXCROFT_NODE_FILE"

// heapShare is the part of a node's memory limit that the collector aims at. Of
// 300 hosts those that own cells took half of theirs with twice this share
// (docs/CAPACITY.md).
const heapShare = 0.3

type nodeCommand struct {
	settings string
	check    bool
}

func (*nodeCommand) Name() string     { return "node" }
func (*nodeCommand) Synopsis() string { return "run a node that dispatches leased tasks" }
func (*nodeCommand) Usage() string {
	return `foxcroft node [-settings FILE] [-check]
  Run a node until SIGTERM, which is a planned stop. Without -settings the
  variable FOXCROFT_NODE_FILE names the file.
  Example: foxcroft node -settings node-1.ini
`
}

func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "the settings `file`; see docs/CONFIG.md")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

func (c *nodeCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := catchSignals()
	if c.settings == "" {
		return misuse("node needs -settings FILE or %s", settingsVariable)
	}
	s, err := settings.LoadNode(c.settings)
	if err != nil {
		return fail(err)
	}
	if c.check {
		if err := node.CheckPolicies(s); err != nil {
			return fail(err)
		}
		fmt.Println("the settings are good")
		return subcommands.ExitSuccess
	}
	out := logbuffer.New(os.Stdout, logbuffer.DefaultLines)
	defer out.Close()
	logger, err := common.NewLogger(out, s.LogLevel)
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	host, err := node.Initialize(s, logger)
	if err != nil {
		return fail(err)
	}
	host.CountDroppedLines(out.Dropped)
	if err := host.Start(); err != nil {
		return fail(err)
	}
	awaitStop(signals, func() { host.Reload(c.settings) })
	host.Stop()
	return subcommands.ExitSuccess
}

// gcPercent lets the heap of a node double before it is collected.
const gcPercent = 100

// pendingSignals is how many signals wait while a node starts: a stop among them
// must not be lost beside changes of the settings.
const pendingSignals = 16

// catchSignals has the signals wait that stop a node or tell it of new settings.
// It comes first of all: one that arrives while the node starts would end it.
func catchSignals() <-chan os.Signal {
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// awaitStop waits for SIGTERM or SIGINT and calls reload at each SIGHUP.
func awaitStop(signals <-chan os.Signal, reload func()) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		reload()
	}
}
