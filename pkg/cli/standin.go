package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/standin/platformd"
	"github.com/foxcroft/foxcroft/pkg/standin/relayd"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	"github.com/google/subcommands"
)

type standinCommand struct {
	listen      string
	executors   string
	slots       int
	connections int
	latency     time.Duration
	relays      string
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a stand-in for the platform or for targets" }
func (*standinCommand) Usage() string {
	return `foxcroft standin [flags] platform|target|relay
  Run a stand-in for the platform, for targets, or for the network between
  entry hosts, for tests and for trying foxcroft out. Its faults are
  switches under /control; see docs/LOAD.md.
  Example: foxcroft standin -listen 127.0.0.1:7000 platform
  Example: foxcroft standin -listen 127.0.0.1:7100 -executors 127.0.0.1:7101,127.0.0.1:7102 target
`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "`address` of the service, or of the targets' control")
	f.StringVar(&c.executors, "executors", "", "target: `addresses` of the executors, parted by commas")
	f.IntVar(&c.slots, "slots", 8, "target: tasks that an executor runs at once")
	f.IntVar(&c.connections, "connections", 64, "target: connections that an executor takes")
	f.DurationVar(&c.latency, "latency", 0, "target, relay: added one way to each message")
	f.StringVar(&c.relays, "relays", "", "relay: `pairs` listen=to, parted by commas")
}

func (c *standinCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch f.Arg(0) {
	case "platform":
		return c.serve(platformd.NewHandler(platformd.NewStore(common.NewSystemClock())))
	case "target":
		return c.runTargets()
	case "relay":
		return c.runRelays()
	}
	return misuse("standin needs platform, target or relay, after the flags")
}

func (c *standinCommand) runTargets() subcommands.ExitStatus {
	ledger := targetd.NewLedger()
	executors := map[string]*targetd.Executor{}
	for _, address := range inifile.SplitList(c.executors) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fail(err)
		}
		executor := targetd.NewExecutor(c.slots, c.latency, ledger)
		executors[address] = executor
		go func() { _ = executor.Serve(listener, c.connections) }()
	}
	return c.serve(targetd.NewControl(ledger, executors))
}

func (c *standinCommand) runRelays() subcommands.ExitStatus {
	relays := map[string]*relayd.Relay{}
	for _, pair := range inifile.SplitList(c.relays) {
		address, to, found := strings.Cut(pair, "=")
		if !found {
			return misuse("relay %q needs the form listen=to", pair)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fail(err)
		}
		relays[address] = relayd.NewRelay(to, c.latency)
		go relays[address].Serve(listener)
	}
	return c.serve(relayd.NewControl(relays))
}

func (c *standinCommand) serve(handler http.Handler) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fail(err)
	}
	fmt.Println("listening on " + c.listen)
	go func() { _ = http.Serve(listener, handler) }()
	untilSignal()
	return subcommands.ExitSuccess
}
