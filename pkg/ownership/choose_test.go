package ownership

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestIsShortOfCapacity(t *testing.T) {
	claim := func(cell string, free, queued int64, ready bool) Claim {
		return Claim{Cell: cell, Load: Load{CapacityCPU: 1000, FreeCPU: free, QueuedWork: queued, Ready: ready}}
	}
	type scenario struct {
		testName string
		claims   []Claim
		want     bool
	}
	scenarios := []scenario{
		{testName: "no owner known", want: true},
		{testName: "enough free capacity", claims: []Claim{claim("here", 500, 0, true)}},
		{testName: "little free capacity", claims: []Claim{claim("here", 100, 0, true)}, want: true},
		{testName: "queued work", claims: []Claim{claim("here", 500, 1, true)}, want: true},
		{testName: "one of two cells not ready", claims: []Claim{claim("here/2.0", 500, 0, true), claim("here/2.1", 500, 0, false)}, want: true},
		{testName: "other domains are ignored", claims: []Claim{claim("here", 500, 0, true), claim("there", 0, 9, true)}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, IsShortOfCapacity(s.claims, "here"), qt.Equals, s.want)
		})
	}
}
