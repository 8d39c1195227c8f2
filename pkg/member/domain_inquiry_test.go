package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// asker returns the table of a host that asks about domain y since a second, at position 50 of the store's history,
// and its first question.
func asker(c *qt.C) (*Table, ContactMark) {
	table := aloneHost("c")
	table.LinkUp(Peer{Name: "a", Domain: "z", Address: "a", Incarnation: [16]byte{1}})
	table.AskAbout([]string{"y"}, 50, time.Second)
	question, asks := table.NextQuestion(50, time.Second+firstAskAfter)
	c.Assert(asks, qt.IsTrue)
	c.Assert(question, qt.Equals, ContactMark{AsksDomains: 1})
	return table, question
}

// Guards against a host that never claims the cells of a lost domain as it may be cut off itself, and against one that
// takes a domain for lost that lives, or whose answers it can't have read.
func TestWhenAnotherDomainCountsAsLost(t *testing.T) {
	const readBack = 1500 * time.Millisecond // of the first question
	tests := []struct {
		name      string
		marks     []ContactMark // of domain y, after the first question was read back
		domain    string        // of these marks
		unread    bool          // the later questions aren't read back
		early     bool          // the last question is asked too early to conclude
		wantsLost bool
	}{
		{name: "nobody answers", wantsLost: true},
		{name: "a host lives", marks: []ContactMark{{LivesUpTo: 51}}},
		{name: "a host serves", marks: []ContactMark{{SeenUpTo: 51}}},
		{name: "an answer from before the question", marks: []ContactMark{{LivesUpTo: 49}}, wantsLost: true},
		{name: "a row without an answer", marks: []ContactMark{{Asks: 1, AsksDomains: 1}}, wantsLost: true},
		{name: "a host of another domain lives", domain: "x", marks: []ContactMark{{LivesUpTo: 51}}, wantsLost: true},
		{name: "the store shows nothing later", unread: true},
		{name: "before it had the time to answer", early: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table, question := asker(c)
			c.Assert(table.HandleOwnMark(question, readBack), qt.HasLen, 0)
			for _, mark := range test.marks {
				domain := "y"
				if test.domain != "" {
					domain = test.domain
				}
				table.HandleDomainMark(domain, mark)
			}
			at := readBack + domainAnswerTimeout
			if test.early {
				at -= time.Millisecond
			}
			question, asks := table.NextQuestion(52, at)
			c.Assert(asks, qt.IsTrue)
			if !test.unread {
				table.HandleOwnMark(question, at+time.Millisecond)
			}
			c.Assert(table.LostDomains()["y"], qt.Equals, test.wantsLost)
		})
	}
}

// Guards against a domain that counts as lost for good after it has come back, or after the host has ended to ask.
func TestALostDomainThatAnswersLives(t *testing.T) {
	c := qt.New(t)
	table, question := asker(c)
	table.HandleOwnMark(question, 2*time.Second)
	question, _ = table.NextQuestion(52, 2*time.Second+domainAnswerTimeout)
	c.Assert(table.HandleOwnMark(question, 5*time.Second), qt.DeepEquals, []string{"y"})
	asked := 5*time.Second + askInterval
	_, asks := table.NextQuestion(52, asked)
	c.Assert(asks, qt.IsTrue)
	_, asks = table.NextQuestion(52, asked+lostDomainAskInterval-1)
	c.Assert(asks, qt.IsFalse, qt.Commentf("lost domains are asked less often"))
	_, asks = table.NextQuestion(52, asked+lostDomainAskInterval)
	c.Assert(asks, qt.IsTrue)
	c.Assert(table.HandleDomainMark("y", ContactMark{LivesUpTo: 53}), qt.IsTrue)
	c.Assert(table.LostDomains(), qt.HasLen, 0)
	c.Assert(table.HandleDomainMark("y", ContactMark{LivesUpTo: 54}), qt.IsFalse, qt.Commentf("known already"))

	table.AskAbout(nil, 60, time.Minute)
	_, asks = table.NextQuestion(60, time.Minute)
	c.Assert(asks, qt.IsFalse)
	table.AskAbout([]string{"y"}, 60, time.Hour)
	c.Assert(table.HandleOwnMark(question, time.Hour), qt.HasLen, 0, qt.Commentf("a question of before"))
	c.Assert(table.LostDomains(), qt.HasLen, 0)
}

// Guards against an answer to the hosts of the own domain that is overwritten unread by a question about others.
func TestQuestionsAboutOtherDomainsKeepTheOneAboutTheOwn(t *testing.T) {
	c := qt.New(t)
	table := aloneHost("c")
	at := time.Second + firstAskAfter + maxTurn
	table.NextQuestion(10, time.Second)
	own, _ := table.NextQuestion(10, at)
	c.Assert(own, qt.Equals, ContactMark{Asks: 1})
	table.AskAbout([]string{"y"}, 10, at)
	both, _ := table.NextQuestion(10, at+firstAskAfter)
	c.Assert(both, qt.Equals, ContactMark{Asks: 1, AsksDomains: 1})
	c.Assert(table.Answer(11, true, false), qt.Equals, ContactMark{SeenUpTo: 11, AsksDomains: 1})
}

// Guards against a domain whose only host isn't sure of its own contact and answers nobody, and against answers by
// all hosts.
func TestWhichHostsAnswerOtherDomains(t *testing.T) {
	tests := []struct {
		name string
		self string
		up   []string
		want bool
	}{
		{name: "the first", self: "a", up: []string{"b", "c"}, want: true},
		{name: "the third", self: "c", up: []string{"a", "b"}},
		{name: "an isolated one", self: "a", want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := aloneHost(test.self)
			for i, name := range test.up {
				table.LinkUp(Peer{Name: name, Domain: "z", Address: name, Incarnation: [16]byte{byte(i + 1)}})
			}
			cannot := func(Peer) bool { return false }
			qt.Assert(t, table.ShouldAnswerDomain(cannot, 2*time.Second), qt.Equals, test.want)
		})
	}
}

// Guards against hosts that count as ended for good though they may have started again.
func TestWhenAHostIsKnownToHaveEnded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Peer{Name: "a", Domain: "z", Address: "a"}, nil, 2)
	c.Assert(table.HasEnded("b", time.Minute), qt.IsFalse)
	table.ConnectionRefused("b", time.Minute)
	c.Assert(table.HasEnded("b", time.Minute+EndedFor-1), qt.IsTrue)
	c.Assert(table.HasEnded("b", time.Minute+EndedFor), qt.IsFalse)
	table.ConnectionRefused("b", time.Hour)
	table.LinkUp(Peer{Name: "b", Domain: "z", Address: "b"})
	c.Assert(table.HasEnded("b", time.Hour), qt.IsFalse, qt.Commentf("it has started again"))
}
