package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRowsWith(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.setRows([]Member{{Name: "a", Domain: "z", PeerAddress: "127.0.0.1:1"}, {Name: "b", Domain: "z"}})
	rows := n.rowsWith(MemberChanges{Listed: []Member{{Name: "b", Domain: "y"}, {Name: "c"}}, Removed: []string{"a", "unknown"}})
	byName := map[string]Member{}
	for _, row := range rows {
		byName[row.Name] = row
	}
	c.Assert(byName, qt.DeepEquals, map[string]Member{"b": {Name: "b", Domain: "y"}, "c": {Name: "c"}})
	c.Assert(n.memberRows, qt.HasLen, 2, qt.Commentf("only setRows changes them"))
}
