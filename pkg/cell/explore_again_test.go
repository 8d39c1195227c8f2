package cell

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// traceDouble plays a seed again and returns what concerns the job of which a
// task was the first to run twice.
func traceDouble(seed uint64, f faults) string {
	w := newCluster(seed, f)
	w.tracing = true
	w.play()
	if len(w.doubles) == 0 {
		return fmt.Sprintf("seed %d: nothing ran twice", seed)
	}
	id, _, _ := strings.Cut(w.doubles[0], ".")
	return fmt.Sprintf("seed %d, %s\n%s", seed, w.doubles[0], w.traceOf(id))
}

// usualPlays is how many plays a scenario has in CI; 400 take about 10 s.
const usualPlays = 80

var explorePlays = flag.Int("explore.plays", usualPlays, "plays of each scenario of the explorer")

func TestExploredJobsSentAgainAreNeverDoubled(t *testing.T) {
	type scenario struct {
		testName string
		faults   faults
		halved   bool // half as many plays are enough
	}
	scenarios := []scenario{
		{testName: "orders are lost", faults: faults{orders: true}},
		{testName: "a fifth of the orders is carried out seconds later", faults: faults{orders: true, fates: lateOrders}},
		{testName: "half of the orders and answers are late", faults: faults{orders: true, fates: slowOrders}},
		{testName: "hosts die", faults: faults{deaths: true}},
		{testName: "owners die one after the other", faults: faults{chains: true}},
		{testName: "hosts stand still", faults: faults{stands: true}},
		{testName: "hosts stand still and die", faults: faults{stands: true, deaths: true}},
		{testName: "words to owners are lost and late", faults: faults{words: true}},
		{testName: "everything", faults: faults{deaths: true, chains: true, stands: true, words: true, orders: true}},
		{testName: "rows can't be read", faults: faults{rows: true}},
		{testName: "rows can't be read, and everything else", faults: faults{deaths: true, chains: true, stands: true, words: true, orders: true, rows: true}},
		{testName: "answers don't say whether orders were carried out", faults: faults{orders: true, unclear: true, fates: unclearOrders}, halved: true},
		{testName: "executors refuse everything for a while", faults: faults{orders: true, refusals: true}, halved: true},
		{testName: "executors crash and come again under their ids", faults: faults{lives: true}},
		{testName: "executors come again, and orders are lost", faults: faults{lives: true, orders: true}},
		{testName: "executors come again, and everything else", faults: faults{lives: true, deaths: true, chains: true, stands: true, words: true, orders: true, rows: true}, halved: true},
		{testName: "unclear answers, refusals, and everything else", faults: faults{deaths: true, chains: true, stands: true, words: true, orders: true, rows: true, refusals: true, unclear: true, fates: unclearOrders}, halved: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			plays := *explorePlays
			if s.halved {
				plays /= 2
			}
			var count clusterCount
			var failed []uint64
			for seed := range uint64(plays) {
				w := newCluster(seed, s.faults)
				w.play()
				count.add(w.count)
				if len(w.doubles) > 0 {
					failed = append(failed, seed)
				}
			}
			t.Logf("%+v", count)
			if len(failed) > 0 {
				t.Logf("%d of %d plays failed: seeds %d", len(failed), plays, failed)
				t.Log(traceDouble(failed[0], s.faults))
			}
			c.Assert(failed, qt.HasLen, 0)
			count.assertEnough(c, plays, s.faults)
		})
	}
}

func (c *clusterCount) add(o clusterCount) {
	c.ended += o.ended
	c.sentAgain += o.sentAgain
	c.takeovers += o.takeovers
	c.withheld += o.withheld
	c.suspected += o.suspected
	c.refusals += o.refusals
	c.misanswered += o.misanswered
	c.crashes += o.crashes
}

// assertEnough asserts that the plays had in them what they are made for.
func (c *clusterCount) assertEnough(qc *qt.C, plays int, f faults) {
	qc.Assert(c.ended > 20*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(c.sentAgain > 5*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.chains || c.takeovers > 10*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.rows || c.withheld > 5*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.refusals || c.refusals > 5*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.lives || c.crashes > 5*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.unclear || c.misanswered > 2*plays, qt.IsTrue, qt.Commentf("%+v", c))
	qc.Assert(!f.chains && !f.stands || c.suspected > plays, qt.IsTrue, qt.Commentf("%+v", c))
}

func TestAPlayOfTheExplorerIsTheSameEachTime(t *testing.T) {
	c := qt.New(t)
	all := faults{deaths: true, chains: true, stands: true, words: true, orders: true}
	for seed := range uint64(3) {
		var traces [][]traceLine
		for range 2 {
			w := newCluster(seed, all)
			w.tracing = true
			w.play()
			traces = append(traces, w.trace)
		}
		c.Assert(len(traces[1]), qt.Equals, len(traces[0]))
		for i, line := range traces[0] {
			c.Assert(traces[1][i], qt.Equals, line, qt.Commentf("line %d", i))
		}
	}
}
