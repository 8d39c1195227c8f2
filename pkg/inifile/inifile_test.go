package inifile

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

func read(text string) error {
	file, err := Parse("test.ini", []byte(text), errkind.BadSettings)
	if err != nil {
		return err
	}
	file.Known("entry")
	s := file.Only("entry")
	s.Required("name", "give the host a name")
	s.Address("address", "127.0.0.1:1")
	s.Duration("wait", time.Second, time.Millisecond, time.Minute)
	s.Int("count", 1, 0, 10)
	s.OneOf("mode", "a", "a", "b")
	s.Bool("flag", false)
	s.Float("ratio", 0.1, 0, 1)
	return file.Err()
}

func TestProblems(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected string
	}{
		{"good", "[entry]\nname = x\nwait = 250ms\n", ""},
		{"unknown key", "[entry]\nname = x\nnmae = y\n", `test.ini:3: key nmae is not known in \[entry\]; use one of .*name.*`},
		{"unknown section", "[entry]\nname = x\n[entyr]\n", `test.ini:3: section \[entyr\] is not known; use one of entry`},
		{"missing value", "; nothing\n[entry]\n", `test.ini:2: section \[entry\] lacks the key name; give the host a name`},
		{"bad unit", "[entry]\nname = x\n\nwait = 5\n", `test.ini:4: wait = "5" is not a duration.*unit us, ms, s, m or h`},
		{"out of range", "[entry]\nname = x\ncount = 11\n", `test.ini:3: count = "11" is not a whole number from 0 to 10.*`},
		{"host name for an address", "[entry]\nname = x\naddress = localhost:1\n", `test.ini:3: address = "localhost:1" is not an IP address with a port.*`},
		{"not a choice", "[entry]\nname = x\nmode = c\n", `test.ini:3: mode = "c" is not a choice; use one of a, b`},
		{"a key twice", "[entry]\nname = x\nname = y\n", `test.ini:3: key name in \[entry\] stands twice; keep one`},
		{"bad ratio", "[entry]\nname = x\nratio = 2\n", `test.ini:3: ratio = "2" is not a number from 0 to 1; write one`},
		{"not INI", "[entry\n", `(?s)test.ini is not an INI file.*`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			err := read(s.text)
			if s.expected == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, s.expected)
			qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadSettings)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[entry]\nname = x\n")
	f.Fuzz(func(_ *testing.T, text string) { _ = read(text) })
}
