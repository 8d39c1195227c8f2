package integration

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/standin/platformd"
	qt "github.com/frankban/quicktest"
)

// The job of a plain key runs once, at whichever hosts and however often it is
// submitted, despite faults of the platform.
func TestPlainKeys(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   platformd.Faults
	}{
		{"no faults", platformd.Faults{}},
		{"answers lost after the write", platformd.Faults{LoseAnswers: 2}},
		{"errors", platformd.Faults{FailCalls: 2}},
		{"slow", platformd.Faults{SlowMS: 20}},
		{"slow and answers lost", platformd.Faults{SlowMS: 20, LoseAnswers: 2}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 3).start().apply("")
			d.home("d1-1")
			d.store.SetFaults(s.faults)
			job := newJob().id("counter-7-can-12").tasks(3, 1)
			var pending []<-chan jobAnswer
			for name := range d.hosts {
				pending = append(pending, d.submitLater(name, job), d.submitLater(name, job))
			}
			for _, answers := range pending {
				answer := <-answers
				if answer.Outcome == once.Complete.String() {
					continue
				}
				d.assertOutcome(answer, once.Unknown) // not refused: another submission may have run
			}
			d.assertOutcome(d.submit("d1-1", job), once.Complete)
			qt.Assert(t, d.ledger.Counters().Starts, qt.Equals, uint64(3))
			d.assertNoDoubles()
		})
	}
}

// While the platform is down, a key cannot be bound: its submission has an unknown
// outcome and succeeds afterwards under the same key. Ids with a home still work.
func TestPlainKeysDuringAnOutage(t *testing.T) {
	d := newDriver(t, 3).start().apply("")
	home := d.home("d1-1")
	d.store.SetFaults(platformd.Faults{Down: true})
	job := newJob().id("key").task(1, "")
	answer := d.submit("d1-1", job)
	d.assertOutcome(answer, once.Unknown)
	qt.Assert(t, answer.RetryAfterMS > 0, qt.IsTrue)
	d.assertOutcome(d.submit("d1-2", newJob().id(once.ID{Home: home, Part: "j"}.String()).task(1, "")), once.Complete)
	d.store.SetFaults(platformd.Faults{})
	d.assertOutcome(d.submit("d1-2", job), once.Complete)
	qt.Assert(t, d.ledger.Counters().Starts, qt.Equals, uint64(2))
}
