package entry

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/platform"
	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

// Guards against publishing the dispatcher of a new pool before it is configured, while
// other goroutines iterate over the dispatchers.
func TestNewPoolsAreConfiguredBeforeTheyAreSeen(t *testing.T) {
	s, err := settings.Parse("s.ini", []byte("[entry]\nname = a\ndomain = d\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"))
	qt.Assert(t, err, qt.IsNil)
	h, err := NewHost(common.NewTestCommon(), s, once.Incarnation{1}, platform.NewHTTPClient(s.Platform))
	qt.Assert(t, err, qt.IsNil)
	var stop atomic.Bool
	var wait sync.WaitGroup
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for !stop.Load() {
				h.eachDispatcher(func(d *dispatcher) { d.setLeaving(nil) })
			}
		}()
	}
	const versions = 200
	var text strings.Builder
	text.WriteString("[region r]\ndomains = d\n[team t]\n")
	for version := 1; version <= versions; version++ {
		fmt.Fprintf(&text, "[service s%d]\npool = p%d\n[pool p%d]\n", version, version, version)
		body := []byte(text.String())
		qt.Check(t, h.conf.activateIfNewer(uint64(version), confstore.Digest(body), body), qt.IsNil)
	}
	stop.Store(true)
	wait.Wait()
	qt.Assert(t, h.conf.version(), qt.Equals, uint64(versions))
	qt.Assert(t, *h.pools.Load(), qt.HasLen, versions)
}
