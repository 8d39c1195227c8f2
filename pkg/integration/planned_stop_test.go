package integration

import (
	"net/http"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

// A planned stop interrupts no job: the job under way is answered, and its backup has
// the stored answers afterwards.
func TestPlannedStop(t *testing.T) {
	d := newDriver(t, 3).start().apply("copy_answers = none")
	home := d.home("d1-1")
	primary, other := d.nameOf(home.Primary), d.third(home)
	early := newJob().id(once.ID{Home: home, Part: "early"}.String()).task(1, "early")
	d.assertOutcome(d.submit(primary, early), once.Complete)
	running := newJob().id(once.ID{Home: home, Part: "running"}.String()).task(300, "running")
	direct, forwarded := d.submitLater(primary, running), d.submitLater(other, running)
	d.waitForStarts(2)
	d.hosts[primary].Stop()
	for _, pending := range []<-chan jobAnswer{direct, forwarded} {
		answer := <-pending
		d.assertOutcome(answer, once.Complete)
		qt.Assert(t, string(answer.Results[0]), qt.Equals, "running")
	}
	for _, job := range []*jobBuilder{early, running} {
		d.assertOutcome(d.submit(other, job), once.Complete)
	}
	d.assertOutcome(d.submit(other, newJob().id(once.ID{Home: home, Part: "late"}.String()).task(1, "")), once.Refused)
	d.assertNoDoubles()
}

// A stop makes the health check fail first.
func TestStopFailsTheHealthCheck(t *testing.T) {
	d := newDriver(t, 2).start().apply("")
	d.settings["d1-1"].LeaveNotice = eventuallyTimeout
	go d.hosts["d1-1"].Stop()
	d.eventually("the health check reports leaving", func() bool {
		status, _ := d.call("d1-1", http.MethodGet, jobapi.PathHealth, "")
		return status == http.StatusServiceUnavailable
	})
	d.assertOutcome(d.submit("d1-1", newJob().task(1, "")), once.Complete)
}
