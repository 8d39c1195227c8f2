package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a host that is cut off from all others and accepts jobs that are open at one of them.
func TestIsIsolated(t *testing.T) {
	lost := func(t *Table) {
		t.LinkUp(peerNamed(1, "a"))
		t.LinkDown("a:1", time.Second)
	}
	tests := []struct {
		name   string
		listed []ListedHost
		before func(t *Table)
		now    time.Duration
		want   bool
	}{
		{name: "no rows read", before: lost, now: 2 * time.Second},
		{name: "one host is out of reach", listed: []ListedHost{{Domain: "a", Address: "a:1"}}, before: lost, now: 2 * time.Second},
		{name: "hosts of other domains only", listed: []ListedHost{{Domain: "b", Address: "b:1"}, {Domain: "b", Address: "b:2"}}, before: lost, now: 2 * time.Second},
		{name: "all are out of reach", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "b", Address: "b:1"}}, before: lost, now: 2 * time.Second, want: true},
		{name: "all of the domain are out of reach", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "a", Address: "a:2"}, {Domain: "b", Address: "b:3"}},
			before: func(t *Table) { lost(t); t.LinkUp(peerNamed(3, "b")) }, now: 2 * time.Second, want: true},
		{name: "the other one of two is out of reach", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "b", Address: "b:3"}},
			before: func(t *Table) { lost(t); t.LinkUp(peerNamed(3, "b")) }, now: 2 * time.Second},
		{name: "for a long time", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "b", Address: "b:1"}}, before: lost, now: time.Second + IsolationLimit},
		{name: "one is in reach", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "a", Address: "a:2"}, {Domain: "b", Address: "b:1"}},
			before: func(t *Table) { lost(t); t.LinkUp(peerNamed(2, "a")) }, now: 2 * time.Second},
		{name: "only this host itself is in reach, by a second address", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "a", Address: "a:2"}},
			before: func(t *Table) {
				self := peerNamed(0, "a")
				self.Address = "second:0"
				t.LinkUp(self)
				lost(t)
			}, now: 2 * time.Second, want: true},
		{name: "none was in reach yet", listed: []ListedHost{{Domain: "a", Address: "a:1"}, {Domain: "b", Address: "b:1"}}, before: func(*Table) {}, now: time.Second, want: true},
		{name: "all others have stopped as planned", listed: []ListedHost{{Domain: "a", Address: "a:1", Leaving: true}, {Domain: "b", Address: "b:1", Leaving: true}}, before: lost, now: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(peerNamed(0, "a"), nil, 2)
			table.SetListed(test.listed)
			test.before(table)
			qt.Assert(t, table.IsIsolated(test.now), qt.Equals, test.want)
		})
	}
}
