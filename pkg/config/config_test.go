package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

const good = `[region r]
domains = d1, d2
[service desk]
pool = p
[pool p]
slots = 8
connections = 64
[executors p d1]
addresses = 127.0.0.1:1, 127.0.0.2:1
[team a]
services = desk
weight = 2
quota_slots = 10
[rule big]
class = big
pool = p
`

func TestParse(t *testing.T) {
	scenarios := []struct {
		testName string
		old, new string
		expected string
	}{
		{"good", "", "", ""},
		{"rule without its pool", "class = big\npool = p", "class = big\npool = q", `c.ini:16: rule big names pool "q", which is not defined; add \[pool q\]`},
		{"rule with an unknown team", "class = big", "team = b", `c.ini:15: rule big names team "b", which is not defined; add \[team b\]`},
		{"quota beyond the slots", "quota_slots = 10", "quota_slots = 17", `c.ini:13: quota_slots = 17 exceeds the 16 slots there are; lower it`},
		{"address twice", "127.0.0.2:1", "127.0.0.1:1", `(?s)c.ini:9: address 127.0.0.1:1 is used twice; give each executor its own.*`},
		{"executors of an unknown pool", "[executors p d1]", "[executors q d1]", `(?s)c.ini:8: executors of pool "q", which is not defined.*`},
		{"executors in an unknown domain", "[executors p d1]", "[executors p d3]", `c.ini:8: failure domain "d3" stands in no region.*`},
		{"service without its pool", "[service desk]\npool = p", "[service desk]\npool = q", `(?s)c.ini:4: service desk names pool "q".*`},
		{"team with an unknown service", "services = desk", "services = dusk", `c.ini:11: service "dusk" is not defined; add \[service dusk\]`},
		{"fewer connections than slots", "connections = 64", "connections = 4", `c.ini:7: pool p has fewer connections than slots.*`},
		{"unknown routing", "[service desk]", "[service desk]\nrouting = best", `c.ini:4: routing = "best" is not a choice; use one of least-in-flight, .*`},
		{"unknown order", "[service desk]", "[service desk]\norder = lifo", `c.ini:4: order = "lifo" is not a choice; use one of fewest, fifo, slack`},
		{"domain twice", "domains = d1, d2", "domains = d1, d1", `c.ini:2: failure domain d1 stands in two places; keep one`},
		{"unknown key", "weight = 2", "wieght = 2", `c.ini:12: key wieght is not known in \[team a\].*`},
		{"deadlines crossed", "[service desk]", "[service desk]\ndefault_deadline = 2m", `c.ini:4: default_deadline is longer than max_deadline.*`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			doc, err := Parse("c.ini", []byte(strings.Replace(good, s.old, s.new, 1)))
			if s.expected == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, doc.Pools["p"].Executors, qt.HasLen, 2)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, s.expected)
			qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadConfig)
		})
	}
}

func TestExamplesAreGood(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 2, qt.IsTrue)
	for _, path := range paths {
		if filepath.Base(path) == "entry-host.ini" { // settings, not a configuration
			continue
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			_, err = Parse(path, data)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestPoolFor(t *testing.T) {
	text := good + "[pool q]\n[rule heavy]\nservice = desk\nteam = a\nclass = heavy\npool = q\n"
	doc, err := Parse("c.ini", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	desk := doc.Services["desk"]
	qt.Assert(t, doc.PoolFor(desk, "a", "heavy").Name, qt.Equals, "q")
	qt.Assert(t, doc.PoolFor(desk, "b", "heavy").Name, qt.Equals, "p")
	qt.Assert(t, doc.PoolFor(desk, "a", "").Name, qt.Equals, "p")
}

func TestDifference(t *testing.T) {
	changed := strings.Replace(good, "weight = 2", "weight = 3", 1)
	qt.Assert(t, Difference([]byte(good), []byte(changed)), qt.DeepEquals, []string{"- [team a] weight = 2", "+ [team a] weight = 3"})
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Parse("c.ini", []byte(text)) })
}
