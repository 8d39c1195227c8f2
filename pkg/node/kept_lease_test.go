package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestContactWithHalfOfTheHosts(t *testing.T) {
	type scenario struct {
		testName   string
		expected   int
		answeredAt []time.Duration
		want       time.Duration
	}
	const now = time.Minute
	scenarios := []scenario{
		{testName: "the only host", expected: 1, want: now},
		{testName: "one of two", expected: 2, want: now},
		{testName: "one of three", expected: 3, want: 0},
		{testName: "two of three", expected: 3, answeredAt: []time.Duration{40}, want: 40},
		{testName: "all of three", expected: 3, answeredAt: []time.Duration{40, 30}, want: 40},
		{testName: "half of six", expected: 6, answeredAt: []time.Duration{40, 30}, want: 30},
		{testName: "more than half of six", expected: 6, answeredAt: []time.Duration{20, 40, 30}, want: 30},
		{testName: "most have not answered yet", expected: 5, answeredAt: []time.Duration{0, 40, 0}, want: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, contactWithHalf(s.expected, now, s.answeredAt), qt.Equals, s.want)
		})
	}
}

// An owner that reaches few hosts goes on with kept jobs as long as the store's list has its executors.
func TestTheListExtendsTheLeaseOfKeptJobs(t *testing.T) {
	type scenario struct {
		testName string
		askedAt  time.Duration
		listed   bool
		want     func(n *Node) time.Duration
	}
	byContact := func(n *Node) time.Duration { return 20*time.Second + keptContactTimeout + n.jobLease() }
	scenarios := []scenario{
		{testName: "no list"},
		{testName: "a recent list has its executors", askedAt: 30 * time.Second, listed: true, want: func(*Node) time.Duration { return 30*time.Second + keptListTimeout }},
		{testName: "an older list has them", askedAt: 15 * time.Second, listed: true},
		{testName: "a recent list lacks them", askedAt: 30 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			n := newTestNode(qt.New(t), &fakeStore{})
			n.contactAt.Store(int64(20 * time.Second))
			if s.askedAt > 0 {
				publishListing(n, s.askedAt, s.listed)
			}
			if s.want == nil {
				s.want = byContact
			}
			qt.Assert(t, n.keptLeaseEnd("z"), qt.Equals, s.want(n))
		})
	}
}
