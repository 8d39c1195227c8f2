package config

import (
	"slices"
	"strings"
)

// Difference returns the lines that differ between two documents: those gone
// with "- " and those added with "+ ", each with its section.
func Difference(before, after []byte) []string {
	old, updated := sectionLines(before), sectionLines(after)
	var lines []string
	for _, line := range old {
		if !slices.Contains(updated, line) {
			lines = append(lines, "- "+line)
		}
	}
	for _, line := range updated {
		if !slices.Contains(old, line) {
			lines = append(lines, "+ "+line)
		}
	}
	return lines
}

// sectionLines returns the lines that say something, each after its section.
func sectionLines(document []byte) []string {
	var lines []string
	section := ""
	for _, line := range strings.Split(string(document), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			section = line
			lines = append(lines, line)
		default:
			lines = append(lines, section+" "+line)
		}
	}
	return lines
}
