package ownership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPickByHashPrefersStrongHosts(t *testing.T) {
	c := qt.New(t)
	hosts := []Host{
		{Address: "10.0.0.1:1", Weight: 800},
		{Address: "10.0.0.2:1", Weight: 800},
		{Address: "10.0.0.3:1", Weight: 100},
		{Address: "10.0.0.4:1", Weight: 3200, Leaving: true},
	}
	picked := map[string]int{}
	for i := range 400 {
		host, ok := PickByHash(fmt.Sprintf("key%d", i), hosts)
		c.Assert(ok, qt.IsTrue)
		picked[host.Address]++
	}
	c.Assert(picked["10.0.0.1:1"] > 100, qt.IsTrue)
	c.Assert(picked["10.0.0.2:1"] > 100, qt.IsTrue)
	c.Assert(picked["10.0.0.3:1"] < 5, qt.IsTrue)
	c.Assert(picked["10.0.0.4:1"], qt.Equals, 0)
	_, ok := PickByHash("key", hosts[3:])
	c.Assert(ok, qt.IsFalse)
}
