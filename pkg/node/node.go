package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/pkg/errors"
)

// Intervals of the node's own work.
const (
	tickInterval  = 25 * time.Millisecond  // of the cells that are owned
	claimInterval = 100 * time.Millisecond // of looking for cells without an owner
	linksInterval = time.Second            // of looking for addresses that peers no longer tell of
)

// Node is one host.
type Node struct {
	*common.Common
	settings *settings.Node
	inc      once.Incarnation
	adapter  Adapter
	store    Store
	counters *peer.Counters
	metrics  *metrics.Node
	links    *peer.Set
	peers    *peer.Server

	leaving       atomic.Bool
	storeFails    atomic.Bool // the last reading of the executors failed
	configuration atomic.Pointer[inForce]
	executors     atomic.Pointer[listing]
	changed       *broadcast    // membership or claims have changed
	regained      *broadcast    // the store answers again
	claimed       chan struct{} // asks for a new reading of the executors
	heartbeats    heartbeats
	arrivals      *arrivals

	mu         sync.Mutex // guards what follows
	members    *member.Table
	claims     *ownership.Table
	rows       map[string]Member        // the nodes' rows in the store, by name
	rowsRead   bool                     // once
	back       bool                     // the own row was there at the first reading
	ownerless  bool                     // a cell of this zone lacks an owner
	lastSeen   map[string]time.Duration // when a node of a row was last seen, by name
	peerCounts map[string]map[string]int
	owners     map[string]*owner

	front   *front
	foreign *foreignZones

	logDropped func() uint64 // nil when it isn't counted
	servers    []*http.Server
	stop       context.CancelFunc
}

// NewNode makes a node. Start runs it.
func NewNode(c *common.Common, s *settings.Node, inc once.Incarnation, adapter Adapter) (*Node, error) {
	c = c.With("node", s.Name)
	n := &Node{
		Common:     c,
		settings:   s,
		inc:        inc,
		adapter:    adapter,
		store:      adapter.Store(),
		counters:   &peer.Counters{},
		changed:    newBroadcast(),
		regained:   newBroadcast(),
		claimed:    make(chan struct{}, 1),
		arrivals:   newArrivals(),
		rows:       map[string]Member{},
		lastSeen:   map[string]time.Duration{},
		peerCounts: map[string]map[string]int{},
		owners:     map[string]*owner{},
	}
	self := member.Peer{Name: s.Name, Domain: s.Zone, Address: s.PeerAddress, Incarnation: inc}
	n.members = member.NewTable(self, without(s.Seeds, s.PeerAddress), linksToOtherZones)
	n.claims = ownership.NewTable(ownership.DefaultLimits(), c.Clock.Now())
	link := settings.Link{Heartbeat: s.Heartbeat, SuspectAfter: s.SuspectAfter}
	n.links = peer.NewSet(c, link, n, n.counters)
	n.front = newFront(n)
	n.foreign = newForeignZones()
	instruments, err := metrics.NewNode(n.gauges)
	n.metrics = instruments
	return n, err
}

// linksToOtherZones is the number of links that a node keeps to each other
// zone, beside those to the owners of its cells.
const linksToOtherZones = 3

// without returns the addresses but the own one.
func without(addresses []string, own string) []string {
	var others []string
	for _, address := range addresses {
		if address != own {
			others = append(others, address)
		}
	}
	return others
}

// Start listens and begins to serve.
func (n *Node) Start() error {
	peerListener, err := net.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.peers = peer.NewServer(n.Common, peerListener, n, n, n.counters)
	go n.peers.Serve()
	n.refreshLinks()
	if err := n.serve(n.settings.ReadyAddress, n.adapter.Readiness(n), nil); err != nil {
		return err
	}
	if err := n.serve(n.settings.FrontAddress, n.adapter.Front(n), n.configureFront); err != nil {
		return err
	}
	if address := n.settings.MetricsAddress; address != "" {
		if err := n.serve(address, metricsHandler(n.metrics), nil); err != nil {
			return err
		}
	}
	go n.runNews(ctx)
	go n.runRows(ctx)
	go n.runCells(ctx)
	n.Log.Info("started", "incarnation", n.inc.String(), "zone", n.settings.Zone, "front", n.settings.FrontAddress, "peers", n.settings.PeerAddress)
	return nil
}

