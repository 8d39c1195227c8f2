package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

const good = "[entry]\nname = a\ndomain = d\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"

func TestParse(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected string
	}{
		{"good", good, ""},
		{"misspelt key", strings.Replace(good, "domain", "domian", 1), `(?s).*s.ini:3: key domian is not known in \[entry\].*`},
		{"no platform", strings.Split(good, "[platform]")[0], `s.ini:0: section \[platform\] lacks the key address; .*`},
		{"a name for an address", strings.Replace(good, "127.0.0.1:1", "localhost:1", 1), `s.ini:4: caller_address = "localhost:1" is not an IP address with a port.*`},
		{"no unit", good + "[stop]\ngrace = 30\n", `s.ini:9: grace = "30" is not a duration.*`},
		{"retention too short", good + "[once]\nretention = 70s\n", `s.ini:9: retention = 1m10s is too short for home_life = 1m0s; make it 2m0s at least`},
		{"an unknown client", good + "client = smoke\n", `s.ini:8: client = "smoke" is not a choice; use one of http`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			entry, err := Parse("s.ini", []byte(s.text))
			if s.expected != "" {
				qt.Assert(t, err, qt.ErrorMatches, s.expected)
				qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadSettings)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, entry.Link.Heartbeat, qt.Equals, 500*time.Millisecond)
			qt.Assert(t, entry.SkipRecord, qt.IsFalse)
		})
	}
}

// TestExampleAndPage: the example is good, and the page states the defaults.
func TestExampleAndPage(t *testing.T) {
	_, err := Load("../../examples/entry-host.ini")
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("../../docs/CONFIG.md")
	qt.Assert(t, err, qt.IsNil)
	for _, row := range []string{"home_life | `1m`", "retention | `10m`", "heartbeat | `500ms`", "suspect_after | `1500ms`", "record_timeout | `500ms`", "grace | `30s`", "notice | `1s`", "max_body_bytes | `8388608`", "key_retention | `24h`", "unsafe_skip_record | `false`"} {
		qt.Assert(t, strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("%s", row))
	}
}
