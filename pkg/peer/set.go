package peer

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
)

// Set holds the links to the wanted peers, by address.
type Set struct {
	*common.Common
	settings settings.Link
	observer Observer
	counters *Counters

	mu      sync.RWMutex
	links   map[string]*Link        // by address
	reports map[string]*linkReports // by address, of all links that there have been
}

// NewSet makes an empty set.
func NewSet(c *common.Common, s settings.Link, observer Observer, counters *Counters) *Set {
	return &Set{Common: c, settings: s, observer: observer, counters: counters, links: map[string]*Link{}, reports: map[string]*linkReports{}}
}

// Keep opens links to the addresses that have none and closes the others.
func (s *Set) Keep(addresses []string) {
	wanted := map[string]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		wanted[address] = true
		if s.links[address] == nil {
			s.links[address] = newLink(s.Common, s.settings, s.reportsOf(address), s.counters)
		}
	}
	for address, link := range s.links {
		if !wanted[address] {
			link.Close()
			delete(s.links, address)
		}
	}
}

// reportsOf returns what orders the reports of the links to an address. s.mu is held.
func (s *Set) reportsOf(address string) *linkReports {
	reports := s.reports[address]
	if reports == nil {
		reports = newLinkReports(address, s.observer)
		s.reports[address] = reports
	}
	return reports
}

// Link returns the link to an address, or nil.
func (s *Set) Link(address string) *Link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[address]
}

// PeerAt returns the hello of the peer at an address, or nil if there is no link to it that is up.
func (s *Set) PeerAt(address string) *peerpb.Hello {
	link := s.Link(address)
	if link == nil {
		return nil
	}
	if current := link.session.Load(); current != nil {
		return current.peer
	}
	return nil
}

// IsConnected reports whether the link to an address is up and its connection hasn't ended. A link stays up
// while it is resumed on another connection.
func (s *Set) IsConnected(address string) bool {
	link := s.Link(address)
	if link == nil {
		return false
	}
	current := link.session.Load()
	return current != nil && !current.mux.isClosed()
}

// AnsweredAt returns when the newest heartbeat that the peer at an address has answered was sent, as a time
// of this process's clock; 0 for none. The peer was reachable both ways after that.
func (s *Set) AnsweredAt(address string) time.Duration {
	if link := s.Link(address); link != nil {
		return time.Duration(link.answered.Load())
	}
	return 0
}

// Nudge sends a heartbeat on every link at once.
func (s *Set) Nudge() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, link := range s.links {
		link.Nudge()
	}
}

// NudgeOne sends a heartbeat on the link to an address at once.
func (s *Set) NudgeOne(address string) {
	if link := s.Link(address); link != nil {
		link.Nudge()
	}
}

// Redial attempts to open the link to an address at once, if it is down.
func (s *Set) Redial(address string) {
	if link := s.Link(address); link != nil {
		link.Redial()
	}
}

// Close ends all links.
func (s *Set) Close() { s.Keep(nil) }