func (n *Node) serve(address string, handler http.Handler, configure func(*http.Server)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on "+address)
	}
	server := &http.Server{Handler: handler, ErrorLog: quietLog(), ReadHeaderTimeout: defaultHeaderTimeout}
	if configure != nil {
		configure(server)
	}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// metricsPath is where a node's metrics are served.
const metricsPath = "/metrics"

func metricsHandler(m *metrics.Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, m.Handler())
	return mux
}

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultIdleTimeout   = 15 * time.Second
)

// configureFront sets the limits of callers' connections: fixed ones, as the
// server is made before there is a configuration. Of the configuration's limits
// only that of the body is enforced, by the adapter.
func (n *Node) configureFront(server *http.Server) {
	server.MaxHeaderBytes = defaultHeaderBytes
	server.IdleTimeout = defaultIdleTimeout
}

// runCells ticks the cells that this node owns and claims those that lack an
// owner.
func (n *Node) runCells(ctx context.Context) {
	nextClaim, nextLinks := time.Duration(0), time.Duration(0)
	for {
		interval := claimInterval
		if n.tickOwners() {
			interval = tickInterval
		}
		if now := n.Clock.Now(); now >= nextClaim {
			n.claimCells(now)
			n.refreshOwnClaims()
			n.dropSilentFronts(now)
			nextClaim = now + claimInterval
		}
		if now := n.Clock.Now(); now >= nextLinks {
			n.refreshLinks()
			nextLinks = now + linksInterval
		}
		if !common.Sleep(ctx, interval) {
			return
		}
	}
}

func (n *Node) tickOwners() bool {
	busy := false
	for _, o := range n.allOwners() {
		busy = o.tick() || busy
	}
	return busy
}

func (n *Node) allOwners() []*owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	owners := make([]*owner, 0, len(n.owners))
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	return owners
}

// claimCells claims the cells that this node should own now.
func (n *Node) claimCells(now time.Duration) {
	listing := n.executors.Load()
	if listing == nil {
		return
	}
	n.noticeOwnerless(listing)
	names := n.cellsToClaim(listing, now)
	n.foreign.keepOnly(names)
	for _, name := range names {
		zone := ownership.ZoneOf(name)
		if zone == n.settings.Zone || n.mayClaimForeign(zone, now) {
			n.claim(name, now)
		}
	}
	n.yieldCells(listing)
}

// cellsToClaim returns the cells that this node should claim by what it sees.
func (n *Node) cellsToClaim(listing *listing, now time.Duration) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.ownershipView()
	var names []string
	for name := range listing.cells {
		if n.owners[name] == nil && n.claims.ShouldClaim(name, ownership.ZoneOf(name), view, now) {
			names = append(names, name)
		}
	}
	return names
}

// claim becomes the owner of a cell. A former owner that is still there gives
// its jobs back once the executors have been fenced.
func (n *Node) claim(cellName string, now time.Duration) {
	n.mu.Lock()
	if n.owners[cellName] != nil {
		n.mu.Unlock()
		return // claimed by another goroutine a moment ago
	}
	former, hasFormer := n.claims.Owner(cellName)
	token := n.claims.NextToken(time.Now(), uint32(n.inc[0])<<16|uint32(n.inc[1])<<8|uint32(n.inc[2]))
	o := newOwner(n, cellName, token, now)
	if hasFormer {
		o.former = former.Owner
	}
	n.owners[cellName] = o
	n.mu.Unlock()
	n.metrics.OwnershipChanged("claimed")
	n.Log.Info("cell_claimed", "cell", cellName, "token", token, "former", o.former)
	o.setExecutors(n.executors.Load())
	select {
	case n.claimed <- struct{}{}:
	default:
	}
	n.publishClaims()
}

