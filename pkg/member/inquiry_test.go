package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// aloneHost returns the table of a host that has lost all others of its domain at a second. It comes
// after a, b and c by name.
func aloneHost(name string) *Table {
	self := peerNamed(9, "z")
	self.Name = name
	t := NewTable(self, nil, 2)
	var listed []ListedHost
	for _, other := range []string{"a", "b", "c", "d"} {
		if other != name {
			listed = append(listed, ListedHost{Name: other, Domain: "z", Address: other})
		}
	}
	t.SetListed(append(listed, ListedHost{Name: name, Domain: "z", Address: self.Address}))
	lost := Peer{Name: listed[0].Name, Domain: "z", Address: listed[0].Address}
	lost.Incarnation[0] = 1
	t.LinkUp(lost)
	t.LinkDown(lost.Address, time.Second)
	return t
}

// Guards against a host that is cut off for long and counts the others as lost though the store shows that
// they live, and against one that has outlived the others and never serves.
func TestWhichMarksShowThatOthersLive(t *testing.T) {
	const lost, asked = time.Second, 50 // the position at the question
	tests := []struct {
		name     string
		self     string
		mark     ContactMark
		takenAt  time.Duration
		want     Evidence
		isolated bool // at the end of the limit after the loss
	}{
		{name: "no mark", self: "c", takenAt: 2 * time.Second},
		{name: "a host that serves answers", self: "c", mark: ContactMark{SeenUpTo: 51}, takenAt: 2 * time.Second, want: OtherServes, isolated: true},
		{name: "a later one answers", self: "a", mark: ContactMark{SeenUpTo: 51}, takenAt: 2 * time.Second, want: OtherServes, isolated: true},
		{name: "an answer from before the question", self: "c", mark: ContactMark{SeenUpTo: 49}, takenAt: 2 * time.Second},
		{name: "an earlier host asks too", self: "c", mark: ContactMark{Asks: 1}, takenAt: 2 * time.Second, want: OtherAsksFirst, isolated: true},
		{name: "a later host asks too", self: "a", mark: ContactMark{Asks: 1}, takenAt: 2 * time.Second},
		{name: "a host that serves alone asks", self: "a", mark: ContactMark{Asks: 1, SeenUpTo: 51}, takenAt: 2 * time.Second, want: OtherServes, isolated: true},
		{name: "an earlier host asks while this one serves", self: "c", mark: ContactMark{Asks: 1}, takenAt: lost + IsolationLimit},
		{name: "a host that serves answers while this one serves", self: "c", mark: ContactMark{SeenUpTo: 51}, takenAt: lost + IsolationLimit, want: OtherServes, isolated: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table := aloneHost(test.self)
			table.NextQuestion(asked, lost)
			_, asks := table.NextQuestion(asked, lost+firstAskAfter+maxTurn)
			c.Assert(asks, qt.IsTrue)
			c.Assert(table.IsIsolated(2*time.Second), qt.IsTrue)
			other := map[string]string{"a": "b", "c": "b"}[test.self]
			c.Assert(table.HandleMark(other, test.mark, 60, test.takenAt), qt.Equals, test.want)
			c.Assert(table.IsIsolated(max(test.takenAt, lost+IsolationLimit)), qt.Equals, test.isolated)
			c.Assert(table.IsIsolated(test.takenAt+IsolationLimit), qt.IsFalse, qt.Commentf("signs count for a while"))
		})
	}
}

