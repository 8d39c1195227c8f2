// Package inifile reads INI files strictly: every key must be known, and each
// problem names the file, the line, the key and the remedy. The syntax itself
// is read by gopkg.in/ini.v1.
package inifile

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"gopkg.in/ini.v1"
)

// File is an INI file that is being read. Getters note what they were asked
// for, so that Err can report the keys nobody asked for.
type File struct {
	name     string
	kind     errkind.Kind
	sections []*Section
	lines    map[string]int // by section, and by section and key
	problems []problem
}

// Section is a section of a File.
type Section struct {
	Name string // the first word of the header
	Args []string
	file *File
	raw  *ini.Section
	used map[string]bool
}

type problem struct {
	line int
	text string
}

// Parse reads data. name stands in messages; kind is the kind of the errors.
func Parse(name string, data []byte, kind errkind.Kind) (*File, error) {
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, AllowNonUniqueSections: true, AllowDuplicateShadowValues: true}
	raw, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, errkind.Wrap(err, kind, "write sections as [name] and keys as key = value", "%s is not an INI file", name)
	}
	f := &File{name: name, kind: kind, lines: indexLines(data)}
	f.reportRepeats(data)
	for _, s := range raw.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		words := strings.Fields(s.Name())
		if len(words) == 0 {
			f.add(1, "a section has no name; write [name]")
			continue
		}
		f.sections = append(f.sections, &Section{Name: words[0], Args: words[1:], file: f, raw: s, used: map[string]bool{}})
	}
	return f, nil
}

// Sections returns the sections whose first word is name, in file order.
func (f *File) Sections(name string) []*Section {
	var found []*Section
	for _, s := range f.sections {
		if s.Name == name {
			found = append(found, s)
		}
	}
	return found
}

// Only returns the one section of a name; an absent one reads as empty.
func (f *File) Only(name string) *Section {
	found := f.Sections(name)
	if len(found) > 0 {
		return found[0]
	}
	empty, _ := ini.Empty().NewSection(name)
	return &Section{Name: name, file: f, raw: empty, used: map[string]bool{}}
}

// Known reports sections whose first word is not among names.
func (f *File) Known(names ...string) {
	for _, s := range f.sections {
		if !slices.Contains(names, s.Name) {
			f.add(f.lines[s.raw.Name()], "section [%s] is not known; use one of %s", s.raw.Name(), strings.Join(names, ", "))
		}
	}
}

// Err returns all problems as one error, unknown keys included, or nil.
func (f *File) Err() error {
	for _, s := range f.sections {
		s.reportUnknownKeys()
	}
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].line < f.problems[j].line })
	texts := make([]string, len(f.problems))
	for i, p := range f.problems {
		texts[i] = p.text
	}
	return errkind.New(f.kind, "", "%s", strings.Join(texts, "\n"))
}

func (f *File) add(line int, format string, args ...any) {
	text := fmt.Sprintf("%s:%d: %s", f.name, line, fmt.Sprintf(format, args...))
	f.problems = append(f.problems, problem{line: line, text: text})
}

// Problem reports a problem of a key, or of the section when key is "".
func (s *Section) Problem(key, format string, args ...any) {
	line := s.file.lines[lineKey(s.raw.Name(), key)]
	if line == 0 {
		line = s.file.lines[s.raw.Name()]
	}
	s.file.add(line, format, args...)
}

// Arg returns the i-th word after the section's name, or reports it missing.
func (s *Section) Arg(i int, what string) string {
	if i < len(s.Args) {
		return s.Args[i]
	}
	s.Problem("", "section [%s] lacks the name of its %s; write [%s %s]", s.raw.Name(), what, s.raw.Name(), what)
	return ""
}

// Has reports whether a key is set.
func (s *Section) Has(key string) bool { return s.raw.HasKey(key) }

// String returns a key's text, or fallback.
func (s *Section) String(key, fallback string) string {
	s.used[key] = true
	if !s.raw.HasKey(key) {
		return fallback
	}
	return s.raw.Key(key).String()
}

