package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Arrival is a job to submit.
type Arrival struct {
	At    time.Duration // from the start of the run
	Part  string        // the caller's part of its id
	Team  string
	Class string
	Tasks []time.Duration // own times
}

// Longest returns the time of the longest task.
func (a *Arrival) Longest() time.Duration {
	longest := time.Duration(0)
	for _, task := range a.Tasks {
		longest = max(longest, task)
	}
	return longest
}

// Arrivals draws the arrivals of a scenario from its seed: a Poisson process
// whose rate rises during bursts. run makes the parts unique between runs.
func (s *Scenario) Arrivals(run string) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	rate := s.JobRate()
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		gap := random.ExpFloat64() / (rate * s.factorAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= s.Duration {
			return arrivals
		}
		arrivals = append(arrivals, s.drawJob(random, at, fmt.Sprintf("%s-%d", run, len(arrivals))))
	}
}

func (s *Scenario) factorAt(at time.Duration) float64 {
	if s.Burst.Every == 0 || at < s.Burst.Every || at%s.Burst.Every >= s.Burst.Length {
		return 1
	}
	return s.Burst.Factor
}

func (s *Scenario) drawJob(random *rand.Rand, at time.Duration, part string) Arrival {
	a := Arrival{At: at, Part: part, Team: s.drawTeam(random)}
	if len(s.Classes) > 0 {
		a.Class = s.Classes[random.IntN(len(s.Classes))]
	}
	a.Tasks = make([]time.Duration, s.drawSize(random))
	for i := range a.Tasks {
		a.Tasks[i] = s.Shortest + time.Duration(random.Float64()*float64(s.Longest-s.Shortest))
	}
	return a
}

func (s *Scenario) drawTeam(random *rand.Rand) string {
	return s.Teams[draw(random, len(s.Teams), func(i int) float64 { return s.Teams[i].Weight })].Name
}

func (s *Scenario) drawSize(random *rand.Rand) int {
	return s.Sizes[draw(random, len(s.Sizes), func(i int) float64 { return s.Sizes[i].Weight })].Value
}

// draw picks one of n by weight.
func draw(random *rand.Rand, n int, weight func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	at := random.Float64() * sum
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}
