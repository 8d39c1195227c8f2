package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClosuresFollowTheirChanges(t *testing.T) {
	known := &Closures{Position: 10, Domains: []string{"a", "b"}}
	type scenario struct {
		testName string
		before   *Closures
		changes  ClosureChanges
		want     []string
		wantAt   uint64
		missing  bool
	}
	scenarios := []scenario{
		{testName: "the first reading", changes: ClosureChanges{Position: 5, Closed: []string{"b", "a"}}, want: []string{"a", "b"}, wantAt: 5},
		{testName: "a reading replaces what is known", before: known, changes: ClosureChanges{Position: 11, Closed: []string{"c"}}, want: []string{"c"}, wantAt: 11},
		{testName: "a reading that lags behind", before: known, changes: ClosureChanges{Position: 9}, want: []string{"a", "b"}, wantAt: 10},
		{testName: "one more is closed", before: known, changes: ClosureChanges{Since: 10, Position: 12, Closed: []string{"c"}}, want: []string{"a", "b", "c"}, wantAt: 12},
		{testName: "one is opened", before: known, changes: ClosureChanges{Since: 10, Position: 12, Opened: []string{"a"}}, want: []string{"b"}, wantAt: 12},
		{testName: "changes of which some are known", before: known, changes: ClosureChanges{Since: 7, Position: 12, Closed: []string{"b"}, Opened: []string{"x"}}, want: []string{"a", "b"}, wantAt: 12},
		{testName: "old changes", before: known, changes: ClosureChanges{Since: 7, Position: 9, Opened: []string{"a"}}, want: []string{"a", "b"}, wantAt: 10},
		{testName: "nothing has changed", before: known, changes: ClosureChanges{Since: 10, Position: 20}, want: []string{"a", "b"}, wantAt: 20},
		{testName: "changes before these are missing", before: known, changes: ClosureChanges{Since: 11, Position: 12, Closed: []string{"c"}}, want: []string{"a", "b"}, wantAt: 10, missing: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			after, ok := s.before.With(s.changes)
			c.Assert(ok, qt.Equals, !s.missing)
			c.Assert(after.Position, qt.Equals, s.wantAt)
			c.Assert(after.Domains, qt.DeepEquals, s.want)
			c.Assert(after.Closed("a"), qt.Equals, len(s.want) > 0 && s.want[0] == "a")
		})
	}
}

func TestNoClosuresAreKnownAtFirst(t *testing.T) {
	c := qt.New(t)
	var none *Closures
	c.Assert(none.Closed("a"), qt.IsFalse)
	c.Assert(none.Newer(nil), qt.IsFalse)
	c.Assert((&Closures{Position: 1}).Newer(none), qt.IsTrue)
	c.Assert(none.SameDomains(&Closures{Position: 1}), qt.IsTrue)
}
