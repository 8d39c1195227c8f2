package integration

import (
	"fmt"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

// Every host returns the complete answer of a job, in order, and its tasks start once
// however often it is submitted.
func TestCompleteAnswer(t *testing.T) {
	d := newDriver(t, 3).start().apply("")
	home := d.home("d1-1")
	job := newJob().id(once.ID{Home: home, Part: "j"}.String()).tasks(20, 1)
	var answers []<-chan jobAnswer
	for name := range d.hosts {
		answers = append(answers, d.submitLater(name, job), d.submitLater(name, job))
	}
	for _, pending := range answers {
		answer := <-pending
		d.assertOutcome(answer, once.Complete)
		for i, result := range answer.Results {
			qt.Assert(t, string(result), qt.Equals, fmt.Sprintf("result %d", i))
		}
		qt.Assert(t, answer.Results, qt.HasLen, 20)
	}
	qt.Assert(t, d.ledger.Counters().Starts, qt.Equals, uint64(20))
	d.assertNoDoubles()
}

// A job submitted at one host uses the slots of its whole domain, and those of another
// domain when its own is full.
func TestLargeJobGetsAllSlots(t *testing.T) {
	d := newDriver(t, 2, 2).start().apply("default_deadline = 1m\nmax_deadline = 1m")
	const all = 2 * executorsPerDomain * slots
	d.submitLater("d1-1", newJob().tasks(all, 60_000))
	d.waitForStarts(all)
}

// Guards against mixing up the answers of two concurrent submissions.
func TestAnswersDoNotCross(t *testing.T) {
	d := newDriver(t, 3).start().apply("")
	pending := map[string]<-chan jobAnswer{}
	for i := range 30 {
		text := fmt.Sprint("job ", i)
		pending[text] = d.submitLater(fmt.Sprintf("d1-%d", i%3+1), newJob().task(float64(i%5), text).task(1, text))
	}
	for text, answers := range pending {
		answer := <-answers
		d.assertOutcome(answer, once.Complete)
		qt.Assert(t, string(answer.Results[0])+string(answer.Results[1]), qt.Equals, text+text)
	}
}
