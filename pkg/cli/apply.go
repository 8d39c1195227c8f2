package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/google/subcommands"
)

const (
	applyIDBytes = 16
	inForcePoll  = 50 * time.Millisecond
	latestBase   = -1
)

type applyCommand struct {
	platform string
	base     int64
	dryRun   bool
	wait     time.Duration
	entries  string
	note     string
	json     bool
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put a configuration into force as a whole" }
func (*applyCommand) Usage() string {
	return `foxcroft apply -platform ADDRESS -base VERSION [flags] FILE
  Put a configuration into force as a whole. -base is the version that the
  change was based on, 0 for the first; when another was applied since, the
  apply fails and says which.
  Example: foxcroft apply -platform 127.0.0.1:7000 -base 0 examples/andina.ini
  Example: foxcroft apply -platform 127.0.0.1:7000 -base 4 -wait 10s -entries 127.0.0.11:8080,127.0.0.12:8080 new.ini
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "`address` of the platform's service")
	f.Int64Var(&c.base, "base", latestBase, "`version` that the change is based on")
	f.BoolVar(&c.dryRun, "dry-run", false, "print the difference to the version in force and change nothing")
	f.DurationVar(&c.wait, "wait", 0, "wait so long for the version to be in force on all -entries")
	f.StringVar(&c.entries, "entries", "", "`addresses` of the entry hosts for -wait, parted by commas")
	f.StringVar(&c.note, "note", "", "why, for the history")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

// applyResult is what -json prints.
type applyResult struct {
	confstore.Entry
	InForce int `json:"in_force"` // hosts of -entries
	Hosts   int `json:"hosts"`
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.platform == "" {
		return misuse("apply needs -platform ADDRESS and one file")
	}
	if c.base == latestBase && !c.dryRun {
		return misuse("apply needs -base VERSION; status -platform shows the version in force")
	}
	body, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	if _, err := config.Parse(f.Arg(0), body); err != nil {
		return fail(err)
	}
	store := confstore.New(platform.NewHTTPClient(c.platform))
	if c.dryRun {
		return c.printDifference(ctx, store, body)
	}
	entry, err := store.Apply(ctx, uint64(c.base), body, confstore.Entry{ApplyID: newApplyID(), Author: author(), Note: c.note})
	if err != nil {
		return fail(err)
	}
	return c.report(ctx, entry)
}

func (c *applyCommand) printDifference(ctx context.Context, store *confstore.Store, body []byte) subcommands.ExitStatus {
	head, err := store.Head(ctx)
	if err != nil {
		return fail(err)
	}
	var before []byte
	if head.Version > 0 {
		if before, err = store.Body(ctx, head); err != nil {
			return fail(err)
		}
	}
	fmt.Printf("against version %d:\n", head.Version)
	for _, line := range config.Difference(before, body) {
		fmt.Println(line)
	}
	return subcommands.ExitSuccess
}

func (c *applyCommand) report(ctx context.Context, entry confstore.Entry) subcommands.ExitStatus {
	result := applyResult{Entry: entry}
	result.InForce, result.Hosts = c.waitInForce(ctx, entry.Version)
	if c.json {
		if status := printJSON(result); status != subcommands.ExitSuccess {
			return status
		}
	} else {
		fmt.Printf("version %d is accepted\n", entry.Version)
	}
	if c.wait > 0 && result.InForce < result.Hosts {
		return fail(errkind.New(errkind.NotInForce, "look at status; the version takes force there by itself when the host reaches a peer or the platform",
			"version %d is in force on %d of %d hosts after %s", entry.Version, result.InForce, result.Hosts, c.wait))
	}
	if c.wait > 0 && !c.json {
		fmt.Printf("version %d is in force on %d of %d hosts\n", entry.Version, result.InForce, result.Hosts)
	}
	return subcommands.ExitSuccess
}

func (c *applyCommand) waitInForce(ctx context.Context, version uint64) (inForce, hosts int) {
	entries := inifile.SplitList(c.entries)
	deadline := time.Now().Add(c.wait)
	for {
		inForce = 0
		for _, address := range entries {
			if status, err := fetchStatus(ctx, address); err == nil && status.Version >= version {
				inForce++
			}
		}
		if inForce == len(entries) || time.Now().After(deadline) {
			return inForce, len(entries)
		}
		time.Sleep(inForcePoll)
	}
}

func newApplyID() string {
	id := make([]byte, applyIDBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
