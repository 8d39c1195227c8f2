package integration

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

// Guards against the library giving up before the refusal that the host sends at the
// deadline of a job that has not started.
func TestClientWaitsForTheAnswerAtTheDeadline(t *testing.T) {
	d := newDriver(t, 1).start().apply("")
	d.startHanging(allSlots)
	callers := client.New(client.Options{Entries: []string{d.settings["d1-1"].CallerAddress}})
	_, err := callers.Submit(context.Background(), client.Job{Service: "desk", Team: "a", Deadline: 300 * time.Millisecond, Tasks: []json.RawMessage{json.RawMessage(`{}`)}})
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.DeadlinePassed)
	jobError, ok := err.(*client.JobError)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, jobError.Outcome, qt.Equals, once.Refused)
	qt.Assert(t, client.MayHaveRun(err), qt.IsFalse)
}
