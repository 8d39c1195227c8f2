package kernel

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

func TestRegistry(t *testing.T) {
	r := NewRegistry[int]("order")
	r.Register("fifo", 1)
	r.Register("best", 2)
	plugin, err := r.Get("fifo")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plugin, qt.Equals, 1)
	_, err = r.Get("lifo")
	qt.Assert(t, err, qt.ErrorMatches, `order "lifo" is not known; use one of best, fifo`)
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadSettings)
	qt.Assert(t, func() { r.Register("fifo", 3) }, qt.PanicMatches, `.*order plug-in fifo is registered twice`)
}
