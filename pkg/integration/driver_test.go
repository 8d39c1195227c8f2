// Package integration tests complete installations inside the test process: entry
// hosts, simulated targets and a simulated platform, over loopback.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/entry"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/standin/platformd"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	qt "github.com/frankban/quicktest"
)

const (
	executorsPerDomain = 3
	slots              = 4
	eventuallyTimeout  = 30 * time.Second // for conditions that must hold eventually
	pollPause          = 5 * time.Millisecond
)

// networks counts the loopback networks, so that tests share no address.
var networks atomic.Int64

// driver runs an installation and the actions of a test on it.
type driver struct {
	t         *testing.T
	network   string // first three numbers of its addresses
	store     *platformd.Store
	platform  *platform.HTTPClient
	ledger    *targetd.Ledger
	executors map[string]*targetd.Executor
	domains   []string
	hosts     map[string]*entry.Host
	settings  map[string]*settings.Entry
	incs      map[string]once.Incarnation
}

// newDriver starts a platform and executors, and defines the given number of hosts per
// domain, named d1-1, d1-2 and so on.
func newDriver(t *testing.T, hostsPerDomain ...int) *driver {
	d := &driver{
		t:         t,
		network:   fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, networks.Add(1)),
		store:     platformd.NewStore(common.NewSystemClock()),
		ledger:    targetd.NewLedger(),
		executors: map[string]*targetd.Executor{},
		hosts:     map[string]*entry.Host{},
		settings:  map[string]*settings.Entry{},
		incs:      map[string]once.Incarnation{},
	}
	address := d.network + ".250:7000"
	d.serve(address, platformd.NewHandler(d.store))
	d.platform = platform.NewHTTPClient(address)
	for i, hosts := range hostsPerDomain {
		domain := fmt.Sprintf("d%d", i+1)
		d.domains = append(d.domains, domain)
		for n := range executorsPerDomain {
			d.startExecutor(d.executorAddress(domain, n+1))
		}
		for n := range hosts {
			d.define(domain, i+1, n+1, hosts)
		}
	}
	return d
}

func (d *driver) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(d.t, err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
}

func (d *driver) executorAddress(domain string, n int) string {
	return fmt.Sprintf("%s.%s%d:7100", d.network, strings.TrimPrefix(domain, "d"), n+10)
}

func (d *driver) startExecutor(address string) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(d.t, err, qt.IsNil)
	executor := targetd.NewExecutor(slots, 0, d.ledger)
	d.executors[address] = executor
	go func() { _ = executor.Serve(listener, 64) }()
	d.t.Cleanup(executor.Close)
}

func (d *driver) define(domain string, domainNumber, n, hosts int) {
	address := func(host int) string { return fmt.Sprintf("%s.%d%d:8081", d.network, domainNumber, host) }
	text := fmt.Sprintf("[entry]\nname = %s-%d\ndomain = %s\ncaller_address = %s.%d%d:8080\npeer_address = %s\nseeds = ",
		domain, n, domain, d.network, domainNumber, n, address(n))
	var seeds []string
	for other := 1; other <= hosts; other++ {
		if other != n {
			seeds = append(seeds, address(other))
		}
	}
	text += strings.Join(seeds, ", ") + fmt.Sprintf(`
[platform]
address = %s.250:7000
config_poll = 20ms
list_poll = 20ms
[link]
heartbeat = 20ms
suspect_after = 2s
record_timeout = 2s
[stop]
notice = 0s
[limits]
max_body_bytes = 65536
`, d.network)
	s, err := settings.Parse("driver", []byte(text))
	qt.Assert(d.t, err, qt.IsNil)
	d.settings[s.Name] = s
	d.store.SetHost(platform.Host{Name: s.Name, Domain: domain, PeerAddress: s.PeerAddress})
}

// start starts the named hosts, or all.
func (d *driver) start(names ...string) *driver {
	if len(names) == 0 {
		for name := range d.settings {
			names = append(names, name)
		}
	}
	for _, name := range names {
		c := common.NewTestCommon()
		inc, err := once.NewIncarnation(c.Rand)
		qt.Assert(d.t, err, qt.IsNil)
		host, err := entry.NewHost(c, d.settings[name], inc, platform.NewHTTPClient(d.settings[name].Platform))
		qt.Assert(d.t, err, qt.IsNil)
		qt.Assert(d.t, host.Start(), qt.IsNil)
		d.hosts[name], d.incs[name] = host, inc
		d.t.Cleanup(host.Close)
	}
	return d
}

// kill ends a host at once.
func (d *driver) kill(name string) {
	d.hosts[name].Close()
	delete(d.hosts, name)
}

// configuration is the document that apply uses; extra lines go into the
// service's section.
func (d *driver) configuration(extra string) string {
	text := "[region r]\ndomains = " + strings.Join(d.domains, ", ") +
		"\n[service desk]\npool = p\n" + extra + fmt.Sprintf("\n[pool p]\nslots = %d\n", slots) +
		"[team a]\n[team b]\nservices = desk\n"
	for _, domain := range d.domains {
		var addresses []string
		for n := range executorsPerDomain {
			addresses = append(addresses, d.executorAddress(domain, n+1))
		}
		text += "[executors p " + domain + "]\naddresses = " + strings.Join(addresses, ", ") + "\n"
	}
	return text
}

