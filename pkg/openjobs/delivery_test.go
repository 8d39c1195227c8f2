package openjobs

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDelivery(t *testing.T) {
	type round struct {
		confirmed []string // hosts that have received the announcement by then
		relays    []string
		isOver    bool
		missing   []string
	}
	scenarios := []struct {
		testName    string
		hosts       []string
		unreachable []string
		lostLately  bool
		rounds      []round
	}{
		{testName: "no other host", rounds: []round{{isOver: true}}},
		{testName: "all reply: nothing is relayed", hosts: []string{"b", "c"}, rounds: []round{
			{confirmed: []string{"b", "c"}, isOver: true},
		}},
		{testName: "two others relay", hosts: []string{"b", "c", "d", "e"}, rounds: []round{
			{confirmed: []string{"b", "c", "d"}, relays: []string{"b", "c"}, missing: []string{"e"}},
			{confirmed: []string{"b", "c", "d", "e"}, isOver: true},
		}},
		{testName: "the relays don't reach it: others do", hosts: []string{"b", "c", "d", "e"}, rounds: []round{
			{confirmed: []string{"b", "c", "d"}, relays: []string{"b", "c"}, missing: []string{"e"}},
			{confirmed: []string{"b", "c", "d"}, relays: []string{"d"}, missing: []string{"e"}},
		}},
		{testName: "a host that nobody reaches", hosts: []string{"b", "c", "d", "e", "f"}, unreachable: []string{"g"}, rounds: []round{
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"b", "c"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"d", "e"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, isOver: true, missing: []string{"g"}},
		}},
		{testName: "a host that was in reach a moment ago: all others relay", hosts: []string{"b", "c", "d", "e", "f"}, unreachable: []string{"g"}, lostLately: true, rounds: []round{
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"b", "c"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"d", "e"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"f"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f", "g"}, isOver: true},
		}},
		{testName: "a host whose link counts as up: all others relay", hosts: []string{"b", "c", "d", "e", "f", "g"}, rounds: []round{
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"b", "c"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"d", "e"}, missing: []string{"g"}},
			{confirmed: []string{"b", "c", "d", "e", "f"}, relays: []string{"f"}, missing: []string{"g"}},
		}},
		{testName: "the relay replies late", hosts: []string{"b", "c"}, rounds: []round{
			{missing: []string{"b", "c"}},
			{confirmed: []string{"b"}, relays: []string{"b"}, missing: []string{"c"}},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := NewDelivery(s.hosts, s.unreachable, s.lostLately)
			for _, r := range s.rounds {
				d.Confirmed(r.confirmed...)
				relays, isOver := d.NextRelays(r.confirmed)
				c.Assert(relays, qt.DeepEquals, r.relays)
				c.Assert(isOver, qt.Equals, r.isOver)
				c.Assert(d.Missing(), qt.DeepEquals, r.missing)
			}
		})
	}
}
