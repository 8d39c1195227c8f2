package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestVanishedExecutorsAreKeptForAWhile(t *testing.T) {
	reading := func(executors ...Executor) *Executors {
		r := &Executors{ByID: map[string]Executor{}}
		for _, executor := range executors {
			r.ByID[executor.ID] = executor
		}
		return r
	}
	stays := Executor{ID: "i-1", Address: "a:1"}
	vanishes := Executor{ID: "i-2", Address: "a:2"}
	nextLife := Executor{ID: "i-3", Address: "a:2"}
	type scenario struct {
		testName string
		next     *Executors
		after    time.Duration
		want     []string
	}
	scenarios := []scenario{
		{testName: "vanished a moment ago: its entry may have lapsed", next: reading(stays), after: time.Second, want: []string{"i-1", "i-2"}},
		{testName: "missing for long: gone", next: reading(stays), after: 4 * time.Second, want: []string{"i-1"}},
		{testName: "another life at its address", next: reading(stays, nextLife), after: time.Second, want: []string{"i-1", "i-3"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			h := NewHistory(3 * time.Second)
			h.Join(reading(stays, vanishes), time.Minute)
			joined := h.Join(s.next, time.Minute+s.after)
			c.Assert(joined.ByID, qt.HasLen, len(s.want))
			for _, id := range s.want {
				c.Assert(joined.ByID[id].ID, qt.Equals, id)
			}
		})
	}
}
