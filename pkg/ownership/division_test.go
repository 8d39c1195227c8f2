package ownership

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDivisionMatchesCellOf(t *testing.T) {
	for _, count := range []int{0, 1, 2, 25} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			c := qt.New(t)
			division := NewDivision("d", count)
			c.Assert(division.Count(), qt.Equals, max(count, 1))
			for i := range 100 {
				address := "10.0.0." + strconv.Itoa(i) + ":80"
				c.Assert(division.CellOf(address), qt.Equals, CellOf("d", address, max(count, 1)))
			}
		})
	}
}
