package catalog

import (
	"slices"
)

// Closures are the failure domains that operators have closed to new work, as of
// a position in the store's history. The nil value knows of none.
type Closures struct {
	Position uint64
	Domains  []string // sorted
}

// ClosureChanges are the domains that operators have closed or opened again since
// a position in the store's history.
type ClosureChanges struct {
	Since    uint64 // the changes follow on this position; 0 for all closures that there are
	Position uint64 // up to which the changes are told
	Closed   []string
	Opened   []string
}

// Closed reports whether a domain takes no new work.
func (c *Closures) Closed(domain string) bool {
	if c == nil {
		return false
	}
	_, found := slices.BinarySearch(c.Domains, domain)
	return found
}

// SameDomains reports whether both close the same domains.
func (c *Closures) SameDomains(other *Closures) bool {
	return slices.Equal(c.domains(), other.domains())
}

func (c *Closures) domains() []string {
	if c == nil {
		return nil
	}
	return c.Domains
}

// position returns the position in the store's history, or 0.
func (c *Closures) position() uint64 {
	if c == nil {
		return 0
	}
	return c.Position
}

// Newer reports whether the closures are of a later position than others.
func (c *Closures) Newer(other *Closures) bool { return c.position() > other.position() }

// With returns the closures after some changes. It returns the closures as they
// are for changes that are older, and false when changes before these are missing.
func (c *Closures) With(changes ClosureChanges) (*Closures, bool) {
	if changes.Position <= c.position() {
		return c, true
	}
	if changes.Since > c.position() {
		return c, false
	}
	domains := map[string]bool{}
	if changes.Since > 0 {
		for _, domain := range c.domains() {
			domains[domain] = true
		}
	}
	for _, domain := range changes.Opened {
		delete(domains, domain)
	}
	for _, domain := range changes.Closed {
		domains[domain] = true
	}
	return newClosures(changes.Position, domains), true
}

// newClosures makes the closures of a set of domains.
func newClosures(position uint64, domains map[string]bool) *Closures {
	closures := &Closures{Position: position}
	for domain := range domains {
		closures.Domains = append(closures.Domains, domain)
	}
	slices.Sort(closures.Domains)
	return closures
}
