package catalog

import (
	"slices"
)

// Closures are the failure domains that operators have closed to new work, as of
// a position in the store's history. The nil value has none.
type Closures struct {
	Position uint64
	Domains  []string // sorted
}

// ClosureChanges are the domains that operators have closed or opened again since
// a position in the store's history.
type ClosureChanges struct {
	Since    uint64 // the position that the changes start from; 0 for the full list
	Position uint64 // the position that the changes lead to
	Closed   []string
	Opened   []string
}

// Closed reports whether a domain is closed to new work.
func (c *Closures) Closed(domain string) bool {
	if c == nil {
		return false
	}
	_, found := slices.BinarySearch(c.Domains, domain)
	return found
}

// SameDomains reports whether both have the same domains closed.
func (c *Closures) SameDomains(other *Closures) bool {
	return slices.Equal(c.domains(), other.domains())
}

func (c *Closures) domains() []string {
	if c == nil {
		return nil
	}
	return c.Domains
}

func (c *Closures) position() uint64 {
	if c == nil {
		return 0
	}
	return c.Position
}

// Newer reports whether the closures have a later position than other.
func (c *Closures) Newer(other *Closures) bool { return c.position() > other.position() }

// With returns the closures with changes applied. Changes that are already covered
// leave the closures as they are. It returns false when there is a gap between
// the closures and the changes.
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

func newClosures(position uint64, domains map[string]bool) *Closures {
	closures := &Closures{Position: position}
	for domain := range domains {
		closures.Domains = append(closures.Domains, domain)
	}
	slices.Sort(closures.Domains)
	return closures
}
