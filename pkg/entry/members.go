package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
)

// gossipEvery is the number of heartbeats between those that carry the
// addresses of the domain's hosts.
const gossipEvery = 16

// members keeps the links to other entry hosts and the view of the reachable ones. It
// implements peer.Observer.
type members struct {
	*common.Common
	self       member.Peer
	links      *peer.Set
	host       *Host
	gossip     bool
	current    atomic.Pointer[member.View]
	heartbeats atomic.Uint64

	mu    sync.Mutex
	table *member.Table
}

func newMembers(c *common.Common, s *settings.Entry, inc once.Incarnation, counters *peer.Counters, host *Host) *members {
	self := member.Peer{Name: s.Name, Domain: s.Domain, Address: s.PeerAddress, Incarnation: inc}
	m := &members{
		Common: c,
		self:   self,
		host:   host,
		gossip: s.Link.Gossip,
		table:  member.NewTable(self, s.Seeds, s.Link.PerDomain),
	}
	m.links = peer.NewSet(c, s.Link, m, counters)
	m.current.Store(m.table.View(once.Incarnation{}))
	return m
}

// view returns the current view.
func (m *members) view() *member.View { return m.current.Load() }

// update changes the table and publishes a new view.
func (m *members) update(change func(*member.Table)) {
	m.mu.Lock()
	change(m.table)
	view := m.table.View(m.view().Backup)
	m.current.Store(view)
	m.mu.Unlock()
	m.host.reconfigure()
}

// refresh opens the wanted links and closes the others.
func (m *members) refresh() {
	m.mu.Lock()
	wanted := m.table.Wanted(m.Clock.Now())
	m.mu.Unlock()
	m.links.Keep(wanted)
}

// send sends a one-way message to the host of a name.
func (m *members) send(name string, message *peerpb.Message, wait time.Duration) bool {
	for _, p := range m.view().Peers {
		if p.Name != name {
			continue
		}
		link := m.links.Link(p.Address)
		if link == nil {
			return false
		}
		link.Send(message, wait)
		return true
	}
	return false
}

// linkTo returns the link to a peer, or nil.
func (m *members) linkTo(p member.Peer) *peer.Link { return m.links.Link(p.Address) }

// Hello implements peer.Observer.
func (m *members) Hello() *peerpb.Hello {
	return &peerpb.Hello{
		Name:        m.self.Name,
		Domain:      m.self.Domain,
		Address:     m.self.Address,
		Incarnation: m.self.Incarnation[:],
		Leaving:     m.host.leaving.Load(),
	}
}

// LinkUp implements peer.Observer.
func (m *members) LinkUp(address string, hello *peerpb.Hello) {
	p := peerOf(hello)
	p.Address = address
	m.update(func(t *member.Table) { t.LinkUp(p) })
}

func peerOf(hello *peerpb.Hello) member.Peer {
	p := member.Peer{Name: hello.Name, Domain: hello.Domain, Address: hello.Address, Leaving: hello.Leaving, Usable: 1}
	copy(p.Incarnation[:], hello.Incarnation)
	return p
}

// LinkDown implements peer.Observer.
func (m *members) LinkDown(address string) {
	m.update(func(t *member.Table) { t.LinkDown(address, m.Clock.Now()) })
}

// Heartbeat implements peer.Observer.
func (m *members) Heartbeat() *peerpb.Heartbeat {
	load := m.host.totals()
	heartbeat := &peerpb.Heartbeat{
		Version: m.host.conf.version(),
		Leaving: m.host.leaving.Load(),
		Waiting: uint32(load.Waiting),
		Free:    uint32(load.Free),
		Usable:  uint32(load.Usable),
	}
	if m.gossip && m.heartbeats.Add(1)%gossipEvery == 1 {
		for _, p := range m.view().Domain() {
			heartbeat.Addresses = append(heartbeat.Addresses, p.Address)
		}
	}
	return heartbeat
}

// HeartbeatReply implements peer.Observer.
func (m *members) HeartbeatReply(address string, reply *peerpb.Message) {
	for _, p := range m.view().Peers {
		if p.Address == address {
			m.recordHeartbeat(p, reply.GetHeartbeat())
		}
	}
}

// recordHeartbeat applies the contents of a peer's heartbeat.
func (m *members) recordHeartbeat(p member.Peer, heartbeat *peerpb.Heartbeat) {
	if len(heartbeat.Addresses) > 0 && p.Domain == m.self.Domain {
		m.mu.Lock()
		m.table.AddAddresses(heartbeat.Addresses, m.Clock.Now())
		m.mu.Unlock()
	}
	if heartbeat.Leaving != p.Leaving {
		p.Leaving = heartbeat.Leaving
		m.update(func(t *member.Table) { t.UpdateIfUp(p) })
	}
	p.Version, p.Waiting, p.Free, p.Usable = heartbeat.Version, int(heartbeat.Waiting), int(heartbeat.Free), m.usable(heartbeat)
	m.recordLoad(p)
	m.host.onLoad(p.Name, loadOf(p))
	if heartbeat.Version > m.host.conf.version() {
		go m.host.fetchConfig(p)
	}
}

// usable returns the number of slots that a peer may use, at least 1 for a peer that
// does not have this host's configuration yet.
func (m *members) usable(heartbeat *peerpb.Heartbeat) int {
	if heartbeat.Version < m.host.conf.version() {
		return max(1, int(heartbeat.Usable))
	}
	return int(heartbeat.Usable)
}

// recordLoad stores a peer's load for the status page, without notifying the
// dispatchers of a change of membership.
func (m *members) recordLoad(p member.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.UpdateIfUp(p)
	m.current.Store(m.table.View(m.view().Backup))
}

// setListed applies a new reading of the platform's list.
func (m *members) setListed(hosts []member.ListedHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetListed(hosts)
}

// setLeaving marks this host as leaving.
func (m *members) setLeaving() {
	m.update(func(t *member.Table) { t.SetLeaving() })
}