// Required returns a key's text, or reports it missing.
func (s *Section) Required(key, remedy string) string {
	text := s.String(key, "")
	if text == "" {
		s.Problem("", "section [%s] lacks the key %s; %s", s.raw.Name(), key, remedy)
	}
	return text
}

// OneOf returns a key's text, which must be one of choices.
func (s *Section) OneOf(key, fallback string, choices ...string) string {
	text := s.String(key, fallback)
	if !slices.Contains(choices, text) {
		s.Problem(key, "%s = %q is not a choice; use one of %s", key, text, strings.Join(choices, ", "))
	}
	return text
}

// Int returns a whole number between low and high.
func (s *Section) Int(key string, fallback, low, high int) int {
	text := s.String(key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		s.Problem(key, "%s = %q is not a whole number from %d to %d; write one", key, text, low, high)
		return fallback
	}
	return n
}

// Float returns a number between low and high.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	text := s.String(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < low || n > high {
		s.Problem(key, "%s = %q is not a number from %g to %g; write one", key, text, low, high)
		return fallback
	}
	return n
}

// Bool returns true or false.
func (s *Section) Bool(key string, fallback bool) bool {
	return s.OneOf(key, strconv.FormatBool(fallback), "true", "false") == "true"
}

// Duration returns a duration with its unit, such as 250ms, from low to high.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	text := s.String(key, fallback.String())
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		s.Problem(key, "%s = %q is not a duration from %s to %s; write a number with the unit us, ms, s, m or h", key, text, low, high)
		return fallback
	}
	return d
}

// Address returns an IP address with a port. An empty fallback makes the key
// required.
func (s *Section) Address(key, fallback string) string {
	text := s.String(key, fallback)
	if text == "" {
		return s.Required(key, "write it as IP:port, for example 127.0.0.1:8080")
	}
	s.checkAddress(key, text)
	return text
}

// Addresses returns a list of IP addresses with ports, parted by commas.
func (s *Section) Addresses(key string) []string {
	addresses := s.List(key)
	for _, address := range addresses {
		s.checkAddress(key, address)
	}
	return addresses
}

func (s *Section) checkAddress(key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		s.Problem(key, "%s = %q is not an IP address with a port; write it as 127.0.0.1:8080", key, text)
	}
}

// List returns the words of a key, parted by commas.
func (s *Section) List(key string) []string { return SplitList(s.String(key, "")) }

// SplitList returns the words of a text, parted by commas.
func SplitList(text string) []string {
	var words []string
	for _, word := range strings.Split(text, ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}

func (s *Section) reportUnknownKeys() {
	for _, key := range s.raw.KeyStrings() {
		if s.used[key] {
			continue
		}
		known := slices.Sorted(maps.Keys(s.used))
		s.Problem(key, "key %s is not known in [%s]; use one of %s", key, s.raw.Name(), strings.Join(known, ", "))
	}
}

// reportRepeats reports sections and keys that stand twice, since the library
// would silently keep the last.
func (f *File) reportRepeats(data []byte) {
	seen := map[string]bool{}
	walkLines(data, func(line int, section, key string) {
		name := lineKey(section, key)
		if seen[name] {
			f.add(line, "%s stands twice; keep one", describe(section, key))
		}
		seen[name] = true
	})
}

func describe(section, key string) string {
	if key == "" {
		return "section [" + section + "]"
	}
	return "key " + key + " in [" + section + "]"
}

// indexLines finds the lines of sections and keys, which the library does not
// tell.
func indexLines(data []byte) map[string]int {
	lines := map[string]int{}
	walkLines(data, func(line int, section, key string) {
		lines[lineKey(section, key)] = line
	})
	return lines
}

func walkLines(data []byte, visit func(line int, section, key string)) {
	section := ""
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		if text == "" || text[0] == ';' || text[0] == '#' {
			continue
		}
		if text[0] == '[' {
			section = strings.TrimSpace(strings.Trim(text, "[]"))
			visit(i+1, section, "")
			continue
		}
		key, _, found := strings.Cut(text, "=")
		if found {
			visit(i+1, section, strings.TrimSpace(key))
		}
	}
}

func lineKey(section, key string) string {
	if key == "" {
		return section
	}
	return section + "\n" + key
}
