package once

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

var testPolicy = Policy{HomeLife: 10 * time.Second, Retention: 100 * time.Second, MaxIDs: 3}

func complete() *Answer { return &Answer{Outcome: Complete, Results: [][]byte{[]byte("ok")}} }

func TestPrimarySubmit(t *testing.T) {
	const digest = 5
	scenarios := []struct {
		testName string
		before   func(p *Primary, id ID)
		digest   uint64
		now      time.Duration
		verdict  Verdict
		outcome  Outcome
		kind     errkind.Kind
	}{
		{"a new id is recorded first", func(*Primary, ID) {}, digest, 0, Record, 0, ""},
		{"an id whose record is outstanding is joined", func(p *Primary, id ID) { p.Submit(id, digest, 0) }, digest, 0, Join, 0, ""},
		{"a running id is joined", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.Recorded(id) }, digest, 0, Join, 0, ""},
		{"an ended id returns its stored answer", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.Recorded(id); p.End(id, complete()) }, digest, 0, Answered, Complete, ""},
		{"another body under the id", func(p *Primary, id ID) { p.Submit(id, digest, 0) }, digest + 1, 0, Answered, Unknown, errkind.IDReused},
		{"a lost record closes the id", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.RecordLost(id) }, digest, 0, Answered, Refused, errkind.HomeClosed},
		{"a lost record closes the home for other ids", func(p *Primary, id ID) {
			other := ID{Home: id.Home, Part: "other"}
			p.Submit(other, digest, 0)
			p.RecordLost(other)
		}, digest, 0, Answered, Refused, errkind.HomeClosed},
		{"a new id under an expired home", func(*Primary, ID) {}, digest, 11 * time.Second, Answered, Refused, errkind.HomeClosed},
		{"a known id under an expired home", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.Recorded(id); p.End(id, complete()) }, digest, 50 * time.Second, Answered, Complete, ""},
		{"an id older than the retention", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.Recorded(id); p.End(id, complete()) }, digest, 101 * time.Second, Answered, Unknown, errkind.Forgotten},
		{"an open job is not evicted", func(p *Primary, id ID) { p.Submit(id, digest, 0); p.Recorded(id) }, digest, 101 * time.Second, Join, 0, ""},
		{"reaching MaxIDs closes the homes", func(p *Primary, id ID) {
			for _, part := range []string{"a", "b", "c"} {
				p.Submit(ID{Home: id.Home, Part: part}, digest, 0)
			}
		}, digest, 0, Answered, Refused, errkind.HomeClosed},
		{"a planned stop closes the homes", func(p *Primary, _ ID) { p.CloseAll() }, digest, 0, Answered, Refused, errkind.HomeClosed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			p := NewPrimary(Incarnation{1}, "d", testPolicy)
			home, ok := p.Home(Incarnation{2}, 0)
			qt.Assert(t, ok, qt.IsTrue)
			id := ID{Home: home, Part: "x"}
			s.before(p, id)
			verdict, answer := p.Submit(id, s.digest, s.now)
			qt.Assert(t, verdict, qt.Equals, s.verdict)
			if s.verdict != Answered {
				qt.Assert(t, answer, qt.IsNil)
				return
			}
			qt.Assert(t, answer.Outcome, qt.Equals, s.outcome)
			qt.Assert(t, answer.Kind, qt.Equals, s.kind)
		})
	}
}

func TestPrimaryRefusesForeignHomes(t *testing.T) {
	p := NewPrimary(Incarnation{1}, "d", testPolicy)
	verdict, _ := p.Submit(ID{Home: Home{Domain: "d", Primary: Incarnation{9}, Epoch: 1}, Part: "x"}, 1, 0)
	qt.Assert(t, verdict, qt.Equals, NotMine)
	// No task can have run under a home that this incarnation never minted.
	verdict, answer := p.Submit(ID{Home: Home{Domain: "d", Primary: Incarnation{1}, Epoch: 4}, Part: "x"}, 1, 0)
	qt.Assert(t, verdict, qt.Equals, Answered)
	qt.Assert(t, answer.Outcome, qt.Equals, Refused)
}

func TestPrimaryHome(t *testing.T) {
	p := NewPrimary(Incarnation{1}, "d", testPolicy)
	first, _ := p.Home(Incarnation{2}, 0)
	same, _ := p.Home(Incarnation{2}, time.Second)
	qt.Assert(t, same, qt.Equals, first)
	otherBackup, _ := p.Home(Incarnation{3}, time.Second)
	qt.Assert(t, otherBackup.Epoch, qt.Equals, first.Epoch+1)
	older, _ := p.Home(Incarnation{3}, 7*time.Second)
	qt.Assert(t, older.Epoch, qt.Equals, first.Epoch+2)
	solo, _ := p.Home(Incarnation{}, 7*time.Second)
	qt.Assert(t, solo.HasBackup(), qt.IsFalse)
	verdict, _ := p.Submit(ID{Home: solo, Part: "x"}, 1, 7*time.Second)
	qt.Assert(t, verdict, qt.Equals, Run)
}

func TestPrimaryLateEvents(t *testing.T) {
	p := NewPrimary(Incarnation{1}, "d", testPolicy)
	home, _ := p.Home(Incarnation{2}, 0)
	id := ID{Home: home, Part: "x"}
	p.Submit(id, 1, 0)
	refused := p.RecordLost(id)
	qt.Assert(t, p.Recorded(id), qt.IsFalse, qt.Commentf("a late acknowledgement must not start the tasks"))
	qt.Assert(t, p.End(id, complete()), qt.Equals, refused, qt.Commentf("the first answer is kept"))
	_, ok := p.Home(Incarnation{2}, 0)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestPrimaryEvictsExpiredHomes(t *testing.T) {
	p := NewPrimary(Incarnation{1}, "d", testPolicy)
	home, _ := p.Home(Incarnation{}, 0)
	p.Submit(ID{Home: home, Part: "x"}, 1, 0)
	p.End(ID{Home: home, Part: "x"}, complete())
	qt.Assert(t, p.Len(), qt.Equals, 1)
	p.Home(Incarnation{}, testPolicy.Retention+1)
	qt.Assert(t, p.Len(), qt.Equals, 0)
}
