package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	qt "github.com/frankban/quicktest"
)

// A domain that was cut off serves by itself. What was seen of it at a cut says
// nothing at the next.
func TestLooksAtADomainBeginAnewAtTheNextCut(t *testing.T) {
	c := qt.New(t)
	f := newForeignDomains()
	now := time.Minute
	claim, look := f.due("far", now)
	c.Assert(claim, qt.IsFalse)
	c.Assert(look, qt.IsTrue)
	f.looked("far", true, now)
	f.keepOnly([]string{"far"})
	claim, _ = f.due("far", now+reachableLimit)
	c.Assert(claim, qt.IsTrue, qt.Commentf("reachable for long enough"))

	f.keepOnly(nil) // the domain has an owner of its own again
	claim, look = f.due("far", now+time.Minute)
	c.Assert(claim, qt.IsFalse)
	c.Assert(look, qt.IsTrue)
}

// answeringExecutors answer all holds alike, and no other order.
type answeringExecutors struct {
	Executors
	verdict cell.Verdict
}

func (e *answeringExecutors) Hold(*catalog.Executor, HoldOrder, time.Duration) cell.HoldResponse {
	return cell.HoldResponse{Verdict: e.verdict}
}

// An error that the protocol doesn't name may come from what stands before an executor,
// while the executor itself is out of reach.
func TestWhichAnswersShowThatADomainCanBeReached(t *testing.T) {
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
			n.foreign.due("z", time.Second)
			n.lookAt("z")
			c.Assert(n.foreign.domains["z"].since > 0, qt.Equals, s.want)
		})
	}
}
