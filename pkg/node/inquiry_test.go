package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/member"
	qt "github.com/frankban/quicktest"
)

// markStore is a store that records the rows that a node announces.
type markStore struct {
	Store
	mu        sync.Mutex
	announced []Member
}

func (s *markStore) Announce(_ context.Context, row Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = append(s.announced, row)
	return nil
}

func (s *markStore) marks() []member.ContactMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marks []member.ContactMark
	for _, row := range s.announced {
		marks = append(marks, row.Contact)
	}
	return marks
}

// cutOffNode returns a node of domain z that has just lost both other hosts of it, b and c, while its store
// and two hosts of domain y are in reach.
func cutOffNode(t *testing.T) (*Node, *manualClock, *markStore) {
	n := peerNode(t, "a", "z", 1)
	store := &markStore{}
	n.store = store
	clock := linkTwoDomains(n)
	n.mu.Lock()
	n.rowsRead, n.membersPosition = true, 10
	n.mu.Unlock()
	clock.now += time.Minute
	n.LinkDown("b")
	n.LinkDown("c")
	return n, clock, store
}

// markOf returns a change of a host's row in domain z.
func markOf(name string, mark member.ContactMark, position uint64) MemberChanges {
	return MemberChanges{Position: position, Listed: []Member{{Name: name, Domain: "z", PeerAddress: name, Contact: mark}}}
}

// Guards against a host that is cut off for long and accepts jobs and claims cells, as if it had outlived
// the others.
func TestAHostThatIsCutOffStaysIsolatedWhileOthersLive(t *testing.T) {
	tests := []struct {
		name    string
		changes MemberChanges
		want    bool
	}{
		{name: "another one answers", changes: markOf("b", member.ContactMark{SeenUpTo: 11}, 12), want: true},
		{name: "none answers"},
		{name: "an answer to an earlier question", changes: markOf("b", member.ContactMark{SeenUpTo: 9}, 12)},
		{name: "the row of another one without a mark", changes: markOf("b", member.ContactMark{}, 12)},
		{name: "its own mark", changes: markOf("a", member.ContactMark{SeenUpTo: 11}, 12)},
		{name: "a host of another domain answers", changes: MemberChanges{Position: 12, Listed: []Member{{Name: "d", Domain: "y", Contact: member.ContactMark{SeenUpTo: 11}}}}},
	}
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
	listing := newListing(0, list, sizesOf(list), map[string]int{"z": 1})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n, clock, store := cutOffNode(t)
			n.updateIsolation(clock.now)
			clock.now += time.Second
			n.updateIsolation(clock.now)
			eventually(c, func() bool { return len(store.marks()) == 1 })
			c.Assert(store.marks()[0], qt.Equals, member.ContactMark{Asks: 1})
			n.handleMarks(test.changes)
			clock.now += member.IsolationLimit - 500*time.Millisecond
			c.Assert(n.contact().isolated, qt.Equals, test.want)
			c.Assert(len(mayBeClaimed(n.claimCandidates(listing, clock.now))) == 0, qt.Equals, test.want)
		})
	}
}

// Guards against a host that serves beside the others for the rest of a cut, as it couldn't ask in time.
func TestAHostThatServesAloneIsIsolatedOnceAnotherOneAnswers(t *testing.T) {
	c := qt.New(t)
	n, clock, _ := cutOffNode(t)
	n.updateIsolation(clock.now)
	clock.now += member.IsolationLimit
	c.Assert(n.contact().isolated, qt.IsFalse)
	n.handleMarks(markOf("b", member.ContactMark{SeenUpTo: 11}, 12))
	c.Assert(n.contact().isolated, qt.IsTrue)
}

// Guards against questions that nobody answers, and against answers by hosts that are isolated themselves.
func TestAHostAnswersThoseThatAreAlone(t *testing.T) {
	c := qt.New(t)
	n, clock, store := cutOffNode(t)
	question := markOf("c", member.ContactMark{Asks: 3}, 20)
	n.handleMarks(question)
	linkUp(n, "b", "z")
	n.handleMarks(MemberChanges{Position: 21, Listed: []Member{{Name: "c", Domain: "z", Contact: member.ContactMark{SeenUpTo: 3}}}})
	c.Assert(store.marks(), qt.HasLen, 0)
	question.Position = 22
	n.handleMarks(question)
	eventually(c, func() bool { return len(store.marks()) == 1 })
	c.Assert(store.marks()[0], qt.Equals, member.ContactMark{SeenUpTo: 22})
	n.updateIsolation(clock.now)
	c.Assert(store.marks(), qt.HasLen, 1, qt.Commentf("a host that reaches another one asks nothing"))
}

// Guards against a domain whose rows all hosts apply anew with each question and answer.
func TestMarksChangeNoRows(t *testing.T) {
	c := qt.New(t)
	n := peerNode(t, "a", "z", 1)
	row := Member{Name: "b", Domain: "z", PeerAddress: "127.0.0.2:1", Contact: member.ContactMark{Asks: 1}}
	c.Assert(n.affectsRows(MemberChanges{Listed: []Member{row}}), qt.IsTrue)
	n.setRows([]Member{n.ownRow(), row})
	row.Contact = member.ContactMark{Asks: 2}
	c.Assert(n.affectsRows(MemberChanges{Listed: []Member{row}}), qt.IsFalse)
	row.PeerAddress = "127.0.0.3:1"
	c.Assert(n.affectsRows(MemberChanges{Listed: []Member{row}}), qt.IsTrue)
}

