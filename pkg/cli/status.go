package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/google/subcommands"
)

const statusTimeout = 2 * time.Second

type statusCommand struct {
	entries  string
	platform string
	history  bool
	json     bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show hosts, versions, targets and queues" }
func (*statusCommand) Usage() string {
	return `foxcroft status [-entries ADDRESSES] [-platform ADDRESS [-history]]
  Show the entry hosts at a glance, and the version in force at the platform.
  Example: foxcroft status -entries 127.0.0.11:8080,127.0.0.12:8080
  Example: foxcroft status -platform 127.0.0.1:7000 -history
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "`addresses` of entry hosts, parted by commas")
	f.StringVar(&c.platform, "platform", "", "`address` of the platform's service")
	f.BoolVar(&c.history, "history", false, "show all versions at the platform")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

// statusResult is what -json prints.
type statusResult struct {
	Hosts       []jobapi.HostStatus `json:"hosts"`
	Unreachable []string            `json:"unreachable,omitempty"`
	Head        *confstore.Entry    `json:"head,omitempty"`
	History     []confstore.Entry   `json:"history,omitempty"`
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.entries == "" && c.platform == "" {
		return misuse("status needs -entries or -platform")
	}
	result, err := c.collect(ctx)
	if err != nil {
		return fail(err)
	}
	if c.json {
		return printJSON(result)
	}
	printStatus(result)
	if len(result.Unreachable) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *statusCommand) collect(ctx context.Context) (*statusResult, error) {
	result := &statusResult{}
	for _, address := range inifile.SplitList(c.entries) {
		status, err := fetchStatus(ctx, address)
		if err != nil {
			result.Unreachable = append(result.Unreachable, address)
			continue
		}
		result.Hosts = append(result.Hosts, *status)
	}
	if c.platform == "" {
		return result, nil
	}
	store := confstore.New(platform.NewHTTPClient(c.platform))
	head, err := store.Head(ctx)
	if err != nil {
		return nil, err
	}
	result.Head = &head
	if c.history {
		result.History, err = store.History(ctx)
	}
	return result, err
}

func printStatus(result *statusResult) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	if len(result.Hosts) > 0 {
		fmt.Fprintln(table, "HOST\tDOMAIN\tVERSION\tSTATE\tPEERS\tJOBS\tIDS\tPOOL\tWAITING\tBUSY\tFREE\tSUSPECTS")
	}
	for _, host := range result.Hosts {
		state := "serving"
		if host.Leaving {
			state = "leaving"
		}
		if host.Version == 0 {
			state = "no configuration"
		}
		line := fmt.Sprintf("%s\t%s\t%d\t%s\t%d\t%d\t%d", host.Name, host.Domain, host.Version, state, len(host.Peers), host.Jobs, host.IDs)
		for _, pool := range host.Pools {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n", line, pool.Name, pool.Waiting, pool.Busy, pool.Free, strings.Join(pool.Suspects, ","))
		}
		if len(host.Pools) == 0 {
			fmt.Fprintln(table, line)
		}
	}
	for _, address := range result.Unreachable {
		fmt.Fprintf(table, "%s\tdoes not answer\n", address)
	}
	if result.Head != nil {
		fmt.Fprintf(table, "platform\tversion %d\tby %s\t%s\n", result.Head.Version, result.Head.Author, result.Head.Note)
	}
	for _, entry := range result.History {
		fmt.Fprintf(table, "version %d\tby %s\tapply id %s\t%s\n", entry.Version, entry.Author, entry.ApplyID, entry.Note)
	}
}

func fetchStatus(ctx context.Context, address string) (*jobapi.HostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+jobapi.PathStatus, nil)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "give addresses as IP:port", "no request can be made")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.PeerDown, "check that the host runs", "host %s does not answer", address)
	}
	defer response.Body.Close()
	var status jobapi.HostStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "check what answers there", "the status of %s cannot be read", address)
	}
	return &status, nil
}