// apply puts the configuration into force and waits until all links are up.
func (d *driver) apply(extra string) *driver {
	store := confstore.New(d.platform)
	head, err := store.Head(context.Background())
	qt.Assert(d.t, err, qt.IsNil)
	accepted, err := store.Apply(context.Background(), head.Version, []byte(d.configuration(extra)), confstore.Entry{ApplyID: fmt.Sprint(head.Version), Author: "driver"})
	qt.Assert(d.t, err, qt.IsNil)
	d.waitInForce(accepted.Version)
	d.waitForLinks()
	return d
}

func (d *driver) waitInForce(version uint64) {
	d.eventually("the configuration is in force", func() bool {
		for name := range d.hosts {
			if d.status(name).Version != version {
				return false
			}
		}
		return true
	})
}

func (d *driver) waitForLinks() {
	d.eventually("all links are up", func() bool {
		for name := range d.hosts {
			if len(d.status(name).Peers) != len(d.hosts)-1 {
				return false
			}
		}
		return true
	})
}

// eventually waits until a condition holds.
func (d *driver) eventually(what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(pollPause) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (d *driver) status(host string) jobapi.HostStatus {
	var status jobapi.HostStatus
	_, body := d.call(host, http.MethodGet, jobapi.PathStatus, "")
	qt.Assert(d.t, json.Unmarshal([]byte(body), &status), qt.IsNil)
	return status
}

// call sends a request to a host's caller interface.
func (d *driver) call(host, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.settings[host].CallerAddress+path, bytes.NewBufferString(body))
	qt.Assert(d.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	qt.Assert(d.t, err, qt.IsNil)
	return response.StatusCode, string(reply)
}

// home returns a home minted by a host, once it has a backup.
func (d *driver) home(host string) once.Home {
	var home once.Home
	d.eventually("homes have a backup", func() bool {
		var reply jobapi.Home
		_, body := d.call(host, http.MethodGet, jobapi.PathHome, "")
		qt.Assert(d.t, json.Unmarshal([]byte(body), &reply), qt.IsNil)
		parsed, err := once.ParseHome(reply.Home)
		qt.Assert(d.t, err, qt.IsNil)
		home = parsed
		return home.HasBackup()
	})
	return home
}

// jobBuilder makes submissions.
type jobBuilder struct{ job jobapi.Job }

func newJob() *jobBuilder { return &jobBuilder{jobapi.Job{Service: "desk", Team: "a"}} }

func (b *jobBuilder) id(id string) *jobBuilder { b.job.ID = id; return b }

func (b *jobBuilder) deadline(ms int64) *jobBuilder { b.job.DeadlineMS = ms; return b }

// task adds a task that takes some milliseconds and returns text.
func (b *jobBuilder) task(millis float64, text string) *jobBuilder {
	return b.work(targetd.Work{Millis: millis, Echo: text})
}

func (b *jobBuilder) work(work targetd.Work) *jobBuilder {
	payload, _ := json.Marshal(work)
	b.job.Tasks = append(b.job.Tasks, payload)
	return b
}

func (b *jobBuilder) tasks(n int, millis float64) *jobBuilder {
	for i := range n {
		b.task(millis, fmt.Sprintf("result %d", i))
	}
	return b
}

// submit submits a job at a host and returns its answer.
func (d *driver) submit(host string, b *jobBuilder) jobapi.Answer {
	body, err := json.Marshal(b.job)
	qt.Assert(d.t, err, qt.IsNil)
	_, reply := d.call(host, http.MethodPost, jobapi.PathJobs, string(body))
	var answer jobapi.Answer
	if err := json.Unmarshal([]byte(reply), &answer); err != nil {
		answer.Message = reply // the host did not answer
	}
	return answer
}

// submitLater submits a job in the background.
func (d *driver) submitLater(host string, b *jobBuilder) <-chan jobapi.Answer {
	answers := make(chan jobapi.Answer, 1)
	go func() { answers <- d.submit(host, b) }()
	return answers
}

func (d *driver) waitForStarts(n uint64) {
	d.t.Helper()
	d.eventually(fmt.Sprintf("%d tasks start", n), func() bool { return d.ledger.Counters().Starts >= n })
}

// nameOf returns the name of the host of an incarnation.
func (d *driver) nameOf(inc once.Incarnation) string {
	for name, known := range d.incs {
		if known == inc {
			return name
		}
	}
	d.t.Fatalf("no host has incarnation %s", inc)
	return ""
}

// third returns the host of a domain of three that a home does not name.
func (d *driver) third(home once.Home) string {
	for name, inc := range d.incs {
		if inc != home.Primary && inc != home.Backup {
			return name
		}
	}
	d.t.Fatal("there is no third host")
	return ""
}

func (d *driver) assertOutcome(answer jobapi.Answer, outcome once.Outcome) {
	d.t.Helper()
	qt.Assert(d.t, answer.Outcome, qt.Equals, outcome.String(), qt.Commentf("%+v", answer))
}

func (d *driver) assertNoDoubles() {
	d.t.Helper()
	qt.Assert(d.t, d.ledger.Counters().Doubles, qt.Equals, uint64(0))
}
