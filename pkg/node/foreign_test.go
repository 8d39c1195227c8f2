package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	qt "github.com/frankban/quicktest"
)

// A domain that is cut off by the network serves by itself. Probes during one network
// partition must not allow a claim during the next.
func TestProbesOfADomainStartOverAtTheNextPartition(t *testing.T) {
	c := qt.New(t)
	f := newForeignDomains()
	now := time.Minute
	mayClaim, probeDue := f.due("far", now)
	c.Assert(mayClaim, qt.IsFalse)
	c.Assert(probeDue, qt.IsTrue)
	f.recordProbe("far", true, now)
	f.retainOnly([]string{"far"})
	mayClaim, _ = f.due("far", now+minReachable)
	c.Assert(mayClaim, qt.IsTrue, qt.Commentf("reachable for long enough"))

	f.retainOnly(nil) // the domain has an owner of its own again
	mayClaim, probeDue = f.due("far", now+time.Minute)
	c.Assert(mayClaim, qt.IsFalse)
	c.Assert(probeDue, qt.IsTrue)
}

// answeringExecutors answers every hold request with the same verdict.
type answeringExecutors struct {
	Executors
	verdict cell.Verdict
}

func (e *answeringExecutors) Hold(*catalog.Executor, HoldRequest, time.Duration) cell.HoldResponse {
	return cell.HoldResponse{Verdict: e.verdict}
}

// An error that the protocol does not define may come from a proxy in front of an executor
// that is itself unreachable.
func TestVerdictsThatShowADomainToBeReachable(t *testing.T) {
	type scenario struct {
		verdict cell.Verdict
		want    bool
	}
	scenarios := []scenario{
		{verdict: cell.Accepted, want: true},
		{verdict: cell.Fenced, want: true},
		{verdict: cell.Unhealthy, want: true},
		{verdict: cell.WrongIncarnation, want: true},
		{verdict: cell.Rejected, want: true},
		{verdict: cell.Unanswered},
		{verdict: cell.Unreached},
		{verdict: cell.Unclear},
	}
	for _, s := range scenarios {
		t.Run(s.verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.executors.Store(newListing(0, &catalog.Executors{ByID: map[string]catalog.Executor{"a": callable("a", "s")}}, nil, nil))
			n.front.calls.executors = &answeringExecutors{verdict: s.verdict}
			n.foreignDomains.due("z", time.Second)
			n.probe("z")
			c.Assert(n.foreignDomains.domains["z"].reachableSince > 0, qt.Equals, s.want)
		})
	}
}
