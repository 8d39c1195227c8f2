package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExecutorsOfServicesThatAreNotNamed(t *testing.T) {
	type scenario struct {
		testName string
		routes   []Route
		services []Service
		called   bool // the executor was called before
		want     []Executor
		others   int
	}
	executor := testExecutor("i-1") // of service s
	scenarios := []scenario{
		{testName: "named", services: []Service{{Name: "s"}}, want: []Executor{executor}},
		{testName: "named by a route", routes: []Route{{Host: "h", Service: "s"}}, services: []Service{{Name: "t"}}, want: []Executor{executor}},
		{testName: "not named", services: []Service{{Name: "t"}}, others: 1},
		{testName: "not named any more", services: []Service{{Name: "t"}}, called: true, want: []Executor{executor.Withheld()}},
		{testName: "no service is named", want: []Executor{executor}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			configuration := NewConfiguration(1, s.routes, s.services, Limits{})
			listed := listOf(5, "i-1")
			called, others := configuration.Called(listed, func(*Executor) bool { return s.called })
			c.Assert(called.Revision, qt.Equals, uint64(5))
			c.Assert(called.ByID, qt.HasLen, len(s.want))
			for _, want := range s.want {
				c.Assert(called.ByID[want.ID], qt.DeepEquals, want)
			}
			c.Assert(others, qt.HasLen, s.others)
			c.Assert(listed.ByID["i-1"], qt.DeepEquals, executor, qt.Commentf("Called does not change the reading"))
		})
	}
}

func TestSameServices(t *testing.T) {
	c := qt.New(t)
	of := func(names ...string) *Configuration {
		var services []Service
		for _, name := range names {
			services = append(services, Service{Name: name})
		}
		return NewConfiguration(1, nil, services, Limits{})
	}
	c.Assert(of("a", "b").SameServices(of("b", "a")), qt.IsTrue)
	c.Assert(of("a").SameServices(of("b")), qt.IsFalse)
	var none *Configuration
	c.Assert(none.SameServices(of("a")), qt.IsFalse)
	c.Assert(none.SameServices(of()), qt.IsTrue)
}

// BenchmarkCalled filters the list of a large fleet in which all services are named.
func BenchmarkCalled(b *testing.B) {
	list := fleetOf(3500)
	configuration := NewConfiguration(1, nil, []Service{{Name: "s"}}, Limits{})
	b.ReportAllocs()
	for b.Loop() {
		configuration.Called(list, func(*Executor) bool { return false })
	}
}
