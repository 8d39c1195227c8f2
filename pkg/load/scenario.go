// Package load drives jobs at entry hosts and measures: response times
// against the ideal, messages beyond the least, and whether every promise
// held. It is no simulator: the hosts and targets are real processes.
package load

import (
	"math"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
)

// Scenario is a load, read from an INI file; docs/LOAD.md documents the keys.
type Scenario struct {
	Name     string
	Service  string
	Seed     uint64
	Duration time.Duration // of the arrivals
	Load     float64       // of the slots' capacity; 1 is all of it
	Slots    int           // that there are
	Deadline time.Duration
	Latency  time.Duration // one way between callers and entry hosts, added to each message
	Sizes    []Weighted    // tasks in a job
	Shortest time.Duration // task times are spread evenly between these
	Longest  time.Duration
	Teams    []TeamLoad
	Classes  []string
	Burst    Burst
}

// Weighted is a value with its weight in a mix.
type Weighted struct {
	Value  int
	Weight float64
}

// TeamLoad is a team's part of the arrivals.
type TeamLoad struct {
	Name   string
	Weight float64
}

// Burst multiplies the arrivals for a while.
type Burst struct {
	Every  time.Duration // 0 for none
	Length time.Duration
	Factor float64
}

// Load limits of a scenario.
const (
	maxRate  = 10
	maxHours = time.Hour
)

// LoadScenario reads a scenario from a file.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadSettings, "name a file that can be read with -scenario", "the scenario cannot be read")
	}
	return ParseScenario(path, data)
}

// ParseScenario reads a scenario. name stands in messages.
func ParseScenario(name string, data []byte) (*Scenario, error) {
	file, err := inifile.Parse(name, data, errkind.BadSettings)
	if err != nil {
		return nil, err
	}
	file.Known("load", "jobs", "teams", "burst")
	run, jobs, burst := file.Only("load"), file.Only("jobs"), file.Only("burst")
	s := &Scenario{
		Name:     run.Required("name", "name the scenario"),
		Service:  run.Required("service", "name the service"),
		Seed:     uint64(run.Int("seed", 1, 0, math.MaxInt32)),
		Duration: run.Duration("duration", 20*time.Second, time.Millisecond, maxHours),
		Load:     run.Float("load", 0.7, 0, maxRate),
		Slots:    run.Int("slots", 400, 1, math.MaxInt32),
		Deadline: run.Duration("deadline", 30*time.Second, time.Millisecond, maxHours),
		Latency:  run.Duration("latency", 0, 0, time.Second),
		Shortest: jobs.Duration("shortest", 50*time.Millisecond, 0, maxHours),
		Longest:  jobs.Duration("longest", 500*time.Millisecond, 0, maxHours),
		Classes:  jobs.List("classes"),
		Burst: Burst{
			Every:  burst.Duration("every", 0, 0, maxHours),
			Length: burst.Duration("length", 500*time.Millisecond, 0, maxHours),
			Factor: burst.Float("factor", 5, 1, 100),
		},
	}
	s.Sizes = parseSizes(jobs)
	for _, word := range file.Only("teams").List("weights") {
		name, weight := parseWeighted(file.Only("teams"), "weights", word)
		s.Teams = append(s.Teams, TeamLoad{Name: name, Weight: weight})
	}
	if len(s.Teams) == 0 {
		file.Only("teams").Problem("", "there is no team; add weights = name:1 to [teams]")
	}
	return s, file.Err()
}

func parseSizes(s *inifile.Section) []Weighted {
	var sizes []Weighted
	for _, word := range s.List("sizes") {
		name, weight := parseWeighted(s, "sizes", word)
		size, err := strconv.Atoi(name)
		if err != nil || size < 1 {
			s.Problem("sizes", "%q is not a number of tasks; write size:weight", word)
			continue
		}
		sizes = append(sizes, Weighted{Value: size, Weight: weight})
	}
	if len(sizes) == 0 {
		s.Problem("", "there are no job sizes; add sizes = 1:50, 8:30 to [jobs]")
	}
	sort.Slice(sizes, func(i, j int) bool { return sizes[i].Value < sizes[j].Value })
	return sizes
}

func parseWeighted(s *inifile.Section, key, word string) (string, float64) {
	name, text, found := strings.Cut(word, ":")
	weight, err := strconv.ParseFloat(text, 64)
	if !found || err != nil || weight <= 0 {
		s.Problem(key, "%q has no weight; write name:weight", word)
		return name, 1
	}
	return name, weight
}

// MeanTask returns the mean task time.
func (s *Scenario) MeanTask() time.Duration { return (s.Shortest + s.Longest) / 2 }

// JobRate returns the jobs a second that make the wanted load, apart from
// bursts.
func (s *Scenario) JobRate() float64 {
	weights, tasks := 0.0, 0.0
	for _, size := range s.Sizes {
		weights += size.Weight
		tasks += size.Weight * float64(size.Value)
	}
	return s.Load * float64(s.Slots) / (tasks / weights) / s.MeanTask().Seconds()
}
