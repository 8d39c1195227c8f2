package once

import (
	"strings"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

func TestParseID(t *testing.T) {
	primary, backup := Incarnation{1}, Incarnation{2}
	home := Home{Domain: "bogota-norte", Primary: primary, Backup: backup, Epoch: 7}
	scenarios := []struct {
		testName string
		text     string
		expected ID
		bad      bool
	}{
		{"id with a backup", home.String() + "~counter-12", ID{Home: home, Part: "counter-12"}, false},
		{"home without a backup", Home{Domain: "d", Primary: primary, Epoch: 1}.String() + "~x", ID{Home: Home{Domain: "d", Primary: primary, Epoch: 1}, Part: "x"}, false},
		{"no home", "counter-12", ID{}, true},
		{"empty part", home.String() + "~", ID{}, true},
		{"part with a slash", home.String() + "~a/b", ID{}, true},
		{"part too long", home.String() + "~" + strings.Repeat("x", maxPartBytes+1), ID{}, true},
		{"no primary", "d.0.0.1~x", ID{}, true},
		{"short incarnation", "d.ab.0.1~x", ID{}, true},
		{"bad backup", "d." + primary.String() + ".zz.1~x", ID{}, true},
		{"bad epoch", "d." + primary.String() + ".0.-1~x", ID{}, true},
		{"no domain", "." + primary.String() + ".0.1~x", ID{}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			id, err := ParseID(s.text)
			if s.bad {
				qt.Assert(t, errkind.Of(err), qt.Equals, errkind.BadRequest)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, id, qt.Equals, s.expected)
			qt.Assert(t, id.String(), qt.Equals, s.text)
		})
	}
}

func FuzzParseID(f *testing.F) {
	f.Add(Home{Domain: "d", Primary: Incarnation{1}, Epoch: 1}.String() + "~x")
	f.Add("d.0.0.1~x")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err != nil {
			return
		}
		again, err := ParseID(id.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, id)
	})
}
