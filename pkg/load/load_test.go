package load

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

func TestIdeal(t *testing.T) {
	scenarios := []struct {
		testName string
		arrivals []Arrival
		slots    int
		expected []time.Duration
		order    IdealOrder
	}{
		{"alone", []Arrival{{At: 5, Tasks: []time.Duration{second}}}, 1, []time.Duration{second}, FewestFirst},
		{"two tasks on one slot", []Arrival{{Tasks: []time.Duration{second, 2 * second}}}, 1, []time.Duration{3 * second}, FewestFirst},
		{"longest first", []Arrival{{Tasks: []time.Duration{second, second, 2 * second}}}, 2, []time.Duration{2 * second}, FewestFirst},
		{"a small job passes a large one", []Arrival{
			{At: 0, Tasks: []time.Duration{second, second, second}},
			{At: second / 2, Tasks: []time.Duration{second}},
		}, 1, []time.Duration{4 * second, 3 * second / 2}, FewestFirst},
		{"in order of arrival", []Arrival{
			{At: 0, Tasks: []time.Duration{second, second, second}},
			{At: second / 2, Tasks: []time.Duration{second}},
		}, 1, []time.Duration{3 * second, 7 * second / 2}, FIFO},
		{"three tasks after a while on two slots", []Arrival{{At: 5 * second, Tasks: []time.Duration{second, second, second}}}, 2, []time.Duration{2 * second}, FewestFirst},
		{"idle in between", []Arrival{{At: 0, Tasks: []time.Duration{second}}, {At: 9 * second, Tasks: []time.Duration{second}}}, 1, []time.Duration{second, second}, FewestFirst},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, Ideal(s.arrivals, s.slots, 0, s.order), qt.DeepEquals, s.expected)
		})
	}
}

func TestArrivalsFollowTheSeed(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s, err := LoadScenario(path)
			qt.Assert(t, err, qt.IsNil)
			s.Duration = min(s.Duration, 5*time.Second)
			first := s.Arrivals("run")
			qt.Assert(t, s.Arrivals("run"), qt.DeepEquals, first)
			s.Seed++
			qt.Assert(t, s.Arrivals("run"), qt.Not(qt.DeepEquals), first)
			expected := s.JobRate() * s.Duration.Seconds()
			if s.Burst.Every == 0 {
				qt.Assert(t, float64(len(first)) > 0.7*expected && float64(len(first)) < 1.3*expected, qt.IsTrue)
			}
		})
	}
}

func TestScenarioProblems(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected string
	}{
		{"no sizes", "[load]\nname = x\nservice = s\n[jobs]\n[teams]\nweights = a:1\n", `.*there are no job sizes; add sizes.*`},
		{"no weight", "[load]\nname = x\nservice = s\n[jobs]\nsizes = 1\n[teams]\nweights = a:1\n", `x.ini:5: "1" has no weight; write name:weight`},
		{"no team", "[load]\nname = x\nservice = s\n[jobs]\nsizes = 1:1\n[teams]\n", `.*there is no team.*`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := ParseScenario("x.ini", []byte(s.text))
			qt.Assert(t, err, qt.ErrorMatches, s.expected)
		})
	}
}