// Guards against answers that come too late in a large domain, whose hosts read the rows at long intervals.
func TestHowSoonHostsReadMarksInALargeDomain(t *testing.T) {
	const hosts = 400
	tests := []struct {
		name  string
		links []string
		want  time.Duration
	}{
		{name: "alone", want: maxPauseAlone},
		{name: "the second of those that reach each other", links: []string{"h-000"}, want: minMembersPause},
		{name: "a further one", links: []string{"h-000", "h-001"}, want: membersPauseFor(hosts + 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := peerNode(t, "z-1", "z", 1)
			n.settings.Weight = 800 // a hub
			rows := []Member{n.ownRow()}
			for i := range hosts {
				name := fmt.Sprintf("h-%03d", i)
				row := Member{Name: name, Domain: "z", PeerAddress: name, Answers: true}
				if slices.Contains(test.links, name) {
					row.Capacity.CPU = n.settings.Weight
				}
				rows = append(rows, row)
			}
			n.setRows(rows)
			for _, name := range test.links {
				linkUp(n, name, "z")
			}
			c.Assert(n.membersPause(), qt.Equals, test.want)
		})
	}
}

// Guards against isolations of which the log doesn't tell why they began and ended.
func TestWhatIsLoggedOfAnIsolation(t *testing.T) {
	answer := markOf("b", member.ContactMark{SeenUpTo: 11}, 12)
	tests := []struct {
		name   string
		before func(n *Node, clock *manualClock)
		want   isolationChange
	}{
		{name: "no answer", before: func(_ *Node, clock *manualClock) { clock.now += member.IsolationLimit },
			want: isolationChange{reason: endedWithoutAnswer, lasted: member.IsolationLimit}},
		{name: "the store can't be read", before: func(n *Node, clock *manualClock) {
			n.membersReadFails.Store(true)
			clock.now += member.IsolationLimit
		}, want: isolationChange{reason: endedWithUnclearAnswer, lasted: member.IsolationLimit}},
		{name: "contact", before: func(n *Node, clock *manualClock) {
			clock.now += time.Second
			linkUp(n, "b", "z")
		}, want: isolationChange{reason: endedByContact, lasted: time.Second}},
		{name: "an answer to a host that serves alone", before: func(n *Node, clock *manualClock) {
			clock.now += member.IsolationLimit
			n.observeIsolation(clock.now)
			n.takeMarks(answer.Listed, answer.Position, clock.now)
		}, want: isolationChange{began: true, evidence: contactEvidence{kind: member.OtherServes, by: "b"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n, clock, _ := cutOffNode(t)
			n.members.NextQuestion(n.membersPosition, clock.now)
			c.Assert(*n.observeIsolation(clock.now), qt.Equals, isolationChange{began: true})
			c.Assert(n.observeIsolation(clock.now), qt.IsNil, qt.Commentf("nothing has changed"))
			test.before(n, clock)
			c.Assert(*n.observeIsolation(clock.now), qt.Equals, test.want)
		})
	}
}

// Guards against a domain in which nobody answers, as hosts of earlier builds come first.
func TestHostsThatDoNotAnswerAreNotCounted(t *testing.T) {
	for _, answer := range []bool{true, false} {
		t.Run(fmt.Sprintf("they answer: %t", answer), func(t *testing.T) {
			c := qt.New(t)
			n := peerNode(t, "x", "z", 1)
			store := &markStore{}
			n.store = store
			rows := []Member{n.ownRow()}
			for _, name := range []string{"b", "c"} {
				rows = append(rows, Member{Name: name, Domain: "z", PeerAddress: name, Answers: answer})
				linkUp(n, name, "z")
			}
			n.setRows(rows)
			n.handleMarks(markOf("d", member.ContactMark{Asks: 1}, 20))
			if answer {
				c.Assert(store.marks(), qt.HasLen, 0)
				return
			}
			eventually(c, func() bool { return len(store.marks()) == 1 })
		})
	}
}

// Guards against a host that is cut off for over a minute, removes the rows of the others, and counts as the only
// one of its domain from then on.
func TestAHostThatIsAloneRemovesNoRows(t *testing.T) {
	c := qt.New(t)
	n, clock, _ := cutOffNode(t)
	n.mu.Lock()
	for _, name := range []string{"b", "c"} {
		n.memberRows[name] = Member{Name: name, Domain: "z", PeerAddress: name}
	}
	n.mu.Unlock()
	c.Assert(n.isAlone(), qt.IsTrue)
	for range 10 {
		clock.now += rowsInterval
		c.Assert(n.staleRows(clock.now), qt.HasLen, 0)
	}
	linkUp(n, "b", "z")
	c.Assert(n.staleRows(clock.now), qt.HasLen, 0, qt.Commentf("the other one may come back as well"))
	clock.now += rowExpiry + time.Second
	c.Assert(n.staleRows(clock.now), qt.DeepEquals, []string{"c"})
}

// Guards against an answer that is lost as the store has forgotten its history, so that the rows are read whole.
func TestAnAnswerInAFullReadCounts(t *testing.T) {
	c := qt.New(t)
	n, clock, _ := cutOffNode(t)
	n.updateIsolation(clock.now)
	rows := markOf("b", member.ContactMark{SeenUpTo: 11}, 12)
	rows.Listed = append(rows.Listed, Member{Name: "c", Domain: "z", PeerAddress: "c"})
	n.store = &fullReadStore{rows: rows}
	_, err := n.readMembers(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(n.isolation.evidence.kind, qt.Equals, member.OtherServes)
}

// fullReadStore answers full reads of the hosts' rows.
type fullReadStore struct {
	Store
	rows MemberChanges
}

func (s *fullReadStore) Members(context.Context) (MemberChanges, error) { return s.rows, nil }

func (s *fullReadStore) Announce(context.Context, Member) error { return nil }
