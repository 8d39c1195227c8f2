package openjobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pollsEvery returns the times of polls from one time to another.
func pollsEvery(interval, from, to time.Duration) []time.Duration {
	var polls []time.Duration
	for at := from; at <= to; at += interval {
		polls = append(polls, at)
	}
	return polls
}

// Guards against counting from the receipt of a request that came while the process stood still: its
// caller counts from the sending.
func TestEarliestSending(t *testing.T) {
	type scenario struct {
		testName string
		polls    [][]time.Duration
		received time.Duration
		arrived  time.Duration // at the machine; 0: unknown
		sent     time.Duration // the earliest sending that the request may have had, less what times allow for
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "no stall", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms)}, received: 1010 * ms, sent: 1010 * ms, want: 1010 * ms},
		{testName: "no stall, an idle process", polls: [][]time.Duration{pollsEvery(100*ms, 0, 1000*ms)}, received: 1140 * ms, sent: 1140 * ms, want: 1140 * ms},
		{testName: "before the first poll", received: 500 * ms, sent: 500 * ms, want: 500 * ms},
		{testName: "read before the poll that notices the stall", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms)}, received: 1720 * ms, sent: 1001 * ms, want: 1075 * ms},
		{testName: "read after that poll", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), {1720 * ms}}, received: 1721 * ms, sent: 1001 * ms, want: 1075 * ms},
		{testName: "read some polls later", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), pollsEvery(25*ms, 1720*ms, 1795*ms)}, received: 1800 * ms, sent: 1001 * ms, want: 1075 * ms},
		{testName: "sent after the stall", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), pollsEvery(25*ms, 1720*ms, 1820*ms)}, received: 1821 * ms, sent: 1821 * ms, want: 1821 * ms},
		{testName: "an idle process", polls: [][]time.Duration{pollsEvery(100*ms, 0, 1000*ms)}, received: 1720 * ms, sent: 1001 * ms, want: 1000 * ms},
		{testName: "40 ms between two stalls", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), {1720 * ms, 1745 * ms}}, received: 2480 * ms, sent: 1760 * ms, want: 1820 * ms},
		{
			testName: "one poll between two stalls: sent before the first of them", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), {1720 * ms}}, received: 2440 * ms,
			sent: 1001 * ms, want: 1100 * ms,
		},
		{
			testName: "one poll between stalls, many times: not sent before the last two", polls: [][]time.Duration{pollsEvery(300*ms, 0, 3000*ms)}, received: 3300 * ms,
			sent: 2701 * ms, want: 2800 * ms,
		},
		{
			testName: "sent before the first of two stalls, and not read in between", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms), {1720 * ms, 1745 * ms}}, received: 2480 * ms, arrived: 1011 * ms,
			sent: 1010 * ms, want: 1111 * ms,
		},
		{testName: "the whole machine stood still", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms)}, received: 1720 * ms, arrived: 1719 * ms, sent: 1001 * ms, want: 1075 * ms},
		{testName: "read at once", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms)}, received: 1010 * ms, arrived: 1008 * ms, sent: 1008 * ms, want: 1010 * ms},
		{testName: "read late without a gap between polls", polls: [][]time.Duration{pollsEvery(25*ms, 0, 1000*ms)}, received: 1010 * ms, arrived: 710 * ms, sent: 709 * ms, want: 810 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			var stalls Stalls
			for _, polls := range s.polls {
				for _, at := range polls {
					stalls.Poll(at)
				}
			}
			got := stalls.EarliestSending(s.received, s.arrived)
			c.Assert(got, qt.Equals, s.want)
			c.Assert(got <= s.sent+maxReceiptDelay+ms, qt.IsTrue)
		})
	}
}

func TestStallsEndedSince(t *testing.T) {
	c := qt.New(t)
	var stalls Stalls
	for _, at := range pollsEvery(100*ms, 0, 1000*ms) {
		stalls.Poll(at)
	}
	c.Assert(stalls.EndedSince(0, 1100*ms), qt.IsFalse)
	c.Assert(stalls.EndedSince(1050*ms, 1500*ms), qt.IsTrue, qt.Commentf("not polled since the stall"))
	stalls.Poll(1500 * ms)
	c.Assert(stalls.EndedSince(1050*ms, 1510*ms), qt.IsTrue)
	c.Assert(stalls.EndedSince(1501*ms, 1510*ms), qt.IsFalse)
	c.Assert(stalls.LongEndedSince(1050*ms, 1510*ms), qt.IsTrue)
	stalls.Poll(1750 * ms)
	c.Assert(stalls.EndedSince(1501*ms, 1760*ms), qt.IsTrue)
	c.Assert(stalls.LongEndedSince(1501*ms, 1760*ms), qt.IsFalse, qt.Commentf("a slow host's stall"))
}

// Guards against jobs that a host holds though it can't follow them, as it stands still most of the time.
func TestStandsStillOften(t *testing.T) {
	type scenario struct {
		testName string
		polls    [][]time.Duration
		now      time.Duration
		want     bool
	}
	before := pollsEvery(100*ms, 0, 1000*ms)
	scenarios := []scenario{
		{testName: "never", polls: [][]time.Duration{before}, now: 1050 * ms},
		{testName: "once, not polled since", polls: [][]time.Duration{before}, now: 1700 * ms},
		{testName: "once", polls: [][]time.Duration{before, {1700 * ms}}, now: 1710 * ms},
		{testName: "twice, not polled since", polls: [][]time.Duration{before, {1700 * ms, 1725 * ms}}, now: 2400 * ms, want: true},
		{testName: "twice", polls: [][]time.Duration{before, {1700 * ms, 1725 * ms, 2400 * ms}}, now: 2410 * ms, want: true},
		{testName: "twice, the first one long ago", polls: [][]time.Duration{before, {1700 * ms, 1725 * ms, 2400 * ms}, pollsEvery(100*ms, 2400*ms, 3700*ms)}, now: 3700 * ms},
		{testName: "often, but for a short time", polls: [][]time.Duration{before, pollsEvery(310*ms, 1310*ms, 4000*ms)}, now: 4050 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			var stalls Stalls
			for _, polls := range s.polls {
				for _, at := range polls {
					stalls.Poll(at)
				}
			}
			c.Assert(stalls.StandsStillOften(s.now), qt.Equals, s.want)
		})
	}
}
