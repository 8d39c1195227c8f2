package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

func TestExecutorCheck(t *testing.T) {
	type scenario struct {
		testName string
		change   func(e *Executor)
		want     Reason
	}
	scenarios := []scenario{
		{testName: "a valid executor", change: func(*Executor) {}, want: Readable},
		{testName: "IPv6", change: func(e *Executor) { e.Address = "[fd00::1]:80" }, want: Readable},
		{testName: "an empty key", change: func(e *Executor) { e.ID = "" }, want: WrongKey},
		{testName: "a key that would break a header", change: func(e *Executor) { e.ID = "i\r\nx: y" }, want: WrongKey},
		{testName: "a key that is not ASCII", change: func(e *Executor) { e.ID = "ï" }, want: WrongKey},
		{testName: "no service", change: func(e *Executor) { e.Service = "" }, want: UnknownService},
		{testName: "no domain", change: func(e *Executor) { e.Domain = "" }, want: NoDomain},
		{testName: "no address", change: func(e *Executor) { e.Address = "" }, want: WrongAddress},
		{testName: "an address without a port", change: func(e *Executor) { e.Address = "10.0.0.1" }, want: WrongAddress},
		{testName: "a host name", change: func(e *Executor) { e.Address = "host:80" }, want: WrongAddress},
		{testName: "port 0", change: func(e *Executor) { e.Address = "10.0.0.1:0" }, want: WrongAddress},
		{testName: "a port that is too high", change: func(e *Executor) { e.Address = "10.0.0.1:65536" }, want: WrongAddress},
		{testName: "the unspecified address", change: func(e *Executor) { e.Address = "0.0.0.0:80" }, want: WrongAddress},
		{testName: "no capacity", change: func(e *Executor) { e.Capacity = job.Resources{} }, want: WrongCapacity},
		{testName: "no CPU", change: func(e *Executor) { e.Capacity.CPU = 0 }, want: WrongCapacity},
		{testName: "negative CPU", change: func(e *Executor) { e.Capacity.CPU = -1 }, want: WrongCapacity},
		{testName: "negative memory", change: func(e *Executor) { e.Capacity.MemoryMB = -1 }, want: WrongCapacity},
		{testName: "more CPU than a machine can have", change: func(e *Executor) { e.Capacity.CPU = 1 << 62 }, want: WrongCapacity},
		{testName: "more accelerators than a machine can have", change: func(e *Executor) { e.Capacity.GPU = 1 << 62 }, want: WrongCapacity},
		{testName: "a clock", change: func(e *Executor) { e.Clock = time.Hour }, want: Readable},
		{testName: "a negative clock", change: func(e *Executor) { e.Clock = -1 }, want: WrongClock},
		{testName: "a clock that is too large", change: func(e *Executor) { e.Clock = common.MaxTime }, want: WrongClock},
		{testName: "a start", change: func(e *Executor) { e.StartedAt = 1_700_000_000_000 }, want: Readable},
		{testName: "a negative start", change: func(e *Executor) { e.StartedAt = -1 }, want: WrongClock},
		{testName: "a start that is too late", change: func(e *Executor) { e.StartedAt = MaxStartedAt + 1 }, want: WrongClock},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			executor := testExecutor("i-1")
			executor.Capacity.MemoryMB = 100
			s.change(&executor)
			qt.Assert(t, executor.Check(), qt.Equals, s.want)
		})
	}
}

// An executor whose row becomes unreadable gets no new work, but stays listed, so that
// this owner and the next can renew the leases of its runs.
func TestAnExecutorWhoseRowCanNotBeReadIsWithheld(t *testing.T) {
	bad := []Unreadable{{Key: "a", Reason: NoDocument}}
	type scenario struct {
		testName string
		events   func(r *Roster)
		want     []Executor
	}
	withheld, b := testExecutor("a").Withheld(), testExecutor("b")
	scenarios := []scenario{
		{
			testName: "by a change", want: []Executor{withheld, b},
			events: func(r *Roster) { r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: bad}) },
		},
		{
			testName: "by a reading of the full list", want: []Executor{withheld, b},
			events: func(r *Roster) {
				r.ApplyFull(&Executors{Revision: 11, ByID: map[string]Executor{"b": b}, Unreadable: bad}, 0)
			},
		},
		{
			testName: "twice", want: []Executor{withheld, b},
			events: func(r *Roster) {
				r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: bad})
				r.ApplyChanges(&ExecutorChanges{Revision: 12, Unreadable: bad})
			},
		},
		{
			testName: "it can be read again", want: []Executor{testExecutor("a"), b},
			events: func(r *Roster) {
				r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: bad})
				r.ApplyChanges(&ExecutorChanges{Revision: 12, Listed: []Executor{testExecutor("a")}})
			},
		},
		{
			testName: "it is removed", want: []Executor{b},
			events: func(r *Roster) {
				r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: bad})
				r.ApplyChanges(&ExecutorChanges{Revision: 12, Removed: []string{"a"}})
			},
		},
		{
			testName: "an unreadable row of an unknown executor is ignored", want: []Executor{testExecutor("a"), b},
			events: func(r *Roster) {
				r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: []Unreadable{{Key: "c"}}})
			},
		},
		{
			testName: "a host of an older version relays it unchecked", want: []Executor{withheld, b},
			events: func(r *Roster) {
				r.ApplyRelayed(&RelayedList{Since: 10, Changes: ExecutorChanges{Revision: 11, Listed: []Executor{{ID: "a"}, {ID: "c"}}}})
			},
		},
		{
			testName: "the same, with the full list", want: []Executor{withheld, b},
			events: func(r *Roster) {
				r.ApplyRelayed(&RelayedList{Changes: ExecutorChanges{Revision: 11, Listed: []Executor{{ID: "a"}, b, {ID: "c"}}}})
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := NewRoster()
			r.ApplyFull(listOf(10, "a", "b"), 0)
			s.events(r)
			c.Assert(r.Executors().ByID, qt.HasLen, len(s.want))
			for _, want := range s.want {
				c.Assert(r.Executors().ByID[want.ID], qt.DeepEquals, want)
			}
			c.Assert(r.Position() > 10 || r.Revision() > 10, qt.IsTrue)

			relayed := r.Since(10)
			other := NewRoster()
			other.ApplyFull(listOf(10, "a", "b"), 0)
			other.ApplyRelayed(relayed)
			c.Assert(other.Executors().ByID, qt.DeepEquals, r.Executors().ByID, qt.Commentf("a host that is sent the changes has the same list"))
		})
	}
}

// Unreadable rows of unknown executors take no memory and are not relayed.
func TestUnreadableRowsOfUnknownExecutorsAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	list := listOf(10, "a")
	for i := range 10_000 {
		list.Unreadable = append(list.Unreadable, Unreadable{Key: fmt.Sprint("x", i), Reason: NoDocument})
	}
	r.ApplyFull(list, 0)
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 11, Unreadable: list.Unreadable}), qt.IsFalse)
	c.Assert(r.Since(0).Changes.Listed, qt.HasLen, 1)
	c.Assert(r.Executors().ByID, qt.HasLen, 1)
	c.Assert(r.Position(), qt.Equals, uint64(11))
}