// Guards against questions by all hosts at once, and against a host that asks once only.
func TestWhenAHostThatIsAloneAsks(t *testing.T) {
	c := qt.New(t)
	table := aloneHost("c")
	const turn = 2 * maxTurn / maxMeshSize // a and b ask before
	ask := func(position uint64, at time.Duration) ContactMark {
		mark, asks := table.NextQuestion(position, at)
		c.Assert(asks, qt.Equals, mark.Asks > 0)
		return mark
	}
	c.Assert(ask(0, time.Second), qt.Equals, ContactMark{}, qt.Commentf("the rows haven't been read"))
	c.Assert(ask(10, time.Second), qt.Equals, ContactMark{}, qt.Commentf("its links may come up"))
	first := time.Second + firstAskAfter + turn
	c.Assert(ask(10, first-1), qt.Equals, ContactMark{})
	c.Assert(ask(10, first), qt.Equals, ContactMark{Asks: 1})
	c.Assert(ask(11, first+askInterval-1), qt.Equals, ContactMark{})
	c.Assert(ask(11, first+askInterval), qt.Equals, ContactMark{Asks: 2})
	answered := first + askInterval + 500*time.Millisecond
	c.Assert(table.HandleMark("a", ContactMark{SeenUpTo: 12}, 13, answered), qt.Equals, OtherServes)
	c.Assert(ask(13, answered+askInterval), qt.Equals, ContactMark{}, qt.Commentf("the answer counts for a while"))
	c.Assert(ask(13, answered+askInterval+turn), qt.Equals, ContactMark{Asks: 3})
	serves := answered + IsolationLimit
	c.Assert(ask(14, serves), qt.Equals, ContactMark{Asks: 4, SeenUpTo: 14}, qt.Commentf("it serves"))
	c.Assert(ask(14, serves+aloneAskInterval-1), qt.Equals, ContactMark{})
	c.Assert(ask(14, serves+aloneAskInterval).Asks, qt.Equals, uint64(5))
	back := Peer{Name: "b", Domain: "z", Address: "b"}
	back.Incarnation[0] = 2
	table.LinkUp(back)
	c.Assert(ask(14, time.Minute), qt.Equals, ContactMark{}, qt.Commentf("it reaches another one"))
}

// Guards against answers by all hosts of a domain, by none, and by hosts that are isolated themselves.
func TestWhichHostsAnswer(t *testing.T) {
	tests := []struct {
		name   string
		self   string
		up     []string
		cannot string // reach the store
		asker  string
		want   bool
	}{
		{name: "the first", self: "a", up: []string{"b", "c"}, asker: "d", want: true},
		{name: "the second", self: "b", up: []string{"a", "c"}, asker: "d", want: true},
		{name: "the third", self: "c", up: []string{"a", "b"}, asker: "d"},
		{name: "the third, while one before it doesn't reach the store", self: "c", up: []string{"a", "b"}, cannot: "a", asker: "d", want: true},
		{name: "the third, while one before it asks", self: "c", up: []string{"a", "b"}, asker: "b", want: true},
		{name: "an isolated one", self: "a", asker: "d"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := aloneHost(test.self)
			for i, name := range test.up {
				peer := Peer{Name: name, Domain: "z", Address: name}
				peer.Incarnation[0] = byte(i + 1)
				table.LinkUp(peer)
			}
			cannot := func(peer Peer) bool { return peer.Name == test.cannot }
			qt.Assert(t, table.ShouldAnswer(test.asker, cannot, 2*time.Second), qt.Equals, test.want)
		})
	}
}

// Guards against hosts of a large domain that are all cut from each other, and of which all serve: the first one
// by name serves, and has to answer the others though it is no hub.
func TestTheHostThatServesAloneAnswersInALargeDomain(t *testing.T) {
	var listed []ListedHost
	for i := range 200 {
		name := fmt.Sprintf("h%03d", i)
		weight := 1000
		if i == 0 {
			weight = 192 // the first one by name is weak
		}
		listed = append(listed, ListedHost{Name: name, Domain: "z", Address: name, Weight: weight})
	}
	self := Peer{Name: "h000", Domain: "z", Address: "h000"}
	self.Incarnation[0] = 1
	table := NewTable(self, nil, 2)
	table.SetListed(listed)
	other := Peer{Name: "h001", Domain: "z", Address: "h001"}
	other.Incarnation[0] = 2
	table.LinkUp(other)
	table.LinkDown("h001", time.Second)
	refused := time.Duration(0)
	for now := time.Second; now < 5*time.Minute; now += 100 * time.Millisecond {
		table.Wanted(now)
		if !table.IsIsolated(now) {
			if table.ShouldAnswer("h100", func(Peer) bool { return false }, now) {
				break
			}
			refused += 100 * time.Millisecond
		}
	}
	qt.Assert(t, refused < IsolationLimit, qt.IsTrue, qt.Commentf("it serves and doesn't answer for %s", refused))
}
