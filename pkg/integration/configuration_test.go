package integration

import (
	"net/http"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/standin/platformd"
	qt "github.com/frankban/quicktest"
)

// A host without a configuration refuses requests and gives the reason.
func TestNoConfiguration(t *testing.T) {
	d := newDriver(t, 2).start()
	status, body := d.call("d1-1", http.MethodGet, jobapi.PathReady, "")
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, body, qt.Contains, "no configuration")
	answer := d.submit("d1-1", newJob().task(1, ""))
	d.assertOutcome(answer, once.Refused)
	qt.Assert(t, answer.RetryAfterMS > 0, qt.IsTrue)
	d.apply("")
	status, _ = d.call("d1-1", http.MethodGet, jobapi.PathReady, "")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// A host that starts while the platform is down fetches the configuration from its
// peers, and never replaces it by an older one.
func TestRestartDuringAnOutage(t *testing.T) {
	d := newDriver(t, 3).start().apply("").apply("max_tasks = 7")
	d.store.SetFaults(platformd.Faults{Down: true})
	d.kill("d1-2")
	d.start("d1-2")
	d.waitInForce(2)
	d.waitForLinks()
	d.assertOutcome(d.submit("d1-2", newJob().tasks(7, 1)), once.Complete)
	d.assertOutcome(d.submit("d1-2", newJob().tasks(8, 1)), once.Refused)
}

// When only one host reaches the platform, the others get the configuration from it.
func TestOneReader(t *testing.T) {
	d := newDriver(t, 3)
	for _, name := range []string{"d1-1", "d1-3"} {
		d.settings[name].Platform = d.network + ".251:7000" // nothing listens there
	}
	d.start().apply("").apply("")
	d.assertOutcome(d.submit("d1-3", newJob().tasks(3, 1)), once.Complete)
}

// Targets that the platform's list marks as leaving get no work until the list no
// longer marks them.
func TestListedLeaving(t *testing.T) {
	d := newDriver(t, 1).start().apply("")
	leaving := func(is bool) {
		for n := range executorsPerDomain {
			address := d.executorAddress("d1", n+1)
			d.store.SetHost(platform.Host{Name: address, Domain: "d1", Executor: address, Leaving: is})
		}
	}
	free := func() int { return d.status("d1-1").Pools[0].Free }
	leaving(true)
	d.eventually("no slot is used", func() bool { return free() == 0 })
	d.assertOutcome(d.submit("d1-1", newJob().task(1, "")), once.Refused)
	leaving(false)
	d.eventually("the slots are free again", func() bool { return free() == executorsPerDomain*slots })
	d.assertOutcome(d.submit("d1-1", newJob().task(1, "")), once.Complete)
}

// When the list is unavailable or stale, the hosts keep their last state.
func TestListFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   platformd.Faults
	}{
		{"down", platformd.Faults{ListDown: true}},
		{"stale", platformd.Faults{StaleList: true}},
		{"down while the table is slow", platformd.Faults{ListDown: true, SlowMS: 20}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 3).start().apply("")
			d.store.SetFaults(s.faults)
			d.executors[d.executorAddress("d1", 1)].Close()
			for name := range d.hosts {
				d.assertOutcome(d.submit(name, newJob().tasks(10, 1)), once.Complete)
			}
			d.assertNoDoubles()
		})
	}
}
