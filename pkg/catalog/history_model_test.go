package catalog

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// modelHistory is a simple reference implementation of History: it records every
// executor with the time of the first reading that lacked it.
type modelHistory struct {
	keep time.Duration
	seen map[string]modelSighting
}

type modelSighting struct {
	executor     Executor
	missingSince time.Duration // 0 while it is listed
}

func (m *modelHistory) join(reading *Executors, now time.Duration, withhold bool) (joined map[string]Executor, vanished int) {
	joined = map[string]Executor{}
	inUse := map[string]bool{}
	for _, executor := range reading.ByID {
		inUse[executor.Address] = inUse[executor.Address] || executor.TakesWork()
	}
	for id, executor := range reading.ByID {
		if executor.TakesWork() || !inUse[executor.Address] {
			joined[id] = executor
			m.seen[id] = modelSighting{executor: executor}
		}
	}
	for id, last := range m.seen {
		if _, current := joined[id]; !current && last.missingSince == 0 {
			last.missingSince = now
			m.seen[id] = last
		}
		if _, current := joined[id]; current {
			continue
		}
		if _, listed := reading.ByID[id]; listed {
			continue
		}
		if now > last.missingSince+2*m.keep || inUse[last.executor.Address] {
			delete(m.seen, id)
			continue
		}
		joined[id] = last.executor
		if withhold || now > last.missingSince+m.keep {
			joined[id] = last.executor.Withheld()
		}
		vanished++
	}
	return joined, vanished
}

// drawReading returns a random subset of eight executors, which share five addresses
// and some of which are withheld.
func drawReading(random *rand.Rand, revision uint64) *Executors {
	reading := &Executors{Revision: revision, ByID: map[string]Executor{}}
	for i := range 8 {
		if random.IntN(4) == 0 {
			continue
		}
		executor := testExecutor("i-" + strconv.Itoa(i))
		executor.Address = "10.0.0." + strconv.Itoa(i%5) + ":80"
		if random.IntN(6) == 0 {
			executor = executor.Withheld()
		}
		reading.ByID[executor.ID] = executor
	}
	return reading
}

func TestHistoryMatchesItsModel(t *testing.T) {
	c := qt.New(t)
	const plays, readings = 300, 30
	for seed := range uint64(plays) {
		random := rand.New(rand.NewPCG(seed, 1))
		history := NewHistory(3 * time.Second)
		model := &modelHistory{keep: 3 * time.Second, seen: map[string]modelSighting{}}
		now := time.Minute
		for i := range uint64(readings) {
			now += time.Duration(random.IntN(2000)) * time.Millisecond
			reading := drawReading(random, i+1)
			withhold := random.IntN(2) == 0
			joined := history.Join(reading, now, withhold)
			want, vanished := model.join(reading, now, withhold)
			c.Assert(joined.Revision, qt.Equals, i+1)
			c.Assert(joined.ByID, qt.DeepEquals, want, qt.Commentf("seed %d, reading %d", seed, i))
			c.Assert(history.Vanished(), qt.Equals, vanished, qt.Commentf("seed %d, reading %d", seed, i))
		}
	}
}
