package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

const goodNode = `[node]
name = a
domain = z
adapter = users-platform
[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3
[peers]
port = 3
seeds = 127.0.0.2:9,127.0.0.3:9
[store]
address = 127.0.0.1:4
[limits]
cpu_share = 0.4
`

func TestNodeSettings(t *testing.T) {
	c := qt.New(t)
	node, err := ParseNode("node.ini", []byte(goodNode))
	c.Assert(err, qt.IsNil)
	c.Assert(node.Seeds, qt.DeepEquals, []string{"127.0.0.2:3", "127.0.0.3:3"})
	c.Assert(node.PeerListen, qt.Equals, "127.0.0.1:3")
	c.Assert(node.Weight, qt.Equals, 400)
	c.Assert(node.ResubmitAfter, qt.Equals, 1300*time.Millisecond)
}

func TestFaultyNodeSettings(t *testing.T) {
	type scenario struct {
		testName string
		from, to string
		want     string
	}
	scenarios := []scenario{
		{testName: "no name", from: "name = a\n", want: "lacks the key name"},
		{testName: "no address", from: "front = 127.0.0.1:1\n", want: "lacks the key front"},
		{testName: "a host name for an address", from: "127.0.0.1:4", to: "store:4", want: "is not an IP address with a port"},
		{testName: "unknown key", from: "domain = z\n", to: "domain = z\nzoom = 1\n", want: "key zoom is not known"},
		{testName: "unknown section", from: "[limits]", to: "[limit]", want: "section [limit] is not known"},
		{testName: "a duration without a unit", from: "[limits]", to: "[lease]\nlongest_hold = 5\n[limits]", want: "is not a duration"},
		{testName: "jobs sent again before heartbeats tell of their callers", from: "port = 3\n", to: "port = 3\nheartbeat = 1s\n", want: "resubmit_after is 1.3s, and has to be 4.1s"},
		{testName: "jobs sent again before their runs can be stopped", from: "[limits]", to: "[lease]\nstop_time = 400ms\n[limits]", want: "has to be 1.4s"},
		{testName: "no processor time", from: "cpu_share = 0.4", to: "cpu_share = 0", want: "is not a number from"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := ParseNode("node.ini", []byte(strings.Replace(goodNode, s.from, s.to, 1)))
			qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadSettings)
			qt.Assert(t, strings.Contains(err.Error(), s.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func FuzzParseNode(f *testing.F) {
	f.Add([]byte(goodNode))
	f.Add([]byte("[node]\nname"))
	f.Fuzz(func(t *testing.T, data []byte) {
		node, err := ParseNode("node.ini", data)
		if (node == nil) == (err == nil) {
			t.Fatal("settings and error go together")
		}
	})
}
