package integration

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

type jobAnswer = jobapi.Answer

// When the primary fails, its backup answers for the ids that it has recorded, and
// refuses only those that it has not.
func TestPrimaryFailure(t *testing.T) {
	scenarios := []struct {
		testName string
		millis   float64 // of the task; long ones are under way at the kill
		recorded bool    // whether the id reached the primary
		outcome  once.Outcome
		kind     errkind.Kind
	}{
		{"under way", 60_000, true, once.Failed, errkind.MayHaveRun},
		{"answered, and the answer copied", 1, true, once.Complete, ""},
		{"did not reach the primary", 1, false, once.Refused, errkind.HomeClosed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 3).start().apply("copy_answers = all\nmax_deadline = 2m\ndefault_deadline = 2m")
			home := d.home("d1-1")
			primary, other := d.nameOf(home.Primary), d.third(home)
			id := once.ID{Home: home, Part: "j"}.String()
			job := newJob().id(id).task(s.millis, "done")
			if s.recorded {
				pending := d.submitLater(primary, job)
				d.waitForStarts(1)
				if s.outcome == once.Complete {
					d.assertOutcome(<-pending, once.Complete)
					d.waitForCopy(home)
				}
			}
			d.kill(primary)
			answer := d.submit(other, job)
			d.assertOutcome(answer, s.outcome)
			qt.Assert(t, answer.Kind, qt.Equals, s.kind)
			qt.Assert(t, answer.NotRun, qt.Equals, s.outcome == once.Refused)
			qt.Assert(t, answer.Home, qt.Not(qt.Equals), home.String())
			again := d.submit(d.nameOf(home.Backup), job)
			qt.Assert(t, again.Outcome, qt.Equals, answer.Outcome, qt.Commentf("the answer changed"))
			d.assertNoDoubles()
		})
	}
}

// waitForCopy waits until a home's backup has received a copy: copies follow the
// records on the same stream.
func (d *driver) waitForCopy(home once.Home) {
	primary := d.nameOf(home.Primary)
	d.eventually("the answer is copied", func() bool { return d.status(primary).Messages["copy"] > 0 })
	// A later record on the same stream shows that the copy has arrived.
	d.assertOutcome(d.submit(primary, newJob().id(once.ID{Home: home, Part: "after"}.String()).task(1, "")), once.Complete)
}

// A primary whose backup is unreachable refuses submissions under the old home and
// continues to serve under a new one.
func TestBackupFailure(t *testing.T) {
	d := newDriver(t, 3).start().apply("")
	home := d.home("d1-1")
	d.kill(d.nameOf(home.Backup))
	answer := d.submit("d1-1", newJob().id(once.ID{Home: home, Part: "j"}.String()).task(1, ""))
	d.assertOutcome(answer, once.Refused)
	qt.Assert(t, answer.Kind, qt.Equals, errkind.HomeClosed)
	qt.Assert(t, d.ledger.Counters().Starts, qt.Equals, uint64(0))
	again := d.submit("d1-1", newJob().id(once.ID{Home: home, Part: "j"}.String()).task(1, ""))
	qt.Assert(t, again.Outcome, qt.Equals, answer.Outcome, qt.Commentf("a closed id stays closed"))
	d.eventually("a job under a new home completes", func() bool {
		fresh := d.home("d1-1")
		return d.submit("d1-1", newJob().id(once.ID{Home: fresh, Part: "k"}.String()).task(1, "")).Outcome == once.Complete.String()
	})
}

// A host alone in its domain serves with homes that have no backup.
func TestAloneInTheDomain(t *testing.T) {
	d := newDriver(t, 1).start().apply("")
	d.assertOutcome(d.submit("d1-1", newJob().tasks(5, 1)), once.Complete)
}