// yieldCells gives up cells of other zones once those zones have nodes again,
// and cells that no longer exist once their work is done.
func (n *Node) yieldCells(listing *listing) {
	for _, o := range n.allOwners() {
		zone := ownership.ZoneOf(o.cell)
		_, exists := listing.cells[o.cell]
		switch {
		case zone != n.settings.Zone && n.zoneHasNodes(zone):
			n.release(o, "zone_is_back")
		case !exists && !o.busy():
			n.release(o, "cell_is_gone")
		}
	}
}

func (n *Node) zoneHasNodes(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range n.ownershipView().Up {
		if host.Zone == zone && !host.Leaving {
			return true
		}
	}
	return false
}

// release ends the ownership of a cell and hands its jobs back.
func (n *Node) release(o *owner, reason string) {
	n.mu.Lock()
	if n.owners[o.cell] == o {
		delete(n.owners, o.cell)
	}
	n.claims.SetClaims(n.settings.PeerAddress, nil)
	n.mu.Unlock()
	n.metrics.OwnershipChanged(reason)
	n.Log.Info("cell_released", "cell", o.cell, "token", o.token, "reason", reason)
	n.publishClaims()
	o.release(reason)
}

// publishClaims tells peers what this node owns, at once.
func (n *Node) publishClaims() {
	claims := n.ownClaims()
	n.mu.Lock()
	n.claims.SetClaims(n.settings.PeerAddress, claims)
	n.mu.Unlock()
	n.tellNews()
}

// tellNews wakes what waits for owners, here and at the peers.
func (n *Node) tellNews() {
	n.heartbeats.outdate()
	n.changed.signal()
	n.links.Nudge()
}

// refreshOwnClaims notes how busy the own cells are, and tells peers at once
// when one of them has become able to serve.
func (n *Node) refreshOwnClaims() {
	claims := n.ownClaims()
	n.mu.Lock()
	changed := n.claims.SetClaims(n.settings.PeerAddress, claims)
	n.mu.Unlock()
	if changed {
		n.tellNews()
	}
}

func (n *Node) ownClaims() []ownership.Claim {
	now := n.Clock.Now()
	var claims []ownership.Claim
	for _, o := range n.allOwners() {
		claims = append(claims, ownership.Claim{Cell: o.cell, Token: o.token, Owner: n.settings.PeerAddress, Load: o.load(now)})
	}
	return claims
}

// Configuration implements Service.
func (n *Node) Configuration() *catalog.Configuration {
	if current := n.configuration.Load(); current != nil {
		return current.parsed
	}
	return nil
}

// Now implements Service.
func (n *Node) Now() time.Duration { return n.Clock.Now() }

// Leaving implements Service.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready implements Service: a node gets callers while it has a configuration
// and sees an owner that can run something.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.Configuration() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, claim := range n.claims.Owned() {
		if claim.Load.Ready {
			return true
		}
	}
	return false
}

// Shares of the time after which callers send a job again. By then no run of
// the first submission may be alive, whoever has died.
const (
	leaseShare   = 0.77 // for the leases of a lost owner
	takeoverTime = 200 * time.Millisecond
)

// cellParams returns the times of leases. They keep, whatever the settings:
// lease < resubmission, and
// suspicion + takeover + grace of orphans + stop < resubmission.
func (n *Node) cellParams() cell.Params {
	resubmit := n.settings.ResubmitAfter
	hold := min(n.settings.LongestHold, time.Duration(leaseShare*float64(resubmit)))
	params := cell.DefaultParams(hold, n.settings.StopTime)
	grace := resubmit - n.settings.SuspectAfter - takeoverTime - n.settings.StopTime
	params.OrphanGrace = max(0, min(params.OrphanGrace, grace))
	return params
}
